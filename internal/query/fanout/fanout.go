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
	// MaxAttempts bounds the attempts at one part.
	MaxAttempts = triesByRound * maxRounds
	// triesByRound bounds the attempts at one part before a pause.
	triesByRound = 4
	maxRounds    = 4
	// maxHedges bounds the attempts that go out because a part is late.
	maxHedges = 2
	// veryFewShare is the part of the allowed second attempts that goes to parts as soon as they are late.
	veryFewShare = 0.5
	// veryFactor is how much later than late a part is very late.
	veryFactor = 1.3
	// againFactor is the part of the usual wait before the second hedge of a part.
	againFactor = 0.6
	// roundPause is how long a part waits when nobody could take it, for slots that change hands.
	roundPause = 25 * time.Millisecond
)

// Machine drives one request; it is driven by one goroutine at a time.
type Machine struct {
	plan     plan.Plan
	limits   Limits
	budget   Budget
	merger   *merge.Merger
	parts    []part
	attempts []attempt
	begun    clock.Instant
	open     int
	gone     bool
	finished bool
	ending   bool
	lastCode fault.Code
	outcome  fault.Outcome
}

type part struct {
	targets []Target
	next    int
	flying  int
	lateAt  clock.Instant
	veryAt  clock.Instant
	hedges  int
	closed  bool
	rounds  int
	waiting bool
	retryAt clock.Instant
}

type attempt struct {
	Attempt
	over bool
}

// New returns the machine of a request whose parts may be sent to the targets, best first.
func New(p plan.Plan, limits Limits, budget Budget, targets [][]Target) *Machine {
	m := &Machine{plan: p, limits: limits, budget: budget, merger: merge.New(p), outcome: fault.OutcomeNotSent}
	m.parts = make([]part, len(p.Parts()))
	for i := range m.parts {
		m.parts[i].targets = targets[i]
	}
	m.open = len(m.parts)
	return m
}

// Step takes one event and returns what follows from it; after Finish nothing follows.
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
	out = append(out, m.hedgeLate(now)...)
	return append(out, m.conclude(now)...)
}

// Merger returns the answers collected so far.
func (m *Machine) Merger() *merge.Merger { return m.merger }

// StartTime returns the instant of the start.
func (m *Machine) StartTime() clock.Instant { return m.begun }

func (m *Machine) start(now clock.Instant) []Action {
	m.begun = now
	var out []Action
	for i := range m.parts {
		out = append(out, m.send(now, i, false)...)
	}
	return out
}

// send begins the next attempt at a part, or closes the part when there is none.
func (m *Machine) send(now clock.Instant, index int, second bool) []Action {
	p := &m.parts[index]
	if p.next >= len(p.targets) || p.next >= triesByRound {
		m.close(index)
		return nil
	}
	a := Attempt{ID: len(m.attempts), Part: index, Target: p.targets[p.next], Second: second}
	p.next++
	p.flying++
	if after := m.hedgeAfter(index); after > 0 {
		if p.hedges > 0 {
			after = time.Duration(againFactor * float64(after))
		}
		p.lateAt = now.Add(after)
		p.veryAt = now.Add(time.Duration(veryFactor * float64(after)))
	}
	m.attempts = append(m.attempts, attempt{Attempt: a})
	return []Action{Send{Attempt: a}}
}

func (m *Machine) hedgeAfter(index int) time.Duration {
	if !m.plan.Route().Idempotent() || m.limits.HedgeDelay == nil {
		return 0
	}
	return m.limits.HedgeDelay(m.plan.Parts()[index].Service().Name())
}

func (m *Machine) close(index int) {
	p := &m.parts[index]
	if p.flying == 0 && !p.closed {
		p.closed = true
		m.open--
	}
}

// end marks an attempt as over and reports whether it still counted.
func (m *Machine) end(id int) (*attempt, bool) {
	if id < 0 || id >= len(m.attempts) || m.attempts[id].over {
		return nil, false
	}
	a := &m.attempts[id]
	a.over = true
	m.parts[a.Part].flying--
	return a, true
}

