package quota

import (
	"maps"
	"math"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/base/units"
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
	// A VM's reserve holds capacityFraction of its part of what the bounds allow at once, gets rateFraction of its part of the rate, and
	// begins with startFraction of what is allowed at once: as long as no process starts more than twice in the time for which the bounds
	// hold, the sum stays within them, also if parts of VMs that start while they are cut off add a little.
	capacityFraction = 0.58
	rateFraction     = 0.96
	startFraction    = 0.18
	// startTime is how long after the start of a process its reserves begin with more as its part grows: in a large fleet parts take some
	// seconds to settle.
	startTime = 5 * time.Second
	// askFraction of what its reserve can hold is what a VM without a token wants, but at least one. It asks several VMs, each of them for
	// askShare of what it lacks for that, as not all have as much.
	askFraction = 0.5
	askShare    = 0.5
	// A VM that has asked for tokens of a team and got none asks again after minAskInterval, which doubles up to maxAskInterval.
	minAskInterval = 20 * time.Millisecond
	maxAskInterval = time.Second
	// minGift is the smallest number of tokens that a VM gives.
	minGift = 0.01
)

// AnswerTime is how long a request waits for the tokens that its VM has asked others for.
const AnswerTime = 12 * time.Millisecond

// Bounds is what the fleet may admit beyond the limit of a team: in any time, Overshoot times more than the limit allows, and Slack requests.
type Bounds struct {
	Overshoot, Slack float64
}

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

// Limiter is one VM's estimate of the levels of all teams, and its reserve of tokens of each. It is not safe for concurrent use.
type Limiter struct {
	started time.Time
	bounds  Bounds
	// part is the VM's part of what the bounds allow. A guest has none, and needs none.
	part  float64
	guest bool
	// startedPart is the largest part with which the reserves have begun.
	startedPart float64
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
	// reserve is the number of tokens that this VM may use, whatever the others do. askedAt is when it last asked others for some of theirs,
	// nextAsk when it may again, askInterval the time between two asks.
	reserve          float64
	askedAt, nextAsk time.Time
	askInterval      time.Duration
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

// New returns a Limiter without teams and without a part of what the bounds allow, for a VM that starts now.
func New(now time.Time, b Bounds) *Limiter {
	return &Limiter{started: now, bounds: b, initialShare: 1, teams: make(map[ident.Team]*team)}
}

// SetLimits replaces the limits of all teams. Teams that are not in limits are removed, but what they have used counts if they come back: it is
// forgotten when a team without requests would have all its tokens again.
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
			t.reserve = startFraction*l.part*l.amount(t) + l.rate(t)*now.Sub(l.started).Seconds()
			l.teams[name] = t
		}
		l.accrue(now, t)
		t.limit = limit
		t.level = min(t.level, limit.Burst)
		t.reserve = min(t.reserve, l.capacity(t))
	}
	maps.DeleteFunc(l.teams, func(name ident.Team, t *team) bool {
		if _, ok := limits[name]; ok {
			return false
		}
		l.accrue(now, t)
		return t.limit.Rate <= 0 || t.level >= t.limit.Burst && t.reserve >= l.capacity(t)
	})
}

// StartServing records that the VM starts to serve as one of the given number of VMs. All VMs may have started together, so they share
// the teams' initial levels. vms is 0 for a VM to which no clients are sent; it gets no share.
func (l *Limiter) StartServing(now time.Time, vms int) {
	l.initialShare = 0
	if vms > 0 {
		l.initialShare = min(1, initialLevelVMs/float64(vms))
	}
	for _, t := range l.teams {
		l.accrue(now, t)
		if !t.levelLearned && t.level > 0 {
			t.level *= l.initialShare
		}
	}
}

// SetPart sets the VM's part of what the bounds allow. A guest is a VM without a part that is in touch with those who have most of it: these
// deduct what it admits from the levels, and tell it when they are low.
func (l *Limiter) SetPart(now time.Time, part float64, guest bool) {
	if part == l.part && guest == l.guest {
		return
	}
	for _, t := range l.teams {
		l.accrue(now, t)
	}
	begun := 0.0
	if part > l.startedPart && now.Sub(l.started) < startTime {
		begun, l.startedPart = part-l.startedPart, part
	}
	l.part, l.guest = part, guest
	for _, t := range l.teams {
		t.reserve = min(t.reserve+startFraction*begun*l.amount(t), l.capacity(t))
	}
}

// capacity returns how many tokens of a team the VM's reserve can hold, and rate how many it gets in a second. The parts of all VMs together
// hold no more than the bounds allow at once, and get no more than they allow in a second. Any part is worth a token at times.
func (l *Limiter) capacity(t *team) float64 {
	if l.part <= 0 {
		return 0
	}
	return max(1, capacityFraction*l.part*l.amount(t))
}

func (l *Limiter) rate(t *team) float64 {
	return rateFraction * l.part * (1 + l.bounds.Overshoot) * t.limit.Rate
}

// amount returns how many requests of a team the bounds allow at once.
func (l *Limiter) amount(t *team) float64 {
	return (1+l.bounds.Overshoot)*t.limit.Burst + l.bounds.Slack
}

