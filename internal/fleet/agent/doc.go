// Package agent decides, on each VM, everything that VMs settle among themselves:
// who is in the fleet, which documents are in force, who lends what to whom, and
// whether a request is within its team's rate.
//
// Agent joins the decisions of packages member, docs, lease and bucket. It takes
// the current instant and one Event at a time and returns Actions; it does no
// I/O. A runtime carries the messages and asks the questions.
package agent
