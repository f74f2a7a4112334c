package entry

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatreel.example/kumquatreel/internal/base/clock"
	"kumquatreel.example/kumquatreel/internal/base/fault"
	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/fleet/agent"
	"kumquatreel.example/kumquatreel/internal/limit/slots"
	"kumquatreel.example/kumquatreel/internal/node/trace"
	"kumquatreel.example/kumquatreel/internal/query/fanout"
	"kumquatreel.example/kumquatreel/internal/query/hedge"
	"kumquatreel.example/kumquatreel/internal/query/plan"
	"kumquatreel.example/kumquatreel/internal/wire/inner"
	"kumquatreel.example/kumquatreel/internal/wire/netio"
	"kumquatreel.example/kumquatreel/internal/wire/public"
)

const (
	// confirmGrace is how long an entry waits after the deadline to learn whether an attempt ran.
	confirmGrace  = 250 * time.Millisecond
	cancelTimeout = 200 * time.Millisecond
	// streamGrace is how long after the deadline replies may still come in.
	streamGrace = 500 * time.Millisecond
	maxLine     = 4 << 20
	// leastRestart is the time that must be left for a restart on a newer snapshot.
	leastRestart = 20 * time.Millisecond
)

// run answers a request, with at most one restart on a newer snapshot.
func (e *Entry) run(ctx context.Context, q *request) (*public.Answer, *fault.Error) {
	answer, f, gone := e.attempt(ctx, q)
	newer := e.mesh.Catalog()
	left := q.deadline() - e.clock.Now().MaxSince(q.arrived)
	if gone && newer.Revision() > q.catalog.Revision() && left > leastRestart {
		route := newer.Route(q.route.Name())
		if route != nil && (route.Idempotent() || f != nil && f.Outcome().NotRun()) {
			q.catalog, q.route = newer, route
			answer, f, _ = e.attempt(ctx, q)
			if answer != nil {
				answer.Timing.SnapshotRestart = true
			}
		}
	}
	if f != nil {
		return nil, f
	}
	answer.Timing.TotalMicros = e.clock.Now().MaxSince(q.arrived).Microseconds()
	e.metrics.Answered(q.team, q.class(), time.Duration(answer.Timing.TotalMicros)*time.Microsecond, answer.Coverage.Fraction())
	q.trace.Result = "answered"
	e.traces.Put(q.trace)
	return answer, nil
}

func (q *request) deadline() time.Duration {
	d := q.route.Deadline()
	if asked := time.Duration(q.query.DeadlineMillis) * time.Millisecond; asked > 0 {
		d = min(d, asked)
	}
	return d
}

// flight is one fan-out in progress.
type flight struct {
	entry    *Entry
	request  *request
	machine  *fanout.Machine
	plan     plan.Plan
	arrivals chan arrival
	streams  sync.WaitGroup
	ctx      context.Context
	sent     []sentAttempt
	slowest  int64
	maxQueue int64
	first    int
	second   int
	ended    *fanout.Finish
	wake     clock.Instant
}

type sentAttempt struct {
	attempt fanout.Attempt
	at      clock.Instant
	aborted bool
}

// arrival is the end of an attempt, with the owner's reply if there was one.
type arrival struct {
	event   fanout.Event
	attempt int
	reply   inner.PartReply
}

// attempt runs one fan-out from one snapshot and reports whether a part of the snapshot was gone.
func (e *Entry) attempt(ctx context.Context, q *request) (*public.Answer, *fault.Error, bool) {
	team := q.catalog.Team(q.team)
	if team == nil && !q.route.Open() {
		return nil, fault.New(fault.CodeUnauthorized, fault.OutcomeNotSent, "the key is not valid any more"), false
	}
	p := plan.New(q.catalog, q.route, team, q.query.Record)
	begun := e.clock.Now()
	e.budget.CountFirst(len(p.Parts()), q.catalog.Preset().ExtraLoad())
	limits := fanout.Limits{
		Deadline: max(0, q.deadline()-begun.MaxSince(q.arrived)), GracePeriod: confirmGrace,
		EarlyAfter: q.route.EarlyAfter(), EarlyCoverage: q.route.EarlyCoverage(),
		MinCoverage: q.route.MinCoverage(), HedgeDelay: e.hedgeAfter(q), HedgeFraction: q.catalog.Preset().ExtraLoad(),
	}
	streamCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), limits.Deadline+streamGrace)
	f := &flight{
		entry: e, request: q, ctx: streamCtx, plan: p,
		machine: fanout.New(p, limits, &e.budget, e.targets(p)),
		// Every attempt ends with one arrival, so no sender waits.
		arrivals: make(chan arrival, fanout.MaxAttempts*len(p.Parts())+1),
	}
	planned := e.clock.Now().MaxSince(begun)
	f.loop(ctx)
	go func() {
		f.streams.Wait()
		cancel()
	}()
	e.metrics.Attempts(f.first, f.second)
	if f.ended.Fault != nil {
		return nil, f.ended.Fault, f.ended.SnapshotGone
	}
	m := f.machine.Merger()
	return &public.Answer{
		RequestID: q.id,
		Snapshot:  public.Snapshot{Revision: q.catalog.Revision(), Versions: p.Versions()},
		Coverage:  m.Coverage(),
		Items:     m.Items(q.query.Limit),
		Timing: public.Timing{
			AdmitMicros: q.admit.Microseconds(), PlanMicros: planned.Microseconds(),
			SlowestPartMicros: f.slowest, MaxQueueMicros: f.maxQueue, FirstAttempts: f.first, SecondAttempts: f.second,
		},
	}, nil, f.ended.SnapshotGone
}

