// Package drive simulates the agents of several VMs in virtual time: messages
// are delayed, lost, duplicated or partitioned, VMs pause, crash and are
// replaced, and the platform becomes unreachable or stale. A simulation runs on
// one goroutine on top of package sched, and the same seed gives the same run.
package drive
