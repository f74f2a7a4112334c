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
	// confirmGracePeriod is how long after the deadline an entry waits for replies that say whether an attempt ran.
	confirmGracePeriod = 250 * time.Millisecond
	cancelTimeout      = 200 * time.Millisecond
	// streamGracePeriod is how long after the deadline the streams of replies stay open.
	streamGracePeriod = 500 * time.Millisecond
	maxReplyLineBytes = 4 << 20
	// minRestartTime is the time before the deadline below which a request is not restarted on a newer snapshot.
	minRestartTime = 20 * time.Millisecond
)

// run runs a request. When its snapshot is gone and a newer one is published, it restarts the request once; a request
// that is not idempotent is restarted only if nothing has run.
func (e *Entry) run(ctx context.Context, q *request) (*public.Answer, *fault.Error) {
	answer, f, snapshotGone := e.runSnapshot(ctx, q)
	latest := e.mesh.Catalog()
	remaining := q.deadline() - e.clock.Now().MaxSince(q.arrived)
	if snapshotGone && latest.Revision() > q.catalog.Revision() && remaining > minRestartTime {
		route := latest.Route(q.route.Name())
		if route != nil && (route.Idempotent() || f != nil && f.Outcome().NotRun()) {
			q.catalog, q.route = latest, route
			answer, f, _ = e.runSnapshot(ctx, q)
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
	if requested := time.Duration(q.query.DeadlineMillis) * time.Millisecond; requested > 0 {
		d = min(d, requested)
	}
	return d
}

// fanOut is one fan-out in progress.
type fanOut struct {
	entry          *Entry
	request        *request
	machine        *fanout.Machine
	plan           plan.Plan
	completions    chan completion
	streams        sync.WaitGroup
	ctx            context.Context
	sent           []sentAttempt
	slowestMicros  int64
	maxQueueMicros int64
	firstAttempts  int
	secondAttempts int
	result         *fanout.Finish
	wakeAt         clock.Instant
}

type sentAttempt struct {
	attempt fanout.Attempt
	sentAt  clock.Instant
	aborted bool
}

// completion is the end of an attempt, with the owner's reply if one arrived.
type completion struct {
	event   fanout.Event
	attempt int
	reply   inner.PartReply
}

// runSnapshot runs one fan-out on one snapshot and reports whether a backend server no longer had that snapshot.
func (e *Entry) runSnapshot(ctx context.Context, q *request) (*public.Answer, *fault.Error, bool) {
	team := q.catalog.Team(q.team)
	if team == nil && !q.route.Open() {
		return nil, fault.New(fault.CodeUnauthorized, fault.OutcomeNotSent, "the key is not valid any more"), false
	}
	p := plan.New(q.catalog, q.route, team, q.query.Record)
	startedAt := e.clock.Now()
	e.budget.CountFirst(len(p.Parts()), q.catalog.Preset().ExtraLoad())
	limits := fanout.Limits{
		Deadline: max(0, q.deadline()-startedAt.MaxSince(q.arrived)), GracePeriod: confirmGracePeriod,
		EarlyAfter: q.route.EarlyAfter(), EarlyCoverage: q.route.EarlyCoverage(),
		MinCoverage: q.route.MinCoverage(), HedgeDelay: e.hedgeDelay(q), HedgeFraction: q.catalog.Preset().ExtraLoad(),
	}
	streamCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), limits.Deadline+streamGracePeriod)
	f := &fanOut{
		entry: e, request: q, ctx: streamCtx, plan: p,
		machine: fanout.New(p, limits, &e.budget, e.targets(p)),
		// Every attempt sends one completion, so the buffer is large enough that no sender blocks.
		completions: make(chan completion, fanout.MaxAttempts*len(p.Parts())+1),
	}
	planTime := e.clock.Now().MaxSince(startedAt)
	f.loop(ctx)
	go func() {
		f.streams.Wait()
		cancel()
	}()
	e.metrics.Attempts(f.firstAttempts, f.secondAttempts)
	if f.result.Fault != nil {
		return nil, f.result.Fault, f.result.SnapshotGone
	}
	m := f.machine.Merger()
	return &public.Answer{
		RequestID: q.id,
		Snapshot:  public.Snapshot{Revision: q.catalog.Revision(), Versions: p.Versions()},
		Coverage:  m.Coverage(),
		Items:     m.Items(q.query.Limit),
		Timing: public.Timing{
			AdmitMicros: q.admitTime.Microseconds(), PlanMicros: planTime.Microseconds(),
			SlowestPartMicros: f.slowestMicros, MaxQueueMicros: f.maxQueueMicros, FirstAttempts: f.firstAttempts, SecondAttempts: f.secondAttempts,
		},
	}, nil, f.result.SnapshotGone
}

