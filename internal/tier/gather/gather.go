package gather

import (
	"math"
	"slices"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
)

const (
	// initialBackoff is the delay before a part is tried again on servers that refused it or had no capacity. It doubles with each
	// further retry, up to maxBackoff.
	initialBackoff = 8 * time.Millisecond
	maxBackoff     = 100 * time.Millisecond
	// maxTotalAttempts bounds the attempts at one part, including those that did not run.
	maxTotalAttempts = 6
	// hedgeDelayFactor times Spec.LateAfter is the age of an attempt at which a hedge is sent.
	hedgeDelayFactor = 1.1
	// hedgeReserveFactor times Spec.TypicalLatency is kept free before the soft deadline so that a hedge can still answer in time.
	hedgeReserveFactor = 1.5
)

// State is the state machine of one request. It is not safe for concurrent use.
type State struct {
	spec         Spec
	shards       []shard
	numAnswered  int
	numAbandoned int
	done         bool
	reason       Reason
	mayHaveRun   bool
}

type shard struct {
	attempts  []attempt
	answered  bool
	abandoned bool
	retryAt   time.Time
	backoff   time.Duration
}

type attempt struct {
	server  ident.Server
	sent    time.Time
	ended   bool
	verdict Verdict
}

// New returns the state of a request that has not been started.
func New(spec Spec) *State { return &State{spec: spec, shards: make([]shard, len(spec.Shards))} }

// Start returns the first attempts. A part whose servers have no capacity is retried after a backoff. If so many parts lack
// capacity that MinCoverage would be missed without them, the request ends with ReasonUnreachable and nothing is sent.
func (s *State) Start(now time.Time, c Chooser) []Send {
	var out []Send
	var deferred []int
	for i := range s.shards {
		send, capacity := s.sendFirst(now, i, c)
		switch capacity {
		case CapacityNow:
			out = append(out, send)
		case CapacityLater:
			deferred = append(deferred, i)
		case CapacityNone:
			s.close(i)
		}
	}
	if !s.coverageReachable(len(deferred)) {
		// None of the collected attempts has been sent. They are removed so that MayHaveRun returns false.
		clear(s.shards)
		s.finish(ReasonUnreachable)
		return nil
	}
	for _, i := range deferred {
		s.scheduleRetry(now, i, s.spec.SoftDeadline)
	}
	s.checkDone(now)
	return out
}

// AttemptEnded records the result of an attempt and returns the retry to send, if any. A second result of an attempt is ignored.
func (s *State) AttemptEnded(now time.Time, res AttemptResult, c Chooser) []Send {
	sh := &s.shards[res.Shard]
	a := &sh.attempts[res.Attempt]
	if a.ended {
		return nil
	}
	a.ended, a.verdict = true, res.Verdict
	if !res.Verdict.NotRun() {
		s.mayHaveRun = true
	}
	if s.done || sh.answered {
		return nil
	}
	if res.Verdict == VerdictAnswered {
		sh.answered = true
		s.numAnswered++
		s.checkDone(now)
		return nil
	}
	var out []Send
	if sh.inFlight() == 0 {
		out = s.retry(now, res.Shard, c, false)
	}
	s.checkDone(now)
	if s.done {
		return nil
	}
	return out
}

// Tick returns the hedges and retries that are due, and ends the request if a deadline has passed.
func (s *State) Tick(now time.Time, c Chooser) []Send {
	s.checkDone(now)
	if s.done {
		return nil
	}
	var out []Send
	for i := range s.shards {
		sh := &s.shards[i]
		switch {
		case sh.answered || sh.abandoned:
		case sh.inFlight() == 0 && !sh.retryAt.IsZero() && !now.Before(sh.retryAt):
			out = append(out, s.retry(now, i, c, true)...)
		case sh.inFlight() == 1 && s.hedgeDue(now, sh):
			if send, capacity := s.hedge(now, i, c); capacity == CapacityNow {
				out = append(out, send)
			}
		}
	}
	s.checkDone(now)
	return out
}

// Stop ends the request with what has been answered so far, because the process stops. It does nothing if the request has ended.
func (s *State) Stop() {
	if !s.done {
		s.finish(ReasonStopped)
	}
}

// AttemptCancelled records that an attempt was cancelled before it was sent. It neither ends the request nor causes a retry.
func (s *State) AttemptCancelled(shard, attempt int) {
	a := &s.shards[shard].attempts[attempt]
	if !a.ended {
		a.ended, a.verdict = true, VerdictUnsent
	}
}

