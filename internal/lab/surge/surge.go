package surge

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/lab/sched"
	"kumquatreel.example/kumquatreel/internal/limit/pacer"
	"kumquatreel.example/kumquatreel/internal/limit/retry"
	"kumquatreel.example/kumquatreel/internal/tier/admit"
	"kumquatreel.example/kumquatreel/internal/tier/gather"
	"kumquatreel.example/kumquatreel/internal/tier/header"
	"kumquatreel.example/kumquatreel/internal/tier/place"
	"kumquatreel.example/kumquatreel/internal/tier/roster"
	"kumquatreel.example/kumquatreel/internal/tier/timing"
)

const (
	// workSigma is the standard deviation of the logarithm of a part's work, and stragglerFraction of the parts take stragglerFactor as
	// long.
	workSigma         = 0.35
	stragglerFraction = 0.01
	stragglerFactor   = 5
	// lateValue is the value of a late answer relative to one in time with the same coverage.
	lateValue = 0.1
	// gossipInterval is the time between the reports of VMs to each other.
	gossipInterval = 200 * time.Millisecond
	// maxAttempts is the number of servers that a part may run on.
	maxAttempts = 2
	// drainTime is how long a server continues to serve after it has said that it leaves.
	drainTime = 3 * time.Second
)

// Kind is a kind of query over all shards.
type Kind struct {
	Name string
	// Rate is the number of requests per second over all clients.
	Rate float64
	// Work is the mean time that a part takes at a server.
	Work time.Duration
	// Target is the time in which an answer has its full value, Budget that after which the client gives up.
	Target, Budget time.Duration
	MinCoverage    float64
	// Priority is the rank of the kind; 0 is the highest.
	Priority int
}

// Params describe a simulated system.
type Params struct {
	VMs, Shards, Replicas, Slots, Queue int
	Kinds                               []Kind
	// NetDelay is the one-way delay between VMs and servers, ClientDelay that between clients and VMs.
	NetDelay, ClientDelay time.Duration
	// Each server pauses for Pause every PauseEvery.
	Pause, PauseEvery time.Duration
	Retries           retry.Limits
	// Load is the factor by which the rates of all kinds are multiplied.
	Load float64
	Seed uint64
	// UrgentFirst makes requests leave room in the queues of servers for kinds of higher priority.
	UrgentFirst bool
	// Policy is how VMs choose servers.
	Policy Policy
}

// maxWait returns the longest time that a request of a kind may wait in a server's queue if its answer is due after the given time.
func (p Params) maxWait(kind Kind, due time.Duration) time.Duration {
	if !p.UrgentFirst {
		return place.MaxWait(false, due, 0)
	}
	highest, urgentTarget := true, time.Duration(0)
	for _, k := range p.Kinds {
		if k.Priority >= kind.Priority {
			continue
		}
		highest = false
		if urgentTarget == 0 || k.Target < urgentTarget {
			urgentTarget = k.Target
		}
	}
	return place.MaxWait(highest, due, urgentTarget)
}

// Outcome counts what became of the requests of one kind.
type Outcome struct {
	Asked, InTime, Late, Refused, Failed int
	// Value is the sum over all requests of the square of the coverage, reduced for late answers.
	Value float64
}

// Unserved returns the fraction of requests without an answer.
func (o Outcome) Unserved() float64 { return float64(o.Refused+o.Failed) / float64(max(1, o.Asked)) }

// MeanValue returns the mean value of a request, from 0 to 1.
func (o Outcome) MeanValue() float64 { return o.Value / float64(max(1, o.Asked)) }

// Result is the result of a run.
type Result struct {
	// Kinds holds an outcome for each of Params.Kinds.
	Kinds []Outcome
	// Sent counts the parts sent to servers, Hedges those sent beside a late one, Rejected those that servers refused, and Used those in
	// answers.
	Sent, Hedges, Rejected, Used int
	// Waits holds the time that each part waited at its server.
	Waits []time.Duration
	// Spread is the sum, over Samples of a second and a shard, of the busiest server's mean load over that of all.
	Spread  float64
	Samples int
}

// Add adds the counts of another result, of the same kinds.
func (r *Result) Add(o Result) {
	for i := range r.Kinds {
		k, other := &r.Kinds[i], o.Kinds[i]
		k.Asked, k.InTime, k.Late = k.Asked+other.Asked, k.InTime+other.InTime, k.Late+other.Late
		k.Refused, k.Failed, k.Value = k.Refused+other.Refused, k.Failed+other.Failed, k.Value+other.Value
	}
	r.Sent, r.Hedges, r.Rejected, r.Used = r.Sent+o.Sent, r.Hedges+o.Hedges, r.Rejected+o.Rejected, r.Used+o.Used
	r.Waits, r.Spread, r.Samples = append(r.Waits, o.Waits...), r.Spread+o.Spread, r.Samples+o.Samples
}

