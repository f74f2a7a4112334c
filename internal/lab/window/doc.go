// Package window counts events in sliding windows of time, which bounds on rates are checked with.
package window
