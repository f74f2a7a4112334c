package place

import (
	"cmp"
	"math"
	"slices"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/tier/header"
)

const (
	// maxReports bounds the servers in one heartbeat.
	maxReports = 32
	// maxNewsAge is the age after which news of a server is neither used nor passed on.
	maxNewsAge = 2 * time.Second
	// minPace and maxPace bound the pace, in percent, in a report of another VM, and maxQueue the number of requests.
	minPace, maxPace = 1, 10000
	maxQueue         = 1 << 20
	// usualPaceSpan is how far the logarithm of a pace is from that of the usual one if the pace is not worth a report.
	usualPaceSpan = 0.3
	// stallDoubt is how long other VMs' news that a server stalls is ignored after its answer has shown this VM otherwise.
	stallDoubt = 5 * time.Second
)

// Report is what a VM knows of the load of a server, for other VMs.
type Report struct {
	// Queue is the number of running and waiting requests, PacePercent the pace in percent, 0 if it is not known.
	Queue       int `json:"q,omitempty"`
	PacePercent int `json:"p,omitempty"`
	// Stalled says that an answer of the server is overdue or that the VM backs off from it; then there is no load.
	Stalled bool `json:"x,omitempty"`
	// AgeMs is the time since the server told its load, or since it was last known to stall, in milliseconds.
	AgeMs int64 `json:"m,omitempty"`
}

// News is the freshest that is known of the load of a server.
type News struct {
	Load header.Load
	// At is when the server told the load. Heard says that it told it to another VM.
	At    time.Time
	Heard bool
}

// Heard counts the load reports since the last call of FlushLoads.
type Heard struct {
	// Servers came with answers, VMs were passed on by other VMs and were fresher than what was known.
	Servers, VMs int
}

// SetEven switches the use of pace and of other VMs' news on, given the number of VMs that serve clients, or off if it is 0.
func (b *Balancer) SetEven(vms int) { b.vms = vms }

// Stalled returns when another VM last waited for a server in vain, or zero if this VM has had an answer since.
func (b *Balancer) Stalled(s ident.Server) time.Time {
	if st := b.servers[s]; st != nil {
		return st.stalledAt
	}
	return time.Time{}
}

// News returns the freshest news of a server's load, or false if there is none.
func (b *Balancer) News(s ident.Server) (News, bool) {
	st := b.servers[s]
	if st == nil {
		return News{}, false
	}
	n := st.news()
	return n, !n.At.IsZero()
}

// news returns the freshest news of a server's load, with a zero time if there is none.
func (st *serverStats) news() News {
	if st.heard.At.After(st.loadAt) {
		return st.heard
	}
	return News{Load: st.load, At: st.loadAt}
}

// observeLoad records a load that the server has told.
func (b *Balancer) observeLoad(now time.Time, st *serverStats, load *header.Load) {
	if load == nil {
		return
	}
	st.load, st.loadAt, st.pace = *load, now, b.pace(load)
	st.addSample(*load)
	b.heard.Servers++
}

// pace returns the pace that a server has told, 1 if it has not or if it is not used.
func (b *Balancer) pace(load *header.Load) float64 {
	if b.vms == 0 || load == nil || load.Pace <= 0 {
		return 1
	}
	return load.Pace
}

// Reports returns what this VM knows itself of the load of servers, the most useful first if there is too much: servers that stall, then
// those with the longest queue for their slots or a pace far from the usual.
func (b *Balancer) Reports(now time.Time) map[ident.Server]Report {
	return b.reports(now, 0, false)
}

// AllReports is like Reports, with what this VM has heard from others, for a message that is sent until a delay has passed.
func (b *Balancer) AllReports(now time.Time, delay time.Duration) map[ident.Server]Report {
	return b.reports(now, delay, true)
}

