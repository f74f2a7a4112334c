// Package warmup limits the request rate to cold backend servers.
//
// A cold server becomes overloaded above a published rate that applies to the
// whole fleet. The VMs share this rate evenly, and each spaces its requests
// without a burst. If the rate is too low to be divided among all VMs, only a
// few share it; all VMs select the same ones by rank. Package edge asks the
// Limiter before it sends to a cold server.
package warmup
