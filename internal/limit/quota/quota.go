package quota

import (
	"maps"
	"math"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
)

const (
	// assumeMost is how long a VM that is not heard from is taken to go on.
	assumeMost = 8 * time.Second
	// demandSpan is the time over which the demand for a team is averaged.
	demandSpan = 2 * time.Second
	// startLevel is the share of its burst that a team has at a VM which has just started, if no more than startVMs share it.
	startLevel = 0.4
	startVMs   = 4
	// settle is the time after the start in which a VM takes over what others say of a team's level.
	settle = time.Second
	// tightShare of the burst is little.
	tightShare = 0.7
	// rateShare keeps the fleet a little below a team's rate. While a VM is silent, and perhaps gone with what it is taken
	// to let through, silentShare makes up for it within what a team may overshoot.
	rateShare   = 0.98
	silentShare = 1.05
	// silentAfter is how long after its last word a VM is silent.
	silentAfter = 1500 * time.Millisecond
	// countLast is how much of the time since a VM was last heard from counts when it is heard from again.
	countLast = 2 * time.Second
	// owedMost bounds what a team can owe, as time of its rate.
	owedMost = 2 * time.Second
	// burstLeast is the burst of a team whose own holds no request, as time of its rate and at least one request: nothing could
	// ever be admitted else. Rates are counted over seconds, so this is far within what a team may overshoot.
	burstLeast = 250 * time.Millisecond
)

// Limit is a team's rate in requests per second, and its burst.
type Limit struct {
	Rate  float64
	Burst float64
}

// Report is what a VM tells others of a team: how many requests it has been offered and has let through since it started,
// and the level it sees.
type Report struct {
	Offered  int64   `json:"o"`
	Admitted int64   `json:"a"`
	Level    float64 `json:"l"`
	// Starting says that the VM has just started, so that its level tells of its own requests only.
	Starting bool `json:"f,omitempty"`
}

// Limiter is one VM's view of all teams; it is driven under its owner's lock.
type Limiter struct {
	started time.Time
	// part is the VM's part of what teams have at the start.
	part  float64
	teams map[ident.Team]*team
}

type team struct {
	limit    Limit
	level    float64
	at       time.Time
	offered  int64
	admitted int64
	usedAt   time.Time
	// learnt says that the level was taken over from a process that knew it.
	learnt bool
	// demand is the rate of requests offered here.
	demand float64
	others map[ident.Process]*other
}

type other struct {
	offered  int64
	admitted int64
	// demand is the rate of requests offered there.
	demand float64
	heard  time.Time
	// charged is what was taken off for the VM since it was heard from, on the assumption that it goes on as before.
	charged float64
}

// New returns a Quota without teams, for a VM that starts now.
func New(now time.Time) *Limiter {
	return &Limiter{started: now, part: 1, teams: make(map[ident.Team]*team)}
}

// SetLimits replaces the limits of all teams.
func (q *Limiter) SetLimits(now time.Time, limits map[ident.Team]Limit) {
	for name, limit := range limits {
		if limit.Burst < 1 {
			limit.Burst = max(1, burstLeast.Seconds()*limit.Rate)
		}
		t := q.teams[name]
		if t == nil {
			level := limit.Burst
			if q.starting(now) {
				level *= startLevel * q.part
			}
			t = &team{limit: limit, level: level, at: now, others: make(map[ident.Process]*other)}
			q.teams[name] = t
		}
		t.accrue(now)
		t.limit = limit
		t.level = min(t.level, limit.Burst)
	}
	for name := range q.teams {
		if _, ok := limits[name]; !ok {
			delete(q.teams, name)
		}
	}
}

// StartServing tells that the VM begins to serve as one of a number of VMs which share what teams have at the start, with 0 for a VM to
// which no callers are sent: all VMs may have started together.
func (q *Limiter) StartServing(now time.Time, vms int) {
	q.part = 0
	if vms > 0 {
		q.part = min(1, startVMs/float64(vms))
	}
	for _, t := range q.teams {
		t.accrue(now)
		if !t.learnt && t.level > 0 {
			t.level *= q.part
		}
	}
}

// Admit takes a request of a team, or says after which time there should be room for one.
func (q *Limiter) Admit(now time.Time, name ident.Team) (bool, time.Duration) {
	t := q.teams[name]
	if t == nil || t.limit.Rate <= 0 {
		return true, 0
	}
	t.accrue(now)
	t.usedAt = now
	t.offered++
	t.demand += 1 / demandSpan.Seconds()
	if t.level < 1 {
		return false, time.Duration((1 - t.level) / t.limit.Rate * float64(time.Second))
	}
	t.level--
	t.admitted++
	return true, 0
}

// Level returns the tokens that a team seems to have, which may be below 0.
func (q *Limiter) Level(now time.Time, name ident.Team) float64 {
	t := q.teams[name]
	if t == nil {
		return 0
	}
	t.accrue(now)
	return t.level
}

