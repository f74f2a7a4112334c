package edge

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/base/sets"
	"kumquatreel.example/kumquatreel/internal/conf/setup"
	"kumquatreel.example/kumquatreel/internal/limit/cargo"
	"kumquatreel.example/kumquatreel/internal/limit/pacer"
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
	// serverConnFraction is the fraction of a server's connection limit that is divided among the VMs.
	serverConnFraction = 0.5
	// defaultMaxConnections is the connection limit of a server for which none is published.
	defaultMaxConnections = 16
	// maxWaiters is how many requests may wait for a connection to a server.
	maxWaiters = 1
	// tokenWaitFactor is how much longer than the time until its token a part waits at most, since it looks for the token after a backoff.
	tokenWaitFactor = 2.0
	// initialLatencyFraction is the initial estimate of a part's latency, as a fraction of the route's target latency.
	initialLatencyFraction = 0.15
	// initialLatency is the initial estimate of a part's latency for a route without a target latency.
	initialLatency = 20 * time.Millisecond
)

// dispatch holds the state that decides where requests are sent. mu guards all fields after it.
type dispatch struct {
	domain ident.Domain
	self   ident.VM
	// urgentFirst says that requests leave room in the queues of servers for more urgent ones.
	urgentFirst bool
	// awaiting counts the requests that wait for the first configuration.
	awaiting atomic.Int64

	mu            sync.Mutex
	rng           *rand.Rand
	roster        *roster.Roster
	balancer      place.Balancer
	retries       *retry.Budget
	warmupLimiter warmup.Limiter
	pacer         pacer.Limiter
	latencies     map[ident.Route]*timing.Estimator
	table         *table.Table
	// configured is closed once there is a table.
	configured chan struct{}
	// vms are the VMs that share the fleet-wide limits, those included whose part is reserved. part is this VM's part, scale how much of the
	// limits vms may use.
	vms         []ident.VM
	part, scale float64
	// limitedSends counts the requests to servers that name a limit since the last summary.
	limitedSends pacer.Counts
	// cargo counts the bytes of requests at each server, serverHold is how many a server may hold for the whole fleet, 0 for any number.
	cargo      cargo.Meter
	serverHold int64
	// flights holds the attempts in flight by server.
	flights map[ident.Server][]*flight
	// verifying holds the servers that are being asked for their health.
	verifying sets.Set[ident.Server]
	// serving is the number of VMs that serve clients, including this one.
	serving int
	// even says that pace and the news of other VMs are used.
	even bool
	// sentParts counts the parts that were sent, crossDomain those that were sent to servers in other failure domains.
	sentParts, crossDomain int
}

func newDispatch(now time.Time, s setup.Settings, rng *rand.Rand) *dispatch {
	started := now
	if s.FirstStart() {
		started = time.Time{}
	}
	d := &dispatch{
		domain: s.Domain(), self: s.Name(), urgentFirst: s.UrgentFirst(), rng: rng, roster: roster.New(s.DrainPeriod()), latencies: make(map[ident.Route]*timing.Estimator),
		configured: make(chan struct{}), serverHold: s.ServerHold(), warmupLimiter: warmup.New(started),
		retries: retry.New(retry.Limits{Ratio: s.RetryRatio(), Slack: s.RetrySlack(), Window: s.RetryWindow()}, started),
	}
	if s.UrgentFirst() {
		d.balancer.CountAllKinds()
	}
	return d
}

// current returns the current configuration, or nil if there is none yet.
func (d *dispatch) current() *table.Table {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table
}

// version returns the version of the current configuration, 0 if there is none.
func (d *dispatch) version() int64 {
	if t := d.current(); t != nil {
		return t.Version()
	}
	return 0
}

// setTable puts a configuration into force.
func (d *dispatch) setTable(t *table.Table) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.table == nil {
		close(d.configured)
	}
	d.table = t
}

// awaitTable returns the current configuration. If there is none yet, it waits for the first one, until the timeout or until ctx ends,
// and returns nil if none has come.
func (d *dispatch) awaitTable(ctx context.Context, timeout time.Duration) *table.Table {
	if t := d.current(); t != nil {
		return t
	}
	d.awaiting.Add(1)
	defer d.awaiting.Add(-1)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	select {
	case <-d.configured:
	case <-ctx.Done():
	}
	return d.current()
}