func (b *Balancer) reports(now time.Time, delay time.Duration, all bool) map[ident.Server]Report {
	type ranked struct {
		server ident.Server
		Report
		use float64
	}
	var found []ranked
	for name, st := range b.servers {
		n, stalledAt := News{Load: st.load, At: st.loadAt}, time.Time{}
		if all {
			n, stalledAt = st.news(), st.stalledAt
		}
		if now.Before(st.backoffUntil) || st.overdue(now) {
			stalledAt = now
		}
		r := ranked{server: name}
		if stalledAt.After(n.At) {
			n = News{At: stalledAt}
			r.Stalled, r.use = true, math.Inf(1)
		}
		if n.At.IsZero() || now.Sub(n.At) > maxNewsAge || !r.Stalled && isUsual(n.Load) {
			continue
		}
		r.AgeMs = (now.Sub(n.At) + delay).Milliseconds()
		r.Queue, r.PacePercent = n.Load.Running+n.Load.Waiting, int(math.Round(100*n.Load.Pace))
		r.use += float64(r.Queue) / float64(max(1, n.Load.Slots))
		if n.Load.Pace > 0 {
			r.use += math.Abs(math.Log(n.Load.Pace))
		}
		found = append(found, r)
	}
	slices.SortFunc(found, func(a, b ranked) int { return cmp.Or(cmp.Compare(b.use, a.use), cmp.Compare(a.server, b.server)) })
	var out map[ident.Server]Report
	for _, r := range found[:min(maxReports, len(found))] {
		if out == nil {
			out = make(map[ident.Server]Report, len(found))
		}
		out[r.server] = r.Report
	}
	return out
}

// isUsual reports whether a load is what other VMs assume of a server that they know nothing of: one request at most, and work that takes about as
// long as usual.
func isUsual(l header.Load) bool {
	return l.Running+l.Waiting <= 1 && (l.Pace <= 0 || math.Abs(math.Log(l.Pace)) < usualPaceSpan)
}

// ApplyReports applies what another VM knows of servers, where it is fresher than what is known. Reports of servers that are not known are
// ignored.
func (b *Balancer) ApplyReports(now time.Time, reports map[ident.Server]Report, known func(ident.Server) bool) {
	if b.vms == 0 {
		return
	}
	for name, r := range reports {
		if r.Queue < 0 || r.Queue > maxQueue || r.AgeMs < 0 || r.AgeMs > maxNewsAge.Milliseconds() || !known(name) {
			continue
		}
		at, st := now.Add(-time.Duration(r.AgeMs)*time.Millisecond), b.stats(now, name)
		if !at.After(st.news().At) || !at.After(st.stalledAt) || !at.After(st.answeredAt) {
			continue
		}
		if r.Stalled {
			// The first news counts, until this VM has tried the server itself: one VM with a broken link would else withhold it from all for good.
			if now.Sub(st.stalledAt) > maxNewsAge && !now.Before(st.doubtsUntil) {
				st.stalledAt = at
				b.heard.VMs++
			}
			continue
		}
		b.heard.VMs++
		st.stalledAt = time.Time{}
		st.heard = News{Load: header.Load{Running: r.Queue}, Heard: true, At: at}
		if r.PacePercent >= minPace && r.PacePercent <= maxPace {
			st.heard.Load.Pace = float64(r.PacePercent) / 100
		}
		st.addSample(st.heard.Load)
	}
}

// addSample adds a load to the mean since the last call of FlushLoads.
func (st *serverStats) addSample(l header.Load) {
	st.toldSum += float64(l.Running + l.Waiting)
	st.toldCount++
}

// FlushLoads returns how many reports were heard since the last call, and the mean load that was told of each server in that time.
func (b *Balancer) FlushLoads() (Heard, map[ident.Server]float64) {
	heard := b.heard
	b.heard = Heard{}
	means := make(map[ident.Server]float64)
	for name, st := range b.servers {
		if st.toldCount > 0 {
			means[name] = st.toldSum / float64(st.toldCount)
		}
		st.toldSum, st.toldCount = 0, 0
	}
	return heard, means
}
