// Package agent decides, on each VM, everything that the VMs coordinate among
// themselves: the membership of the fleet, the documents in force, the leases of
// slots and rates, and whether a request is within its team's rate.
//
// Agent combines packages member, docs, lease and bucket. It is a state machine
// that takes the current instant and one Event at a time and returns Actions; it
// does no I/O. The caller sends the messages, reads the platform and reports the
// results as events.
package agent
