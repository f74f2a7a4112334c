// Package server stands in for the backend servers.
//
// A server has slots, a connection limit, a cost for each new connection, a cold
// start in which it falls over when overrun, index versions, shedding and
// draining. It records what it saw, so that tests can judge by it.
package server
