package owner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"kumquatreel.example/kumquatreel/internal/base/clock"
	"kumquatreel.example/kumquatreel/internal/base/fault"
	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/conf/config"
	"kumquatreel.example/kumquatreel/internal/conf/schema"
	"kumquatreel.example/kumquatreel/internal/fleet/agent"
	"kumquatreel.example/kumquatreel/internal/limit/slots"
	"kumquatreel.example/kumquatreel/internal/node/mesh"
	"kumquatreel.example/kumquatreel/internal/node/metric"
	"kumquatreel.example/kumquatreel/internal/wire/inner"
	"kumquatreel.example/kumquatreel/internal/wire/netio"
)

const (
	lockShards    = 16
	checkInterval = 20 * time.Millisecond
	// dedupRetention is how long the ID of an attempt that is not idempotent is kept, to reject duplicates.
	dedupRetention = 5 * time.Minute
)

// Owner schedules the work of the backend servers that a VM owns.
type Owner struct {
	settings config.Settings
	clock    clock.Source
	mesh     *mesh.Mesh
	network  netio.Network
	log      *log.Logger
	metrics  *metric.Set
	shards   [lockShards]shard
	wg       sync.WaitGroup
	ctx      context.Context
	draining atomic.Bool
}

// shard holds the state of some backend servers under one lock.
type shard struct {
	mu      sync.Mutex
	servers map[ident.Server]*server
	dedup   dedupCache
}

type server struct {
	name      ident.Server
	scheduler *slots.Scheduler
	pool      *connPool
	jobs      map[slots.ID]*job
	// maybeConnected is set while the pool may have open connections.
	maybeConnected bool
}

// job is one attempt from its arrival to its reply; startedAt is zero while it waits.
type job struct {
	part      inner.Part
	batch     *inner.Parts
	arrived   clock.Instant
	deadline  clock.Instant
	startedAt clock.Instant
	reply     func(inner.PartReply)
}

// New starts an owner and returns a function that cancels its work, waits for it to end, and closes the connections.
func New(settings config.Settings, src clock.Source, m *mesh.Mesh, network netio.Network, logger *log.Logger, metrics *metric.Set) (*Owner, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	o := &Owner{
		settings: settings, clock: src, mesh: m, network: network,
		log: logger.WithPrefix("owner"), metrics: metrics, ctx: ctx,
	}
	for i := range o.shards {
		o.shards[i].servers = make(map[ident.Server]*server)
	}
	o.wg.Go(func() { o.checkLoop(ctx) })
	return o, func() {
		cancel()
		o.wg.Wait()
		o.closePools()
	}
}

// Submit enqueues a batch of parts and calls reply exactly once for each of them, from any goroutine. The deadline of the
// batch is limited to mesh.MaxPartDuration.
func (o *Owner) Submit(batch *inner.Parts, reply func(inner.PartReply)) {
	now := o.clock.Now()
	deadline := now.Add(min(time.Duration(batch.DeadlineMicros)*time.Microsecond, mesh.MaxPartDuration))
	for _, p := range batch.Parts {
		j := &job{part: p, batch: batch, arrived: now, deadline: deadline, reply: reply}
		o.enqueue(j)
	}
}

// Cancel cancels attempts; their replies say whether they ran.
func (o *Owner) Cancel(ids []slots.ID) {
	for _, id := range ids {
		for i := range o.shards {
			o.cancelInShard(&o.shards[i], id)
		}
	}
}

// Drain makes the owner refuse new parts; waiting ones and those in progress are completed.
func (o *Owner) Drain() { o.draining.Store(true) }

// Outstanding returns the number of attempts that are waiting or in progress.
func (o *Owner) Outstanding() int {
	n := 0
	for i := range o.shards {
		sh := &o.shards[i]
		sh.mu.Lock()
		for _, s := range sh.servers {
			n += len(s.jobs)
		}
		sh.mu.Unlock()
	}
	return n
}

// ServerStatus is the state of one backend server at its owner. Slots is the number of parts that the VM may have in
// progress at the server.
type ServerStatus struct {
	Server        ident.Server `json:"server"`
	Warmth        slots.Warmth `json:"warmth"`
	InFlight      int          `json:"inFlight"`
	Waiting       int          `json:"waiting"`
	Slots         int          `json:"units"`
	LatencyMicros int64        `json:"latencyMicros"`
}