func (m *Machine) answered(now clock.Instant, ev Answered) []Action {
	a, ok := m.end(ev.Attempt)
	if !ok || m.merger.Complete(a.Part) {
		return nil
	}
	m.outcome = fault.OutcomeRan
	if !m.merger.Add(a.Part, ev.Version, ev.Partial, ev.Items) {
		code := fault.CodeDeadline
		if ev.Version != m.plan.Parts()[a.Part].Service().IndexVersion() {
			code = fault.CodeSnapshotGone
		}
		return m.again(now, a, fault.OutcomeRan, code)
	}
	out := m.abortOthers(a.Part)
	m.parts[a.Part].flying = 0
	m.close(a.Part)
	return out
}

func (m *Machine) abortOthers(index int) []Action {
	if m.parts[index].flying == 0 {
		return nil
	}
	var out []Action
	for i := range m.attempts {
		a := &m.attempts[i]
		if a.Part == index && !a.over {
			a.over = true
			out = append(out, Abort{Attempt: a.Attempt})
		}
	}
	return out
}

func (m *Machine) failed(now clock.Instant, ev Failed) []Action {
	a, ok := m.end(ev.Attempt)
	if !ok || m.merger.Complete(a.Part) {
		return nil
	}
	m.outcome = max(m.outcome, ev.Outcome)
	if m.plan.Route().Idempotent() || ev.Outcome.NotRun() {
		return m.again(now, a, ev.Outcome, ev.Code)
	}
	m.merger.SetMissing(a.Part, ev.Code)
	m.lastCode = ev.Code
	m.close(a.Part)
	return nil
}

// again retries a part where that is allowed, and closes it otherwise.
func (m *Machine) again(now clock.Instant, a *attempt, outcome fault.Outcome, code fault.Code) []Action {
	m.merger.SetMissing(a.Part, code)
	m.lastCode = code
	if code == fault.CodeSnapshotGone {
		m.gone = true
	}
	if m.parts[a.Part].flying > 0 {
		return nil
	}
	switch {
	case !m.plan.Route().Idempotent() && !outcome.NotRun():
		m.close(a.Part)
		return nil
	case final(code), now.MaxSince(m.begun) >= m.limits.Deadline:
		m.close(a.Part)
		return nil
	case !free(outcome, code) && !m.budget.Take():
		m.close(a.Part)
		return nil
	}
	if p := &m.parts[a.Part]; free(outcome, code) && p.next >= min(triesByRound, len(p.targets)) {
		return m.nextRound(now, a.Part)
	}
	return m.send(now, a.Part, !free(outcome, code))
}

// nextRound lets a part that nobody could take wait before its targets are tried again.
func (m *Machine) nextRound(now clock.Instant, index int) []Action {
	p := &m.parts[index]
	p.rounds++
	if p.rounds >= maxRounds {
		m.close(index)
		return nil
	}
	p.next = 0
	p.waiting = true
	p.retryAt = now.Add(roundPause)
	return nil
}

// final reports whether another replica would fail alike.
func final(code fault.Code) bool {
	return code == fault.CodeUnauthorized || code == fault.CodeForbidden || code == fault.CodeBadRequest
}

// free reports whether a retry loads no backend server that the first attempt loaded.
func free(outcome fault.Outcome, code fault.Code) bool {
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
	if now.MaxSince(m.begun) >= m.limits.Deadline {
		return nil
	}
	for i := range m.parts {
		if p := &m.parts[i]; p.waiting && now.Passed(p.retryAt) {
			p.waiting = false
			out = append(out, m.send(now, i, false)...)
		}
	}
	return out
}

// hedgeLate sends further attempts at late parts once only the last few of a request are open: while many
// are, it is the load that is late and not a straggler.
func (m *Machine) hedgeLate(now clock.Instant) []Action {
	if m.open > m.few(1) || now.MaxSince(m.begun) >= m.limits.Deadline {
		return nil
	}
	var out []Action
	for i := range m.parts {
		if at, ok := m.hedgeAt(i); ok && now.Passed(at) {
			out = append(out, m.hedge(now, i)...)
		}
	}
	return out
}

// few returns how many parts a share of the allowed second attempts can serve, at least one.
func (m *Machine) few(share float64) int {
	return max(1, int(math.Ceil(share*m.limits.HedgeFraction*float64(len(m.parts)))))
}

