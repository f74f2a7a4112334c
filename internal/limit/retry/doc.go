// Package retry implements the retry budget of each service, which covers
// retries and hedges.
//
// Hedges and retries multiply load when servers are slow. In a sliding window,
// each VM may therefore retry only a fraction of the requests that it sent for
// the first time, plus its share of a fixed number for the whole fleet. Package
// edge takes from the budget before it sends a retry or a hedge.
package retry