// Status returns the state of the backend servers that this VM has sent parts to or has parts waiting for.
func (o *Owner) Status() []ServerStatus {
	catalog := o.mesh.Catalog()
	if catalog == nil {
		return nil
	}
	var out []ServerStatus
	for _, published := range catalog.Servers() {
		sh := o.shardOf(published.Name())
		sh.mu.Lock()
		if s := sh.servers[published.Name()]; s != nil {
			env := o.env(catalog, published)
			out = append(out, ServerStatus{
				Server: s.name, Warmth: s.scheduler.Warmth(), InFlight: s.scheduler.InFlight(),
				Waiting: s.scheduler.Waiting(), Slots: env.Slots, LatencyMicros: s.scheduler.Latency().Microseconds(),
			})
		}
		sh.mu.Unlock()
	}
	return out
}

func (o *Owner) shardOf(name ident.Server) *shard {
	return &o.shards[ident.Score("lock", string(name))%lockShards]
}

func (o *Owner) enqueue(j *job) {
	if o.draining.Load() {
		o.refuse(j, fault.CodeLeaving)
		return
	}
	catalog := o.mesh.Catalog()
	if catalog == nil || !o.mesh.Fresh() {
		o.refuse(j, fault.CodeStale)
		return
	}
	published := catalog.Server(j.part.Server)
	if published == nil || published.Service() == nil {
		o.refuse(j, fault.CodeNotOwner)
		return
	}
	sh := o.shardOf(j.part.Server)
	sh.mu.Lock()
	s := o.serverFor(sh, published)
	if s.jobs[j.part.ID] != nil || !j.batch.Idempotent && !sh.dedup.add(j.arrived, j.part.ID) {
		sh.mu.Unlock()
		o.log.Warn("duplicate part rejected", "part", j.part.ID)
		o.finish(j, inner.PartReply{ID: j.part.ID, Outcome: fault.OutcomeUnknown, Code: fault.CodeOutcomeUnknown})
		return
	}
	s.jobs[j.part.ID] = j
	o.restoreWarmth(s, published)
	ev := slots.Offer{Attempt: slots.Attempt{
		ID: j.part.ID, Team: j.batch.Team, KeyID: j.batch.KeyID,
		Weight: weightOf(catalog, j.batch.Team), Deadline: j.deadline,
	}}
	actions := s.scheduler.Step(o.clock.Now(), o.env(catalog, published), ev)
	o.executeAll(s, published, actions)
	sh.mu.Unlock()
}

func weightOf(c *schema.Catalog, team ident.Team) float64 {
	if t := c.Team(team); t != nil {
		return t.Weight()
	}
	return 1
}

func (o *Owner) serverFor(sh *shard, published *schema.Server) *server {
	s := sh.servers[published.Name()]
	if s == nil {
		s = &server{name: published.Name(), scheduler: slots.New(), jobs: make(map[slots.ID]*job)}
		sh.servers[published.Name()] = s
	}
	if s.pool == nil || s.pool.address != published.Address() {
		if s.pool != nil {
			s.pool.close()
		}
		s.pool = newConnPool(o.network, published, func() { o.wg.Go(func() { o.connectionClosed(sh, s) }) })
	}
	return s
}

// connectionClosed reports to the scheduler that the server has closed a connection.
func (o *Owner) connectionClosed(sh *shard, s *server) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	before := s.scheduler.Warmth()
	o.stepServer(s, slots.ConnectionClosed{})
	o.reportWarmth(s, before)
}

// restoreWarmth passes the last reported warm incarnation of a server to a scheduler that has no state yet.
func (o *Owner) restoreWarmth(s *server, published *schema.Server) {
	if s.scheduler.Warmth() != slots.WarmthCold || s.scheduler.Incarnation() != "" {
		return
	}
	o.mesh.WithAgent(func(now clock.Instant, a *agent.Agent) {
		s.scheduler.ExpectWarm(now, a.WarmIncarnation(now, published.Name()))
	})
}