// Simulation is a simulated system. It is not safe for concurrent use.
type Simulation struct {
	sched.Queue
	params Params
	rng    *rand.Rand
	// shards names the services, one for each shard, and replicas holds the servers of each.
	shards   []ident.Service
	replicas map[ident.Service][]*Server
	servers  map[ident.Server]*Server
	vms      []*vm
	result   Result
}

// vm is a VM with the product's decisions.
type vm struct {
	sim      *Simulation
	balancer place.Balancer
	retries  *retry.Budget
	pacer    pacer.Limiter
	roster   *roster.Roster
	latency  []timing.Estimator
	// turn is the number of choices made in turn.
	turn int
}

// New returns a system in which nothing has been sent.
func New(p Params) *Simulation {
	sim := &Simulation{
		params: p, rng: rand.New(rand.NewPCG(p.Seed, 1)), replicas: make(map[ident.Service][]*Server),
		servers: make(map[ident.Server]*Server), result: Result{Kinds: make([]Outcome, len(p.Kinds))},
	}
	for i := range p.Shards {
		shard := ident.Service(fmt.Sprintf("s%d", i))
		sim.shards = append(sim.shards, shard)
		for r := range p.Replicas {
			s := &Server{name: ident.Server(fmt.Sprintf("%s-%d", shard, r)), sim: sim, rng: rand.New(rand.NewPCG(p.Seed, uint64(2+i*p.Replicas+r)))}
			s.phase = time.Duration(sim.rng.Float64() * float64(p.PauseEvery))
			sim.replicas[shard] = append(sim.replicas[shard], s)
			sim.servers[s.name] = s
		}
	}
	var fleet []pacer.VM
	for i := range p.VMs {
		fleet = append(fleet, pacer.VM{Name: ident.VM(fmt.Sprintf("vm%d", i)), Busy: true})
	}
	for i := range p.VMs {
		v := &vm{sim: sim, retries: retry.New(p.Retries, time.Time{}), roster: roster.New(drainTime), latency: make([]timing.Estimator, len(p.Kinds))}
		for k, kind := range p.Kinds {
			v.latency[k].Init(kind.Work)
		}
		if p.UrgentFirst {
			v.balancer.CountAllKinds()
		}
		if p.Policy == PolicyEven {
			v.balancer.SetEven(p.VMs)
		}
		v.pacer.SetFleet(sim.instant(), fleet[i].Name, fleet, nil, 1)
		for shard, servers := range sim.replicas {
			for _, srv := range servers {
				v.roster.Update(sim.instant(), roster.Entry{Server: srv.name, Service: shard, Slots: p.Slots, Started: 1})
			}
		}
		sim.vms = append(sim.vms, v)
	}
	return sim
}

// Server returns a replica of a shard.
func (sim *Simulation) Server(shard, replica int) *Server {
	return sim.replicas[sim.shards[shard]][replica]
}

// RunLoad sends the load for the given time, waits until all requests have ended, and returns the result.
func (sim *Simulation) RunLoad(d time.Duration) Result {
	longest := time.Duration(0)
	for k := range sim.params.Kinds {
		sim.arrivals(k, sim.Now()+d)
		longest = max(longest, sim.params.Kinds[k].Budget)
	}
	sim.gossip(sim.Now() + d)
	sim.sampleSpread(sim.Now() + d)
	sim.Run(sim.Now()+d+2*longest, nil)
	return sim.result
}

// arrivals sends the requests of a kind as a Poisson process until the given time.
func (sim *Simulation) arrivals(k int, until time.Duration) {
	wait := time.Duration(sim.rng.ExpFloat64() / (sim.params.Load * sim.params.Kinds[k].Rate) * float64(time.Second))
	if sim.Now()+wait > until {
		return
	}
	sim.After(wait, func() {
		sim.result.Kinds[k].Asked++
		sim.request(&client{kind: k, first: sim.Now(), retries: 1})
		sim.arrivals(k, until)
	})
}

// gossip tells the VMs what the others have heard of the limits and loads of servers, until the given time.
func (sim *Simulation) gossip(until time.Duration) {
	if sim.Now()+gossipInterval > until {
		return
	}
	sim.After(gossipInterval, func() {
		for _, from := range sim.vms {
			reports, loads := from.pacer.Reports(sim.instant()), from.balancer.Reports(sim.instant())
			for _, to := range sim.vms {
				if to != from {
					to.pacer.ApplyReports(sim.instant(), reports)
					to.balancer.ApplyReports(sim.instant(), loads, func(ident.Server) bool { return true })
				}
			}
		}
		sim.gossip(until)
	})
}

func (sim *Simulation) instant() time.Time { return time.Unix(0, 0).Add(sim.Now()) }

