// Package fault holds the errors that cross a process boundary.
//
// Each carries a stable code and an outcome. The outcome says what is known
// about the work that was asked for; only NotSent and Refused allow a caller
// to be told that nothing ran.
package fault
