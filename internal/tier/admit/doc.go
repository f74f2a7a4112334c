// Package admit decides what a VM does with a request that it cannot serve at once.
//
// The decisions take the current time, the request's deadlines and a random number, and do no I/O. Package edge carries them out:
// it waits, or refuses the request with the delay after which the client should retry.
package admit