// NearLimit reports whether some team has little left of its burst, so that what others let through matters soon.
func (q *Limiter) NearLimit(now time.Time) bool {
	for _, t := range q.teams {
		if t.limit.Rate > 0 && now.Sub(t.usedAt) < assumeMost {
			t.accrue(now)
			if t.level < tightShare*t.limit.Burst {
				return true
			}
		}
	}
	return false
}

// LowLevels returns the teams that have little left, with their tokens.
func (q *Limiter) LowLevels(now time.Time) map[ident.Team]float64 {
	out := make(map[ident.Team]float64)
	for name, t := range q.teams {
		if t.limit.Rate <= 0 || now.Sub(t.usedAt) >= assumeMost {
			continue
		}
		t.accrue(now)
		if t.level < tightShare*t.limit.Burst {
			out[name] = math.Floor(t.level)
		}
	}
	return out
}

// CapLevels takes tokens that another VM sees, where they are fewer: it has heard from more VMs.
func (q *Limiter) CapLevels(now time.Time, levels map[ident.Team]float64) {
	for name, level := range levels {
		if t := q.teams[name]; t != nil {
			t.accrue(now)
			t.level = min(t.level, max(level, -t.limit.Burst))
		}
	}
}

// Reports returns what to tell others: the teams whose requests this VM has let through within a span.
func (q *Limiter) Reports(now time.Time, within time.Duration) map[ident.Team]Report {
	out := make(map[ident.Team]Report)
	for name, t := range q.teams {
		if t.limit.Rate > 0 && now.Sub(t.usedAt) < within {
			t.accrue(now)
			out[name] = Report{Offered: t.offered, Admitted: t.admitted, Level: math.Round(t.level), Starting: q.starting(now)}
		}
	}
	return out
}

// ApplyReports takes what another process says.
func (q *Limiter) ApplyReports(now time.Time, from ident.Process, reports map[ident.Team]Report) {
	for name, r := range reports {
		t := q.teams[name]
		if t == nil {
			continue
		}
		t.accrue(now)
		t.heard(now, from, r, q.starting(now) && !r.Starting)
	}
}

// RemoveProcess drops a process that has stopped.
func (q *Limiter) RemoveProcess(from ident.Process) {
	for _, t := range q.teams {
		delete(t.others, from)
	}
}

// starting reports whether the VM knows too little of the others to tell a team's level.
func (q *Limiter) starting(now time.Time) bool { return now.Sub(q.started) < settle }

// heard takes the report of another process; with learning set that process knows a team's level better.
func (t *team) heard(now time.Time, from ident.Process, r Report, learning bool) {
	o := t.others[from]
	if o == nil {
		t.others[from] = &other{offered: r.Offered, admitted: r.Admitted, heard: now}
		switch level := max(r.Level, -t.limit.Burst); {
		case !learning:
			t.level -= float64(min(r.Admitted, int64(t.limit.Rate)))
		case t.learnt:
			t.level = min(t.level, level)
		default:
			t.level, t.learnt = level, true
		}
		return
	}
	more := float64(r.Admitted - o.admitted)
	span := now.Sub(o.heard).Seconds()
	if more < 0 || span <= 0 {
		return
	}
	// What was let through long ago no longer counts, and the bucket could not have held what it was taken from.
	t.level += (o.charged - more) * min(1, countLast.Seconds()/span)
	t.bound()
	offered := float64(max(0, r.Offered-o.offered))
	o.demand += (1 - math.Exp(-span/demandSpan.Seconds())) * (offered/max(span, 0.05) - o.demand)
	o.offered, o.admitted, o.heard, o.charged = r.Offered, r.Admitted, now, 0
}

// accrue moves the level up to now: the rate comes in, and goes out what others let through if their callers go on as before.
func (t *team) accrue(now time.Time) {
	span := now.Sub(t.at).Seconds()
	t.at = now
	t.demand *= math.Exp(-span / demandSpan.Seconds())
	maps.DeleteFunc(t.others, func(_ ident.Process, o *other) bool { return now.Sub(o.heard) > assumeMost })
	rate, wanted := rateShare*t.limit.Rate, t.demand
	for _, o := range t.others {
		wanted += o.demand
		if o.demand > 0 && now.Sub(o.heard) > silentAfter {
			rate = silentShare * t.limit.Rate
		}
	}
	// Beyond the rate, each VM gets its part by what its callers ask for.
	part := 1.0
	if wanted > rate {
		part = rate / wanted
	}
	for _, o := range t.others {
		taken := part * o.demand * span
		o.charged += taken
		t.level -= taken
	}
	t.level += rate * span
	t.bound()
}

func (t *team) bound() {
	t.level = max(min(t.level, t.limit.Burst), -owedMost.Seconds()*t.limit.Rate)
}
