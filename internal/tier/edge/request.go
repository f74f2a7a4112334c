package edge

import (
	"context"
	"fmt"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/base/sets"
	"kumquatreel.example/kumquatreel/internal/base/status"
	"kumquatreel.example/kumquatreel/internal/limit/pacer"
	"kumquatreel.example/kumquatreel/internal/tier/gather"
	"kumquatreel.example/kumquatreel/internal/tier/link"
	"kumquatreel.example/kumquatreel/internal/tier/place"
	"kumquatreel.example/kumquatreel/internal/tier/table"
)

const (
	// defaultRTT is the round-trip time to a client for which the kernel has no measurement.
	defaultRTT = 8 * time.Millisecond
	// maxRTTFraction bounds the round-trip time subtracted from the target latency, as a fraction of the target latency.
	// With a longer one the answer is late in any case.
	maxRTTFraction = 0.5
	// mergeTime is the time reserved for merging and writing an answer from shards, on a VM that shares its core with
	// other requests.
	mergeTime = 6 * time.Millisecond
	// Parts that are still in flight are stopped some time after the answer was due: lingerTargetFactor times the target
	// latency, or lingerLatencyFactor times the typical latency of a part if that is longer.
	lingerTargetFactor  = 1.0
	lingerLatencyFactor = 4.0
	// serverHeadBytes is about the size of the headers that depend on the server.
	serverHeadBytes = 160
)

// request is a client request, or one of its retries by the client, with its deadlines.
type request struct {
	id    string
	route *table.Route
	team  ident.Team
	// rank is the priority of the request; lower values are more urgent.
	rank   int
	method string
	// head holds the request line and the headers for backend servers.
	head    []byte
	body    [][]byte
	arrived time.Time
	// version is the version of the configuration that admitted the request.
	version int64
	// rtt is the round-trip time to the client.
	rtt time.Duration
	// soft is when the answer must be written to meet the target latency. hard is when the request ends.
	soft, hard time.Time
}

// bytes returns the size of the request at a server.
func (rq *request) bytes() int64 {
	return int64(len(rq.head) + serverHeadBytes + link.BodyBytes(rq.body))
}

// outcome is the result of a request.
type outcome struct {
	reason     gather.Reason
	clientGone bool
	// enough says that the answers cover enough parts for a success.
	enough bool
	// ran says that a server has run, or may have run, a part.
	ran bool
	// parts holds the answer to each part, nil for a missing one.
	parts   []*link.Answer
	missing []ident.Service
	// short is the number of missing parts that a success lacks.
	short int
	// lastFailed is the last answer with which a server reported a failure, without those that would tell the client that the request has not run.
	lastFailed *link.Answer
	sends      int
	hedges     int
	refused    int
	skipped    place.Skipped
}

// release says that the answers are no longer used.
func (o outcome) release() {
	for _, p := range o.parts {
		p.Release()
	}
	o.lastFailed.Release()
}

// attemptResult is the result of sending a part to a server.
type attemptResult struct {
	send gather.Send
	res  link.Result
}

// spec describes a request to package gather.
func (e *Edge) spec(rq *request) gather.Spec {
	typical, late := e.dispatch.partLatency(rq.route)
	spec := gather.Spec{
		Shards: rq.route.Shards(), MaxAttempts: rq.route.MaxAttempts(), Idempotent: rq.route.Kind() == table.KindIdempotent,
		MinCoverage: rq.route.MinCoverage(), SoftDeadline: rq.soft, HardDeadline: rq.hard, TypicalLatency: typical, LateAfter: late,
	}
	if len(spec.Shards) == 0 {
		spec.Shards = []ident.Service{rq.route.Choose(e.dispatch.random())}
		spec.MinCoverage = 1
	}
	return spec
}

// newChooser returns what selects the servers for a request.
func (e *Edge) newChooser(rq *request, spec gather.Spec) *chooser {
	due, urgentTarget := rq.soft.Sub(rq.arrived), time.Duration(0)
	if e.dispatch.urgentFirst {
		urgentTarget = rq.route.UrgentTarget(rq.rank)
	}
	return &chooser{
		dispatch: e.dispatch, typical: spec.TypicalLatency, failureCost: due, maxWait: e.dispatch.maxWait(rq.rank, due, urgentTarget),
		tokenWait: e.dispatch.maxWait(rq.rank, due, 0), bytes: rq.bytes(),
		onRetryDenied: func(s ident.Service, firsts, retries int, fraction float64) {
			e.log.Info(componentRequest, "second attempt denied by the retry budget", "id", rq.id, "service", s,
				"first", firsts, "repeats", retries, "part", fraction)
		},
	}
}

