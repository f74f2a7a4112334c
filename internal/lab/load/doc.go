// Package load is a load generator: it sends requests at a fixed rate, without
// waiting for earlier ones to end, and summarises latency, coverage and refusals.
package load
