package warmup

import (
	"maps"
	"slices"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
)

// leastRate is the rate, in requests per second, below which a VM's part of a cold server's rate is not worth having.
const leastRate = 2.0

// Limiter lets requests through to cold servers; the zero value is ready to use. It is driven under its owner's lock.
type Limiter struct {
	next map[ident.Server]time.Time
}

// MaySend reports whether a VM may send to a cold server now. Rate is the server's for the whole fleet, 0 for no bound.
func (g *Limiter) MaySend(now time.Time, s ident.Server, rate float64, self ident.VM, members []ident.VM) bool {
	return rate <= 0 || (!now.Before(g.next[s]) && share(s, rate, self, members) > 0)
}

// RecordSend counts a request to a cold server.
func (g *Limiter) RecordSend(now time.Time, s ident.Server, rate float64, self ident.VM, members []ident.VM) {
	own := share(s, rate, self, members)
	if own <= 0 {
		return
	}
	if g.next == nil {
		g.next = make(map[ident.Server]time.Time)
	}
	g.next[s] = now.Add(time.Duration(float64(time.Second) / own))
}

// Forget drops a server that is no longer cold.
func (g *Limiter) Forget(s ident.Server) { delete(g.next, s) }

// Prune forgets the servers that may be sent to anyway.
func (g *Limiter) Prune(now time.Time) {
	maps.DeleteFunc(g.next, func(_ ident.Server, next time.Time) bool { return !now.Before(next) })
}

// Len returns how many servers have had their rate for now.
func (g *Limiter) Len() int { return len(g.next) }

// share returns the VM's part of a server's rate, in requests per second; one that is no member has none.
func share(s ident.Server, rate float64, self ident.VM, members []ident.VM) float64 {
	if rate <= 0 || !slices.Contains(members, self) {
		return 0
	}
	holders := max(1, min(len(members), int(rate/leastRate)))
	if holders >= len(members) {
		return rate / float64(len(members))
	}
	for _, vm := range ident.Rank("cold:"+string(s), members)[:holders] {
		if vm == self {
			return rate / float64(holders)
		}
	}
	return 0
}