// partLatency returns the typical latency of a route's parts and the latency beyond which a part is late.
func (d *dispatch) partLatency(r *table.Route) (typical, late time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.latency(r)
	return p.Median(), p.HighQuantile()
}

// elapsed estimates how much of its time budget a client had consumed before its request arrived, given the remaining time.
func (d *dispatch) elapsed(r *table.Route, left time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.latency(r).Elapsed(left)
}

// latency returns the latency estimate of a route, creating it if there is none.
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

// chooser selects servers for the parts of one request. Only one goroutine at a time may use it.
type chooser struct {
	*dispatch
	// typical is the typical latency of a part.
	typical time.Duration
	// failureCost is the time that a failed attempt costs: the time in which the answer is due.
	failureCost time.Duration
	// maxWait is the longest wait in a server's queue with which the answer can still be in time and more urgent ones have room. tokenWait is
	// the same for a part that waits at the VM, where it takes no room.
	maxWait, tokenWait time.Duration
	// bytes is the size of the request at a server. chosen holds the servers that count it though no attempt has started yet.
	bytes  int64
	chosen []ident.Server
	// promises holds the servers that keep a token for a part that waits, by service.
	promises map[ident.Service]ident.Server
	// skipped counts the servers that were skipped for the request, by reason.
	skipped place.Skipped
	// observe, if not nil, is told what became of each server that was considered. The chooser then changes no state.
	observe func(place.Considered)
	// onRetryDenied is called for each retry or hedge that the retry budget does not allow.
	onRetryDenied func(service ident.Service, firsts, retries int, fraction float64)
}

// Choose implements gather.Chooser. The request counts at the server that it returns until unload or dropChosen is called, or AllowRetry
// denies the attempt.
func (c *chooser) Choose(now time.Time, service ident.Service, exclude []ident.Server, cause gather.Cause) (ident.Server, gather.Capacity) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := place.Attempt{
		Typical: c.typical, FailureCost: c.failureCost, MaxWait: c.maxWait, Hedge: cause == gather.CauseLate,
		RetryRemaining: c.retries.Remaining(now, service, c.part), Observe: c.observe,
	}
	skippedBefore := c.skipped.AtCapacity()
	usable, fallback := c.roster.Candidates(now, service)
	promised := c.redeem(service)
	for _, members := range [][]*roster.Member{usable, fallback} {
		if server, ok := c.balancer.Choose(now, c.candidates(now, members, exclude, promised), a, &c.skipped, c.rng); ok {
			if c.observe == nil {
				c.cargo.Take(server, c.bytes)
				c.chosen = append(c.chosen, server)
			}
			return server, gather.CapacityNow
		}
	}
	if c.skipped.AtCapacity() > skippedBefore {
		return "", gather.CapacityLater
	}
	// A hedge does not wait, since the attempt beside it goes on.
	if cause != gather.CauseLate && c.awaitToken(now, service, slices.Concat(usable, fallback), exclude, promised) {
		return "", gather.CapacityLater
	}
	return "", gather.CapacityNone
}

// redeem ends the promise of a token for a waiting part, and returns the server that made it, if any.
func (c *chooser) redeem(service ident.Service) ident.Server {
	server, ok := c.promises[service]
	if ok {
		c.pacer.Redeem(server)
		delete(c.promises, service)
	}
	return server
}

// awaitToken reports whether a part can wait for the limit of a server to allow it, and if so keeps the token for it. A part that would wait
// longer is better refused at once: it would only compete with those that follow.
func (c *chooser) awaitToken(now time.Time, service ident.Service, members []*roster.Member, exclude []ident.Server, promised ident.Server) bool {
	var best ident.Server
	wait := max(c.maxWait, c.tokenWait)
	for _, m := range members {
		server := m.Entry().Server
		if slices.Contains(exclude, server) || c.roster.Resting(now, server) {
			continue
		}
		if d := c.pacer.Delay(now, server, server == promised); d > 0 && tokenWaitFactor*d.Seconds() < wait.Seconds() {
			best, wait = server, time.Duration(tokenWaitFactor*float64(d))
		}
	}
	if best == "" || c.observe != nil {
		return best != ""
	}
	if c.promises == nil {
		c.promises = make(map[ident.Service]ident.Server)
	}
	c.promises[service] = best
	c.pacer.Promise(now.Add(wait), best)
	return true
}

