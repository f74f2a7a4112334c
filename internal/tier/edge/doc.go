// Package edge is the process of one VM that sends callers' requests directly to backend servers.
//
// The decisions are made elsewhere, without I/O: package gather drives one
// request, place picks servers, retry, warmup and quota hold the bounds that
// count for the fleet, roster and table hold what the platform says, peers
// holds what other VMs say. This package owns their states, feeds them with
// events and carries out what they decide.
package edge
