package warmup

import (
	"maps"
	"slices"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/base/units"
)

// minRate is the lowest useful share of a cold server's rate for one VM, in requests per second. Fewer VMs share a rate that would
// give each of them less.
const minRate = 2.0

// Limiter limits a VM's request rate to each cold server; the zero value is ready to use, for a process that started long ago. It is not safe
// for concurrent use.
type Limiter struct {
	started time.Time
	// next is the earliest time of the next request to a server.
	next map[ident.Server]time.Time
}

// New returns a Limiter for a process that starts now. Its first request to a server waits as if it had sent one when it started: the process
// before it may have.
func New(now time.Time) Limiter { return Limiter{started: now} }

// MaySend reports whether the VM self may send to a cold server now. rate is the server's limit for the whole fleet in requests per
// second, 0 for no limit; members are the VMs that share it.
func (l *Limiter) MaySend(now time.Time, s ident.Server, rate float64, self ident.VM, members []ident.VM) bool {
	if rate <= 0 {
		return true
	}
	vmRate := share(s, rate, self, members)
	return vmRate > 0 && !now.Before(l.next[s]) && !now.Before(l.started.Add(interval(vmRate)))
}

// RecordSend records a request to a cold server, which delays the next one by the inverse of the VM's share of the rate.
func (l *Limiter) RecordSend(now time.Time, s ident.Server, rate float64, self ident.VM, members []ident.VM) {
	vmRate := share(s, rate, self, members)
	if vmRate <= 0 {
		return
	}
	if l.next == nil {
		l.next = make(map[ident.Server]time.Time)
	}
	l.next[s] = now.Add(interval(vmRate))
}

// interval returns the time between two requests at a rate in requests per second.
func interval(rate float64) time.Duration { return units.Seconds(1 / rate) }

// Forget removes the record of a server, so that its next request is not delayed. Use it when the server starts again or is no longer
// cold.
func (l *Limiter) Forget(s ident.Server) { delete(l.next, s) }

// Prune removes the records of servers whose next request is no longer delayed.
func (l *Limiter) Prune(now time.Time) {
	maps.DeleteFunc(l.next, func(_ ident.Server, next time.Time) bool { return !now.Before(next) })
}

// Len returns the number of servers with a record.
func (l *Limiter) Len() int { return len(l.next) }

// share returns the VM's share of a server's rate in requests per second, 0 if the VM is not a member or not selected.
func share(s ident.Server, rate float64, self ident.VM, members []ident.VM) float64 {
	if rate <= 0 || !slices.Contains(members, self) {
		return 0
	}
	sharing := max(1, int(min(float64(len(members)), rate/minRate)))
	if sharing >= len(members) {
		return rate / float64(len(members))
	}
	for _, vm := range ident.Rank("cold:"+string(s), members)[:sharing] {
		if vm == self {
			return rate / float64(sharing)
		}
	}
	return 0
}
