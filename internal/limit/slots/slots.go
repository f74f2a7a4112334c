package slots

import (
	"time"

	"kumquatreel.example/kumquatreel/internal/base/clock"
	"kumquatreel.example/kumquatreel/internal/base/fault"
	"kumquatreel.example/kumquatreel/internal/limit/fairq"
)

const (
	// An attempt is slow if it takes longer than slowLatencyFactor times the average.
	slowLatencyFactor = 2
	// latencyRunLength is how many slow attempts mark a server cold, and how many others in a row before that end the suspicion.
	latencyRunLength = 4
	// latencySmoothing is the weight of a new value in the moving average of the latency.
	latencySmoothing = 0.1
	// The backoff after a failed connection doubles from initialBackoff to maxBackoff.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 2 * time.Second
	// idleTimeout is the time without a success after which an idle warm server is probed again.
	idleTimeout = 30 * time.Second
	// maxWait is the longest wait for the limit of a server that is told from a longer one, and the longest time for which a server can
	// keep attempts away.
	maxWait = time.Hour
)

// Scheduler schedules the attempts at one backend server. It is not safe for concurrent use.
type Scheduler struct {
	queue fairq.Queue[Attempt]
	// inFlight holds the time at which each attempt was sent.
	inFlight map[ID]clock.Instant
	warmth   Warmth
	// successes counts the successful attempts since the server was marked cold or its connection failed.
	successes   int
	incarnation string
	draining    bool
	// adaptiveLimit bounds the attempts in flight after the server has shed load, 0 for no bound. It is halved on each shed attempt
	// and grows by about one per round of successes.
	adaptiveLimit float64
	// latency is the moving average of the latencies observed while the server is warm, 0 if unknown.
	latency time.Duration
	// slowSuspected is set by a slow attempt of a warm server. While it is set, slowCount counts the slow attempts and quickCount those
	// since the last slow one; see observeLatency.
	slowCount     int
	slowSuspected bool
	quickCount    int
	// connectionFailures counts the failures since the server last answered; retryAt ends the backoff.
	connectionFailures int
	retryAt            clock.Instant
	lastSuccess        clock.Instant
	probingSince       clock.Instant
	// reportedWarm is set while only another VM has found the server warm.
	reportedWarm bool
	pace         pace
	// restUntil is the end of the time in which the server wants no attempts, if resting is set.
	resting   bool
	restUntil clock.Instant
	// wasReturning is Env.Returning of the previous step.
	wasReturning bool
}

// New returns a Scheduler for a cold server.
func New() *Scheduler { return &Scheduler{inFlight: make(map[ID]clock.Instant)} }

// Step handles one event and returns the resulting actions, in the order in which to carry them out.
func (s *Scheduler) Step(now clock.Instant, env Env, ev Event) []Action {
	if env.Returning && !s.wasReturning {
		s.markCold(s.incarnation)
	}
	s.wasReturning = env.Returning
	var out []Action
	switch ev := ev.(type) {
	case Offer:
		out = s.offer(now, env, ev.Attempt)
	case Done:
		s.done(now, env, ev)
	case Cancel:
		out = s.cancel(ev.ID)
	case ConnectionClosed:
		s.startProbing(now)
	case Check:
	}
	out = append(out, s.refuseInvalid(now, env)...)
	return append(out, s.dispatch(now, env)...)
}

// InFlight returns the number of attempts that were sent and have not ended.
func (s *Scheduler) InFlight() int { return len(s.inFlight) }

// Waiting returns the number of queued attempts.
func (s *Scheduler) Waiting() int { return s.queue.Len() }

// Warmth returns the warm-up state of the server.
func (s *Scheduler) Warmth() Warmth { return s.warmth }

// Incarnation returns the server's last known incarnation, empty if none is known.
func (s *Scheduler) Incarnation() string { return s.incarnation }

// Latency returns the average latency of an attempt at the server, 0 if unknown.
func (s *Scheduler) Latency() time.Duration { return s.latency }

// ExpectWarm records that another VM has recently found the server warm under an incarnation. If nothing is known of the server yet,
// one attempt at a time may then show whether it still is.
func (s *Scheduler) ExpectWarm(now clock.Instant, incarnation string) {
	if s.warmth == WarmthCold && s.successes == 0 && s.incarnation == "" && incarnation != "" {
		s.warmth = WarmthProbing
		s.probingSince = now
		s.reportedWarm = true
		s.incarnation = incarnation
		s.lastSuccess = now
	}
}

