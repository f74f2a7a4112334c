// Package logs writes structured log lines without blocking the goroutines that log them.
//
// Lines go through a bounded queue to a single writer. Each message has a
// limit of lines per second, so that a flood of one message cannot hide others.
// Dropped lines are counted, and their number is logged.
package logs