// AllowRetry implements gather.Chooser.
func (c *chooser) AllowRetry(now time.Time, service ident.Service, cause gather.Cause) bool {
	c.mu.Lock()
	fraction := c.part
	ok := c.retries.Take(now, service, fraction, cause == gather.CauseLate)
	if last := len(c.chosen) - 1; !ok && last >= 0 {
		c.cargo.Release(c.chosen[last], c.bytes)
		c.chosen = c.chosen[:last]
	}
	firsts, retries := c.retries.Counts(now, service)
	c.mu.Unlock()
	if !ok && c.onRetryDenied != nil {
		c.onRetryDenied(service, firsts, retries, fraction)
	}
	return ok
}

// candidates describes servers to package place.
func (c *chooser) candidates(now time.Time, members []*roster.Member, exclude []ident.Server, promised ident.Server) []place.Candidate {
	out := make([]place.Candidate, len(members))
	for i, m := range members {
		e := m.Entry()
		cold := c.mayBeCold(now, m)
		out[i] = place.Candidate{
			Server: e.Server, Slots: e.Slots, CrossDomain: e.Domain != c.domain, Cold: cold,
			ColdLimited: cold && !c.maySendCold(now, e),
			Limited:     c.pacer.Delay(now, e.Server, e.Server == promised) > 0,
			Resting:     c.roster.Resting(now, e.Server),
			Scarce:      c.pacer.Scarce(now, e.Server),
			Loaded:      !c.cargo.MayTake(e.Server, c.bytes, cargo.Share(c.serverHold, c.serving)),
			MaxInFlight: c.maxConnections(e.Service) + maxWaiters, Excluded: slices.Contains(exclude, e.Server),
		}
		if out[i].Resting && !out[i].Excluded && c.observe == nil {
			c.roster.CountWithheld(e.Server)
		}
	}
	return out
}

// maxConnections returns how many connections this VM may open to a server of a service: an equal share of serverConnFraction
// of the server's limit for each serving VM, but at least 1.
func (d *dispatch) maxConnections(s ident.Service) int {
	limit := defaultMaxConnections
	if d.table != nil && d.table.Service(s).MaxConnections > 0 {
		limit = d.table.Service(s).MaxConnections
	}
	return max(1, int(serverConnFraction*float64(limit)/float64(max(1, d.serving))))
}

// maxWait returns the longest time that a request of a priority may wait in a server's queue if its answer is due after the given time, and
// urgentTarget is the shortest target latency of more urgent requests to the same servers, 0 if these need no room.
func (d *dispatch) maxWait(rank int, due, urgentTarget time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return place.MaxWait(d.table == nil || rank <= d.table.HighestPriority(), due, urgentTarget)
}

// coldRate returns the published rate, in requests per second, of a cold server of a service, 0 if there is none.
func (d *dispatch) coldRate(s ident.Service) float64 {
	if d.table == nil {
		return 0
	}
	return d.table.Service(s).ColdRate
}

// maySendCold reports whether this VM may send a request to a cold server now.
func (d *dispatch) maySendCold(now time.Time, e roster.Entry) bool {
	rate := d.coldRate(e.Service)
	return rate <= 0 || d.scale > 0 && d.warmupLimiter.MaySend(now, e.Server, d.scale*rate, d.self, d.vms)
}

// sending is an attempt that is being sent to a server.
type sending struct {
	handle place.Handle
	target header.Target
	// start is the start of the server that the attempt was chosen for.
	start roster.Start
	// connections is the number of connections that may be open to the server.
	connections int
}

// begin records that a part is sent to a server. It returns false if the server has been removed.
func (d *dispatch) begin(now time.Time, s gather.Send, typical time.Duration) (sending, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := d.roster.Member(s.Server)
	if m == nil {
		return sending{}, false
	}
	if d.mayBeCold(now, m) {
		d.warmupLimiter.RecordSend(now, s.Server, d.scale*d.coldRate(s.Service), d.self, d.vms)
	}
	use := usage(s)
	if d.pacer.RecordSend(now, s.Server, use) {
		d.limitedSends.Add(use)
	}
	d.sentParts++
	if m.Entry().Domain != d.domain {
		d.crossDomain++
	}
	if s.Attempt == 0 {
		d.retries.CountFirst(now, s.Service)
	}
	return sending{
		handle: d.balancer.Sent(now, s.Server, typical), target: header.Target{Server: s.Server, Address: m.Entry().Address},
		start: m.Entry().Start(), connections: d.maxConnections(s.Service),
	}, true
}