// client is a client with one request, which it may send again.
type client struct {
	kind    int
	first   time.Duration
	retries int
}

// request sends a client's request to a random VM.
func (sim *Simulation) request(c *client) {
	v := sim.vms[sim.rng.IntN(len(sim.vms))]
	sim.After(sim.params.ClientDelay, func() { v.serve(c) })
}

// ended records the end of a client's attempt. A client without an answer returns after a delay if it has a retry and time left.
func (sim *Simulation) ended(c *client, coverage float64, notRun bool, retryAfter time.Duration) {
	sim.After(sim.params.ClientDelay, func() {
		kind, out := sim.params.Kinds[c.kind], &sim.result.Kinds[c.kind]
		took := sim.Now() - c.first
		switch {
		case coverage > 0 && took <= kind.Target:
			out.InTime++
			out.Value += coverage * coverage
		case coverage > 0:
			out.Late++
			out.Value += lateValue * coverage * coverage
		case c.retries > 0 && took+retryAfter < kind.Budget:
			c.retries--
			sim.After(retryAfter, func() { sim.request(c) })
		case notRun:
			out.Refused++
		default:
			out.Failed++
		}
	})
}

// run is a request at a VM.
type run struct {
	vm      *vm
	client  *client
	state   *gather.State
	due     time.Duration
	typical time.Duration
	ticks   int
	over    bool
	skipped place.Skipped
}

func (v *vm) serve(c *client) {
	sim := v.sim
	kind := sim.params.Kinds[c.kind]
	used := sim.Now() - c.first
	due := kind.Target - 2*sim.params.ClientDelay
	if used <= kind.Target/2 {
		due = kind.Target - used - sim.params.ClientDelay
	}
	estimate := &v.latency[c.kind]
	r := &run{vm: v, client: c, due: due, typical: estimate.Median()}
	spec := gather.Spec{
		Shards: sim.shards, MaxAttempts: maxAttempts, Idempotent: true, MinCoverage: kind.MinCoverage, SoftDeadline: sim.instant().Add(due),
		HardDeadline: sim.instant().Add(kind.Budget - used - sim.params.ClientDelay), TypicalLatency: r.typical, LateAfter: estimate.HighQuantile(),
	}
	r.state = gather.New(spec)
	r.send(r.state.Start(sim.instant(), r))
}

// Choose implements gather.Chooser.
func (r *run) Choose(now time.Time, s ident.Service, exclude []ident.Server, cause gather.Cause) (ident.Server, gather.Capacity) {
	sim := r.vm.sim
	if sim.params.Policy > PolicyEven {
		return r.vm.chooseSimply(s, exclude)
	}
	before := r.skipped.AtCapacity()
	attempt := place.Attempt{
		Typical: r.typical, FailureCost: r.due, MaxWait: sim.params.maxWait(sim.params.Kinds[r.client.kind], r.due), Hedge: cause == gather.CauseLate,
		RetryRemaining: r.vm.retries.Remaining(now, s, r.vm.share()),
	}
	usable, fallback := r.vm.roster.Candidates(now, s)
	for _, members := range [][]*roster.Member{usable, fallback} {
		if len(members) == 0 {
			continue
		}
		if server, ok := r.vm.balancer.Choose(now, r.candidates(now, members, exclude), attempt, &r.skipped, sim.rng); ok {
			return server, gather.CapacityNow
		}
	}
	if r.skipped.AtCapacity() > before {
		return "", gather.CapacityLater
	}
	return "", gather.CapacityNone
}

func (r *run) candidates(now time.Time, members []*roster.Member, exclude []ident.Server) []place.Candidate {
	out := make([]place.Candidate, len(members))
	for i, m := range members {
		server := m.Entry().Server
		out[i] = place.Candidate{
			Server: server, Slots: m.Entry().Slots, Excluded: slices.Contains(exclude, server),
			Limited: r.vm.pacer.Delay(now, server, false) > 0, Scarce: r.vm.pacer.Scarce(now, server),
			Resting: r.vm.roster.Resting(now, server),
		}
	}
	return out
}

// AllowRetry implements gather.Chooser.
func (r *run) AllowRetry(now time.Time, s ident.Service, cause gather.Cause) bool {
	return r.vm.retries.Take(now, s, r.vm.share(), cause == gather.CauseLate)
}

func (v *vm) share() float64 { return 1 / float64(len(v.sim.vms)) }

// send makes attempts and then ends the request or schedules its next tick.
func (r *run) send(sends []gather.Send) {
	for _, s := range sends {
		r.attempt(s)
	}
	r.proceed()
}