// Limit returns how many attempts may be in flight now.
func (s *Scheduler) Limit(now clock.Instant, env Env) int {
	s.resting = s.resting && !now.Passed(s.restUntil)
	if !env.Usable || s.draining || s.resting || env.Slots <= 0 {
		return 0
	}
	if s.warmth == WarmthWarm && now.MaxSince(s.lastSuccess) > idleTimeout && len(s.inFlight) == 0 {
		s.startProbing(now)
	}
	n := env.Slots
	switch {
	case s.reportedWarm && env.MayProbe:
		n = min(n, 1)
	case s.warmth != WarmthWarm || s.slowSuspected:
		n = min(n, env.ColdSlots)
	}
	if s.connectionFailures > 0 {
		if !now.Passed(s.retryAt) {
			return 0
		}
		n = min(n, 1)
	}
	if s.adaptiveLimit > 0 {
		n = min(n, max(1, int(s.adaptiveLimit)))
	}
	return n
}

// offer queues an attempt or refuses it. If the queue is full, the team with the longest queue by weight loses its newest attempt.
func (s *Scheduler) offer(now clock.Instant, env Env, a Attempt) []Action {
	switch {
	case s.draining:
		return []Action{Refuse{a.ID, fault.CodeLeaving}}
	case !env.Usable:
		return []Action{Refuse{a.ID, fault.CodeUnavailable}}
	case env.Slots <= 0:
		return []Action{Refuse{a.ID, fault.CodeNotOwner}}
	case s.Limit(now, env) == 0:
		return []Action{Refuse{a.ID, fault.CodeUnavailable}}
	}
	var out []Action
	if s.queue.Len() >= env.MaxQueue {
		longest, _ := s.queue.Longest()
		if longest == a.Team {
			return []Action{Refuse{a.ID, fault.CodeOverloaded}}
		}
		victim, _ := s.queue.DropLast(longest)
		out = append(out, Refuse{victim.ID, fault.CodeOverloaded})
	}
	s.queue.Push(a.Team, a.Weight, a)
	return out
}

// cancel refuses a queued attempt and aborts one in flight.
func (s *Scheduler) cancel(id ID) []Action {
	for range s.queue.Remove(func(a Attempt) bool { return a.ID == id }) {
		return []Action{Refuse{id, fault.CodeCancelled}}
	}
	if _, ok := s.inFlight[id]; ok {
		return []Action{Abort{id}}
	}
	return nil
}

// refuseInvalid refuses the queued attempts that may not be sent any more or can no longer finish before their deadline.
func (s *Scheduler) refuseInvalid(now clock.Instant, env Env) []Action {
	if s.queue.Len() == 0 {
		return nil
	}
	limit, kept := s.Limit(now, env), 0
	var out []Action
	s.queue.Remove(func(a Attempt) bool {
		code, drop := fault.CodeInternal, true
		switch {
		case s.draining:
			code = fault.CodeLeaving
		case limit == 0:
			code = fault.CodeUnavailable
		case now.Passed(a.Deadline):
			code = fault.CodeDeadline
		case s.latency > 0 && now.Add(s.latency).Passed(a.Deadline):
			code = fault.CodeDeadline
		case now.Add(s.pace.wait(now, env, kept)).Passed(a.Deadline):
			code = fault.CodeOverloaded
		case env.KeyValid != nil && !env.KeyValid(a.Team, a.KeyID):
			code = fault.CodeUnauthorized
		default:
			drop = false
			kept++
		}
		if drop {
			out = append(out, Refuse{a.ID, code})
		}
		return drop
	})
	return out
}

// dispatch sends queued attempts while the limit allows.
func (s *Scheduler) dispatch(now clock.Instant, env Env) []Action {
	var out []Action
	for s.queue.Len() > 0 && len(s.inFlight) < s.Limit(now, env) && s.pace.take(now, env) {
		a, ok := s.queue.Pop()
		if !ok {
			break
		}
		s.inFlight[a.ID] = now
		out = append(out, Send{a.ID})
	}
	return out
}

