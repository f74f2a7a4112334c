// Package clock measures elapsed time for the rest of the program.
//
// Two clocks can disagree after a pause or a step of the wall clock. An
// Instant therefore carries two readings: a lower and an upper bound of the
// time that has passed since the process started. Whoever lends something
// waits by the lower bound, whoever borrowed it stops by the upper bound.
package clock