// accrue updates the level and the reserve of a team to now.
func (l *Limiter) accrue(now time.Time, t *team) {
	t.reserve = max(t.reserve, min(l.capacity(t), t.reserve+l.rate(t)*now.Sub(t.updatedAt).Seconds()))
	t.accrue(now)
}

// Admit admits a request of a team and takes a token for it, or returns the time after which a token should be available. A team
// without a limit is always admitted.
func (l *Limiter) Admit(now time.Time, name ident.Team) (bool, time.Duration) {
	t := l.teams[name]
	if t == nil || t.limit.Rate <= 0 {
		return true, 0
	}
	l.accrue(now, t)
	t.lastRequestAt = now
	t.offered++
	t.demand += 1 / demandTimeConstant.Seconds()
	return l.admit(t)
}

// AdmitAgain is Admit for a request that was not admitted just before, once other VMs have given tokens.
func (l *Limiter) AdmitAgain(now time.Time, name ident.Team) (bool, time.Duration) {
	t := l.teams[name]
	if t == nil {
		return true, 0
	}
	l.accrue(now, t)
	return l.admit(t)
}

func (l *Limiter) admit(t *team) (bool, time.Duration) {
	if t.level < 1 {
		return false, time.Duration((1 - t.level) / t.limit.Rate * float64(time.Second))
	}
	if !l.guest && t.reserve < 1 {
		return false, l.reserveWait(t)
	}
	t.level--
	t.reserve = max(0, t.reserve-1)
	t.admitted++
	return true, 0
}

// reserveWait returns the time after which the VM should have a token of a team in its reserve.
func (l *Limiter) reserveWait(t *team) time.Duration {
	if l.part <= 0 {
		return maxAskInterval
	}
	return min(maxAskInterval, units.Seconds((1-t.reserve)/l.rate(t)))
}

// Ask reports whether a request that was not admitted may wait for tokens of other VMs: the reserve has not enough for it, and the fleet has tokens
// left. It also returns how many tokens to ask each of some VMs for, 0 if the VM has asked lately.
func (l *Limiter) Ask(now time.Time, name ident.Team) (tokens float64, wait bool) {
	t := l.teams[name]
	if t == nil || t.limit.Rate <= 0 || l.guest {
		return 0, false
	}
	l.accrue(now, t)
	if t.level < 1 || t.reserve >= 1 {
		return 0, false
	}
	if now.Before(t.nextAsk) {
		return 0, now.Sub(t.askedAt) < AnswerTime
	}
	t.askedAt = now
	t.askInterval = min(maxAskInterval, max(minAskInterval, 2*t.askInterval))
	t.nextAsk = now.Add(t.askInterval)
	return max(2*minGift, askShare*(max(1, askFraction*l.capacity(t))-t.reserve)), true
}

// Give takes tokens out of the reserves for another VM that has asked for them, and returns how many of each team.
func (l *Limiter) Give(now time.Time, asked map[ident.Team]float64) map[ident.Team]float64 {
	var out map[ident.Team]float64
	for name, n := range asked {
		t := l.teams[name]
		if t == nil {
			continue
		}
		l.accrue(now, t)
		given := min(n, t.reserve)
		if !(given >= minGift) {
			continue
		}
		t.reserve -= given
		if out == nil {
			out = make(map[ident.Team]float64)
		}
		out[name] = given
	}
	return out
}

// Receive adds tokens that another VM has given.
func (l *Limiter) Receive(now time.Time, given map[ident.Team]float64) {
	for name, n := range given {
		if t := l.teams[name]; t != nil && n > 0 {
			l.accrue(now, t)
			t.reserve = max(t.reserve, min(l.capacity(t), t.reserve+n))
			t.askInterval, t.nextAsk = 0, now
		}
	}
}

// Reserve returns the tokens of a team that the VM may use whatever the others do; it is 0 for an unknown team.
func (l *Limiter) Reserve(now time.Time, name ident.Team) float64 {
	t := l.teams[name]
	if t == nil {
		return 0
	}
	l.accrue(now, t)
	return t.reserve
}

// Level returns the estimated tokens of a team, which may be below 0; it is 0 for an unknown team.
func (l *Limiter) Level(now time.Time, name ident.Team) float64 {
	t := l.teams[name]
	if t == nil {
		return 0
	}
	l.accrue(now, t)
	return t.level
}

// NearLimit reports whether the level of a recently used team is low, so that the requests that other VMs admit will soon matter.
func (l *Limiter) NearLimit(now time.Time) bool {
	for _, t := range l.teams {
		if t.limit.Rate > 0 && now.Sub(t.lastRequestAt) < maxExtrapolation {
			l.accrue(now, t)
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
		l.accrue(now, t)
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
			l.accrue(now, t)
			t.level = min(t.level, max(level, -t.limit.Burst))
		}
	}
}

// Reports returns the reports for other VMs, of the teams with requests to this VM within the given time.
func (l *Limiter) Reports(now time.Time, within time.Duration) map[ident.Team]Report {
	out := make(map[ident.Team]Report)
	for name, t := range l.teams {
		if t.limit.Rate > 0 && now.Sub(t.lastRequestAt) < within {
			l.accrue(now, t)
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
		l.accrue(now, t)
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
