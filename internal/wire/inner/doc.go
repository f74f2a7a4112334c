// Package inner defines the messages between the system's own processes, which are JSON over HTTP.
//
// An exchange carries membership reports, document revisions and leases between
// two VMs. Parts are sent in batches to the owner of their backend servers; the
// answers return as a stream of JSON lines, in the order in which they complete.
// No message holds a client's API key: a batch carries the id under which the key
// is published.
package inner
