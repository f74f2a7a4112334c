// Package ticket makes a request that is not idempotent run at most once.
//
// A ticket is issued by one process and names the only process in which the
// request may run. That process remembers the ticket for longer than it is
// valid. Any other process forwards the request to it and never runs it. A retry
// after that process has restarted is answered with "outcome unknown".
package ticket