// NextTick returns when Tick must be called at the latest, or false if the request has ended.
func (s *State) NextTick(now time.Time) (time.Time, bool) {
	if s.done {
		return time.Time{}, false
	}
	next := s.spec.HardDeadline
	if now.Before(s.spec.SoftDeadline) {
		next = earlier(next, s.spec.SoftDeadline)
	}
	for i := range s.shards {
		sh := &s.shards[i]
		if sh.answered || sh.abandoned {
			continue
		}
		if sh.inFlight() == 0 && !sh.retryAt.IsZero() {
			next = earlier(next, sh.retryAt)
		}
		if at, ok := s.hedgeAt(sh); ok && at.After(now) {
			next = earlier(next, at)
		}
	}
	return next, true
}

// Done reports whether the request has ended and, if so, the reason.
func (s *State) Done() (Reason, bool) { return s.reason, s.done }

// Answered reports whether the part of a shard has been answered. The shard is an index into Spec.Shards.
func (s *State) Answered(shard int) bool { return s.shards[shard].answered }

// NumAnswered returns the number of answered parts.
func (s *State) NumAnswered() int { return s.numAnswered }

// CoverageMet reports whether at least one part and a fraction MinCoverage of all parts have been answered.
func (s *State) CoverageMet() bool {
	return s.numAnswered > 0 && float64(s.numAnswered) >= s.spec.MinCoverage*float64(len(s.shards))-1e-9
}

// MayHaveRun reports whether any attempt has run, may have run or is still in flight.
func (s *State) MayHaveRun() bool {
	if s.mayHaveRun {
		return true
	}
	for i := range s.shards {
		if s.shards[i].inFlight() > 0 {
			return true
		}
	}
	return false
}

// Missing returns the services whose parts have not been answered.
func (s *State) Missing() []ident.Service {
	var out []ident.Service
	for i := range s.shards {
		if !s.shards[i].answered {
			out = append(out, s.spec.Shards[i])
		}
	}
	return out
}

// NumShort returns how many further parts must be answered until CoverageMet.
func (s *State) NumShort() int {
	required := max(1, int(math.Ceil(s.spec.MinCoverage*float64(len(s.shards))-1e-9)))
	return max(0, required-s.numAnswered)
}

// checkDone ends the request if it is answered, can no longer be answered or has passed a deadline.
func (s *State) checkDone(now time.Time) {
	switch {
	case s.done:
	case s.numAnswered == len(s.shards):
		s.finish(ReasonComplete)
	case s.numAnswered+s.numAbandoned == len(s.shards) && s.CoverageMet():
		s.finish(ReasonInTime)
	// An attempt ends with its request, so its end and the deadline may be seen in either order.
	case !now.Before(s.spec.HardDeadline):
		s.finish(ReasonDeadline)
	case !s.coverageReachable(0):
		s.finish(ReasonUnreachable)
	case !now.Before(s.spec.SoftDeadline) && s.CoverageMet() && len(s.shards) > 1:
		s.finish(ReasonInTime)
	}
}

func (s *State) finish(r Reason) { s.done, s.reason = true, r }

// coverageReachable reports whether MinCoverage can still be met if extraMissing parts are lost besides the abandoned ones.
func (s *State) coverageReachable(extraMissing int) bool {
	possible := len(s.shards) - s.numAbandoned - extraMissing
	return possible > 0 && float64(possible) >= s.spec.MinCoverage*float64(len(s.shards))-1e-9
}

// close gives up on a part: it stays without an answer.
func (s *State) close(i int) {
	if !s.shards[i].abandoned {
		s.shards[i].abandoned = true
		s.numAbandoned++
	}
}

// retry sends a part again after all its attempts have ended. If no server can take it now, it schedules a retry after a backoff or
// abandons the part.
func (s *State) retry(now time.Time, i int, c Chooser, afterBackoff bool) []Send {
	sh := &s.shards[i]
	sh.retryAt = time.Time{}
	if sh.possibleRuns() >= s.spec.MaxAttempts || (!s.spec.Idempotent && sh.possibleRuns() > 0) || len(sh.attempts) >= maxTotalAttempts {
		s.close(i)
		return nil
	}
	exclude, cause := sh.triedServers(), CauseEnded
	if afterBackoff {
		exclude, cause = sh.ineligibleServers(), CauseWaited
	}
	send, capacity := s.resend(now, i, c, exclude, cause)
	switch {
	case capacity == CapacityNow:
		return []Send{send}
	case !afterBackoff && sh.anyRefused():
		s.scheduleRetry(now, i, s.spec.HardDeadline)
	case capacity == CapacityLater:
		s.scheduleRetry(now, i, s.spec.SoftDeadline)
	default:
		s.close(i)
	}
	return nil
}

// scheduleRetry schedules a retry after a backoff, or abandons the part if its answer could not arrive by the deadline.
func (s *State) scheduleRetry(now time.Time, i int, deadline time.Time) {
	sh := &s.shards[i]
	backoff := initialBackoff
	if sh.backoff > 0 {
		backoff = min(2*sh.backoff, maxBackoff)
	}
	if now.Add(backoff + s.spec.TypicalLatency).After(deadline) {
		s.close(i)
		return
	}
	sh.backoff, sh.retryAt = backoff, now.Add(backoff)
}