// targets returns the targets for each part in the order of preference: for every replica, in the picker's order, the VM
// that is the primary holder of its slots, and after these the other VMs that hold slots of the replicas.
func (e *Entry) targets(p plan.Plan) [][]fanout.Target {
	order := e.orderReplicas(p)
	out := make([][]fanout.Target, len(p.Parts()))
	e.mesh.WithAgent(func(now clock.Instant, a *agent.Agent) {
		for i, replicas := range order {
			out[i] = targetsOf(now, a, replicas)
		}
	})
	return out
}

func targetsOf(now clock.Instant, a *agent.Agent, replicas []ident.Server) []fanout.Target {
	var primaryHolders, otherHolders []fanout.Target
	for _, name := range replicas {
		s := a.Catalog().Server(name)
		if !a.Catalog().Usable(s) {
			continue
		}
		for k, vm := range a.Targets(now, s) {
			t := fanout.Target{Server: name, VM: vm}
			if k == 0 {
				primaryHolders = append(primaryHolders, t)
			} else {
				otherHolders = append(otherHolders, t)
			}
		}
	}
	return append(primaryHolders, otherHolders...)
}

// orderReplicas returns the replicas of each part in the picker's order.
func (e *Entry) orderReplicas(p plan.Plan) [][]ident.Server {
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

// hedgeDelay returns a function for the time after which a part of a service is hedged: a quantile of the service's
// latency, or a third of the route's deadline while there are too few samples. It returns nil when hedging is off.
func (e *Entry) hedgeDelay(q *request) func(ident.Service) time.Duration {
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

func (e *Entry) reportSent(s ident.Server) {
	e.pickMu.Lock()
	defer e.pickMu.Unlock()
	e.picker.Sent(e.clock.Now(), s)
}

// reportOutcome reports the end of an attempt to the picker.
func (e *Entry) reportOutcome(s ident.Server, r inner.PartReply, latency time.Duration) {
	e.pickMu.Lock()
	defer e.pickMu.Unlock()
	now := e.clock.Now()
	switch {
	case r.OK:
		e.picker.Answered(now, s, latency)
	case r.Code == fault.CodeCancelled || r.Code == fault.CodeNotOwner || r.Code == fault.CodeLeaving:
		e.picker.Cancelled(now, s)
	default:
		e.picker.Failed(now, s)
	}
}

// loop runs the state machine until the request has ended. The client's disconnect stops an idempotent request only.
func (f *fanOut) loop(ctx context.Context) {
	clientGone := ctx.Done()
	if !f.request.route.Idempotent() {
		clientGone = nil
	}
	f.execute(f.machine.Step(f.entry.clock.Now(), fanout.Start{}))
	timer := time.NewTimer(0)
	defer timer.Stop()
	for f.result == nil {
		now := f.entry.clock.Now()
		timer.Reset(max(0, f.wakeAt.MinSince(now)))
		var ev fanout.Event
		select {
		case c := <-f.completions:
			f.recordCompletion(c)
			ev = c.event
		case <-timer.C:
			ev = fanout.Tick{}
		case <-clientGone:
			ev = fanout.Stop{}
		}
		f.execute(f.machine.Step(f.entry.clock.Now(), ev))
	}
}

func (f *fanOut) execute(actions []fanout.Action) {
	sends := make(map[ident.VM][]fanout.Attempt)
	aborts := make(map[ident.VM][]slots.ID)
	for _, act := range actions {
		switch act := act.(type) {
		case fanout.Send:
			f.traceStep("send", act.Attempt, "")
			f.sent = append(f.sent, sentAttempt{attempt: act.Attempt, sentAt: f.entry.clock.Now()})
			f.countAttempt(act.Attempt)
			sends[act.Attempt.Target.VM] = append(sends[act.Attempt.Target.VM], act.Attempt)
		case fanout.Abort:
			f.traceStep("cancel", act.Attempt, "")
			f.markAborted(act.Attempt)
			aborts[act.Attempt.Target.VM] = append(aborts[act.Attempt.Target.VM], f.partID(act.Attempt))
		case fanout.Wake:
			f.wakeAt = act.At
		case fanout.Finish:
			f.result = &act
		}
	}
	for vm, attempts := range sends {
		f.send(vm, attempts)
	}
	for vm, ids := range aborts {
		f.cancelAttempts(vm, ids)
	}
}

// recordCompletion records the result and the latency of an attempt.
func (f *fanOut) recordCompletion(c completion) {
	sent := f.sent[c.attempt]
	latency := f.entry.clock.Now().MaxSince(sent.sentAt)
	f.maxQueueMicros = max(f.maxQueueMicros, c.reply.QueueMicros)
	if !sent.aborted {
		f.entry.reportOutcome(sent.attempt.Target.Server, c.reply, latency)
	}
	if !c.reply.OK {
		f.traceStep("failed", sent.attempt, c.reply.Outcome.String()+" "+c.reply.Code.String())
		return
	}
	f.traceStep("answered", sent.attempt, "")
	f.slowestMicros = max(f.slowestMicros, latency.Microseconds())
	service := f.plan.Parts()[sent.attempt.Part].Service().Name()
	f.entry.latencyOf(service).Record(latency)
}

// markAborted reports a cancelled attempt to the picker; its reply is not reported any more.
func (f *fanOut) markAborted(a fanout.Attempt) {
	if !f.sent[a.ID].aborted {
		f.sent[a.ID].aborted = true
		f.entry.reportOutcome(a.Target.Server, inner.PartReply{Code: fault.CodeCancelled}, 0)
	}
}

func (f *fanOut) countAttempt(a fanout.Attempt) {
	f.entry.reportSent(a.Target.Server)
	if a.Second {
		f.secondAttempts++
	} else {
		f.firstAttempts++
	}
}

func (f *fanOut) traceStep(event string, a fanout.Attempt, note string) {
	f.request.trace.AddStep(trace.Step{
		Micros: f.entry.clock.Now().MaxSince(f.request.arrived).Microseconds(),
		Event:  event, Server: a.Target.Server, VM: a.Target.VM, Part: a.Part, Note: note,
	})
}

func (f *fanOut) partID(a fanout.Attempt) slots.ID {
	return slots.ID(f.request.id + "." + strconv.FormatInt(f.request.catalog.Revision(), 36) + "." + strconv.Itoa(a.ID))
}

// send sends a batch of attempts to the VM that owns their backend servers.
func (f *fanOut) send(vm ident.VM, attempts []fanout.Attempt) {
	if f.request.keyID != "" && !f.keyValid() {
		for _, a := range attempts {
			f.failWithoutReply(a, fault.OutcomeNotSent, fault.CodeUnauthorized)
		}
		return
	}
	batch := f.batch(attempts)
	byID := make(map[slots.ID]fanout.Attempt, len(attempts))
	for _, a := range attempts {
		byID[f.partID(a)] = a
	}
	if vm == f.entry.settings.Name() {
		f.entry.owner.Submit(batch, func(r inner.PartReply) { f.complete(byID[r.ID], r) })
		return
	}
	f.streams.Go(func() { f.sendRemote(vm, batch, byID) })
}

// failWithoutReply completes an attempt for which no reply will arrive.
func (f *fanOut) failWithoutReply(a fanout.Attempt, outcome fault.Outcome, code fault.Code) {
	f.complete(a, inner.PartReply{Outcome: outcome, Code: code})
}

// complete sends the end of an attempt to the loop.
func (f *fanOut) complete(a fanout.Attempt, r inner.PartReply) {
	var ev fanout.Event = fanout.Failed{Attempt: a.ID, Outcome: r.Outcome, Code: r.Code}
	if r.OK {
		ev = fanout.Answered{Attempt: a.ID, Version: r.Version, Partial: r.Partial, Items: r.Items}
	}
	f.completions <- completion{event: ev, attempt: a.ID, reply: r}
}

// keyValid reports whether the newest configuration still has the key and this VM's information is fresh.
func (f *fanOut) keyValid() bool {
	team := f.entry.mesh.Catalog().Team(f.request.team)
	return team != nil && team.HasKey(f.request.keyID) && f.entry.mesh.Fresh()
}

func (f *fanOut) batch(attempts []fanout.Attempt) *inner.Parts {
	q := f.request
	remaining := q.deadline() - f.entry.clock.Now().MaxSince(q.arrived)
	b := &inner.Parts{
		Request: q.id, Revision: q.catalog.Revision(), KeyID: q.keyID, Team: q.team,
		Idempotent: q.route.Idempotent(), Body: q.query.Body,
		DeadlineMicros: min(remaining, q.route.PartDeadline()).Microseconds(),
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

// sendRemote sends a batch to another VM and completes each attempt when its reply arrives.
func (f *fanOut) sendRemote(vm ident.VM, batch *inner.Parts, byID map[slots.ID]fanout.Attempt) {
	pending := maps.Clone(byID)
	outcome, err := f.stream(vm, batch, func(r inner.PartReply) {
		if a, ok := pending[r.ID]; ok {
			delete(pending, r.ID)
			f.complete(a, r)
		}
	})
	if err != nil {
		f.entry.log.Debug("batch request failed", "vm", vm, "reason", err)
	}
	for _, a := range pending {
		f.failWithoutReply(a, outcome, fault.CodeUnavailable)
	}
}

// stream sends a batch, calls reply for each reply, and returns the outcome of the parts without one.
func (f *fanOut) stream(vm ident.VM, batch *inner.Parts, reply func(inner.PartReply)) (fault.Outcome, error) {
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
		return fault.OutcomeNotSent, errors.Errorf("create batch request: %w", err)
	}
	sent, req := netio.TraceConn(req)
	resp, err := f.entry.mesh.Client().Do(req)
	if err != nil {
		if !sent() {
			return fault.OutcomeNotSent, errors.Errorf("connect to VM %s: %w", vm, err)
		}
		return fault.OutcomeUnknown, errors.Errorf("send batch to VM %s: %w", vm, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fault.OutcomeUnknown, errors.Newf("VM %s responded with status %d", vm, resp.StatusCode)
	}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(make([]byte, 0, 64<<10), maxReplyLineBytes)
	for lines.Scan() {
		var r inner.PartReply
		if err := json.Unmarshal(lines.Bytes(), &r); err != nil {
			return fault.OutcomeUnknown, errors.Errorf("decode reply from VM %s: %w", vm, err)
		}
		reply(r)
	}
	if err := lines.Err(); err != nil {
		return fault.OutcomeUnknown, errors.Errorf("read replies from VM %s: %w", vm, err)
	}
	return fault.OutcomeUnknown, nil
}

// cancelAttempts asks the owner to cancel attempts. Their replies still count for a request that is not idempotent.
func (f *fanOut) cancelAttempts(vm ident.VM, ids []slots.ID) {
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
