// Package delay tells how long bytes take to a caller and back, as the kernel measures it on the caller's connection.
//
// A listener from Listen marks its connections, Context makes the mark known to the handlers of an http.Server, and Time
// asks the kernel for the connection of a request.
package delay
