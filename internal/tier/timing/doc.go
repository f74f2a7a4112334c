// Package timing estimates the latency of the parts of one kind of request, and how
// much of a client's time budget has elapsed when a request arrives.
//
// Package edge keeps an Estimator for each route; the estimates decide when package
// gather hedges a part.
package timing