// run sends the parts of a request to servers until there is an outcome or the client has disconnected.
func (e *Edge) run(ctx context.Context, rq *request) outcome {
	spec := e.spec(rq)
	j := &job{
		edge: e, rq: rq, state: gather.New(spec), typical: spec.TypicalLatency, late: spec.LateAfter, chooser: e.newChooser(rq, spec),
	}
	return j.run(ctx, len(spec.Shards))
}

// job does the I/O of one request.
type job struct {
	edge    *Edge
	rq      *request
	state   *gather.State
	chooser *chooser
	// typical is the typical latency of a part, late the latency beyond which it is late.
	typical, late time.Duration
	results       chan attemptResult
	// attemptsCtx is cancelled when the client has disconnected or all attempts have ended. running counts the attempts
	// in flight.
	attemptsCtx context.Context
	cancel      context.CancelFunc
	running     sync.WaitGroup
	sends       []sentAttempt
	// signatures holds those of the parts that have been answered.
	signatures sets.Set[string]
	out        outcome
}

// sentAttempt is an attempt with the permit that cancels it as long as it has not been written.
type sentAttempt struct {
	gather.Send
	permit *link.Permit
}

func (j *job) run(ctx context.Context, shards int) outcome {
	// The buffer holds the results of all attempts, so that no attempt blocks after the job has ended.
	j.results = make(chan attemptResult, shards*resultsPerPart)
	j.attemptsCtx, j.cancel = context.WithCancel(context.WithoutCancel(ctx))
	j.out.parts = make([]*link.Answer, shards)
	j.signatures = make(sets.Set[string], shards)
	j.start(j.state.Start(time.Now(), j.chooser))
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		next, more := j.state.NextTick(time.Now())
		if !more {
			return j.finish()
		}
		timer.Reset(time.Until(next))
		select {
		case f := <-j.results:
			j.handleResult(f)
			j.handleWaiting()
		case <-timer.C:
			j.start(j.state.Tick(time.Now(), j.chooser))
		case <-j.edge.stopRequests:
			j.state.Stop()
		case <-ctx.Done():
			j.cancel()
			j.out.clientGone = true
			return j.finish()
		}
	}
}

var (
	errPanic         = errors.New("panic in a call to a server")
	errSameSignature = errors.New("another part has the same signature")
)

// resultsPerPart is the buffer size for the results of one part. Package gather makes fewer attempts per part.
const resultsPerPart = 8

func (j *job) finish() outcome {
	j.chooser.dropChosen()
	// Attempts that have not been written to a server are cancelled, so that they count as not run.
	for _, s := range j.sends {
		if s.permit.Revoke() {
			j.state.AttemptCancelled(s.Shard, s.Attempt)
		}
	}
	go func() {
		j.running.Wait()
		j.cancel()
		// Answers that have come too late are not used.
		for len(j.results) > 0 {
			(<-j.results).res.Answer.Release()
		}
	}()
	j.out.reason, _ = j.state.Done()
	j.out.enough = j.state.CoverageMet()
	j.out.ran = j.state.MayHaveRun()
	j.out.missing = j.state.Missing()
	j.out.short = j.state.NumShort()
	j.out.skipped = j.chooser.skipped
	return j.out
}

func (j *job) start(sends []gather.Send) {
	for _, s := range sends {
		j.out.sends++
		if s.Cause == gather.CauseLate {
			j.out.hedges++
		}
		if s.Cause != gather.CauseFirst {
			msg := "part sent again"
			if s.Attempt == 0 {
				msg = "part sent after waiting for capacity"
			}
			j.edge.log.Info(componentRequest, msg, "id", j.rq.id, "service", s.Service, "server", s.Server, "attempt", s.Attempt,
				"cause", s.Cause.String(), "afterMs", ms(s.SinceFirst), "usualMs", ms(j.typical), "lateMs", ms(j.late))
		}
		j.chooser.started(s.Server)
		permit := &link.Permit{}
		j.sends = append(j.sends, sentAttempt{s, permit})
		j.running.Add(1)
		j.edge.workers.Go(func() { j.attempt(s, permit) })
	}
	if len(sends) > 0 {
		j.edge.load.add(time.Now(), len(sends))
	}
}

