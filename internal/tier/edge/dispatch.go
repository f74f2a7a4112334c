package edge

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/base/sets"
	"kumquatreel.example/kumquatreel/internal/conf/setup"
	"kumquatreel.example/kumquatreel/internal/limit/retry"
	"kumquatreel.example/kumquatreel/internal/limit/warmup"
	"kumquatreel.example/kumquatreel/internal/tier/gather"
	"kumquatreel.example/kumquatreel/internal/tier/header"
	"kumquatreel.example/kumquatreel/internal/tier/link"
	"kumquatreel.example/kumquatreel/internal/tier/place"
	"kumquatreel.example/kumquatreel/internal/tier/roster"
	"kumquatreel.example/kumquatreel/internal/tier/table"
	"kumquatreel.example/kumquatreel/internal/tier/timing"
)

const (
	// connectionShare of a server's connections is divided among the VMs.
	serverConnFraction = 0.5
	// connectionsUnknown is taken for a server whose bound was not published.
	defaultMaxConnections = 16
	// waitersMost is how many requests may wait for a connection to a server.
	maxWaiters = 1
	// patienceShare of the time in which an answer is due may be spent waiting at a server, patienceLess by less urgent
	// requests.
	maxWaitFraction            = 0.7
	lowPriorityMaxWaitFraction = 0.55
	// startShare of a route's aim is taken for the usual latency of a part while nothing is known.
	initialLatencyFraction = 0.15
	// startUsual is the same for a route without an aim.
	initialLatency = 20 * time.Millisecond
)

// dispatch holds what decides where requests are sent.
type dispatch struct {
	domain ident.Domain
	self   ident.VM

	mu        sync.Mutex
	rng       *rand.Rand
	roster    *roster.Roster
	places    place.Balancer
	retries   *retry.Budget
	gate      warmup.Limiter
	latencies map[ident.Route]*timing.Estimator
	table     *table.Table
	// vms are the VMs that the fleet's bounds are divided among: those that callers are sent to first.
	vms []ident.VM
	// serving is how many VMs serve callers, this one included.
	serving int
	// sent counts the parts that were sent, away those to servers in other failure domains.
	sentParts, crossDomain int
}

func newDispatch(s setup.Settings, rng *rand.Rand) *dispatch {
	return &dispatch{
		domain: s.Domain(), self: s.Name(), rng: rng, roster: roster.New(s.Drain()), latencies: make(map[ident.Route]*timing.Estimator), vms: []ident.VM{s.Name()},
		retries: retry.New(retry.Limits{Ratio: s.RepeatRatio(), Slack: s.RepeatSlack(), Window: s.RepeatWindow()}),
	}
}

// current returns the table in force, or nil.
func (d *dispatch) current() *table.Table {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table
}

// usual returns the usual latency of a route's parts and the one beyond which a part is late.
func (d *dispatch) partLatency(r *table.Route) (typical, late time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.latency(r)
	return p.Median(), p.HighQuantile()
}

// spent returns how much of its time a caller has spent before its request got here, given what is left.
func (d *dispatch) elapsed(r *table.Route, left time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.latency(r).Elapsed(left)
}

func (d *dispatch) latency(r *table.Route) *timing.Estimator {
	p := d.latencies[r.Name()]
	if p == nil {
		p = &timing.Estimator{}
		initial := initialLatency
		if r.TargetLatency() > 0 {
			initial = time.Duration(initialLatencyFraction * float64(r.TargetLatency()))
		}
		p.Init(initial)
		d.latencies[r.Name()] = p
	}
	return p
}

// random returns a number in [0,1).
func (d *dispatch) random() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rng.Float64()
}

// chooser serves one request; it is driven by one goroutine at a time.
type chooser struct {
	*dispatch
	typical time.Duration
	// patience is the longest wait at a server with which the answer can still be in time.
	maxWait time.Duration
	// passed counts the servers that were passed over for the request, and why.
	skipped skipped
	// denied is called for each repeat that the bounds do not allow.
	onRetryDenied func(service ident.Service, first, repeats int, part float64)
}

// passed counts servers that got no request.
type skipped struct {
	// cold ones have had their rate, full ones have no connection to spare, slow ones have too long a queue, and down ones are
	// at rest since they were silent or could not be reached.
	cold, full, slow, down int
}

// busy returns how many lacked room.
func (p skipped) atCapacity() int { return p.cold + p.full + p.slow }

// Choose implements gather.Chooser.
func (c *chooser) Choose(now time.Time, service ident.Service, exclude []ident.Server) (ident.Server, gather.Capacity) {
	c.mu.Lock()
	defer c.mu.Unlock()
	skippedBefore := c.skipped.atCapacity()
	usable, spare := c.roster.Candidates(now, service)
	for _, members := range [][]*roster.Member{usable, spare} {
		eligible := c.eligible(now, members, exclude)
		if o, ok := c.places.Pick(now, eligible, c.typical, c.rng); ok {
			return o.Server, gather.CapacityNow
		}
		c.skipped.down += len(eligible)
	}
	if c.skipped.atCapacity() > skippedBefore {
		return "", gather.CapacityLater
	}
	return "", gather.CapacityNone
}

// AllowRetry implements gather.Chooser.
func (c *chooser) AllowRetry(now time.Time, service ident.Service) bool {
	c.mu.Lock()
	fraction := c.limitFraction()
	ok := c.retries.Take(now, service, fraction)
	firsts, retries := c.retries.Counts(now, service)
	c.mu.Unlock()
	if !ok && c.onRetryDenied != nil {
		c.onRetryDenied(service, firsts, retries, fraction)
	}
	return ok
}