// resend chooses a server for a further attempt at a part. An attempt counts against the retry budget only if an earlier one reached a
// server or may have reached one.
func (s *State) resend(now time.Time, i int, c Chooser, exclude []ident.Server, cause Cause) (Send, Capacity) {
	server, capacity := c.Choose(now, s.spec.Shards[i], exclude, cause)
	if capacity != CapacityNow {
		return Send{}, capacity
	}
	if s.shards[i].mayHaveArrived() && !c.AllowRetry(now, s.spec.Shards[i], cause) {
		return Send{}, CapacityNone
	}
	return s.addAttempt(now, i, server, cause), CapacityNow
}

func (s *State) sendFirst(now time.Time, i int, c Chooser) (Send, Capacity) {
	server, capacity := c.Choose(now, s.spec.Shards[i], nil, CauseFirst)
	if capacity != CapacityNow {
		return Send{}, capacity
	}
	return s.addAttempt(now, i, server, CauseFirst), CapacityNow
}

func (s *State) hedge(now time.Time, i int, c Chooser) (Send, Capacity) {
	return s.resend(now, i, c, s.shards[i].triedServers(), CauseLate)
}

func (s *State) addAttempt(now time.Time, i int, server ident.Server, cause Cause) Send {
	sh := &s.shards[i]
	sh.attempts = append(sh.attempts, attempt{server: server, sent: now})
	return Send{
		Shard: i, Attempt: len(sh.attempts) - 1, Service: s.spec.Shards[i], Server: server, Cause: cause,
		SinceFirst: now.Sub(sh.attempts[0].sent),
	}
}

// hedgeAt returns when a hedge is due: once the attempt is late, but no later than the last moment at which a hedge can still answer
// by the soft deadline, provided that the attempt has had its typical latency by then. It returns false if no hedge is allowed.
func (s *State) hedgeAt(sh *shard) (time.Time, bool) {
	if !s.spec.Idempotent || sh.inFlight() != 1 || sh.possibleRuns() >= s.spec.MaxAttempts || len(sh.attempts) >= maxTotalAttempts {
		return time.Time{}, false
	}
	at := sh.inFlightSince().Add(time.Duration(hedgeDelayFactor * float64(s.spec.LateAfter)))
	latest := s.spec.SoftDeadline.Add(-time.Duration(hedgeReserveFactor * float64(s.spec.TypicalLatency)))
	if latest.After(sh.inFlightSince().Add(s.spec.TypicalLatency)) {
		at = earlier(at, latest)
	}
	return at, true
}

func (s *State) hedgeDue(now time.Time, sh *shard) bool {
	at, ok := s.hedgeAt(sh)
	return ok && !now.Before(at)
}

func (sh *shard) inFlight() int {
	n := 0
	for i := range sh.attempts {
		if !sh.attempts[i].ended {
			n++
		}
	}
	return n
}

// possibleRuns counts the attempts that ran or may have run, including those in flight.
func (sh *shard) possibleRuns() int {
	n := 0
	for i := range sh.attempts {
		if !sh.attempts[i].ended || !sh.attempts[i].verdict.NotRun() {
			n++
		}
	}
	return n
}

// mayHaveArrived reports whether any attempt reached a server or may have reached one.
func (sh *shard) mayHaveArrived() bool {
	return slices.ContainsFunc(sh.attempts, func(a attempt) bool { return !a.ended || a.verdict != VerdictUnsent })
}

func (sh *shard) triedServers() []ident.Server {
	out := make([]ident.Server, len(sh.attempts))
	for i := range sh.attempts {
		out[i] = sh.attempts[i].server
	}
	return out
}

// ineligibleServers returns the servers that a part must not be sent to again: those that ran it or may have, and those where another
// server answered. Servers that refused the part or could not be reached may be tried again.
func (sh *shard) ineligibleServers() []ident.Server {
	var out []ident.Server
	for i := range sh.attempts {
		if v := sh.attempts[i].verdict; !sh.attempts[i].ended || v != VerdictRefused && v != VerdictUnsent {
			out = append(out, sh.attempts[i].server)
		}
	}
	return out
}

// anyRefused reports whether a server refused the part for lack of capacity, in which case a retry after a backoff may succeed.
func (sh *shard) anyRefused() bool {
	return slices.ContainsFunc(sh.attempts, func(a attempt) bool { return a.ended && a.verdict == VerdictRefused })
}

// inFlightSince returns when the only attempt in flight was sent.
func (sh *shard) inFlightSince() time.Time {
	for i := range sh.attempts {
		if !sh.attempts[i].ended {
			return sh.attempts[i].sent
		}
	}
	return time.Time{}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
