package model

import (
	"fmt"
	"math/rand/v2"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/clock"
	"kumquatreel.example/kumquatreel/internal/base/fault"
	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/conf/schema"
	"kumquatreel.example/kumquatreel/internal/lab/sched"
	"kumquatreel.example/kumquatreel/internal/limit/slots"
	"kumquatreel.example/kumquatreel/internal/query/fanout"
	"kumquatreel.example/kumquatreel/internal/query/hedge"
	"kumquatreel.example/kumquatreel/internal/query/merge"
	"kumquatreel.example/kumquatreel/internal/query/picker"
	"kumquatreel.example/kumquatreel/internal/query/plan"
)

// Params describe a simulated system.
type Params struct {
	Shards            int
	Replicas          int
	Slots             int
	ColdSlots         int
	WarmAfter         int
	Domains           int
	MedianServiceTime time.Duration
	// ServiceTimeSigma is the standard deviation of the logarithm of the service time, which is log-normal.
	ServiceTimeSigma float64
	// StragglerFraction is the fraction of parts that take StragglerFactor times as long.
	StragglerFraction float64
	StragglerFactor   float64
	// ColdFactor is the factor by which a cold server is slower than a warm one.
	ColdFactor float64
	// CrashDuration is how long a server is down after parts beyond its cold slots made it crash.
	CrashDuration time.Duration
	// NetworkDelay is the one-way delay between a VM and another VM or a server.
	NetworkDelay time.Duration
	// ExtraLoad is the allowed number of second attempts (retries and hedges) per first attempt. A part without an
	// answer at the HedgeQuantile of the latencies is hedged; 0 turns hedging off.
	ExtraLoad     float64
	HedgeQuantile float64
	Deadline      time.Duration
	MinCoverage   float64
	EarlyAfter    time.Duration
	EarlyCoverage float64
	MaxQueue      int
	// SingleQueue turns fair queueing off: the attempts of all teams wait in one queue.
	SingleQueue bool
	// RandomReplicas orders the replicas of a shard at random instead of by their estimated latency and load.
	RandomReplicas bool
	// IgnoreColdSlots makes owners send as many parts to a cold server as to a warm one.
	IgnoreColdSlots bool
	Seed            uint64
}

// Simulation is a simulated system in virtual time. It is not safe for concurrent use.
type Simulation struct {
	sched.Queue
	Params  Params
	Catalog *schema.Catalog
	Servers []*Server

	rng     *rand.Rand
	budget  hedge.Budget
	latency *hedge.LatencyHistogram
	picker  picker.Picker
	byName  map[ident.Server]*Server
}

// Server is a simulated backend server together with the scheduler of its owner.
type Server struct {
	Name   ident.Server
	Domain int
	Out    bool
	Runs   int
	// Overruns counts the parts that the owner sent beyond the cold slots although it could know that the server was cold.
	Overruns int
	// LastStart is the time at which the server last started a part.
	LastStart time.Duration

	sim       *Simulation
	scheduler *slots.Scheduler
	jobs      map[slots.ID]*job
	running   int
	// completed counts the parts run since the last cold start.
	completed   int
	incarnation int
	// knownAt is the time from which the owner can know of the last cold start, and -1 while it cannot.
	knownAt   time.Duration
	coldSince time.Duration
	downUntil time.Duration
}

// job is one attempt to run a part at a server.
type job struct {
	id       slots.ID
	deadline time.Duration
	reply    func(ok bool, outcome fault.Outcome, code fault.Code)
	aborted  bool
	finished bool
}

// New returns a simulated system whose servers are warm.
func New(p Params) *Simulation {
	sim := &Simulation{Params: p, rng: rand.New(rand.NewPCG(p.Seed, 1)), latency: hedge.NewLatencyHistogram(), byName: make(map[ident.Server]*Server)}
	sim.Catalog = sim.catalog()
	for i, s := range sim.Catalog.Servers() {
		sim.Servers = append(sim.Servers, &Server{
			Name: s.Name(), Domain: domainOf(i/p.Replicas, i%p.Replicas, p.Domains), sim: sim, scheduler: slots.New(),
			jobs: make(map[slots.ID]*job), completed: p.WarmAfter, incarnation: 1,
		})
	}
	for _, s := range sim.Servers {
		sim.byName[s.Name] = s
	}
	return sim
}

