// Package delay reports the network round-trip time to a client, as the kernel estimates it for the client's TCP connection.
//
// NewListener marks the connections of a listener, ConnContext passes the mark to the handlers of an http.Server, and RTT
// asks the kernel for the estimate of a request's connection.
package delay
