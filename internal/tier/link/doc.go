// Package link keeps connections to backend servers and exchanges one request and one answer on them at a time.
//
// It knows the edges of such an exchange: an answer to an earlier request that
// arrives late, bytes after an answer, an answer without a length, a
// connection that the server has closed while it lay idle. Whatever is in
// doubt ends the connection, and the result says whether the request may have
// run.
package link
