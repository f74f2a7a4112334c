// Package hold decides which connections give way when a process holds too much for others.
//
// A Budget bounds the bytes of all connections, and the number of connections at each door. It does no I/O: package guard tells it what
// arrives, and closes the connections that it names.
package hold
