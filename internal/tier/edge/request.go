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
	tripUnknown = 8 * time.Millisecond
	// tripMost bounds that time, as a share of the aim: beyond it an answer cannot be in time anyway.
	tripMost = 0.5
	// mergeTime is left for merging and writing an answer over shards, by a VM that shares its core with other requests.
	mergeTime = 6 * time.Millisecond
	// lingerAims times the aim after an answer was due, or lingerUsual times the usual latency of a part if that is longer, parts
	// that are still open are stopped.
	lingerAims  = 1.0
	lingerUsual = 4.0
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
	trip time.Duration
	// soft is when the answer should be on its way to be in time, hard when the request ends.
	soft, hard time.Time
}

// outcome is how a request ended.
type outcome struct {
	reason  gather.Reason
	gone    bool
	enough  bool
	ran     bool
	parts   []*link.Answer
	missing []ident.Service
	// last is the last answer of a server that failed.
	last    *link.Answer
	sends   int
	hedges  int
	refused int
	passed  passed
}

type finished struct {
	send gather.Send
	res  link.Result
}

// run drives a request to its end.
func (e *Edge) run(ctx context.Context, rq *request) outcome {
	usual, late := e.dispatch.usual(rq.route)
	shards := rq.route.Shards()
	spec := gather.Spec{
		Shards: shards, MaxAttempts: rq.route.MaxAttempts(), Idempotent: rq.route.Kind() == table.KindIdempotent,
		MinCoverage: rq.route.MinCoverage(), SoftDeadline: rq.soft, HardDeadline: rq.hard, TypicalLatency: usual, LateAfter: late,
	}
	if len(shards) == 0 {
		spec.Shards = []ident.Service{rq.route.Choose(e.dispatch.random())}
		spec.MinCoverage = 1
	}
	patience := e.dispatch.patience(rq.rank, rq.soft.Sub(rq.arrived))
	j := &job{
		edge: e, rq: rq, state: gather.New(spec), usual: usual, late: late,
		chooser: &chooser{dispatch: e.dispatch, usual: usual, patience: patience, denied: func(s ident.Service, first, repeats int, part float64) {
			e.log.Info(partRequest, "second attempt not allowed", "id", rq.id, "service", s, "first", first, "repeats", repeats, "part", part)
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
	usual, late time.Duration
	results     chan finished
	// attempts ends when the caller has gone; open counts the attempts that have not ended.
	attempts context.Context
	cancel   context.CancelFunc
	open     sync.WaitGroup
	sends    []sent
	out      outcome
}

// sent is an attempt that was begun, with what is needed to take it back.
type sent struct {
	gather.Send
	permit *link.Permit
}

func (j *job) run(ctx context.Context, shards int) outcome {
	// Each part has few attempts, and none of them may be held up by a job that has ended.
	j.results = make(chan finished, shards*attemptsHeld)
	j.attempts, j.cancel = context.WithCancel(context.WithoutCancel(ctx))
	j.out.parts = make([]*link.Answer, shards)
	j.send(j.state.Start(time.Now(), j.chooser))
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
			j.take(f)
		case <-timer.C:
			j.send(j.state.Tick(time.Now(), j.chooser))
		case <-ctx.Done():
			j.cancel()
			j.out.gone = true
			return j.finish()
		}
	}
}

// attemptsHeld is how many attempts at a part can end unheard; package gather makes fewer.
const attemptsHeld = 8

func (j *job) finish() outcome {
	// What has not been sent is of no use any more, and then it has not run.
	for _, s := range j.sends {
		if s.permit.TakeBack() {
			j.state.AttemptCancelled(s.Shard, s.Attempt)
		}
	}
	go func() {
		j.open.Wait()
		j.cancel()
	}()
	j.out.reason, _ = j.state.Done()
	j.out.enough = j.state.CoverageMet()
	j.out.ran = j.state.MayHaveRun()
	j.out.missing = j.state.Missing()
	j.out.passed = j.chooser.passed
	return j.out
}

func (j *job) send(sends []gather.Send) {
	for _, s := range sends {
		j.out.sends++
		if s.Cause == gather.CauseLate {
			j.out.hedges++
		}
		if s.Cause != gather.CauseFirst {
			text := "part sent again"
			if s.Attempt == 0 {
				text = "part sent after a wait for room"
			}
			j.edge.log.Info(partRequest, text, "id", j.rq.id, "service", s.Service, "server", s.Server, "attempt", s.Attempt,
				"cause", s.Cause.String(), "afterMs", ms(s.SinceFirst), "usualMs", ms(j.usual), "lateMs", ms(j.late))
		}
		permit := &link.Permit{}
		j.sends = append(j.sends, sent{s, permit})
		j.open.Add(1)
		go j.attempt(s, permit)
	}
	if len(sends) > 0 {
		j.edge.load.add(time.Now(), len(sends))
	}
}

func (j *job) take(f finished) {
	now := time.Now()
	if f.res.Answer != nil {
		if f.res.Verdict == gather.VerdictAnswered && !j.state.Answered(f.send.Shard) {
			j.out.parts[f.send.Shard] = f.res.Answer
		}
		if f.res.Verdict == gather.VerdictFailed {
			j.out.last = f.res.Answer
		}
	}
	if f.res.Verdict == gather.VerdictRefused {
		j.out.refused++
	}
	j.send(j.state.AttemptEnded(now, gather.AttemptResult{Shard: f.send.Shard, Attempt: f.send.Attempt, Verdict: f.res.Verdict}, j.chooser))
}

func (j *job) attempt(s gather.Send, permit *link.Permit) {
	defer j.open.Done()
	e := j.edge
	began := time.Now()
	ticket, target, connections, ok := e.dispatch.begin(began, s, j.usual)
	if !ok {
		j.results <- finished{s, link.Result{Verdict: gather.VerdictUnsent}}
		return
	}
	res := e.links.Do(j.attempts, link.Call{
		Target: target, Method: j.rq.method, Head: j.rq.head, Body: j.rq.body, RequestID: j.rq.id,
		Expires: j.expires(), Connections: connections, Permit: permit,
	})
	now := time.Now()
	if j.attempts.Err() != nil || res.TakenBack {
		e.dispatch.dropped(ticket)
	} else {
		e.logBelief(s.Server, s.Service, e.dispatch.end(now, j.rq.route, ticket, s.Server, res, e.names, now.Sub(began)))
		e.logAttempt(j.rq, s, res, now.Sub(began))
	}
	j.results <- finished{s, res}
}

// expires returns when a server is to stop work: a part that comes long after the answer is of no use.
func (j *job) expires() time.Time {
	aim := j.rq.route.Aim()
	if len(j.out.parts) == 1 || aim <= 0 {
		return j.rq.hard
	}
	linger := max(time.Duration(lingerAims*float64(aim)), time.Duration(lingerUsual*float64(j.usual)))
	if limit := j.rq.soft.Add(linger); limit.Before(j.rq.hard) {
		return limit
	}
	return j.rq.hard
}

func (e *Edge) logAttempt(rq *request, s gather.Send, res link.Result, took time.Duration) {
	if res.Verdict == gather.VerdictAnswered {
		if s.Attempt > 0 {
			e.log.Info(partRequest, "part answered by a second server", "id", rq.id, "service", s.Service, "server", s.Server, "ms", ms(took))
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
	e.log.Warn(partRequest, "part not answered", fields...)
}

// logBelief logs what the end of a request has changed in what is believed of its server.
func (e *Edge) logBelief(server ident.Server, service ident.Service, b belief) {
	switch {
	case b.rest > 0:
		e.log.Warn(partServers, "server rests", "server", server, "service", service, "restMs", ms(b.rest), "reason", "it cannot be reached or is silent")
	case b.back:
		e.log.Info(partServers, "server answers again", "server", server, "service", service)
	case b.wrong:
		e.log.Warn(partServers, "server left out", "server", server, "service", service, "reason", "another server has answered in its place")
	}
	if b.cold > 0 {
		e.log.Info(partServers, "server is cold", "server", server, "service", service, "coldMs", ms(b.cold))
	}
}

func ms(d time.Duration) float64 {
	return float64(d.Round(10*time.Microsecond)) / float64(time.Millisecond)
}

func hasBody(r *http.Request) bool { return r.ContentLength != 0 || len(r.TransferEncoding) > 0 }
