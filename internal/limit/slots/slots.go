package slots

import (
	"time"

	"kumquatreel.example/kumquatreel/internal/base/clock"
	"kumquatreel.example/kumquatreel/internal/base/fault"
	"kumquatreel.example/kumquatreel/internal/limit/fairq"
)

const (
	slowFactor    = 2
	slowParts     = 4
	latencyWeight = 0.1
	firstBackoff  = 100 * time.Millisecond
	lastBackoff   = 2 * time.Second
	idleLimit     = 30 * time.Second
)

// Scheduler schedules the work of one backend server; it is driven under its owner's lock.
type Scheduler struct {
	queue    fairq.Queue[Attempt]
	sent     map[ID]clock.Instant
	warmth   Warmth
	good     int
	serverID string
	draining bool
	allow    float64
	latency  time.Duration
	slow     int
	careful  bool
	quick    int
	failures int
	retryAt  clock.Instant
	lastGood clock.Instant
	probedAt clock.Instant
	vouched  bool
	returned bool
}

// New returns a machine for a server that counts as cold.
func New() *Scheduler { return &Scheduler{sent: make(map[ID]clock.Instant)} }

// Step takes one event and returns what follows from it.
func (m *Scheduler) Step(now clock.Instant, env Env, ev Event) []Action {
	if env.Returning && !m.returned {
		m.turnCold(m.serverID)
	}
	m.returned = env.Returning
	var out []Action
	switch ev := ev.(type) {
	case Offer:
		out = m.offer(now, env, ev.Attempt)
	case Done:
		m.done(now, env, ev)
	case Cancel:
		out = m.cancel(ev.ID)
	case ConnectionClosed:
		m.suspect(now)
	case Check:
	}
	out = append(out, m.expire(now, env)...)
	return append(out, m.fill(now, env)...)
}

// InFlight returns the number of attempts in progress.
func (m *Scheduler) InFlight() int { return len(m.sent) }

// Waiting returns the number of attempts that wait.
func (m *Scheduler) Waiting() int { return m.queue.Len() }

// Warmth returns how far the server is trusted.
func (m *Scheduler) Warmth() Warmth { return m.warmth }

// Incarnation returns the server's incarnation that was seen last.
func (m *Scheduler) Incarnation() string { return m.serverID }

// Latency returns the usual time of a part at the server.
func (m *Scheduler) Latency() time.Duration { return m.latency }

// ExpectWarm tells that another VM has lately seen the server warm under an incarnation; one part at a time may then show whether it still is.
func (m *Scheduler) ExpectWarm(now clock.Instant, incarnation string) {
	if m.warmth == WarmthCold && m.good == 0 && m.serverID == "" && incarnation != "" {
		m.warmth = WarmthProbing
		m.probedAt = now
		m.vouched = true
		m.serverID = incarnation
		m.lastGood = now
	}
}

// Limit returns how many attempts may be in progress now.
func (m *Scheduler) Limit(now clock.Instant, env Env) int {
	if !env.Usable || m.draining || env.Slots <= 0 {
		return 0
	}
	if m.warmth == WarmthWarm && now.MaxSince(m.lastGood) > idleLimit && len(m.sent) == 0 {
		m.suspect(now)
	}
	n := env.Slots
	switch {
	case m.vouched && env.MayProbe:
		n = min(n, 1)
	case m.warmth != WarmthWarm || m.careful:
		n = min(n, env.ColdSlots)
	}
	if m.failures > 0 {
		if !now.Passed(m.retryAt) {
			return 0
		}
		n = min(n, 1)
	}
	if m.allow > 0 {
		n = min(n, max(1, int(m.allow)))
	}
	return n
}

func (m *Scheduler) offer(now clock.Instant, env Env, p Attempt) []Action {
	switch {
	case m.draining:
		return []Action{Refuse{p.ID, fault.CodeLeaving}}
	case !env.Usable:
		return []Action{Refuse{p.ID, fault.CodeUnavailable}}
	case env.Slots <= 0:
		return []Action{Refuse{p.ID, fault.CodeNotOwner}}
	case m.Limit(now, env) == 0:
		return []Action{Refuse{p.ID, fault.CodeUnavailable}}
	}
	var out []Action
	if m.queue.Len() >= env.MaxQueue {
		longest, _ := m.queue.Longest()
		if longest == p.Team {
			return []Action{Refuse{p.ID, fault.CodeOverloaded}}
		}
		victim, _ := m.queue.DropLast(longest)
		out = append(out, Refuse{victim.ID, fault.CodeOverloaded})
	}
	m.queue.Push(p.Team, p.Weight, p)
	return out
}