func domainOf(shard, replica, domains int) int { return (shard + replica) % domains }

// catalog returns a configuration with one service that holds all shards, and one route to it.
func (sim *Simulation) catalog() *schema.Catalog {
	p := sim.Params
	doc := schema.Text{
		Preset:  "p",
		Presets: map[string]schema.PresetText{"p": {DeadlinePercent: 100, RatePercent: 100, QueuePerServer: p.MaxQueue}},
		Domains: make(map[ident.Domain]schema.DomainState),
		Routes:  []schema.RouteText{{Name: "q", Services: []string{"s"}, Idempotent: true, Open: true, Class: "q", DeadlineMillis: int(p.Deadline / time.Millisecond)}},
	}
	service := schema.ServiceText{Name: "s", IndexVersion: 1, Slots: p.Slots, ColdSlots: p.ColdSlots, Connections: 4 * p.Slots, WarmAfter: p.WarmAfter}
	for i := range p.Shards {
		shard := schema.ShardText{Weight: 1000}
		for r := range p.Replicas {
			domain := ident.Domain(fmt.Sprintf("d%d", domainOf(i, r, p.Domains)))
			doc.Domains[domain] = schema.DomainIn
			name := ident.Server(fmt.Sprintf("s%d-%d", i, r))
			doc.Servers = append(doc.Servers, schema.ServerText{Name: name, Address: "127.0.0.1:1", Domain: domain})
			shard.Servers = append(shard.Servers, name)
		}
		service.Shards = append(service.Shards, shard)
	}
	doc.Services = []schema.ServiceText{service}
	c, err := schema.Parse(1, []byte(encodeJSON(doc)))
	if err != nil {
		panic(err)
	}
	return c
}

// Outcome is the result of a request; Coverage is the fraction of shards that its answer reports.
type Outcome struct {
	Latency  time.Duration
	Coverage float64
	// TrueCoverage is the fraction of shards whose answer arrived.
	TrueCoverage   float64
	Failed         bool
	SecondAttempts int
	FirstAttempts  int
}

// request is a request in progress, with the state machine that fans it out.
type request struct {
	sim       *Simulation
	team      ident.Team
	weight    float64
	machine   *fanout.Machine
	start     time.Duration
	answered  map[int]bool
	cancelled map[int]bool
	outcome   Outcome
	done      func(Outcome)
	finished  bool
}

// Request starts a request of a team and calls done with its outcome.
func (sim *Simulation) Request(team ident.Team, weight float64, done func(Outcome)) {
	p := sim.Params
	route := sim.Catalog.Route("q")
	queryPlan := plan.New(sim.Catalog, route, nil, "")
	sim.budget.CountFirst(len(queryPlan.Parts()), p.ExtraLoad)
	limits := fanout.Limits{
		Deadline: p.Deadline, EarlyAfter: p.EarlyAfter, EarlyCoverage: p.EarlyCoverage,
		MinCoverage: p.MinCoverage, HedgeDelay: sim.hedgeDelay(), HedgeFraction: p.ExtraLoad,
	}
	r := &request{sim: sim, team: team, weight: weight, start: sim.Now(), answered: make(map[int]bool), cancelled: make(map[int]bool), done: done}
	r.machine = fanout.New(queryPlan, limits, &sim.budget, sim.targets())
	r.step(fanout.Start{})
}

// hedgeDelay returns the function that gives the hedge delay, or nil if hedging is off. While no latency is recorded,
// the delay is a third of the deadline.
func (sim *Simulation) hedgeDelay() func(ident.Service) time.Duration {
	if sim.Params.HedgeQuantile == 0 {
		return nil
	}
	return func(ident.Service) time.Duration {
		d, ok := sim.latency.Quantile(sim.Params.HedgeQuantile)
		if !ok {
			return sim.Params.Deadline / 3
		}
		return d
	}
}

