package cargo

import "kumquatreel.example/kumquatreel/internal/base/ident"

// Meter counts the bytes of the requests that a VM has in flight at each server. The zero value is ready to use. It is not safe for concurrent use.
type Meter struct {
	servers map[ident.Server]held
}

type held struct {
	bytes    int64
	requests int
}

// Share returns a VM's part of the bound of a server among the VMs that serve clients, 0 if there is no bound.
func Share(bound int64, vms int) int64 {
	if bound <= 0 {
		return 0
	}
	return max(1, bound/int64(max(1, vms)))
}

// MayTake reports whether a server may get a request of n bytes beside those in flight, given the VM's share, 0 for no bound. The only request
// of a VM at a server is always allowed.
//
// Load pattern: many clients send large bodies at once to a service whose servers are slow.
func (m *Meter) MayTake(s ident.Server, n, share int64) bool {
	h := m.servers[s]
	return share <= 0 || h.requests == 0 || h.bytes <= share-n
}

// Take records that a request of n bytes is sent to a server.
func (m *Meter) Take(s ident.Server, n int64) {
	if m.servers == nil {
		m.servers = make(map[ident.Server]held)
	}
	h := m.servers[s]
	m.servers[s] = held{h.bytes + n, h.requests + 1}
}

// Release records that a request of n bytes that Take recorded has ended.
func (m *Meter) Release(s ident.Server, n int64) {
	h, ok := m.servers[s]
	if h.requests--; !ok || h.requests <= 0 {
		delete(m.servers, s)
		return
	}
	h.bytes -= n
	m.servers[s] = h
}

// Bytes returns the bytes of the requests in flight at a server.
func (m *Meter) Bytes(s ident.Server) int64 { return m.servers[s].bytes }

// Len returns the number of servers with requests in flight.
func (m *Meter) Len() int { return len(m.servers) }
