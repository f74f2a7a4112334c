// Package server provides stand-ins for the backend servers.
//
// A server has slots, a connection limit, a cost for each new connection, index
// versions, load shedding and draining. During a cold start it crashes when more
// parts run than it has cold slots. It records the parts, connections and
// violations that it observes, for assertions in tests. Package sample derives
// server models from an example deployment; package local runs them.
package server