// handleWaiting handles the results that have arrived meanwhile, before the next tick is computed over all parts.
func (j *job) handleWaiting() {
	for {
		select {
		case f := <-j.results:
			j.handleResult(f)
		default:
			return
		}
	}
}

func (j *job) handleResult(f attemptResult) {
	now := time.Now()
	answered := f.res.Verdict == gather.VerdictAnswered && !j.state.Answered(f.send.Shard)
	if answered && !j.claimSignature(f.res.Answer) {
		answered = false
		f.res.Verdict, f.res.Err = gather.VerdictInvalid, errSameSignature
		j.edge.logAttempt(j.rq, f.send, f.res, now.Sub(j.rq.arrived))
	}
	switch {
	case answered:
		j.out.parts[f.send.Shard] = f.res.Answer
	case f.res.Verdict == gather.VerdictFailed && !status.NotRun(f.res.Answer.Status):
		j.out.lastFailed.Release()
		j.out.lastFailed = f.res.Answer
	default:
		f.res.Answer.Release()
	}
	if f.res.Verdict == gather.VerdictRefused {
		j.out.refused++
	}
	j.start(j.state.AttemptEnded(now, gather.AttemptResult{Shard: f.send.Shard, Attempt: f.send.Attempt, Verdict: f.res.Verdict}, j.chooser))
}

// claimSignature records the signature of the answer to a part, or returns false if another part has an answer with the same one: at most one of the
// two is the answer of its part, and a client that finds an entry twice takes none of them.
func (j *job) claimSignature(a *link.Answer) bool {
	return j.signatures.Add(a.Header.Get(j.edge.names.Signature))
}

func (j *job) attempt(s gather.Send, permit *link.Permit) {
	defer j.running.Done()
	e := j.edge
	res := link.Result{Verdict: gather.VerdictLost, Err: errPanic}
	defer func() {
		if p := recover(); p != nil {
			e.logPanic(j.rq.id, s.Server, p)
		}
		j.results <- attemptResult{s, res}
	}()
	defer e.dispatch.unload(s.Server, j.rq.bytes())
	began := time.Now()
	sent, ok := e.dispatch.begin(began, s, j.typical)
	if !ok {
		res = link.Result{Verdict: gather.VerdictUnsent}
		return
	}
	ctx, end := e.dispatch.follow(j.attemptsCtx, sent)
	defer end()
	res = e.exchange(ctx, link.Call{
		Target: sent.target, Method: j.rq.method, Head: j.rq.head, Body: j.rq.body, RequestID: j.rq.id,
		Deadline: j.expires(), MaxConnections: sent.connections, Permit: permit, RunOnce: j.rq.route.Kind() != table.KindIdempotent,
		Allowed: func() bool { return e.dispatch.mayReceive(time.Now(), sent) },
	})
	gone := lostWithServer(ctx, &res)
	end()
	now := time.Now()
	if gone {
		e.dispatch.cancelled(sent.handle)
		e.logAttempt(j.rq, s, res, now.Sub(began))
		return
	}
	// An answer that has arrived counts, even if the client has left: the server may have said something of itself.
	if res.Answer == nil && (j.attemptsCtx.Err() != nil || res.Revoked) {
		e.dispatch.cancelled(sent.handle)
		return
	}
	change := e.dispatch.end(now, j.rq.route, sent, res, e.names, now.Sub(began))
	e.logServerChange(s.Server, s.Service, change)
	if change.verify {
		go e.verify(s.Service, sent)
	}
	e.logAttempt(j.rq, s, res, now.Sub(began))
}

// exchange makes a call. A panic ends only this call, whose request may then have run.
func (e *Edge) exchange(ctx context.Context, c link.Call) (res link.Result) {
	defer func() {
		if p := recover(); p != nil {
			e.logPanic(c.RequestID, c.Target.Server, p)
			res = link.Result{Verdict: gather.VerdictLost, Err: errPanic}
		}
	}()
	return e.links.Do(ctx, c)
}

