// Package fairq implements a queue that shares service between teams by their
// weights, with start-time fair queueing (SFQ).
//
// Each team has a FIFO flow of items. Serving an item advances the start tag of
// its flow by the inverse of the flow's weight, and Pop serves the flow with the
// lowest start tag. A flow that was idle starts again at the current virtual
// time, so that a team earns no credit while it has nothing queued. Package
// slots queues the attempts for a backend server this way.
package fairq