// part returns the VM's part of what is divided among VMs, which is 0 for one that callers are not sent to first.
func (d *dispatch) limitFraction() float64 {
	if !slices.Contains(d.vms, d.self) {
		return 0
	}
	return 1 / float64(len(d.vms))
}

// options returns the servers that have room for a request: a cold one within its rate, each one with a connection to
// spare and a queue that is not longer than the request can bear.
func (c *chooser) eligible(now time.Time, members []*roster.Member, exclude []ident.Server) []place.Candidate {
	out := make([]place.Candidate, 0, len(members))
	for _, m := range members {
		e := m.Entry()
		o := place.Candidate{Server: e.Server, Slots: e.Slots, CrossDomain: e.Domain != c.domain, Cold: m.Cold(now)}
		switch {
		case slices.Contains(exclude, e.Server):
		case o.Cold && !c.gate.MaySend(now, e.Server, c.coldRate(e.Service), c.self, c.vms):
			c.skipped.cold++
		case c.places.InFlight(e.Server) >= c.maxConnections(e.Service)+maxWaiters:
			c.skipped.full++
		case c.places.QueueDelay(now, o, c.typical) > c.maxWait:
			c.skipped.slow++
		default:
			out = append(out, o)
		}
	}
	return out
}

// connections returns how many connections the VM may have to a server of a service: its part among the VMs that serve callers.
func (d *dispatch) maxConnections(s ident.Service) int {
	limit := defaultMaxConnections
	if d.table != nil && d.table.Service(s).MaxConnections > 0 {
		limit = d.table.Service(s).MaxConnections
	}
	return max(1, int(serverConnFraction*float64(limit)/float64(max(1, d.serving))))
}

// patience returns the longest wait that a request can bear: more for the most urgent ones, which are served first so.
func (d *dispatch) maxWait(rank int, left time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	fraction := maxWaitFraction
	if d.table != nil && rank > d.table.HighestPriority() {
		fraction = lowPriorityMaxWaitFraction
	}
	return time.Duration(fraction * float64(left))
}

func (d *dispatch) coldRate(s ident.Service) float64 {
	if d.table == nil {
		return 0
	}
	return d.table.Service(s).ColdRate
}

// begin records that a request is sent to a server and returns where that is, and false when the server has gone.
func (d *dispatch) begin(now time.Time, s gather.Send, typical time.Duration) (place.Handle, header.Target, int, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := d.roster.Member(s.Server)
	if m == nil {
		return place.Handle{}, header.Target{}, 0, false
	}
	if m.Cold(now) {
		d.gate.RecordSend(now, s.Server, d.coldRate(s.Service), d.self, d.vms)
	}
	d.sentParts++
	if m.Entry().Domain != d.domain {
		d.crossDomain++
	}
	if s.Attempt == 0 {
		d.retries.CountFirst(now, s.Service)
	}
	return d.places.Sent(now, s.Server, typical), header.Target{Server: s.Server, Address: m.Entry().Address}, d.maxConnections(s.Service), true
}

// belief is what the end of a request changes in what is believed of its server.
type serverChange struct {
	// rest is how long the server gets nothing, 0 when it may.
	backoff time.Duration
	// back says that a server which was at rest has answered.
	recovered bool
	// cold is how long the server says it stays cold.
	coldFor time.Duration
	// wrong says that another server has answered in its place.
	misplaced bool
}

// end records how a request to a server ended and returns what that changes.
func (d *dispatch) end(now time.Time, r *table.Route, t place.Handle, server ident.Server, res link.Result, names header.Names, took time.Duration) serverChange {
	d.mu.Lock()
	defer d.mu.Unlock()
	var change serverChange
	var load *header.Load
	if res.Answer != nil {
		if left, ok := header.ParseMillis(res.Answer.Header.Get(names.ColdMs)); ok && d.roster.MarkCold(now, server, left) {
			change.coldFor = left
		}
		if l, ok := header.ParseLoad(res.Answer.Header.Get(names.Load)); ok {
			load = &l
		}
	}
	switch res.Verdict {
	case gather.VerdictAnswered:
		d.latency(r).Observe(took)
		change.recovered = d.places.Answered(now, t, load)
	case gather.VerdictRefused:
		d.places.Refused(now, t, load)
	case gather.VerdictMisplaced:
		d.places.Discarded(t)
		d.roster.Evict(server)
		change.misplaced = true
	case gather.VerdictUnsent:
		if res.Unresponsive {
			change.backoff = d.places.Unreachable(now, t)
		} else {
			d.places.Failed(now, t)
		}
	case gather.VerdictLost:
		if res.Unresponsive {
			d.latency(r).ObserveTimeout(took)
			change.backoff = d.places.TimedOut(now, t)
		} else {
			d.places.Failed(now, t)
		}
	case gather.VerdictFailed:
		d.places.Failed(now, t)
	}
	return change
}

// prune forgets what concerns servers, services and routes that are gone, and returns the routes in force.
func (d *dispatch) prune(now time.Time) sets.Set[ident.Route] {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.retries.Prune(now)
	d.gate.Prune(now)
	if d.table == nil {
		return nil
	}
	routes := make(sets.Set[ident.Route])
	for _, r := range d.table.Routes() {
		routes.Add(r.Name)
	}
	maps.DeleteFunc(d.latencies, func(name ident.Route, _ *timing.Estimator) bool { return !routes.Has(name) })
	return routes
}

// dropped records that a request was taken back.
func (d *dispatch) cancelled(t place.Handle) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.places.Discarded(t)
}
