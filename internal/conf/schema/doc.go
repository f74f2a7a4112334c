// Package schema holds the documents that the platform publishes: the
// configuration and the list of VMs.
//
// A document is checked whole. A sound one becomes an immutable value that a
// request keeps from its start to its end; one with faults is refused whole,
// and every fault is named. The same text gives the same result on every VM.
package schema
