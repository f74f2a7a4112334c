// Package owner runs the slot decisions for the backend servers that a VM owns
// and speaks to those servers.
//
// Backend servers are spread over shards, each under its own lock. A request to
// a backend server is made afresh from the part; nothing of a caller's headers
// reaches it.
package owner
