// Package drain serves HTTP on a listener in such a way that the end of it cuts no request.
//
// http.Server.Shutdown closes a connection whose first request it reads while it waits, without an answer. A Server here
// goes on answering on all connections that were accepted, and only then ends.
package drain
