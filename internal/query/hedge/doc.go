// Package hedge decides when a second attempt is worth its load.
//
// A Budget gives a fixed fraction of the first attempts to second ones, whether
// hedges or retries. A Latency learns after what time a part counts as late.
package hedge