// targets orders the ways to reach each part: every replica's gatherer, in the picker's order, before any other holder.
func (e *Entry) targets(p plan.Plan) [][]fanout.Target {
	order := e.order(p)
	out := make([][]fanout.Target, len(p.Parts()))
	e.mesh.WithAgent(func(now clock.Instant, a *agent.Agent) {
		for i, replicas := range order {
			out[i] = targetsOf(now, a, replicas)
		}
	})
	return out
}

func targetsOf(now clock.Instant, a *agent.Agent, replicas []ident.Server) []fanout.Target {
	var first, others []fanout.Target
	for _, name := range replicas {
		s := a.Catalog().Server(name)
		if !a.Catalog().Usable(s) {
			continue
		}
		for k, vm := range a.Targets(now, s) {
			t := fanout.Target{Server: name, VM: vm}
			if k == 0 {
				first = append(first, t)
			} else {
				others = append(others, t)
			}
		}
	}
	return append(first, others...)
}

// order lets the picker order the replicas of each part.
func (e *Entry) order(p plan.Plan) [][]ident.Server {
	out := make([][]ident.Server, len(p.Parts()))
	now := e.clock.Now()
	e.pickMu.Lock()
	defer e.pickMu.Unlock()
	for i, part := range p.Parts() {
		for _, s := range part.Replicas() {
			out[i] = append(out[i], s.Name())
		}
		e.picker.Order(now, out[i], part.Service().Slots(), e.pickRng)
	}
	return out
}

// hedgeAfter returns after what time a part of a service counts as late.
func (e *Entry) hedgeAfter(q *request) func(ident.Service) time.Duration {
	quantile := q.catalog.Preset().HedgeQuantile()
	if quantile == 0 {
		return nil
	}
	return func(s ident.Service) time.Duration {
		d, ok := e.latencyOf(s).Quantile(quantile)
		if !ok {
			return q.route.Deadline() / 3
		}
		return d
	}
}

func (e *Entry) latencyOf(s ident.Service) *hedge.LatencyHistogram {
	e.latencyMu.Lock()
	defer e.latencyMu.Unlock()
	l := e.latency[s]
	if l == nil {
		l = hedge.NewLatencyHistogram()
		e.latency[s] = l
	}
	return l
}

func (e *Entry) sentTo(s ident.Server) {
	e.pickMu.Lock()
	defer e.pickMu.Unlock()
	e.picker.Sent(e.clock.Now(), s)
}

// learn tells the picker how an attempt ended.
func (e *Entry) learn(s ident.Server, r inner.PartReply, took time.Duration) {
	e.pickMu.Lock()
	defer e.pickMu.Unlock()
	now := e.clock.Now()
	switch {
	case r.OK:
		e.picker.Answered(now, s, took)
	case r.Code == fault.CodeCancelled || r.Code == fault.CodeNotOwner || r.Code == fault.CodeLeaving:
		e.picker.Cancelled(now, s)
	default:
		e.picker.Failed(now, s)
	}
}

