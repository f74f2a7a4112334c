// Package inner is the protocol between the system's own processes: HTTP with JSON.
//
// An exchange carries reports, revisions and loans between two VMs. Parts travel
// in batches to the owner of their backend servers and their answers come back
// as a stream of lines, in the order in which they are ready. No message holds a
// caller's key; a part names the id under which the key was published.
package inner
