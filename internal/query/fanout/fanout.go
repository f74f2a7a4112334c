package fanout

import (
	"math"
	"slices"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/clock"
	"kumquatreel.example/kumquatreel/internal/base/fault"
	"kumquatreel.example/kumquatreel/internal/query/merge"
	"kumquatreel.example/kumquatreel/internal/query/plan"
)

const (
	// MaxAttempts bounds the attempts at one part, over all rounds.
	MaxAttempts = maxAttemptsPerRound * maxRounds
	// maxAttemptsPerRound bounds the attempts at one part before it backs off.
	maxAttemptsPerRound = 4
	maxRounds           = 4
	// maxHedges bounds the hedges of one part.
	maxHedges = 2
	// earlyHedgeFraction is the fraction of the allowed hedges that may be sent as soon as a part is late; the others
	// wait until it is very late.
	earlyHedgeFraction = 0.5
	// veryLateFactor is the multiple of the hedge delay after which a part is very late.
	veryLateFactor = 1.3
	// secondHedgeFactor scales the hedge delay before the second hedge of a part.
	secondHedgeFactor = 0.6
	// roundBackoff is how long a part waits between two rounds of attempts. A part that no VM could accept waits
	// for the slots of its backend servers to change owner.
	roundBackoff = 25 * time.Millisecond
)

// Machine is the state machine of one request. It is not safe for concurrent use.
type Machine struct {
	plan         plan.Plan
	limits       Limits
	budget       Budget
	merger       *merge.Merger
	parts        []part
	attempts     []attempt
	startTime    clock.Instant
	openParts    int
	snapshotGone bool
	finished     bool
	confirming   bool
	lastCode     fault.Code
	outcome      fault.Outcome
}

type part struct {
	targets    []Target
	next       int
	inFlight   int
	lateAt     clock.Instant
	veryLateAt clock.Instant
	hedges     int
	closed     bool
	rounds     int
	backingOff bool
	retryAt    clock.Instant
}

type attempt struct {
	Attempt
	ended bool
}

// New returns the machine of a request. targets[i] lists where part i of the plan may be sent, in order of preference.
func New(p plan.Plan, limits Limits, budget Budget, targets [][]Target) *Machine {
	m := &Machine{plan: p, limits: limits, budget: budget, merger: merge.New(p), outcome: fault.OutcomeNotSent}
	m.parts = make([]part, len(p.Parts()))
	for i := range m.parts {
		m.parts[i].targets = targets[i]
	}
	m.openParts = len(m.parts)
	return m
}

// Step processes one event and returns the resulting actions; after Finish it returns none.
func (m *Machine) Step(now clock.Instant, ev Event) []Action {
	if m.finished {
		return nil
	}
	var out []Action
	switch ev := ev.(type) {
	case Start:
		out = m.start(now)
	case Answered:
		out = m.answered(now, ev)
	case Failed:
		out = m.failed(now, ev)
	case Tick:
		out = m.tick(now)
	case Stop:
		return m.stop()
	}
	if m.finished {
		return out
	}
	out = append(out, m.hedgeLateParts(now)...)
	return append(out, m.checkCompletion(now)...)
}

// Merger returns the answers collected so far.
func (m *Machine) Merger() *merge.Merger { return m.merger }

// StartTime returns the instant of the Start event.
func (m *Machine) StartTime() clock.Instant { return m.startTime }

func (m *Machine) start(now clock.Instant) []Action {
	m.startTime = now
	var out []Action
	for i := range m.parts {
		out = append(out, m.send(now, i, false)...)
	}
	return out
}

