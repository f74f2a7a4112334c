package quota

import (
	"maps"
	"math"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
)

const (
	// maxExtrapolation is how long a VM that sends no reports is assumed to continue at its previous rate, and how long a team counts
	// as recently used after a request.
	maxExtrapolation = 8 * time.Second
	// demandTimeConstant is the time constant of the moving average of a team's demand.
	demandTimeConstant = 2 * time.Second
	// initialLevelFraction is the fraction of its burst that a team has at a newly started VM. More than initialLevelVMs VMs
	// together have initialLevelVMs times this fraction.
	initialLevelFraction = 0.4
	initialLevelVMs      = 4
	// startupInterval is the time after the start in which a VM adopts the levels of teams that others report.
	startupInterval = time.Second
	// lowLevelFraction is the fraction of the burst below which a level is low.
	lowLevelFraction = 0.7
	// refillFraction is the fraction of a team's rate at which its bucket is refilled; it keeps the fleet slightly below the rate.
	// While a VM is silent, silentRefillFraction applies instead: the VM may be gone and not use the tokens deducted for it. The
	// extra tokens stay within the overshoot that a team is allowed.
	refillFraction       = 0.98
	silentRefillFraction = 1.05
	// silentTimeout is the time after its last report from which a VM counts as silent.
	silentTimeout = 1500 * time.Millisecond
	// maxCountedTime is how much of the time since a VM's previous report counts when it reports again.
	maxCountedTime = 2 * time.Second
	// maxDebtTime bounds how far a team's level can fall below 0, as a time at its rate.
	maxDebtTime = 2 * time.Second
	// minBurstTime is the burst, as a time at the rate and at least one request, of a team whose configured burst is less than one
	// request: otherwise none of its requests could be admitted. Rates are counted over seconds, so this is far within the overshoot
	// that a team is allowed.
	minBurstTime = 250 * time.Millisecond
)

// Limit is a team's rate in requests per second, 0 for no limit, and its burst in requests.
type Limit struct {
	Rate  float64
	Burst float64
}

// Report is what a VM reports of a team to the others: how many requests it has received and admitted since it started, and its
// estimate of the team's level in tokens.
type Report struct {
	Offered  int64   `json:"o"`
	Admitted int64   `json:"a"`
	Level    float64 `json:"l"`
	// Starting is set while the VM has just started, so that its level accounts for its own requests only.
	Starting bool `json:"f,omitempty"`
}

// Limiter is one VM's estimate of the levels of all teams. It is not safe for concurrent use.
type Limiter struct {
	started time.Time
	// initialShare is the VM's share of the teams' initial levels, from 0 to 1.
	initialShare float64
	teams        map[ident.Team]*team
}

type team struct {
	limit         Limit
	level         float64
	updatedAt     time.Time
	offered       int64
	admitted      int64
	lastRequestAt time.Time
	// levelLearned is set once the level has been adopted from a process that had finished its start.
	levelLearned bool
	// demand is the rate of requests received by this VM, per second.
	demand float64
	peers  map[ident.Process]*peer
}

// peer is the state of another process for one team, as of its last report.
type peer struct {
	offered  int64
	admitted int64
	// demand is the rate of requests received by that VM, per second.
	demand     float64
	reportedAt time.Time
	// extrapolated is the tokens deducted for the VM since its last report, on the assumption that its rate is unchanged.
	extrapolated float64
}

// New returns a Limiter without teams, for a VM that starts now.
func New(now time.Time) *Limiter {
	return &Limiter{started: now, initialShare: 1, teams: make(map[ident.Team]*team)}
}

// SetLimits replaces the limits of all teams; teams that are not in limits are removed.
func (l *Limiter) SetLimits(now time.Time, limits map[ident.Team]Limit) {
	for name, limit := range limits {
		if limit.Burst < 1 {
			limit.Burst = max(1, minBurstTime.Seconds()*limit.Rate)
		}
		t := l.teams[name]
		if t == nil {
			level := limit.Burst
			if l.starting(now) {
				level *= initialLevelFraction * l.initialShare
			}
			t = &team{limit: limit, level: level, updatedAt: now, peers: make(map[ident.Process]*peer)}
			l.teams[name] = t
		}
		t.accrue(now)
		t.limit = limit
		t.level = min(t.level, limit.Burst)
	}
	for name := range l.teams {
		if _, ok := limits[name]; !ok {
			delete(l.teams, name)
		}
	}
}

// StartServing records that the VM starts to serve as one of the given number of VMs. All VMs may have started together, so they share
// the teams' initial levels. vms is 0 for a VM to which no clients are sent; it gets no share.
func (l *Limiter) StartServing(now time.Time, vms int) {
	l.initialShare = 0
	if vms > 0 {
		l.initialShare = min(1, initialLevelVMs/float64(vms))
	}
	for _, t := range l.teams {
		t.accrue(now)
		if !t.levelLearned && t.level > 0 {
			t.level *= l.initialShare
		}
	}
}

// Admit admits a request of a team and takes a token for it, or returns the time after which a token should be available. A team
// without a limit is always admitted.
func (l *Limiter) Admit(now time.Time, name ident.Team) (bool, time.Duration) {
	t := l.teams[name]
	if t == nil || t.limit.Rate <= 0 {
		return true, 0
	}
	t.accrue(now)
	t.lastRequestAt = now
	t.offered++
	t.demand += 1 / demandTimeConstant.Seconds()
	if t.level < 1 {
		return false, time.Duration((1 - t.level) / t.limit.Rate * float64(time.Second))
	}
	t.level--
	t.admitted++
	return true, 0
}

