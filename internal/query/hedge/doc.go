// Package hedge limits second attempts and estimates when a part is late.
//
// A Budget allows second attempts, whether hedges or retries, up to a fraction
// of the first ones. A LatencyHistogram yields the latency quantile after which
// a part counts as late. Package fanout decides with both when to send a hedge.
package hedge
