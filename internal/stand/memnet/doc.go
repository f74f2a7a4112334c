// Package memnet is an in-memory network for running complete daemons in virtual
// time.
//
// Each participant has a named host, which implements netio.Network. The network
// can delay traffic, partition hosts and reset connections. It calls an observer
// with each dial, request and reply before delivery, so that a test can inject a
// fault at an exact step.
package memnet
