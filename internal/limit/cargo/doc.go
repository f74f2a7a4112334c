// Package cargo bounds the bytes of the requests that backend servers hold.
//
// A server holds the head and the body of each request until it has answered,
// and crashes if it holds more than its memory, which nobody publishes. The
// VMs that serve clients share a bound for each server evenly. Package edge asks
// before it chooses a server, so that a part waits or goes to another one.
package cargo