// send starts the next attempt at a part, or closes the part when its targets or the attempts of the round are used up.
func (m *Machine) send(now clock.Instant, index int, second bool) []Action {
	p := &m.parts[index]
	if p.next >= len(p.targets) || p.next >= maxAttemptsPerRound {
		m.close(index)
		return nil
	}
	a := Attempt{ID: len(m.attempts), Part: index, Target: p.targets[p.next], Second: second}
	p.next++
	p.inFlight++
	if after := m.hedgeDelay(index); after > 0 {
		if p.hedges > 0 {
			after = time.Duration(secondHedgeFactor * float64(after))
		}
		p.lateAt = now.Add(after)
		p.veryLateAt = now.Add(time.Duration(veryLateFactor * float64(after)))
	}
	m.attempts = append(m.attempts, attempt{Attempt: a})
	return []Action{Send{Attempt: a}}
}

func (m *Machine) hedgeDelay(index int) time.Duration {
	if !m.plan.Route().Idempotent() || m.limits.HedgeDelay == nil {
		return 0
	}
	return m.limits.HedgeDelay(m.plan.Parts()[index].Service().Name())
}

func (m *Machine) close(index int) {
	p := &m.parts[index]
	if p.inFlight == 0 && !p.closed {
		p.closed = true
		m.openParts--
	}
}

// endAttempt marks an attempt as ended; it returns false if the attempt is unknown or had ended before.
func (m *Machine) endAttempt(id int) (*attempt, bool) {
	if id < 0 || id >= len(m.attempts) || m.attempts[id].ended {
		return nil, false
	}
	a := &m.attempts[id]
	a.ended = true
	m.parts[a.Part].inFlight--
	return a, true
}

func (m *Machine) answered(now clock.Instant, ev Answered) []Action {
	a, ok := m.endAttempt(ev.Attempt)
	if !ok || m.merger.Complete(a.Part) {
		return nil
	}
	m.outcome = fault.OutcomeRan
	if !m.merger.Add(a.Part, ev.Version, ev.Partial, ev.Items) {
		code := fault.CodeDeadline
		if ev.Version != m.plan.Parts()[a.Part].Service().IndexVersion() {
			code = fault.CodeSnapshotGone
		}
		return m.retry(now, a, fault.OutcomeRan, code)
	}
	out := m.abortOthers(a.Part)
	m.parts[a.Part].inFlight = 0
	m.close(a.Part)
	return out
}

func (m *Machine) abortOthers(index int) []Action {
	if m.parts[index].inFlight == 0 {
		return nil
	}
	var out []Action
	for i := range m.attempts {
		a := &m.attempts[i]
		if a.Part == index && !a.ended {
			a.ended = true
			out = append(out, Abort{Attempt: a.Attempt})
		}
	}
	return out
}

func (m *Machine) failed(now clock.Instant, ev Failed) []Action {
	a, ok := m.endAttempt(ev.Attempt)
	if !ok || m.merger.Complete(a.Part) {
		return nil
	}
	m.outcome = max(m.outcome, ev.Outcome)
	if m.plan.Route().Idempotent() || ev.Outcome.NotRun() {
		return m.retry(now, a, ev.Outcome, ev.Code)
	}
	m.merger.SetMissing(a.Part, ev.Code)
	m.lastCode = ev.Code
	m.close(a.Part)
	return nil
}

// retry sends another attempt at a part if that is allowed; otherwise it closes the part, unless other attempts at it
// are in flight.
func (m *Machine) retry(now clock.Instant, a *attempt, outcome fault.Outcome, code fault.Code) []Action {
	m.merger.SetMissing(a.Part, code)
	m.lastCode = code
	if code == fault.CodeSnapshotGone {
		m.snapshotGone = true
	}
	if m.parts[a.Part].inFlight > 0 {
		return nil
	}
	switch {
	case !m.plan.Route().Idempotent() && !outcome.NotRun():
		m.close(a.Part)
		return nil
	case permanent(code), now.MaxSince(m.startTime) >= m.limits.Deadline:
		m.close(a.Part)
		return nil
	case !budgetExempt(outcome, code) && !m.budget.Take():
		m.close(a.Part)
		return nil
	}
	if p := &m.parts[a.Part]; budgetExempt(outcome, code) && p.next >= min(maxAttemptsPerRound, len(p.targets)) {
		return m.scheduleRound(now, a.Part)
	}
	return m.send(now, a.Part, !budgetExempt(outcome, code))
}

