// Package owner schedules parts on the backend servers that a VM owns and sends
// them to those servers.
//
// The state of the backend servers is divided into shards with a lock each, to
// reduce contention. A request to a backend server is built from the part alone:
// no header of the client is forwarded.
package owner
