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
	lockShards  = 16
	checkPeriod = 20 * time.Millisecond
	// onceSpan is how long an attempt that may run once is remembered.
	onceSpan = 5 * time.Minute
)

// Owner runs the backend servers that a VM owns.
type Owner struct {
	settings config.Settings
	clock    clock.Source
	mesh     *mesh.Mesh
	network  netio.Network
	log      *log.Logger
	metrics  *metric.Set
	shards   [lockShards]shard
	wait     sync.WaitGroup
	ctx      context.Context
	draining atomic.Bool
}

// shard holds some backend servers under one lock.
type shard struct {
	mu      sync.Mutex
	servers map[ident.Server]*server
	once    onceMemory
}

type server struct {
	name    ident.Server
	machine *slots.Scheduler
	link    *link
	jobs    map[slots.ID]*job
	// open is set while connections of the link may be open.
	open bool
}

// job is one attempt from its arrival to its reply.
type job struct {
	part    inner.Part
	batch   *inner.Parts
	arrived clock.Instant
	until   clock.Instant
	begun   clock.Instant
	reply   func(inner.PartReply)
}

// New starts an owner and returns a function that stops it after its work has ended.
func New(settings config.Settings, src clock.Source, m *mesh.Mesh, network netio.Network, logger *log.Logger, metrics *metric.Set) (*Owner, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	o := &Owner{
		settings: settings, clock: src, mesh: m, network: network,
		log: logger.WithPrefix("owner"), metrics: metrics, ctx: ctx,
	}
	for i := range o.shards {
		o.shards[i].servers = make(map[ident.Server]*server)
	}
	o.wait.Go(func() { o.checkLoop(ctx) })
	return o, func() {
		cancel()
		o.wait.Wait()
		o.closeLinks()
	}
}

// Submit takes a batch of parts and calls reply once for each of them, from any goroutine.
func (o *Owner) Submit(batch *inner.Parts, reply func(inner.PartReply)) {
	now := o.clock.Now()
	until := now.Add(min(time.Duration(batch.DeadlineMicros)*time.Microsecond, mesh.MaxPartDuration))
	for _, p := range batch.Parts {
		j := &job{part: p, batch: batch, arrived: now, until: until, reply: reply}
		o.offer(j)
	}
}

// Cancel takes back attempts; their replies tell whether they ran.
func (o *Owner) Cancel(ids []slots.ID) {
	for _, id := range ids {
		for i := range o.shards {
			o.cancelIn(&o.shards[i], id)
		}
	}
}

// Drain makes the owner refuse new parts, so that the ones in progress can end.
func (o *Owner) Drain() { o.draining.Store(true) }

// Outstanding returns the number of attempts that wait or are in progress.
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

// ServerStatus is the state of one backend server at its owner.
type ServerStatus struct {
	Server        ident.Server `json:"server"`
	Warmth        slots.Warmth `json:"warmth"`
	InFlight      int          `json:"inFlight"`
	Waiting       int          `json:"waiting"`
	Slots         int          `json:"units"`
	LatencyMicros int64        `json:"latencyMicros"`
}

// Status returns the backend servers that this VM has worked with.
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
				Server: s.name, Warmth: s.machine.Warmth(), InFlight: s.machine.InFlight(),
				Waiting: s.machine.Waiting(), Slots: env.Slots, LatencyMicros: s.machine.Latency().Microseconds(),
			})
		}
		sh.mu.Unlock()
	}
	return out
}

func (o *Owner) shardOf(name ident.Server) *shard {
	return &o.shards[ident.Score("lock", string(name))%lockShards]
}