// scheduleRound makes a part that no target accepted back off before its targets are tried again.
func (m *Machine) scheduleRound(now clock.Instant, index int) []Action {
	p := &m.parts[index]
	p.rounds++
	if p.rounds >= maxRounds {
		m.close(index)
		return nil
	}
	p.next = 0
	p.backingOff = true
	p.retryAt = now.Add(roundBackoff)
	return nil
}

// permanent reports whether every other replica would fail with the same code.
func permanent(code fault.Code) bool {
	return code == fault.CodeUnauthorized || code == fault.CodeForbidden || code == fault.CodeBadRequest
}

// budgetExempt reports whether a retry needs no budget, because the failed attempt loaded no backend server.
func budgetExempt(outcome fault.Outcome, code fault.Code) bool {
	if !outcome.NotRun() {
		return false
	}
	switch code {
	case fault.CodeNotOwner, fault.CodeUnavailable, fault.CodeLeaving, fault.CodeStale, fault.CodeSnapshotGone:
		return true
	default:
		return false
	}
}

func (m *Machine) tick(now clock.Instant) []Action {
	var out []Action
	if now.MaxSince(m.startTime) >= m.limits.Deadline {
		return nil
	}
	for i := range m.parts {
		if p := &m.parts[i]; p.backingOff && now.Passed(p.retryAt) {
			p.backingOff = false
			out = append(out, m.send(now, i, false)...)
		}
	}
	return out
}

// hedgeLateParts hedges late parts once only the last few of a request are open. While many parts are open, the
// cause is high load and not a straggler, and hedges would add to the load.
func (m *Machine) hedgeLateParts(now clock.Instant) []Action {
	if m.openParts > m.maxOpenForHedge(1) || now.MaxSince(m.startTime) >= m.limits.Deadline {
		return nil
	}
	var out []Action
	for i := range m.parts {
		if at, ok := m.hedgeTime(i); ok && now.Passed(at) {
			out = append(out, m.hedge(now, i)...)
		}
	}
	return out
}

// maxOpenForHedge returns the number of open parts that a fraction of the allowed hedges covers, at least one.
func (m *Machine) maxOpenForHedge(fraction float64) int {
	return max(1, int(math.Ceil(fraction*m.limits.HedgeFraction*float64(len(m.parts)))))
}

// hedgeTime returns when an open part is due for a hedge. If at most earlyHedgeFraction of the allowed hedges are
// needed for the open parts, it is when the part is late; if the allowed hedges suffice, when it is very late;
// otherwise there is no such time and hedgeTime returns false.
func (m *Machine) hedgeTime(index int) (clock.Instant, bool) {
	p := &m.parts[index]
	if p.closed || p.hedges >= maxHedges || p.inFlight != p.hedges+1 || p.lateAt.Upper() == 0 {
		return clock.Instant{}, false
	}
	if m.openParts <= m.maxOpenForHedge(earlyHedgeFraction) {
		return p.lateAt, true
	}
	return p.veryLateAt, m.openParts <= m.maxOpenForHedge(1)
}

// hedge sends a hedge if the budget allows it: to another backend server if there is one left, otherwise again to one
// that was tried before.
func (m *Machine) hedge(now clock.Instant, index int) []Action {
	p := &m.parts[index]
	p.hedges++
	tried := p.targets[p.next-1]
	next := slices.IndexFunc(p.targets[p.next:], func(t Target) bool { return t.Server != tried.Server })
	if p.next >= maxAttemptsPerRound || !m.budget.Take() {
		return nil
	}
	if next < 0 {
		p.targets = append(slices.Clip(p.targets[:p.next:p.next]), p.targets[:p.next]...)
		next = max(0, slices.IndexFunc(p.targets[p.next:], func(t Target) bool { return t.Server != tried.Server }))
	}
	p.targets[p.next], p.targets[p.next+next] = p.targets[p.next+next], p.targets[p.next]
	return m.send(now, index, true)
}