// usage returns what an attempt is sent for.
func usage(s gather.Send) pacer.Use {
	switch {
	case s.Cause == gather.CauseLate:
		return pacer.UseHedge
	case s.Attempt == 0:
		return pacer.UseFirst
	}
	return pacer.UseRetry
}

// flushLimited returns how many servers name a limit and the requests sent to them since the last call.
func (d *dispatch) flushLimited() (int, pacer.Counts) {
	d.mu.Lock()
	defer d.mu.Unlock()
	sent := d.limitedSends
	d.limitedSends = pacer.Counts{}
	return d.pacer.Limited(), sent
}

// serverChange holds the changes in the state of a server that the result of an attempt causes.
type serverChange struct {
	// backoff is how long the server gets no requests, 0 if there is no backoff.
	backoff time.Duration
	// recovered says that the server has answered after a backoff.
	recovered bool
	// coldFor is how long the server reports that it stays cold.
	coldFor time.Duration
	// limit is the change of the limit that the server names, nil if there is none. badLimit is a limit that cannot be read.
	limit    pacer.Change
	badLimit string
	// leaving says that the server says for the first time that it leaves.
	leaving bool
	// restUntil is until when the server newly wants nothing, or zero. badRetryAfter is a time that cannot be read.
	restUntil     time.Time
	badRetryAfter []string
	// misplaced says that another server answered at its address.
	misplaced bool
	// verify says that the server may have started again and is to be asked for its health.
	verify bool
}

// end records the result of an attempt, which took the given time, and returns the changes in the state of its server.
func (d *dispatch) end(
	now time.Time, r *table.Route, s sending, res link.Result, names header.Names, took time.Duration,
) serverChange {
	d.mu.Lock()
	defer d.mu.Unlock()
	var change serverChange
	var load *header.Load
	h, server := s.handle, s.target.Server
	if res.Answer != nil && res.Verdict != gather.VerdictMisplaced {
		start := d.roster.Speaker(server, s.start, res.Opened)
		change.limit, change.badLimit = d.observeLimit(now, now.Add(-took), server, start, res.Answer.Header.Get(names.Limit))
		d.observeStatement(now, server, start, res.Answer, names, &change)
		d.roster.RecordAnswer(now, server, s.start, res.Opened)
		change.verify = d.beginVerify(now, server)
	}
	if res.ServerLost() {
		d.roster.RecordLoss(now, server, s.start)
	}
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
		change.recovered = d.balancer.Answered(now, h, load)
	case gather.VerdictRefused:
		d.balancer.Refused(now, h, load)
	case gather.VerdictMisplaced:
		d.balancer.Discarded(h)
		d.roster.Evict(server, s.start)
		change.misplaced = true
	case gather.VerdictUnsent:
		if res.Unresponsive {
			change.backoff = d.balancer.Unreachable(now, h)
		} else {
			d.balancer.Failed(now, h)
		}
	case gather.VerdictLost:
		if res.Unresponsive {
			d.latency(r).ObserveTimeout(took)
			change.backoff = d.balancer.TimedOut(now, h)
		} else {
			d.balancer.Failed(now, h)
		}
	case gather.VerdictFailed, gather.VerdictInvalid:
		d.balancer.Failed(now, h)
	}
	return change
}

// prune drops the state of removed servers, services and routes. It returns the routes of the current configuration, or nil
// if there is none.
func (d *dispatch) prune(now time.Time) sets.Set[ident.Route] {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.retries.Prune(now)
	d.warmupLimiter.Prune(now)
	d.pacer.Prune(now, func(s ident.Server) bool { return d.roster.Member(s) != nil })
	d.roster.PruneStatements(now)
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

// cancelled records that an attempt was cancelled; it does not change the state of its server.
func (d *dispatch) cancelled(h place.Handle) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.balancer.Discarded(h)
}