// done updates the state of the server by the result of an attempt.
func (s *Scheduler) done(now clock.Instant, env Env, ev Done) {
	sentAt, ok := s.inFlight[ev.ID]
	if !ok {
		return
	}
	delete(s.inFlight, ev.ID)
	r := ev.Result
	s.pace.observe(now, sentAt, r)
	if r.Incarnation != "" && r.Incarnation != s.incarnation {
		s.markCold(r.Incarnation)
	}
	s.draining = s.draining || r.Draining
	s.rest(now, r.Rest)
	switch {
	case r.ConnectionFailed:
		s.connectionFailed(now)
	case r.Shed:
		s.connectionFailures = 0
		s.adaptiveLimit = max(1, s.concurrencyLimit(env)/2)
	case r.Outcome == fault.OutcomeRan:
		s.completed(now, sentAt, env, r)
	case r.Incarnation != "":
		s.connectionFailures = 0
	}
}

// rest records for how long the server wants no attempts. A shorter time than the one in force changes nothing.
func (s *Scheduler) rest(now clock.Instant, d time.Duration) {
	until := now.Add(min(d, maxWait))
	if d <= 0 || s.resting && until.Upper() <= s.restUntil.Upper() {
		return
	}
	s.resting, s.restUntil = true, until
}

// connectionFailed starts a backoff after a failed connection, since the server may be down or cold.
func (s *Scheduler) connectionFailed(now clock.Instant) {
	s.startProbing(now)
	s.successes = 0
	backoff := min(maxBackoff, initialBackoff<<min(s.connectionFailures, 8))
	s.connectionFailures++
	s.retryAt = now.Add(backoff)
}

// startProbing requires an attempt sent from now on to show that a warm server's incarnation is unchanged before it counts as warm
// again.
func (s *Scheduler) startProbing(now clock.Instant) {
	s.probingSince = now
	s.reportedWarm = false
	if s.warmth == WarmthWarm {
		s.warmth = WarmthProbing
	}
}

// markCold resets the state of the server for a cold start under the given incarnation.
func (s *Scheduler) markCold(incarnation string) {
	s.warmth = WarmthCold
	s.reportedWarm = false
	s.successes = 0
	s.slowCount = 0
	s.slowSuspected = false
	s.incarnation = incarnation
	s.draining, s.resting = false, false
}

// completed updates the limits and the warm-up state after a successful attempt.
func (s *Scheduler) completed(now, sentAt clock.Instant, env Env, r Result) {
	s.connectionFailures = 0
	s.lastSuccess = now
	s.successes++
	if s.adaptiveLimit > 0 {
		s.adaptiveLimit += 1 / s.adaptiveLimit
		if int(s.adaptiveLimit) >= env.Slots {
			s.adaptiveLimit = 0
		}
	}
	switch s.warmth {
	case WarmthCold:
		if s.successes >= env.WarmAfter {
			s.warmth = WarmthWarm
			s.latency = 0
		}
	case WarmthProbing:
		if sentAt.Upper() >= s.probingSince.Upper() {
			s.warmth = WarmthWarm
			s.reportedWarm = false
		}
	case WarmthWarm:
		s.observeLatency(r.Latency)
	}
}

// observeLatency updates the average latency of a warm server. After a slow attempt, only the cold slots are used until several
// attempts in a row are not slow; several slow ones before that mark the server cold.
func (s *Scheduler) observeLatency(latency time.Duration) {
	if s.latency == 0 {
		s.latency = latency
		return
	}
	if latency > slowLatencyFactor*s.latency {
		s.slowSuspected = true
		s.quickCount = 0
		s.slowCount++
		if s.slowCount >= latencyRunLength {
			s.markCold(s.incarnation)
		}
		return
	}
	if !s.slowSuspected {
		s.latency += time.Duration(latencySmoothing * float64(latency-s.latency))
		return
	}
	s.quickCount++
	if s.quickCount >= latencyRunLength {
		s.slowSuspected = false
		s.slowCount = 0
	}
}

// concurrencyLimit returns the current bound of the attempts in flight, apart from the warm-up state.
func (s *Scheduler) concurrencyLimit(env Env) float64 {
	if s.adaptiveLimit > 0 {
		return s.adaptiveLimit
	}
	return float64(env.Slots)
}