func (m *Scheduler) cancel(id ID) []Action {
	for range m.queue.Remove(func(p Attempt) bool { return p.ID == id }) {
		return []Action{Refuse{id, fault.CodeCancelled}}
	}
	if _, ok := m.sent[id]; ok {
		return []Action{Abort{id}}
	}
	return nil
}

// expire refuses what can no longer end in time or lost its right to run.
func (m *Scheduler) expire(now clock.Instant, env Env) []Action {
	if m.queue.Len() == 0 {
		return nil
	}
	limit := m.Limit(now, env)
	var out []Action
	m.queue.Remove(func(p Attempt) bool {
		code, drop := fault.CodeInternal, true
		switch {
		case m.draining:
			code = fault.CodeLeaving
		case limit == 0:
			code = fault.CodeUnavailable
		case now.Passed(p.Deadline):
			code = fault.CodeDeadline
		case m.latency > 0 && now.Add(m.latency).Passed(p.Deadline):
			code = fault.CodeDeadline
		case env.KeyValid != nil && !env.KeyValid(p.Team, p.KeyID):
			code = fault.CodeUnauthorized
		default:
			drop = false
		}
		if drop {
			out = append(out, Refuse{p.ID, code})
		}
		return drop
	})
	return out
}

func (m *Scheduler) fill(now clock.Instant, env Env) []Action {
	var out []Action
	for len(m.sent) < m.Limit(now, env) {
		p, ok := m.queue.Pop()
		if !ok {
			break
		}
		m.sent[p.ID] = now
		out = append(out, Send{p.ID})
	}
	return out
}

func (m *Scheduler) done(now clock.Instant, env Env, ev Done) {
	sentAt, ok := m.sent[ev.ID]
	if !ok {
		return
	}
	delete(m.sent, ev.ID)
	r := ev.Result
	if r.Incarnation != "" && r.Incarnation != m.serverID {
		m.turnCold(r.Incarnation)
	}
	m.draining = m.draining || r.Draining
	switch {
	case r.ConnectionFailed:
		m.broken(now)
	case r.Shed:
		m.failures = 0
		m.allow = max(1, m.ceiling(env)/2)
	case r.Outcome == fault.OutcomeRan:
		m.ran(now, sentAt, env, r)
	case r.Incarnation != "":
		m.failures = 0
	}
}

// broken spares a server whose connection failed: it may be down or cold.
func (m *Scheduler) broken(now clock.Instant) {
	m.suspect(now)
	m.good = 0
	backoff := min(lastBackoff, firstBackoff<<min(m.failures, 8))
	m.failures++
	m.retryAt = now.Add(backoff)
}

// suspect makes a warm server show by a part sent from now on that it is still the same.
func (m *Scheduler) suspect(now clock.Instant) {
	m.probedAt = now
	m.vouched = false
	if m.warmth == WarmthWarm {
		m.warmth = WarmthProbing
	}
}

func (m *Scheduler) turnCold(incarnation string) {
	m.warmth = WarmthCold
	m.vouched = false
	m.good = 0
	m.slow = 0
	m.careful = false
	m.serverID = incarnation
	m.draining = false
}

func (m *Scheduler) ran(now, sentAt clock.Instant, env Env, r Result) {
	m.failures = 0
	m.lastGood = now
	m.good++
	if m.allow > 0 {
		m.allow += 1 / m.allow
		if int(m.allow) >= env.Slots {
			m.allow = 0
		}
	}
	switch m.warmth {
	case WarmthCold:
		if m.good >= env.WarmAfter {
			m.warmth = WarmthWarm
			m.latency = 0
		}
	case WarmthProbing:
		if sentAt.Upper() >= m.probedAt.Upper() {
			m.warmth = WarmthWarm
			m.vouched = false
		}
	case WarmthWarm:
		m.measure(r.Latency)
	}
}

// measure learns the usual latency. A slow part makes it careful until several parts in a row are quick again;
// several slow ones before that are taken for a cold start.
func (m *Scheduler) measure(latency time.Duration) {
	if m.latency == 0 {
		m.latency = latency
		return
	}
	if latency > slowFactor*m.latency {
		m.careful = true
		m.quick = 0
		m.slow++
		if m.slow >= slowParts {
			m.turnCold(m.serverID)
		}
		return
	}
	if !m.careful {
		m.latency += time.Duration(latencyWeight * float64(latency-m.latency))
		return
	}
	m.quick++
	if m.quick >= slowParts {
		m.careful = false
		m.slow = 0
	}
}

func (m *Scheduler) ceiling(env Env) float64 {
	if m.allow > 0 {
		return m.allow
	}
	return float64(env.Slots)
}
