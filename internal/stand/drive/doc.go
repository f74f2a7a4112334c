// Package drive runs the agents of several VMs in virtual time, with messages
// that are delayed, lost, doubled or cut, VMs that pause, die and are replaced,
// and a platform that goes away or stale. It needs no goroutines, and the same
// seed gives the same run.
package drive
