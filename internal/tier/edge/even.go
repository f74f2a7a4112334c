package edge

import (
	"math"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/tier/belief"
	"kumquatreel.example/kumquatreel/internal/tier/place"
)

// setEven switches the use of pace and of other VMs' news on or off. The caller holds mu.
func (d *dispatch) setEven(on bool) {
	d.even = on
	if on {
		d.balancer.SetEven(max(1, d.serving))
		return
	}
	d.balancer.SetEven(0)
}

// loadReports returns the VM's own news of servers' loads for a heartbeat. The caller holds mu.
func (d *dispatch) loadReports(now time.Time) map[ident.Server]place.Report {
	if !d.even {
		return nil
	}
	return d.balancer.Reports(now)
}

// allLoadReports returns all news of servers' loads for a reply that may be sent for replyMaxAge. The caller holds mu.
func (d *dispatch) allLoadReports(now time.Time) map[ident.Server]place.Report {
	if !d.even {
		return nil
	}
	return d.balancer.AllReports(now, replyMaxAge)
}

// loads is what a VM has heard of the load of servers.
type loads struct {
	heard place.Heard
	// busiest is the mean load that the busiest server of a service has told over that of all that have told theirs.
	busiest map[ident.Service]float64
	// own and others are the ages of the freshest news of each server, by whether it came from the server or from another VM.
	own, others []time.Duration
}

// flushLoads returns what was heard of the load of servers since the last call.
func (d *dispatch) flushLoads(now time.Time) loads {
	d.mu.Lock()
	defer d.mu.Unlock()
	heard, means := d.balancer.FlushLoads()
	out := loads{heard: heard, busiest: make(map[ident.Service]float64)}
	type total struct {
		sum, most float64
		servers   int
	}
	totals := make(map[ident.Service]total)
	for _, m := range d.roster.Members() {
		e := m.Entry()
		if n, ok := d.balancer.News(e.Server); ok && n.Heard {
			out.others = append(out.others, now.Sub(n.At))
		} else if ok {
			out.own = append(out.own, now.Sub(n.At))
		}
		if mean, ok := means[e.Server]; ok {
			t := totals[e.Service]
			totals[e.Service] = total{sum: t.sum + mean, most: max(t.most, mean), servers: t.servers + 1}
		}
	}
	for service, t := range totals {
		if t.sum > 0 {
			out.busiest[service] = t.most * float64(t.servers) / t.sum
		}
	}
	return out
}

// load returns what the VM believes of the load of a server, or nil if it has no news. The caller holds mu.
func (d *dispatch) load(now time.Time, s ident.Server) *belief.Load {
	n, ok := d.balancer.News(s)
	stalledAt := d.balancer.Stalled(s)
	if !ok && stalledAt.IsZero() {
		return nil
	}
	l := &belief.Load{Requests: n.Load.Running + n.Load.Waiting, Pace: math.Round(100*n.Load.Pace) / 100, AgeMs: now.Sub(n.At).Milliseconds()}
	if n.Heard {
		l.Source = belief.SourceOtherVM
	}
	if stalledAt.After(n.At) {
		*l = belief.Load{Source: belief.SourceOtherVM, Stalled: true, AgeMs: now.Sub(stalledAt).Milliseconds()}
	}
	return l
}
