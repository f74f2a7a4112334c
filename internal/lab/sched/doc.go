// Package sched is a queue of events in virtual time: functions run in the order
// of their scheduled times, without waiting. Simulations advance their time with it.
package sched