// Level returns the estimated tokens of a team, which may be below 0; it is 0 for an unknown team.
func (l *Limiter) Level(now time.Time, name ident.Team) float64 {
	t := l.teams[name]
	if t == nil {
		return 0
	}
	t.accrue(now)
	return t.level
}

// NearLimit reports whether the level of a recently used team is low, so that the requests that other VMs admit will soon matter.
func (l *Limiter) NearLimit(now time.Time) bool {
	for _, t := range l.teams {
		if t.limit.Rate > 0 && now.Sub(t.lastRequestAt) < maxExtrapolation {
			t.accrue(now)
			if t.level < lowLevelFraction*t.limit.Burst {
				return true
			}
		}
	}
	return false
}

// LowLevels returns the recently used teams whose level is low, with their tokens rounded down.
func (l *Limiter) LowLevels(now time.Time) map[ident.Team]float64 {
	out := make(map[ident.Team]float64)
	for name, t := range l.teams {
		if t.limit.Rate <= 0 || now.Sub(t.lastRequestAt) >= maxExtrapolation {
			continue
		}
		t.accrue(now)
		if t.level < lowLevelFraction*t.limit.Burst {
			out[name] = math.Floor(t.level)
		}
	}
	return out
}

// CapLevels lowers the levels of teams to those that another VM estimates, where these are lower: that VM has received reports from
// more VMs.
func (l *Limiter) CapLevels(now time.Time, levels map[ident.Team]float64) {
	for name, level := range levels {
		if t := l.teams[name]; t != nil {
			t.accrue(now)
			t.level = min(t.level, max(level, -t.limit.Burst))
		}
	}
}

// Reports returns the reports for other VMs, of the teams with requests to this VM within the given time.
func (l *Limiter) Reports(now time.Time, within time.Duration) map[ident.Team]Report {
	out := make(map[ident.Team]Report)
	for name, t := range l.teams {
		if t.limit.Rate > 0 && now.Sub(t.lastRequestAt) < within {
			t.accrue(now)
			out[name] = Report{Offered: t.offered, Admitted: t.admitted, Level: math.Round(t.level), Starting: l.starting(now)}
		}
	}
	return out
}

// ApplyReports updates the levels by the reports of another process.
func (l *Limiter) ApplyReports(now time.Time, from ident.Process, reports map[ident.Team]Report) {
	for name, r := range reports {
		t := l.teams[name]
		if t == nil {
			continue
		}
		t.accrue(now)
		t.applyReport(now, from, r, l.starting(now) && !r.Starting)
	}
}

// RemoveProcess removes a process that has stopped.
func (l *Limiter) RemoveProcess(from ident.Process) {
	for _, t := range l.teams {
		delete(t.peers, from)
	}
}

// starting reports whether the VM has started too recently to have an estimate of the teams' levels of its own.
func (l *Limiter) starting(now time.Time) bool { return now.Sub(l.started) < startupInterval }

// applyReport updates the level by the report of another process. learnLevel is set if that process has the better estimate.
func (t *team) applyReport(now time.Time, from ident.Process, r Report, learnLevel bool) {
	p := t.peers[from]
	if p == nil {
		t.peers[from] = &peer{offered: r.Offered, admitted: r.Admitted, reportedAt: now}
		switch level := max(r.Level, -t.limit.Burst); {
		case !learnLevel:
			t.level -= float64(min(r.Admitted, int64(t.limit.Rate)))
		case t.levelLearned:
			t.level = min(t.level, level)
		default:
			t.level, t.levelLearned = level, true
		}
		return
	}
	newlyAdmitted := float64(r.Admitted - p.admitted)
	elapsed := now.Sub(p.reportedAt).Seconds()
	if newlyAdmitted < 0 || elapsed <= 0 {
		return
	}
	// Requests admitted long ago no longer count: the bucket could not have held the tokens for all of them.
	t.level += (p.extrapolated - newlyAdmitted) * min(1, maxCountedTime.Seconds()/elapsed)
	t.clampLevel()
	newlyOffered := float64(max(0, r.Offered-p.offered))
	p.demand += (1 - math.Exp(-elapsed/demandTimeConstant.Seconds())) * (newlyOffered/max(elapsed, 0.05) - p.demand)
	p.offered, p.admitted, p.reportedAt, p.extrapolated = r.Offered, r.Admitted, now, 0
}

// accrue updates the level to now: it adds the refill and deducts what other VMs admit if their clients' rates are unchanged.
func (t *team) accrue(now time.Time) {
	elapsed := now.Sub(t.updatedAt).Seconds()
	t.updatedAt = now
	t.demand *= math.Exp(-elapsed / demandTimeConstant.Seconds())
	maps.DeleteFunc(t.peers, func(_ ident.Process, p *peer) bool { return now.Sub(p.reportedAt) > maxExtrapolation })
	rate, demand := refillFraction*t.limit.Rate, t.demand
	for _, p := range t.peers {
		demand += p.demand
		if p.demand > 0 && now.Sub(p.reportedAt) > silentTimeout {
			rate = silentRefillFraction * t.limit.Rate
		}
	}
	// If the demand exceeds the rate, each VM is assumed to admit the same fraction of its demand.
	admittedFraction := 1.0
	if demand > rate {
		admittedFraction = rate / demand
	}
	for _, p := range t.peers {
		admitted := admittedFraction * p.demand * elapsed
		p.extrapolated += admitted
		t.level -= admitted
	}
	t.level += rate * elapsed
	t.clampLevel()
}

// clampLevel limits the level to the burst and to the largest debt.
func (t *team) clampLevel() {
	t.level = max(min(t.level, t.limit.Burst), -maxDebtTime.Seconds()*t.limit.Rate)
}