// loop drives the machine until the request has ended; a caller that went away ends a request that may run again.
func (f *flight) loop(ctx context.Context) {
	gone := ctx.Done()
	if !f.request.route.Idempotent() {
		gone = nil
	}
	f.carryOut(f.machine.Step(f.entry.clock.Now(), fanout.Start{}))
	timer := time.NewTimer(0)
	defer timer.Stop()
	for f.ended == nil {
		now := f.entry.clock.Now()
		timer.Reset(max(0, f.wake.MinSince(now)))
		var ev fanout.Event
		select {
		case a := <-f.arrivals:
			f.learn(a)
			ev = a.event
		case <-timer.C:
			ev = fanout.Tick{}
		case <-gone:
			ev = fanout.Stop{}
		}
		f.carryOut(f.machine.Step(f.entry.clock.Now(), ev))
	}
}

func (f *flight) carryOut(actions []fanout.Action) {
	sends := make(map[ident.VM][]fanout.Attempt)
	aborts := make(map[ident.VM][]slots.ID)
	for _, act := range actions {
		switch act := act.(type) {
		case fanout.Send:
			f.note("send", act.Attempt, "")
			f.sent = append(f.sent, sentAttempt{attempt: act.Attempt, at: f.entry.clock.Now()})
			f.count(act.Attempt)
			sends[act.Attempt.Target.VM] = append(sends[act.Attempt.Target.VM], act.Attempt)
		case fanout.Abort:
			f.note("cancel", act.Attempt, "")
			f.drop(act.Attempt)
			aborts[act.Attempt.Target.VM] = append(aborts[act.Attempt.Target.VM], f.partID(act.Attempt))
		case fanout.Wake:
			f.wake = act.At
		case fanout.Finish:
			f.ended = &act
		}
	}
	for vm, attempts := range sends {
		f.send(vm, attempts)
	}
	for vm, ids := range aborts {
		f.abort(vm, ids)
	}
}

// learn records the time that an attempt took.
func (f *flight) learn(a arrival) {
	sent := f.sent[a.attempt]
	took := f.entry.clock.Now().MaxSince(sent.at)
	f.maxQueue = max(f.maxQueue, a.reply.QueueMicros)
	if !sent.aborted {
		f.entry.learn(sent.attempt.Target.Server, a.reply, took)
	}
	if !a.reply.OK {
		f.note("failed", sent.attempt, a.reply.Outcome.String()+" "+a.reply.Code.String())
		return
	}
	f.note("answered", sent.attempt, "")
	f.slowest = max(f.slowest, took.Microseconds())
	service := f.plan.Parts()[sent.attempt.Part].Service().Name()
	f.entry.latencyOf(service).Record(took)
}

// drop tells the picker that an attempt was taken back; its reply teaches nothing any more.
func (f *flight) drop(a fanout.Attempt) {
	if !f.sent[a.ID].aborted {
		f.sent[a.ID].aborted = true
		f.entry.learn(a.Target.Server, inner.PartReply{Code: fault.CodeCancelled}, 0)
	}
}

func (f *flight) count(a fanout.Attempt) {
	f.entry.sentTo(a.Target.Server)
	if a.Second {
		f.second++
	} else {
		f.first++
	}
}

func (f *flight) note(what string, a fanout.Attempt, note string) {
	f.request.trace.AddStep(trace.Step{
		Micros: f.entry.clock.Now().MaxSince(f.request.arrived).Microseconds(),
		Event:  what, Server: a.Target.Server, VM: a.Target.VM, Part: a.Part, Note: note,
	})
}

func (f *flight) partID(a fanout.Attempt) slots.ID {
	return slots.ID(f.request.id + "." + strconv.FormatInt(f.request.catalog.Revision(), 36) + "." + strconv.Itoa(a.ID))
}

// send passes a batch of attempts to the VM that owns their backend servers.
func (f *flight) send(vm ident.VM, attempts []fanout.Attempt) {
	if f.request.keyID != "" && !f.keyStands() {
		for _, a := range attempts {
			f.lost(a, fault.OutcomeNotSent, fault.CodeUnauthorized)
		}
		return
	}
	batch := f.batch(attempts)
	byID := make(map[slots.ID]fanout.Attempt, len(attempts))
	for _, a := range attempts {
		byID[f.partID(a)] = a
	}
	if vm == f.entry.settings.Name() {
		f.entry.owner.Submit(batch, func(r inner.PartReply) { f.arrive(byID[r.ID], r) })
		return
	}
	f.streams.Go(func() { f.remote(vm, batch, byID) })
}

// lost reports an attempt that has no reply.
func (f *flight) lost(a fanout.Attempt, outcome fault.Outcome, code fault.Code) {
	f.arrive(a, inner.PartReply{Outcome: outcome, Code: code})
}