// targets returns, for each shard, the servers in service in the order in which to try them.
func (sim *Simulation) targets() [][]fanout.Target {
	out := make([][]fanout.Target, sim.Params.Shards)
	now := clock.At(sim.Now())
	for i := range out {
		var names []ident.Server
		for _, s := range sim.Servers[i*sim.Params.Replicas : (i+1)*sim.Params.Replicas] {
			if !s.Out {
				names = append(names, s.Name)
			}
		}
		if sim.Params.RandomReplicas {
			sim.rng.Shuffle(len(names), func(a, b int) { names[a], names[b] = names[b], names[a] })
		} else {
			sim.picker.Order(now, names, sim.Params.Slots, sim.rng)
		}
		for _, name := range names {
			out[i] = append(out[i], fanout.Target{Server: name})
		}
	}
	return out
}

func (r *request) now() clock.Instant { return clock.At(r.sim.Now()) }

func (r *request) step(ev fanout.Event) {
	if r.finished {
		return
	}
	for _, act := range r.machine.Step(r.now(), ev) {
		switch act := act.(type) {
		case fanout.Send:
			r.send(act.Attempt)
		case fanout.Abort:
			r.abort(act.Attempt)
		case fanout.Wake:
			r.sim.After(act.At.Upper()-r.sim.Now(), func() { r.step(fanout.Tick{}) })
		case fanout.Finish:
			r.finish(act)
		}
	}
}

func (r *request) server(a fanout.Attempt) *Server {
	return r.sim.byName[a.Target.Server]
}

func (r *request) id(a fanout.Attempt) slots.ID {
	return slots.ID(fmt.Sprintf("%p.%d", r, a.ID))
}

func (r *request) send(a fanout.Attempt) {
	if a.Second {
		r.outcome.SecondAttempts++
	} else {
		r.outcome.FirstAttempts++
	}
	sim := r.sim
	sent := sim.Now()
	j := &job{id: r.id(a), deadline: r.start + sim.Params.Deadline}
	sim.picker.Sent(r.now(), a.Target.Server)
	j.reply = func(ok bool, outcome fault.Outcome, code fault.Code) {
		sim.After(sim.Params.NetworkDelay, func() {
			r.recordResult(a, ok, sim.Now()-sent)
			if !ok {
				r.step(fanout.Failed{Attempt: a.ID, Outcome: outcome, Code: code})
				return
			}
			sim.latency.Record(sim.Now() - sent)
			r.answered[a.Part] = true
			r.step(fanout.Answered{Attempt: a.ID, Version: 1, Items: []merge.Item{{ID: "x"}}})
		})
	}
	s := r.server(a)
	sim.After(sim.Params.NetworkDelay, func() { s.offer(j, r.team, r.weight) })
}

// recordResult passes the result of an attempt to the picker, unless the attempt was cancelled.
func (r *request) recordResult(a fanout.Attempt, ok bool, latency time.Duration) {
	p := &r.sim.picker
	switch {
	case r.cancelled[a.ID]:
	case ok:
		p.Answered(r.now(), a.Target.Server, latency)
	default:
		p.Failed(r.now(), a.Target.Server)
	}
}

func (r *request) abort(a fanout.Attempt) {
	s := r.server(a)
	id := r.id(a)
	r.cancelled[a.ID] = true
	r.sim.picker.Cancelled(r.now(), a.Target.Server)
	r.sim.After(r.sim.Params.NetworkDelay, func() { s.step(slots.Cancel{ID: id}) })
}

func (r *request) finish(act fanout.Finish) {
	r.finished = true
	r.outcome.Latency = r.sim.Now() - r.start
	r.outcome.Coverage = r.machine.Merger().Coverage().Fraction()
	r.outcome.TrueCoverage = float64(len(r.answered)) / float64(r.sim.Params.Shards)
	r.outcome.Failed = act.Fault != nil
	r.done(r.outcome)
}
