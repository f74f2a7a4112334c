// Package worker runs short functions on goroutines that are used again.
//
// A new goroutine begins with a small stack, which is copied several times
// while a call to a server goes deeper; a used one has a stack that is large
// enough.
package worker
