// Package gather implements the fan-out state machine of one request: where its
// parts are sent, when a part is hedged or retried, and when the request ends.
//
// A request to a single service is a request with one part. A State does no I/O
// and reads no clock: its owner, package edge, passes in events with the current
// time and makes the attempts that the methods return. NextTick says when Tick
// must be called if no other event occurs.
//
// Servers pause at times. A part that is late is hedged on another server, and
// at the soft deadline the request ends with the parts answered so far, if they
// meet the minimum coverage. A part whose servers have no capacity is retried
// after a backoff; if so many parts lack capacity at the start that the minimum
// coverage would be missed without them, nothing is sent.
package gather
