package gather

import (
	"slices"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
)

const (
	// backoffFirst is the pause before a part goes to servers that have refused it or had no room; it doubles each time.
	backoffFirst = 8 * time.Millisecond
	backoffMost  = 100 * time.Millisecond
	// attemptsMost bounds the attempts at one part, refused ones included.
	attemptsMost = 6
	// hedgeFactor times the latency that counts as late is waited before a second server is asked.
	hedgeFactor = 1.1
	// leaveFactor times the usual latency must be left for a second server to be asked in time.
	leaveFactor = 1.5
)

// State is one request in progress. It is driven by one goroutine at a time.
type State struct {
	spec   Spec
	shards []shard
	in     int
	closed int
	done   bool
	reason Reason
	ran    bool
}

type shard struct {
	attempts []attempt
	answered bool
	closed   bool
	retryAt  time.Time
	backoff  time.Duration
}

type attempt struct {
	server  ident.Server
	sent    time.Time
	ended   bool
	verdict Verdict
}

// New returns the state of a request that has not been started.
func New(spec Spec) *State { return &State{spec: spec, shards: make([]shard, len(spec.Shards))} }

// Start returns the first sends. Nothing is sent when servers have no room for more parts than may be missing; when they
// have none for a few, these are sent once there is room.
func (s *State) Start(now time.Time, c Chooser) []Send {
	var out []Send
	var later []int
	for i := range s.shards {
		send, room := s.send(now, i, c)
		switch room {
		case CapacityNow:
			out = append(out, send)
		case CapacityLater:
			later = append(later, i)
		case CapacityNone:
			s.close(i)
		}
	}
	if !s.reachable(len(later)) {
		// Nothing has been sent yet, and nothing will be.
		clear(s.shards)
		s.finish(ReasonUnreachable)
		return nil
	}
	for _, i := range later {
		s.wait(now, i, s.spec.SoftDeadline)
	}
	s.settle(now)
	return out
}

// AttemptEnded takes the end of an attempt and returns what to send for it.
func (s *State) AttemptEnded(now time.Time, e AttemptResult, c Chooser) []Send {
	sh := &s.shards[e.Shard]
	a := &sh.attempts[e.Attempt]
	if a.ended {
		return nil
	}
	a.ended, a.verdict = true, e.Verdict
	if !e.Verdict.NotRun() {
		s.ran = true
	}
	if s.done || sh.answered {
		return nil
	}
	if e.Verdict == VerdictAnswered {
		sh.answered = true
		s.in++
		s.settle(now)
		return nil
	}
	var out []Send
	if sh.open() == 0 {
		out = s.again(now, e.Shard, c, false)
	}
	s.settle(now)
	if s.done {
		return nil
	}
	return out
}

// Tick returns what to send because time has passed.
func (s *State) Tick(now time.Time, c Chooser) []Send {
	s.settle(now)
	if s.done {
		return nil
	}
	var out []Send
	for i := range s.shards {
		sh := &s.shards[i]
		switch {
		case sh.answered || sh.closed:
		case sh.open() == 0 && !sh.retryAt.IsZero() && !now.Before(sh.retryAt):
			out = append(out, s.again(now, i, c, true)...)
		case sh.open() == 1 && s.hedgeDue(now, sh):
			if send, room := s.hedge(now, i, c); room == CapacityNow {
				out = append(out, send)
			}
		}
	}
	s.settle(now)
	return out
}

// AttemptCancelled takes an attempt that was taken back before it was sent; it ends no request and causes no sends.
func (s *State) AttemptCancelled(shard, attempt int) {
	a := &s.shards[shard].attempts[attempt]
	if !a.ended {
		a.ended, a.verdict = true, VerdictUnsent
	}
}

// NextTick returns when the state wants to be driven, and false when it is done.
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
		if sh.answered || sh.closed {
			continue
		}
		if sh.open() == 0 && !sh.retryAt.IsZero() {
			next = earlier(next, sh.retryAt)
		}
		if at, ok := s.hedgeAt(sh); ok && at.After(now) {
			next = earlier(next, at)
		}
	}
	return next, true
}

// Done reports whether the request has ended, and why.
func (s *State) Done() (Reason, bool) { return s.reason, s.done }

// Answered reports whether a part is in.
func (s *State) Answered(shard int) bool { return s.shards[shard].answered }

// NumAnswered returns how many parts are in.
func (s *State) NumAnswered() int { return s.in }

// CoverageMet reports whether enough parts are in for a success.
func (s *State) CoverageMet() bool {
	return s.in > 0 && float64(s.in) >= s.spec.MinCoverage*float64(len(s.shards))-1e-9
}

// MayHaveRun reports whether any part has run or may have.
func (s *State) MayHaveRun() bool {
	if s.ran {
		return true
	}
	for i := range s.shards {
		if s.shards[i].open() > 0 {
			return true
		}
	}
	return false
}

// Missing returns the services whose parts are not in.
func (s *State) Missing() []ident.Service {
	var out []ident.Service
	for i := range s.shards {
		if !s.shards[i].answered {
			out = append(out, s.spec.Shards[i])
		}
	}
	return out
}

func (s *State) settle(now time.Time) {
	switch {
	case s.done:
	case s.in == len(s.shards):
		s.finish(ReasonComplete)
	case s.in+s.closed == len(s.shards) && s.CoverageMet():
		s.finish(ReasonInTime)
	case !s.reachable(0):
		s.finish(ReasonUnreachable)
	case !now.Before(s.spec.HardDeadline):
		s.finish(ReasonDeadline)
	case !now.Before(s.spec.SoftDeadline) && s.CoverageMet() && len(s.shards) > 1:
		s.finish(ReasonInTime)
	}
}