// checkCompletion ends the request if it is complete, good enough or past its deadline; otherwise it asks for the next Tick.
func (m *Machine) checkCompletion(now clock.Instant) []Action {
	waited := now.MaxSince(m.startTime)
	early := m.limits.EarlyAfter > 0 && waited >= m.limits.EarlyAfter && m.merger.Fraction() >= m.limits.EarlyCoverage
	if m.openParts == 0 || early {
		return m.finish()
	}
	if waited < m.limits.Deadline {
		return []Action{Wake{At: m.nextWake(now)}}
	}
	if m.plan.Route().Idempotent() || waited >= m.limits.Deadline+m.limits.GracePeriod {
		return m.finish()
	}
	if m.confirming {
		return nil
	}
	m.confirming = true
	out := m.requestOutcomes()
	return append(out, Wake{At: m.startTime.Add(m.limits.Deadline + m.limits.GracePeriod)})
}

// requestOutcomes aborts the attempts in flight to learn whether they ran. They stay open until their reply arrives
// or the grace period ends.
func (m *Machine) requestOutcomes() []Action {
	var out []Action
	for i := range m.attempts {
		if !m.attempts[i].ended {
			out = append(out, Abort{Attempt: m.attempts[i].Attempt})
		}
	}
	return out
}

func (m *Machine) finish() []Action {
	m.finished = true
	var out []Action
	for i := range m.attempts {
		a := &m.attempts[i]
		if !a.ended {
			a.ended = true
			m.outcome = max(m.outcome, fault.OutcomeUnknown)
			out = append(out, Abort{Attempt: a.Attempt})
		}
	}
	return append(out, Finish{Fault: m.failure(), SnapshotGone: m.snapshotGone})
}

// stop ends a request whose client has disconnected.
func (m *Machine) stop() []Action {
	out := m.finish()
	out[len(out)-1] = Finish{Fault: fault.New(fault.CodeCancelled, m.outcome, "the caller went away")}
	return out
}

// failure returns why the request has no answer, or nil.
func (m *Machine) failure() *fault.Error {
	if !m.plan.Route().Idempotent() {
		return m.failureOnce()
	}
	if f := m.merger.Fraction(); f < m.limits.MinCoverage || len(m.parts) == 0 {
		return fault.New(fault.CodeLowCoverage, m.outcome, "coverage %.4f is below the route's %.4f", f, m.limits.MinCoverage)
	}
	return nil
}

func (m *Machine) failureOnce() *fault.Error {
	switch {
	case len(m.parts) == 0:
		return fault.New(fault.CodeForbidden, fault.OutcomeNotSent, "the team may not reach the route's service")
	case m.merger.Complete(0):
		return nil
	case m.outcome.NotRun():
		return fault.New(m.lastCode, fault.OutcomeRefused, "no backend server took the request")
	}
	return fault.New(fault.CodeOutcomeUnknown, fault.OutcomeUnknown, "the request may have run; its answer did not arrive")
}

func (m *Machine) nextWake(now clock.Instant) clock.Instant {
	at := m.startTime.Add(m.limits.Deadline)
	earlier := func(t clock.Instant) {
		if t.Upper() < at.Upper() {
			at = t
		}
	}
	if e := m.startTime.Add(m.limits.EarlyAfter); m.limits.EarlyAfter > 0 && !now.Passed(e) {
		earlier(e)
	}
	for i := range m.parts {
		if p := &m.parts[i]; p.backingOff {
			earlier(p.retryAt)
		}
		if t, ok := m.hedgeTime(i); ok {
			earlier(t)
		}
	}
	return at
}
