package edge

import (
	"context"
	"net/http"
	"sync"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/tier/gather"
	"kumquatreel.example/kumquatreel/internal/tier/link"
	"kumquatreel.example/kumquatreel/internal/tier/table"
)

const (
	// tripUnknown is taken for the time to a caller and back where the kernel has not measured it.
	defaultRTT = 8 * time.Millisecond
	// tripMost bounds that time, as a share of the aim: beyond it an answer cannot be in time anyway.
	maxRTTFraction = 0.5
	// mergeTime is left for merging and writing an answer over shards, by a VM that shares its core with other requests.
	mergeTime = 6 * time.Millisecond
	// lingerAims times the aim after an answer was due, or lingerUsual times the usual latency of a part if that is longer, parts
	// that are still open are stopped.
	lingerTargetFactor  = 1.0
	lingerLatencyFactor = 4.0
)

// request is one attempt of a caller on its way through the edge.
type request struct {
	id      string
	route   *table.Route
	team    ident.Team
	rank    int
	method  string
	head    []byte
	body    []byte
	arrived time.Time
	version int64
	// trip is the time that bytes take to the caller and back.
	rtt time.Duration
	// soft is when the answer should be on its way to be in time, hard when the request ends.
	soft, hard time.Time
}

// outcome is how a request ended.
type outcome struct {
	reason     gather.Reason
	clientGone bool
	enough     bool
	ran        bool
	parts      []*link.Answer
	missing    []ident.Service
	// last is the last answer of a server that failed.
	lastFailed *link.Answer
	sends      int
	hedges     int
	refused    int
	skipped    skipped
}

type attemptResult struct {
	send gather.Send
	res  link.Result
}

// run drives a request to its end.
func (e *Edge) run(ctx context.Context, rq *request) outcome {
	typical, late := e.dispatch.partLatency(rq.route)
	shards := rq.route.Shards()
	spec := gather.Spec{
		Shards: shards, MaxAttempts: rq.route.MaxAttempts(), Idempotent: rq.route.Kind() == table.KindIdempotent,
		MinCoverage: rq.route.MinCoverage(), SoftDeadline: rq.soft, HardDeadline: rq.hard, TypicalLatency: typical, LateAfter: late,
	}
	if len(shards) == 0 {
		spec.Shards = []ident.Service{rq.route.Choose(e.dispatch.random())}
		spec.MinCoverage = 1
	}
	maxWait := e.dispatch.maxWait(rq.rank, rq.soft.Sub(rq.arrived))
	j := &job{
		edge: e, rq: rq, state: gather.New(spec), typical: typical, late: late,
		chooser: &chooser{dispatch: e.dispatch, typical: typical, maxWait: maxWait, onRetryDenied: func(s ident.Service, firsts, retries int, fraction float64) {
			e.log.Info(componentRequest, "second attempt not allowed", "id", rq.id, "service", s, "first", firsts, "repeats", retries, "part", fraction)
		}},
	}
	return j.run(ctx, len(spec.Shards))
}

// job is the I/O side of one request.
type job struct {
	edge    *Edge
	rq      *request
	state   *gather.State
	chooser *chooser
	// usual and late are the usual latency of a part and the one beyond which it is late.
	typical, late time.Duration
	results       chan attemptResult
	// attempts ends when the caller has gone; open counts the attempts that have not ended.
	attemptsCtx context.Context
	cancel      context.CancelFunc
	running     sync.WaitGroup
	sends       []sentAttempt
	out         outcome
}

// sent is an attempt that was begun, with what is needed to take it back.
type sentAttempt struct {
	gather.Send
	permit *link.Permit
}

func (j *job) run(ctx context.Context, shards int) outcome {
	// Each part has few attempts, and none of them may be held up by a job that has ended.
	j.results = make(chan attemptResult, shards*resultsPerPart)
	j.attemptsCtx, j.cancel = context.WithCancel(context.WithoutCancel(ctx))
	j.out.parts = make([]*link.Answer, shards)
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
		case <-timer.C:
			j.start(j.state.Tick(time.Now(), j.chooser))
		case <-ctx.Done():
			j.cancel()
			j.out.clientGone = true
			return j.finish()
		}
	}
}