// env returns the conditions under which the scheduler decides now.
func (o *Owner) env(catalog *schema.Catalog, published *schema.Server) slots.Env {
	env := slots.Env{
		ServerSlots: published.Service().Slots(),
		MaxQueue:    catalog.Preset().QueuePerServer(),
		WarmAfter:   published.Service().WarmAfter(),
		Usable:      catalog.Usable(published),
		Returning:   catalog.Returning(published),
		KeyValid: func(team ident.Team, keyID string) bool {
			t := catalog.Team(team)
			return keyID == "" || t == nil || t.HasKey(keyID)
		},
	}
	o.mesh.WithAgent(func(now clock.Instant, a *agent.Agent) {
		env.Slots, env.ColdSlots = a.UsableSlots(now, published)
		env.MayProbe = a.MayProbe(now, published)
		env.Usable = env.Usable && a.Fresh(now)
	})
	return env
}

// executeAll executes the scheduler's actions and those that follow from them. The shard's lock must be held.
func (o *Owner) executeAll(s *server, published *schema.Server, actions []slots.Action) {
	for len(actions) > 0 {
		var next []slots.Action
		for _, act := range actions {
			next = append(next, o.execute(s, published, act)...)
		}
		actions = next
	}
}

func (o *Owner) execute(s *server, published *schema.Server, act slots.Action) []slots.Action {
	switch act := act.(type) {
	case slots.Refuse:
		if j := s.jobs[act.ID]; j != nil {
			delete(s.jobs, act.ID)
			o.refuse(j, act.Code)
		}
	case slots.Abort:
		pool := s.pool
		o.wg.Go(func() { pool.cancel(o.ctx, act.ID) })
	case slots.Send:
		return o.start(s, published, s.jobs[act.ID])
	}
	return nil
}

// start starts an attempt, or refuses it when the VM no longer has a free slot for it.
func (o *Owner) start(s *server, published *schema.Server, j *job) []slots.Action {
	granted := false
	o.mesh.WithAgent(func(now clock.Instant, a *agent.Agent) {
		granted = a.Reserve(now, published)
		j.startedAt = now
	})
	if !granted {
		delete(s.jobs, j.part.ID)
		o.refuse(j, fault.CodeUnavailable)
		catalog := o.mesh.Catalog()
		return s.scheduler.Step(o.clock.Now(), o.env(catalog, published),
			slots.Done{ID: j.part.ID, Result: slots.Result{Outcome: fault.OutcomeNotSent}})
	}
	pool := s.pool
	s.maybeConnected = true
	o.wg.Go(func() { o.run(s, published, j, pool) })
	return nil
}

// run runs one attempt and reports its result to the scheduler.
func (o *Owner) run(s *server, published *schema.Server, j *job, pool *connPool) {
	result, reply := o.attempt(published, j, pool)
	endedAt := o.clock.Now()
	result.Latency = endedAt.MaxSince(j.startedAt)
	reply.QueueMicros = j.startedAt.MaxSince(j.arrived).Microseconds()
	reply.RunMicros = result.Latency.Microseconds()

	sh := o.shardOf(s.name)
	sh.mu.Lock()
	delete(s.jobs, j.part.ID)
	catalog := o.mesh.Catalog()
	current := catalog.Server(s.name)
	if current == nil || current.Service() == nil {
		current = published
	}
	before := s.scheduler.Warmth()
	o.mesh.WithAgent(func(_ clock.Instant, a *agent.Agent) { a.Free(s.name) })
	actions := s.scheduler.Step(endedAt, o.env(catalog, current), slots.Done{ID: j.part.ID, Result: result})
	o.reportWarmth(s, before)
	o.executeAll(s, current, actions)
	sh.mu.Unlock()

	o.finish(j, reply)
}

// attempt sends the part after a second check that it may still run, because time or the configuration may have changed
// since it was scheduled.
func (o *Owner) attempt(published *schema.Server, j *job, pool *connPool) (slots.Result, inner.PartReply) {
	now := o.clock.Now()
	reply := inner.PartReply{ID: j.part.ID}
	if now.Passed(j.deadline) {
		return failed(reply, fault.OutcomeNotSent, fault.CodeDeadline, slots.Result{})
	}
	catalog := o.mesh.Catalog()
	current := catalog.Server(published.Name())
	switch {
	case !o.mesh.Fresh():
		return failed(reply, fault.OutcomeNotSent, fault.CodeStale, slots.Result{})
	case !catalog.Usable(current):
		return failed(reply, fault.OutcomeNotSent, fault.CodeUnavailable, slots.Result{})
	case j.batch.KeyID != "" && catalog.Revision() >= j.batch.Revision && !hasKey(catalog, j):
		return failed(reply, fault.OutcomeNotSent, fault.CodeUnauthorized, slots.Result{})
	}
	return pool.run(o.ctx, j, j.deadline.MaxSince(now), o.settings.MaxAnswerBytes())
}

