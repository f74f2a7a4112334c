// Package sched runs functions in the order of a virtual time.
package sched