func (r *run) attempt(s gather.Send) {
	v, sim := r.vm, r.vm.sim
	sim.result.Sent++
	if s.Cause == gather.CauseLate {
		sim.result.Hedges++
	}
	v.pacer.RecordSend(sim.instant(), s.Server, pacer.UseFirst)
	if s.Attempt == 0 {
		v.retries.CountFirst(sim.instant(), s.Service)
	}
	handle := v.balancer.Sent(sim.instant(), s.Server, r.typical)
	kind := sim.params.Kinds[r.client.kind]
	began := sim.Now()
	c := &call{from: v, work: kind.Work, deadline: r.client.first + kind.Budget}
	c.reply = func(verdict gather.Verdict, load *header.Load) {
		sim.After(sim.params.NetDelay, func() { r.replied(s, handle, verdict, load, sim.Now()-began) })
	}
	server := sim.servers[s.Server]
	sim.After(sim.params.NetDelay, func() { server.arrive(c) })
}

func (r *run) replied(s gather.Send, h place.Handle, verdict gather.Verdict, load *header.Load, took time.Duration) {
	v, now := r.vm, r.vm.sim.instant()
	if verdict != gather.VerdictLost {
		v.observe(now, took, v.sim.servers[s.Server], verdict)
	}
	switch verdict {
	case gather.VerdictAnswered:
		v.latency[r.client.kind].Observe(took)
		v.balancer.Answered(now, h, load)
	case gather.VerdictRefused:
		v.balancer.Refused(now, h, load)
	default:
		v.latency[r.client.kind].ObserveTimeout(took)
		v.balancer.TimedOut(now, h)
	}
	r.send(r.state.AttemptEnded(now, gather.AttemptResult{Shard: s.Shard, Attempt: s.Attempt, Verdict: verdict}, r))
}

// observe applies what an answer of a server says of it.
func (v *vm) observe(now time.Time, took time.Duration, s *Server, verdict gather.Verdict) {
	v.pacer.Observe(now, now.Add(-took), s.name, pacer.Statement{Rate: s.Limit, Limited: s.Limit > 0})
	start := v.roster.Member(s.name).Entry().Start()
	if s.Leaving {
		v.roster.HearLeaving(now, s.name, start)
	}
	if verdict == gather.VerdictRefused && s.Rest > 0 {
		v.roster.HearRest(now, s.name, start, s.Rest)
	}
}

func (r *run) proceed() {
	sim := r.vm.sim
	if r.over {
		return
	}
	next, more := r.state.NextTick(sim.instant())
	if more {
		r.ticks++
		tick := r.ticks
		sim.After(next.Sub(sim.instant()), func() {
			if tick == r.ticks && !r.over {
				r.send(r.state.Tick(sim.instant(), r))
			}
		})
		return
	}
	r.over = true
	if r.state.CoverageMet() {
		sim.result.Used += r.state.NumAnswered()
		sim.ended(r.client, float64(r.state.NumAnswered())/float64(sim.params.Shards), false, 0)
		return
	}
	notRun := !r.state.MayHaveRun()
	var retryAfter time.Duration
	if notRun {
		retryAfter = r.retryAfter()
	}
	sim.ended(r.client, 0, notRun, retryAfter)
}

// retryAfter returns when a client should return whose request did not run.
func (r *run) retryAfter() time.Duration {
	sim := r.vm.sim
	left := r.client.first + sim.params.Kinds[r.client.kind].Budget - sim.Now()
	var ends []time.Time
	missing := r.state.Missing()
	for _, s := range missing {
		if w := r.vm.roster.Withholding(sim.instant(), s); !w.Until.IsZero() {
			ends = append(ends, w.Until)
		}
	}
	if until := admit.Reopens(ends, len(missing), r.state.NumShort()); !until.IsZero() {
		return admit.RetryAfterRest(until.Sub(sim.instant()), left, sim.rng.Float64())
	}
	return admit.RetryAfter(left, sim.rng.Float64())
}

// MixedKinds returns a system on which a patient and an urgent kind share the servers of 20 shards, at 40% of what these can do when
// Load is 1.
func MixedKinds(seed uint64) Params {
	return Params{
		VMs: 6, Shards: 20, Replicas: 2, Slots: 2, Queue: 12,
		Kinds: []Kind{
			{Name: "patient", Rate: 68, Work: 20 * time.Millisecond, Target: 150 * time.Millisecond, Budget: 800 * time.Millisecond, MinCoverage: 0.89},
			{Name: "urgent", Rate: 23, Work: 7 * time.Millisecond, Target: 60 * time.Millisecond, Budget: 400 * time.Millisecond, MinCoverage: 0.75},
		},
		NetDelay: time.Millisecond, ClientDelay: 3 * time.Millisecond, Pause: 200 * time.Millisecond, PauseEvery: 4500 * time.Millisecond,
		Retries: retry.Limits{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}, Load: 1, Seed: seed,
	}
}