func (o *Owner) offer(j *job) {
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
	s := o.serverIn(sh, published)
	if s.jobs[j.part.ID] != nil || !j.batch.Idempotent && !sh.once.first(j.arrived, j.part.ID) {
		sh.mu.Unlock()
		o.log.Warn("duplicate part dropped", "part", j.part.ID)
		o.finish(j, inner.PartReply{ID: j.part.ID, Outcome: fault.OutcomeUnknown, Code: fault.CodeOutcomeUnknown})
		return
	}
	s.jobs[j.part.ID] = j
	o.expect(s, published)
	ev := slots.Offer{Attempt: slots.Attempt{
		ID: j.part.ID, Team: j.batch.Team, KeyID: j.batch.KeyID,
		Weight: weightOf(catalog, j.batch.Team), Deadline: j.until,
	}}
	actions := s.machine.Step(o.clock.Now(), o.env(catalog, published), ev)
	o.carryOut(s, published, actions)
	sh.mu.Unlock()
}

func weightOf(c *schema.Catalog, team ident.Team) float64 {
	if t := c.Team(team); t != nil {
		return t.Weight()
	}
	return 1
}

func (o *Owner) serverIn(sh *shard, published *schema.Server) *server {
	s := sh.servers[published.Name()]
	if s == nil {
		s = &server{name: published.Name(), machine: slots.New(), jobs: make(map[slots.ID]*job)}
		sh.servers[published.Name()] = s
	}
	if s.link == nil || s.link.address != published.Address() {
		if s.link != nil {
			s.link.close()
		}
		s.link = newLink(o.network, published, func() { o.wait.Go(func() { o.lost(sh, s) }) })
	}
	return s
}

// lost tells the machine that the server has closed a connection.
func (o *Owner) lost(sh *shard, s *server) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	before := s.machine.Warmth()
	o.stepServer(s, slots.ConnectionClosed{})
	o.tellWarmth(s, before)
}

// expect takes over what the former owner last said of the server.
func (o *Owner) expect(s *server, published *schema.Server) {
	if s.machine.Warmth() != slots.WarmthCold || s.machine.Incarnation() != "" {
		return
	}
	o.mesh.WithAgent(func(now clock.Instant, a *agent.Agent) {
		s.machine.ExpectWarm(now, a.WarmIncarnation(now, published.Name()))
	})
}