func (s *State) finish(r Reason) { s.done, s.reason = true, r }

// reachable reports whether enough parts are in or can still come, if some more than those closed do not.
func (s *State) reachable(without int) bool {
	can := len(s.shards) - s.closed - without
	return can > 0 && float64(can) >= s.spec.MinCoverage*float64(len(s.shards))-1e-9
}

func (s *State) close(i int) {
	if !s.shards[i].closed {
		s.shards[i].closed = true
		s.closed++
	}
}

// again sends a part once more after all its attempts have ended, at once or after a pause, or gives it up.
func (s *State) again(now time.Time, i int, c Chooser, paused bool) []Send {
	sh := &s.shards[i]
	sh.retryAt = time.Time{}
	if sh.runs() >= s.spec.MaxAttempts || (!s.spec.Idempotent && sh.runs() > 0) || len(sh.attempts) >= attemptsMost {
		s.close(i)
		return nil
	}
	exclude, cause := sh.tried(), CauseEnded
	if paused {
		exclude, cause = sh.ran(), CauseWaited
	}
	send, room := s.repeat(now, i, c, exclude, cause)
	switch {
	case room == CapacityNow:
		return []Send{send}
	case !paused && sh.refused():
		s.wait(now, i, s.spec.HardDeadline)
	case room == CapacityLater:
		s.wait(now, i, s.spec.SoftDeadline)
	default:
		s.close(i)
	}
	return nil
}

// wait has a part tried again after a pause, or gives it up when it could not be in by the limit.
func (s *State) wait(now time.Time, i int, limit time.Time) {
	sh := &s.shards[i]
	pause := backoffFirst
	if sh.backoff > 0 {
		pause = min(2*sh.backoff, backoffMost)
	}
	if now.Add(pause + s.spec.TypicalLatency).After(limit) {
		s.close(i)
		return
	}
	sh.backoff, sh.retryAt = pause, now.Add(pause)
}

func (s *State) repeat(now time.Time, i int, c Chooser, exclude []ident.Server, cause Cause) (Send, Capacity) {
	server, room := c.Choose(now, s.spec.Shards[i], exclude)
	if room != CapacityNow {
		return Send{}, room
	}
	if s.shards[i].arrived() && !c.AllowRetry(now, s.spec.Shards[i]) {
		return Send{}, CapacityNone
	}
	return s.record(now, i, server, cause), CapacityNow
}

func (s *State) send(now time.Time, i int, c Chooser) (Send, Capacity) {
	server, room := c.Choose(now, s.spec.Shards[i], nil)
	if room != CapacityNow {
		return Send{}, room
	}
	return s.record(now, i, server, CauseFirst), CapacityNow
}

func (s *State) hedge(now time.Time, i int, c Chooser) (Send, Capacity) {
	return s.repeat(now, i, c, s.shards[i].tried(), CauseLate)
}

func (s *State) record(now time.Time, i int, server ident.Server, cause Cause) Send {
	sh := &s.shards[i]
	sh.attempts = append(sh.attempts, attempt{server: server, sent: now})
	return Send{
		Shard: i, Attempt: len(sh.attempts) - 1, Service: s.spec.Shards[i], Server: server, Cause: cause,
		SinceFirst: now.Sub(sh.attempts[0].sent),
	}
}

// hedgeAt returns when a second server is asked for a part: when it is late, but in time for the other to answer.
func (s *State) hedgeAt(sh *shard) (time.Time, bool) {
	if !s.spec.Idempotent || sh.open() != 1 || sh.runs() >= s.spec.MaxAttempts || len(sh.attempts) >= attemptsMost {
		return time.Time{}, false
	}
	at := sh.openSince().Add(time.Duration(hedgeFactor * float64(s.spec.LateAfter)))
	latest := s.spec.SoftDeadline.Add(-time.Duration(leaveFactor * float64(s.spec.TypicalLatency)))
	if latest.After(sh.openSince().Add(s.spec.TypicalLatency)) {
		at = earlier(at, latest)
	}
	return at, true
}

func (s *State) hedgeDue(now time.Time, sh *shard) bool {
	at, ok := s.hedgeAt(sh)
	return ok && !now.Before(at)
}

func (sh *shard) open() int {
	n := 0
	for i := range sh.attempts {
		if !sh.attempts[i].ended {
			n++
		}
	}
	return n
}

// runs counts the attempts that have run or may have; open ones count.
func (sh *shard) runs() int {
	n := 0
	for i := range sh.attempts {
		if !sh.attempts[i].ended || !sh.attempts[i].verdict.NotRun() {
			n++
		}
	}
	return n
}

// arrived reports whether an attempt has reached a server or may have.
func (sh *shard) arrived() bool {
	return slices.ContainsFunc(sh.attempts, func(a attempt) bool { return !a.ended || a.verdict != VerdictUnsent })
}

func (sh *shard) tried() []ident.Server {
	out := make([]ident.Server, len(sh.attempts))
	for i := range sh.attempts {
		out[i] = sh.attempts[i].server
	}
	return out
}

// ran returns the servers that a part must not go to again: those that ran it or are not what they were taken for.
func (sh *shard) ran() []ident.Server {
	var out []ident.Server
	for i := range sh.attempts {
		if v := sh.attempts[i].verdict; !sh.attempts[i].ended || v != VerdictRefused && v != VerdictUnsent {
			out = append(out, sh.attempts[i].server)
		}
	}
	return out
}

// refused reports whether some server had no room, so that waiting may help.
func (sh *shard) refused() bool {
	return slices.ContainsFunc(sh.attempts, func(a attempt) bool { return a.ended && a.verdict == VerdictRefused })
}

// openSince returns when the only open attempt was made.
func (sh *shard) openSince() time.Time {
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
