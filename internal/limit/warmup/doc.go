// Package warmup limits the request rate to cold backend servers.
//
// A cold server becomes overloaded above a published rate that applies to the
// whole fleet. The VMs share this rate evenly, and each spaces its requests
// without a burst. Where the rate is too low for all VMs, a few of them share
// it, which every VM selects by the same ranking. Package edge asks the Limiter
// before it sends to a cold server.
package warmup
