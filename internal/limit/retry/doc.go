// Package retry bounds how often the requests of a service are sent a second time.
//
// Hedges and retries multiply load when servers are slow, so each VM may only
// repeat a share of what it sent first in a sliding window, and its part of a
// fixed number for the whole fleet.
package retry
