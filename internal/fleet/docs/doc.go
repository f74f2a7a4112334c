// Package docs decides which published documents are in force on a VM.
//
// A revision only grows. A document with faults is refused whole and the last
// sound one stays in force.
package docs
