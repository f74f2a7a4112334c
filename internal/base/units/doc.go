// Package units converts numbers that come from outside, such as milliseconds in a published document, into durations and integers.
//
// Go leaves the result of converting a float64 that is out of range to the
// processor, so the same number would mean a long time on arm64 and a negative
// one on x86-64. The conversions of this package saturate.
package units