// arrive passes the end of an attempt to the loop.
func (f *flight) arrive(a fanout.Attempt, r inner.PartReply) {
	var ev fanout.Event = fanout.Failed{Attempt: a.ID, Outcome: r.Outcome, Code: r.Code}
	if r.OK {
		ev = fanout.Answered{Attempt: a.ID, Version: r.Version, Partial: r.Partial, Items: r.Items}
	}
	f.arrivals <- arrival{event: ev, attempt: a.ID, reply: r}
}

// keyStands reports whether the key is still given in the newest configuration.
func (f *flight) keyStands() bool {
	team := f.entry.mesh.Catalog().Team(f.request.team)
	return team != nil && team.HasKey(f.request.keyID) && f.entry.mesh.Fresh()
}

func (f *flight) batch(attempts []fanout.Attempt) *inner.Parts {
	q := f.request
	left := q.deadline() - f.entry.clock.Now().MaxSince(q.arrived)
	b := &inner.Parts{
		Request: q.id, Revision: q.catalog.Revision(), KeyID: q.keyID, Team: q.team,
		Idempotent: q.route.Idempotent(), Body: q.query.Body,
		DeadlineMicros: min(left, q.route.PartDeadline()).Microseconds(),
	}
	for _, a := range attempts {
		part := f.plan.Parts()[a.Part]
		b.Parts = append(b.Parts, inner.Part{
			ID: f.partID(a), Server: a.Target.Server, Service: part.Service().Name(),
			Shard: part.Shard(), IndexVersion: part.Service().IndexVersion(),
		})
	}
	return b
}

// remote sends a batch to another VM and reads the replies as they come.
func (f *flight) remote(vm ident.VM, batch *inner.Parts, byID map[slots.ID]fanout.Attempt) {
	left := maps.Clone(byID)
	outcome, err := f.stream(vm, batch, func(r inner.PartReply) {
		if a, ok := left[r.ID]; ok {
			delete(left, r.ID)
			f.arrive(a, r)
		}
	})
	if err != nil {
		f.entry.log.Debug("batch not answered", "vm", vm, "reason", err)
	}
	for _, a := range left {
		f.lost(a, outcome, fault.CodeUnavailable)
	}
}

// stream returns the outcome that holds for the parts without a reply.
func (f *flight) stream(vm ident.VM, batch *inner.Parts, reply func(inner.PartReply)) (fault.Outcome, error) {
	address := f.entry.mesh.Address(vm)
	if address == "" {
		return fault.OutcomeNotSent, errors.Newf("VM %s has no address", vm)
	}
	raw, err := json.Marshal(batch)
	if err != nil {
		return fault.OutcomeNotSent, errors.Errorf("encode batch: %w", err)
	}
	req, err := http.NewRequestWithContext(f.ctx, http.MethodPost, "http://"+address+inner.PathParts, bytes.NewReader(raw))
	if err != nil {
		return fault.OutcomeNotSent, errors.Errorf("prepare batch: %w", err)
	}
	sent, req := netio.TraceConn(req)
	resp, err := f.entry.mesh.Client().Do(req)
	if err != nil {
		if !sent() {
			return fault.OutcomeNotSent, errors.Errorf("reach %s: %w", vm, err)
		}
		return fault.OutcomeUnknown, errors.Errorf("ask %s: %w", vm, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fault.OutcomeUnknown, errors.Newf("VM %s answered %d", vm, resp.StatusCode)
	}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(make([]byte, 0, 64<<10), maxLine)
	for lines.Scan() {
		var r inner.PartReply
		if err := json.Unmarshal(lines.Bytes(), &r); err != nil {
			return fault.OutcomeUnknown, errors.Errorf("decode reply of %s: %w", vm, err)
		}
		reply(r)
	}
	if err := lines.Err(); err != nil {
		return fault.OutcomeUnknown, errors.Errorf("read replies of %s: %w", vm, err)
	}
	return fault.OutcomeUnknown, nil
}

// abort takes attempts back; for a request that may run once, their replies still count.
func (f *flight) abort(vm ident.VM, ids []slots.ID) {
	if vm == f.entry.settings.Name() {
		f.entry.owner.Cancel(ids)
		return
	}
	address := f.entry.mesh.Address(vm)
	client := f.entry.mesh.Client()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		_ = netio.Post(ctx, client, address, inner.PathCancel, inner.Cancel{IDs: ids}, nil, inner.MaxMessageBytes)
	}()
}