func hasKey(c *schema.Catalog, j *job) bool {
	t := c.Team(j.batch.Team)
	return t != nil && t.HasKey(j.batch.KeyID)
}

func (o *Owner) reportWarmth(s *server, before slots.Warmth) {
	after := s.scheduler.Warmth()
	incarnation := ""
	if after == slots.WarmthWarm {
		incarnation = s.scheduler.Incarnation()
	}
	o.mesh.WithAgent(func(now clock.Instant, a *agent.Agent) { a.SetWarm(now, s.name, incarnation) })
	if before != after {
		o.log.Info("server warmth changed", "server", s.name, "before", before, "now", after)
	}
}

func (o *Owner) refuse(j *job, code fault.Code) {
	queued := o.clock.Now().MaxSince(j.arrived)
	o.finish(j, inner.PartReply{
		ID: j.part.ID, Outcome: fault.OutcomeRefused, Code: code, QueueMicros: queued.Microseconds(),
	})
}

func (o *Owner) finish(j *job, reply inner.PartReply) {
	code := "ok"
	if !reply.OK {
		code = reply.Code.String()
	}
	o.metrics.PartFinished(j.batch.Team, reply.Outcome, code, time.Duration(reply.QueueMicros)*time.Microsecond)
	j.reply(reply)
}

func (o *Owner) cancelInShard(sh *shard, id slots.ID) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for _, s := range sh.servers {
		if s.jobs[id] == nil {
			continue
		}
		o.stepServer(s, slots.Cancel{ID: id})
	}
}

func (o *Owner) stepServer(s *server, ev slots.Event) {
	catalog := o.mesh.Catalog()
	if catalog == nil {
		return
	}
	published := catalog.Server(s.name)
	if published == nil || published.Service() == nil {
		for id, j := range s.jobs {
			if j.startedAt == (clock.Instant{}) {
				delete(s.jobs, id)
				o.refuse(j, fault.CodeUnavailable)
			}
		}
		return
	}
	o.executeAll(s, published, s.scheduler.Step(o.clock.Now(), o.env(catalog, published), ev))
}

// checkLoop regularly lets the schedulers with waiting parts decide again, because the time or a new configuration may
// change their decisions.
func (o *Owner) checkLoop(ctx context.Context) {
	t := time.NewTicker(checkInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		for i := range o.shards {
			o.checkShard(&o.shards[i])
		}
	}
}

func (o *Owner) checkShard(sh *shard) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for _, s := range sh.servers {
		if s.scheduler.Waiting() > 0 {
			o.stepServer(s, slots.Check{})
		}
		o.closeUnused(s)
	}
}

// closeUnused closes the connections to a server that this VM may no longer use, so that they do not count towards the
// server's connection limit.
func (o *Owner) closeUnused(s *server) {
	if !s.maybeConnected || len(s.jobs) > 0 {
		return
	}
	catalog := o.mesh.Catalog()
	published := catalog.Server(s.name)
	if published != nil && published.Service() != nil && catalog.Usable(published) && o.env(catalog, published).Slots > 0 {
		return
	}
	s.pool.close()
	s.maybeConnected = false
}

func (o *Owner) closePools() {
	for i := range o.shards {
		sh := &o.shards[i]
		sh.mu.Lock()
		for _, s := range sh.servers {
			s.pool.close()
		}
		sh.mu.Unlock()
	}
}

// dedupCache holds the IDs of attempts that may run only once, for longer than such an attempt can be in progress.
type dedupCache struct {
	seen  map[slots.ID]bool
	order []dedupEntry
}

type dedupEntry struct {
	id slots.ID
	at clock.Instant
}

// add adds an attempt and reports whether it was not there before. It removes the entries older than dedupRetention.
func (c *dedupCache) add(now clock.Instant, id slots.ID) bool {
	if c.seen == nil {
		c.seen = make(map[slots.ID]bool)
	}
	for len(c.order) > 0 && now.MinSince(c.order[0].at) > dedupRetention {
		delete(c.seen, c.order[0].id)
		c.order = c.order[1:]
	}
	if c.seen[id] {
		return false
	}
	c.seen[id] = true
	c.order = append(c.order, dedupEntry{id: id, at: now})
	return true
}