// hedgeAt returns when an open part is due for a further attempt: when it is late if very few are open, and when it is very late if few are.
func (m *Machine) hedgeAt(index int) (clock.Instant, bool) {
	p := &m.parts[index]
	if p.closed || p.hedges >= maxHedges || p.flying != p.hedges+1 || p.lateAt.Upper() == 0 {
		return clock.Instant{}, false
	}
	if m.open <= m.few(veryFewShare) {
		return p.lateAt, true
	}
	return p.veryAt, m.open <= m.few(1)
}

// hedge sends a further attempt if the budget has one: to another backend server first, to the same again when there is none.
func (m *Machine) hedge(now clock.Instant, index int) []Action {
	p := &m.parts[index]
	p.hedges++
	tried := p.targets[p.next-1]
	next := slices.IndexFunc(p.targets[p.next:], func(t Target) bool { return t.Server != tried.Server })
	if p.next >= triesByRound || !m.budget.Take() {
		return nil
	}
	if next < 0 {
		p.targets = append(slices.Clip(p.targets[:p.next:p.next]), p.targets[:p.next]...)
		next = max(0, slices.IndexFunc(p.targets[p.next:], func(t Target) bool { return t.Server != tried.Server }))
	}
	p.targets[p.next], p.targets[p.next+next] = p.targets[p.next+next], p.targets[p.next]
	return m.send(now, index, true)
}

// conclude ends the request when nothing more is worth waiting for, and says when to look again otherwise.
func (m *Machine) conclude(now clock.Instant) []Action {
	waited := now.MaxSince(m.begun)
	early := m.limits.EarlyAfter > 0 && waited >= m.limits.EarlyAfter && m.merger.Fraction() >= m.limits.EarlyCoverage
	if m.open == 0 || early {
		return m.finish()
	}
	if waited < m.limits.Deadline {
		return []Action{Wake{At: m.nextWake(now)}}
	}
	if m.plan.Route().Idempotent() || waited >= m.limits.Deadline+m.limits.GracePeriod {
		return m.finish()
	}
	if m.ending {
		return nil
	}
	m.ending = true
	out := m.confirmEnd()
	return append(out, Wake{At: m.begun.Add(m.limits.Deadline + m.limits.GracePeriod)})
}

// confirmEnd asks what became of the attempts in progress, which stay open until the reply or the grace is over.
func (m *Machine) confirmEnd() []Action {
	var out []Action
	for i := range m.attempts {
		if !m.attempts[i].over {
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
		if !a.over {
			a.over = true
			m.outcome = max(m.outcome, fault.OutcomeUnknown)
			out = append(out, Abort{Attempt: a.Attempt})
		}
	}
	return append(out, Finish{Fault: m.verdict(), SnapshotGone: m.gone})
}

// stop ends a request that nobody waits for.
func (m *Machine) stop() []Action {
	out := m.finish()
	out[len(out)-1] = Finish{Fault: fault.New(fault.CodeCancelled, m.outcome, "the caller went away")}
	return out
}

// verdict returns why there is no answer, or nil.
func (m *Machine) verdict() *fault.Error {
	if !m.plan.Route().Idempotent() {
		return m.verdictOnce()
	}
	if f := m.merger.Fraction(); f < m.limits.MinCoverage || len(m.parts) == 0 {
		return fault.New(fault.CodeLowCoverage, m.outcome, "coverage %.4f is below the route's %.4f", f, m.limits.MinCoverage)
	}
	return nil
}

func (m *Machine) verdictOnce() *fault.Error {
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
	at := m.begun.Add(m.limits.Deadline)
	earlier := func(t clock.Instant) {
		if t.Upper() < at.Upper() {
			at = t
		}
	}
	if e := m.begun.Add(m.limits.EarlyAfter); m.limits.EarlyAfter > 0 && !now.Passed(e) {
		earlier(e)
	}
	for i := range m.parts {
		if p := &m.parts[i]; p.waiting {
			earlier(p.retryAt)
		}
		if t, ok := m.hedgeAt(i); ok {
			earlier(t)
		}
	}
	return at
}