// env gathers what the slot decisions may assume now.
func (o *Owner) env(catalog *schema.Catalog, published *schema.Server) slots.Env {
	env := slots.Env{
		MaxQueue:  catalog.Preset().QueuePerServer(),
		WarmAfter: published.Service().WarmAfter(),
		Usable:    catalog.Usable(published),
		Returning: catalog.Returning(published),
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

// carryOut does what the machine asks for; the shard's lock is held.
func (o *Owner) carryOut(s *server, published *schema.Server, actions []slots.Action) {
	for len(actions) > 0 {
		var next []slots.Action
		for _, act := range actions {
			next = append(next, o.do(s, published, act)...)
		}
		actions = next
	}
}

func (o *Owner) do(s *server, published *schema.Server, act slots.Action) []slots.Action {
	switch act := act.(type) {
	case slots.Refuse:
		if j := s.jobs[act.ID]; j != nil {
			delete(s.jobs, act.ID)
			o.refuse(j, act.Code)
		}
	case slots.Abort:
		link := s.link
		o.wait.Go(func() { link.cancel(o.ctx, act.ID) })
	case slots.Send:
		return o.begin(s, published, s.jobs[act.ID])
	}
	return nil
}

// begin starts an attempt if the VM may still use a unit for it.
func (o *Owner) begin(s *server, published *schema.Server, j *job) []slots.Action {
	granted := false
	o.mesh.WithAgent(func(now clock.Instant, a *agent.Agent) {
		granted = a.Reserve(now, published)
		j.begun = now
	})
	if !granted {
		delete(s.jobs, j.part.ID)
		o.refuse(j, fault.CodeUnavailable)
		catalog := o.mesh.Catalog()
		return s.machine.Step(o.clock.Now(), o.env(catalog, published),
			slots.Done{ID: j.part.ID, Result: slots.Result{Outcome: fault.OutcomeNotSent}})
	}
	link := s.link
	s.open = true
	o.wait.Go(func() { o.run(s, published, j, link) })
	return nil
}

// run carries out one attempt and tells the machine how it ended.
func (o *Owner) run(s *server, published *schema.Server, j *job, link *link) {
	result, reply := o.attempt(published, j, link)
	ended := o.clock.Now()
	result.Latency = ended.MaxSince(j.begun)
	reply.QueueMicros = j.begun.MaxSince(j.arrived).Microseconds()
	reply.RunMicros = result.Latency.Microseconds()

	sh := o.shardOf(s.name)
	sh.mu.Lock()
	delete(s.jobs, j.part.ID)
	catalog := o.mesh.Catalog()
	current := catalog.Server(s.name)
	if current == nil || current.Service() == nil {
		current = published
	}
	before := s.machine.Warmth()
	o.mesh.WithAgent(func(_ clock.Instant, a *agent.Agent) { a.Free(s.name) })
	actions := s.machine.Step(ended, o.env(catalog, current), slots.Done{ID: j.part.ID, Result: result})
	o.tellWarmth(s, before)
	o.carryOut(s, current, actions)
	sh.mu.Unlock()

	o.finish(j, reply)
}

// attempt checks once more, directly before the write, that the part may run.
func (o *Owner) attempt(published *schema.Server, j *job, link *link) (slots.Result, inner.PartReply) {
	now := o.clock.Now()
	reply := inner.PartReply{ID: j.part.ID}
	if now.Passed(j.until) {
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
	return link.run(o.ctx, j, j.until.MaxSince(now), o.settings.MaxAnswerBytes())
}

func hasKey(c *schema.Catalog, j *job) bool {
	t := c.Team(j.batch.Team)
	return t != nil && t.HasKey(j.batch.KeyID)
}

func (o *Owner) tellWarmth(s *server, before slots.Warmth) {
	after := s.machine.Warmth()
	incarnation := ""
	if after == slots.WarmthWarm {
		incarnation = s.machine.Incarnation()
	}
	o.mesh.WithAgent(func(now clock.Instant, a *agent.Agent) { a.SetWarm(now, s.name, incarnation) })
	if before != after {
		o.log.Info("server changed", "server", s.name, "before", before, "now", after)
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

func (o *Owner) cancelIn(sh *shard, id slots.ID) {
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
			if j.begun == (clock.Instant{}) {
				delete(s.jobs, id)
				o.refuse(j, fault.CodeUnavailable)
			}
		}
		return
	}
	o.carryOut(s, published, s.machine.Step(o.clock.Now(), o.env(catalog, published), ev))
}

// checkLoop looks at servers with waiting parts when time or the configuration may have changed something.
func (o *Owner) checkLoop(ctx context.Context) {
	t := time.NewTicker(checkPeriod)
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
		if s.machine.Waiting() > 0 {
			o.stepServer(s, slots.Check{})
		}
		o.closeUnused(s)
	}
}

// closeUnused closes the connections to a server that this VM may not use any more, so that they count for nobody.
func (o *Owner) closeUnused(s *server) {
	if !s.open || len(s.jobs) > 0 {
		return
	}
	catalog := o.mesh.Catalog()
	published := catalog.Server(s.name)
	if published != nil && published.Service() != nil && catalog.Usable(published) && o.env(catalog, published).Slots > 0 {
		return
	}
	s.link.close()
	s.open = false
}

func (o *Owner) closeLinks() {
	for i := range o.shards {
		sh := &o.shards[i]
		sh.mu.Lock()
		for _, s := range sh.servers {
			s.link.close()
		}
		sh.mu.Unlock()
	}
}

// onceMemory remembers the attempts that may run only once for longer than one can be in progress.
type onceMemory struct {
	seen  map[slots.ID]bool
	order []onceEntry
}

type onceEntry struct {
	id slots.ID
	at clock.Instant
}

// first reports whether an attempt has not been seen before.
func (m *onceMemory) first(now clock.Instant, id slots.ID) bool {
	if m.seen == nil {
		m.seen = make(map[slots.ID]bool)
	}
	for len(m.order) > 0 && now.MinSince(m.order[0].at) > onceSpan {
		delete(m.seen, m.order[0].id)
		m.order = m.order[1:]
	}
	if m.seen[id] {
		return false
	}
	m.seen[id] = true
	m.order = append(m.order, onceEntry{id: id, at: now})
	return true
}
