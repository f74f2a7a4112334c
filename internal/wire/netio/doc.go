// Package netio opens connections, serves HTTP, and sends and receives JSON for the other packages.
//
// All connections go through a Network, which is TCP or an in-memory
// implementation in tests.
package netio