// attemptsHeld is how many attempts at a part can end unheard; package gather makes fewer.
const resultsPerPart = 8

func (j *job) finish() outcome {
	// What has not been sent is of no use any more, and then it has not run.
	for _, s := range j.sends {
		if s.permit.Revoke() {
			j.state.AttemptCancelled(s.Shard, s.Attempt)
		}
	}
	go func() {
		j.running.Wait()
		j.cancel()
	}()
	j.out.reason, _ = j.state.Done()
	j.out.enough = j.state.CoverageMet()
	j.out.ran = j.state.MayHaveRun()
	j.out.missing = j.state.Missing()
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
				msg = "part sent after a wait for room"
			}
			j.edge.log.Info(componentRequest, msg, "id", j.rq.id, "service", s.Service, "server", s.Server, "attempt", s.Attempt,
				"cause", s.Cause.String(), "afterMs", ms(s.SinceFirst), "usualMs", ms(j.typical), "lateMs", ms(j.late))
		}
		permit := &link.Permit{}
		j.sends = append(j.sends, sentAttempt{s, permit})
		j.running.Add(1)
		go j.attempt(s, permit)
	}
	if len(sends) > 0 {
		j.edge.load.add(time.Now(), len(sends))
	}
}

func (j *job) handleResult(f attemptResult) {
	now := time.Now()
	if f.res.Answer != nil {
		if f.res.Verdict == gather.VerdictAnswered && !j.state.Answered(f.send.Shard) {
			j.out.parts[f.send.Shard] = f.res.Answer
		}
		if f.res.Verdict == gather.VerdictFailed {
			j.out.lastFailed = f.res.Answer
		}
	}
	if f.res.Verdict == gather.VerdictRefused {
		j.out.refused++
	}
	j.start(j.state.AttemptEnded(now, gather.AttemptResult{Shard: f.send.Shard, Attempt: f.send.Attempt, Verdict: f.res.Verdict}, j.chooser))
}

func (j *job) attempt(s gather.Send, permit *link.Permit) {
	defer j.running.Done()
	e := j.edge
	began := time.Now()
	ticket, target, connections, ok := e.dispatch.begin(began, s, j.typical)
	if !ok {
		j.results <- attemptResult{s, link.Result{Verdict: gather.VerdictUnsent}}
		return
	}
	res := e.links.Do(j.attemptsCtx, link.Call{
		Target: target, Method: j.rq.method, Head: j.rq.head, Body: j.rq.body, RequestID: j.rq.id,
		Deadline: j.expires(), MaxConnections: connections, Permit: permit,
	})
	now := time.Now()
	if j.attemptsCtx.Err() != nil || res.Revoked {
		e.dispatch.cancelled(ticket)
	} else {
		e.logServerChange(s.Server, s.Service, e.dispatch.end(now, j.rq.route, ticket, s.Server, res, e.names, now.Sub(began)))
		e.logAttempt(j.rq, s, res, now.Sub(began))
	}
	j.results <- attemptResult{s, res}
}

// expires returns when a server is to stop work: a part that comes long after the answer is of no use.
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

// logBelief logs what the end of a request has changed in what is believed of its server.
func (e *Edge) logServerChange(server ident.Server, service ident.Service, change serverChange) {
	switch {
	case change.backoff > 0:
		e.log.Warn(componentServers, "server rests", "server", server, "service", service, "restMs", ms(change.backoff), "reason", "it cannot be reached or is silent")
	case change.recovered:
		e.log.Info(componentServers, "server answers again", "server", server, "service", service)
	case change.misplaced:
		e.log.Warn(componentServers, "server left out", "server", server, "service", service, "reason", "another server has answered in its place")
	}
	if change.coldFor > 0 {
		e.log.Info(componentServers, "server is cold", "server", server, "service", service, "coldMs", ms(change.coldFor))
	}
}

func ms(d time.Duration) float64 {
	return float64(d.Round(10*time.Microsecond)) / float64(time.Millisecond)
}

func hasBody(r *http.Request) bool { return r.ContentLength != 0 || len(r.TransferEncoding) > 0 }
