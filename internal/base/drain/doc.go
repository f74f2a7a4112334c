// Package drain serves HTTP on a listener and shuts down without dropping a request.
//
// http.Server.Shutdown closes a connection without a response if it reads the connection's first request while it waits. A
// Server of this package continues to serve all accepted connections until their requests are answered.
package drain
