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
	// rateWeight is the weight of a new observation in the rate of another VM.
	rateWeight = 0.5
	// startLevel is the share of its burst that a team has at a VM which has just started.
	startLevel = 0.4
	// settle is the time after the start in which a VM takes over what others say of a team's level.
	settle = time.Second
	// tightShare of the burst is little.
	tightShare = 0.7
	// rateShare keeps the fleet a little below a team's rate.
	rateShare = 0.98
)

// Limit is a team's rate in requests per second, and its burst.
type Limit struct {
	Rate  float64
	Burst float64
}

// Report is what a VM tells others of a team: how many requests it has let through since it started, and the level it sees.
type Report struct {
	Admitted int64   `json:"a"`
	Level    float64 `json:"l"`
}

// Quota is one VM's view of all teams; it is driven under its owner's lock.
type Quota struct {
	started time.Time
	teams   map[ident.Team]*team
}

type team struct {
	limit    Limit
	level    float64
	at       time.Time
	admitted int64
	usedAt   time.Time
	others   map[ident.Process]*other
}

type other struct {
	admitted int64
	rate     float64
	heard    time.Time
}

// New returns a Quota without teams, for a VM that starts now.
func New(now time.Time) *Quota {
	return &Quota{started: now, teams: make(map[ident.Team]*team)}
}

// SetLimits replaces the limits of all teams.
func (q *Quota) SetLimits(now time.Time, limits map[ident.Team]Limit) {
	for name, limit := range limits {
		t := q.teams[name]
		if t == nil {
			level := limit.Burst
			if now.Sub(q.started) < settle {
				level *= startLevel
			}
			t = &team{level: level, at: now, others: make(map[ident.Process]*other)}
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

// Admit takes a request of a team, or says after which time there should be room for one.
func (q *Quota) Admit(now time.Time, name ident.Team) (bool, time.Duration) {
	t := q.teams[name]
	if t == nil || t.limit.Rate <= 0 {
		return true, 0
	}
	t.accrue(now)
	t.usedAt = now
	room := t.level - t.assumed(now)
	if room < 1 {
		return false, time.Duration((1 - room) / t.limit.Rate * float64(time.Second))
	}
	t.level--
	t.admitted++
	return true, 0
}

// Level returns the tokens that a team seems to have, which may be below 0.
func (q *Quota) Level(now time.Time, name ident.Team) float64 {
	t := q.teams[name]
	if t == nil {
		return 0
	}
	t.accrue(now)
	return t.level - t.assumed(now)
}

// Tight reports whether some team has little left of its burst, so that what others let through matters soon.
func (q *Quota) Tight(now time.Time) bool {
	for _, t := range q.teams {
		if t.limit.Rate > 0 && now.Sub(t.usedAt) < assumeMost {
			t.accrue(now)
			if t.level-t.assumed(now) < tightShare*t.limit.Burst {
				return true
			}
		}
	}
	return false
}

// Levels returns the teams that have little left, with their tokens.
func (q *Quota) Levels(now time.Time) map[ident.Team]float64 {
	out := make(map[ident.Team]float64)
	for name, t := range q.teams {
		if t.limit.Rate <= 0 || now.Sub(t.usedAt) >= assumeMost {
			continue
		}
		t.accrue(now)
		if level := t.level - t.assumed(now); level < tightShare*t.limit.Burst {
			out[name] = math.Floor(level)
		}
	}
	return out
}

// Adopt takes tokens that another VM sees, where they are fewer: it has heard from more VMs.
func (q *Quota) Adopt(now time.Time, levels map[ident.Team]float64) {
	for name, level := range levels {
		if t := q.teams[name]; t != nil {
			t.accrue(now)
			t.level = min(t.level, max(level, -t.limit.Burst))
		}
	}
}

// Reports returns what to tell others: the teams whose requests this VM has let through within a span.
func (q *Quota) Reports(now time.Time, within time.Duration) map[ident.Team]Report {
	out := make(map[ident.Team]Report)
	for name, t := range q.teams {
		if t.limit.Rate > 0 && now.Sub(t.usedAt) < within {
			t.accrue(now)
			out[name] = Report{Admitted: t.admitted, Level: float64(int(t.level))}
		}
	}
	return out
}

// Heard takes what another process says.
func (q *Quota) Heard(now time.Time, from ident.Process, reports map[ident.Team]Report) {
	for name, r := range reports {
		t := q.teams[name]
		if t == nil {
			continue
		}
		t.accrue(now)
		t.heard(now, from, r, now.Sub(q.started) < settle)
	}
}

// Left drops a process that has said that it stops.
func (q *Quota) Left(from ident.Process) {
	for _, t := range q.teams {
		delete(t.others, from)
	}
}

func (t *team) heard(now time.Time, from ident.Process, r Report, starting bool) {
	o := t.others[from]
	if starting {
		t.level = min(t.level, max(r.Level, -t.limit.Burst))
	}
	if o == nil {
		if !starting {
			t.level -= float64(min(r.Admitted, int64(t.limit.Rate)))
		}
		t.others[from] = &other{admitted: r.Admitted, heard: now}
		return
	}
	more := float64(r.Admitted - o.admitted)
	span := now.Sub(o.heard).Seconds()
	if more < 0 || span <= 0 {
		return
	}
	if !starting {
		t.level -= more
	}
	weight := min(1, rateWeight*max(1, span/0.25))
	o.rate += weight * (more/max(span, 0.05) - o.rate)
	o.admitted, o.heard = r.Admitted, now
}

// assumed returns what others have let through since they were last heard from, if they go on as before.
func (t *team) assumed(now time.Time) float64 {
	sum := 0.0
	maps.DeleteFunc(t.others, func(_ ident.Process, o *other) bool { return now.Sub(o.heard) > assumeMost })
	for _, o := range t.others {
		sum += o.rate * now.Sub(o.heard).Seconds()
	}
	return sum
}

func (t *team) accrue(now time.Time) {
	t.level = min(t.limit.Burst, t.level+rateShare*t.limit.Rate*now.Sub(t.at).Seconds())
	t.at = now
}
