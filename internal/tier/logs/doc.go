// Package logs writes structured log lines without ever holding up the work.
//
// Lines go through a bounded queue to one writer. Each kind of line has a
// budget a second, so that a flood of one cause cannot hide another; what was
// left out is counted and told.
package logs
