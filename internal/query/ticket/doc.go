// Package ticket makes a request that is not idempotent run at most once.
//
// A ticket is minted by one process and names the only process in which the
// request may run. That process remembers the ticket for longer than it is
// valid. Anywhere else, and after a restart, a repeat is answered with
// "outcome unknown" and never run.
package ticket