func (e *Edge) logPanic(id string, server ident.Server, p any) {
	e.log.Error(componentRequest, "panic in a call to a server", "id", id, "server", server, "panic", fmt.Sprint(p), "stack", string(debug.Stack()))
}

// expires returns the deadline of an attempt. It is earlier than the end of the request if the answer consists of several
// parts, because a part that arrives long after the answer is due is not used.
func (j *job) expires() time.Time {
	target := j.rq.route.TargetLatency()
	if len(j.out.parts) == 1 || target <= 0 {
		return j.rq.hard
	}
	linger := max(time.Duration(lingerTargetFactor*float64(target)), time.Duration(lingerLatencyFactor*float64(j.typical)))
	if limit := j.rq.soft.Add(linger); limit.Before(j.rq.hard) {
		return limit
	}
	return j.rq.hard
}

func (e *Edge) logAttempt(rq *request, s gather.Send, res link.Result, took time.Duration) {
	if res.Verdict == gather.VerdictAnswered {
		if s.Attempt > 0 {
			e.log.Info(componentRequest, "part answered by a second server", "id", rq.id, "service", s.Service, "server", s.Server, "ms", ms(took))
		}
		return
	}
	fields := []any{
		"id", rq.id, "service", s.Service, "server", s.Server, "attempt", s.Attempt,
		"verdict", res.Verdict.String(), "ms", ms(took),
	}
	if res.Answer != nil {
		fields = append(fields, "status", res.Answer.Status)
	}
	if res.Err != nil {
		fields = append(fields, "error", res.Err.Error())
	}
	e.log.Warn(componentRequest, "part not answered", fields...)
}

// logServerChange logs the changes in the state of a server after an attempt.
func (e *Edge) logServerChange(server ident.Server, service ident.Service, change serverChange) {
	switch {
	case change.backoff > 0:
		e.log.Warn(componentServers, "server in backoff", "server", server, "service", service, "restMs", ms(change.backoff),
			"reason", "unreachable or no answer")
	case change.recovered:
		e.log.Info(componentServers, "server answers again", "server", server, "service", service)
	case change.misplaced:
		e.log.Warn(componentServers, "server excluded", "server", server, "service", service, "reason", "another server answered at its address")
	}
	e.logLimitChange(server, service, change.limit, "server")
	if change.badLimit != "" {
		e.log.Warn(componentServers, "limit of a server cannot be read, ignored", "server", server, "service", service, "text", change.badLimit)
	}
	if change.leaving {
		e.log.Info(componentServers, "server says that it leaves", "server", server, "service", service, "from", "server")
	}
	if !change.restUntil.IsZero() {
		e.log.Warn(componentServers, "server wants no requests", "server", server, "service", service, "restMs", ms(time.Until(change.restUntil)),
			"until", change.restUntil.UTC().Format(time.RFC3339Nano))
	}
	if change.badRetryAfter != nil {
		e.log.Warn(componentServers, "Retry-After of a server cannot be read, ignored", "server", server, "service", service,
			"text", change.badRetryAfter)
	}
	if change.coldFor > 0 {
		e.log.Info(componentServers, "server is cold", "server", server, "service", service, "coldMs", ms(change.coldFor))
	}
}

// logLimitChange logs a change of the limit that a server names. from is "server" or the VM that reported it.
func (e *Edge) logLimitChange(server ident.Server, service ident.Service, change pacer.Change, from string) {
	switch c := change.(type) {
	case pacer.Named:
		e.log.Warn(componentServers, "server names a limit", "server", server, "service", service, "perSecond", c.Rate, "before", c.Before,
			"from", from)
	case pacer.Ended:
		e.log.Info(componentServers, "server names no limit any more", "server", server, "service", service, "perSecond", c.Rate,
			"afterMs", ms(c.Lasted), "first", c.Sent.First, "hedges", c.Sent.Hedges, "retries", c.Sent.Retries,
			"from", from)
	}
}

func ms(d time.Duration) float64 {
	return float64(d.Round(10*time.Microsecond)) / float64(time.Millisecond)
}

func hasBody(r *http.Request) bool { return r.ContentLength != 0 || len(r.TransferEncoding) > 0 }
