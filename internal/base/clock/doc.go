// Package clock measures elapsed time for the other packages.
//
// The monotonic and the wall clock can disagree after a pause of the VM or a step
// of the wall clock. An Instant therefore holds a lower and an upper bound of
// the time since the process started. The lessor of a lease waits until it has
// expired by the lower bound; the holder stops using it by the upper bound.
package clock
