package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/lab/model"
)

const (
	warmUpDuration    = 5 * time.Second
	warmUpRate        = 200
	significantDigits = 3
	minLatencyMicros  = 1
	maxLatencyMicros  = 60_000_000
)

// typicalParams returns the parameters of a system whose queries fan out to 170 shards.
func typicalParams(seed uint64) model.Params {
	return model.Params{
		Shards: 170, Replicas: 2, Slots: 2, ColdSlots: 1, WarmAfter: 30, Domains: 3,
		MedianServiceTime: 8 * time.Millisecond, ServiceTimeSigma: 0.25, StragglerFactor: 20, ColdFactor: 3, CrashDuration: time.Second,
		NetworkDelay: 500 * time.Microsecond, ExtraLoad: 0.03, HedgeQuantile: 0.95, Deadline: 400 * time.Millisecond,
		MinCoverage: 0.5, MaxQueue: 64, Seed: seed,
	}
}

// requestStats collects the outcomes of requests.
type requestStats struct {
	latencies   *hdrhistogram.Histogram
	total       int
	failed      int
	coverageSum float64
	minCoverage float64
	// wrongCoverage counts the outcomes whose reported coverage is not the true one.
	wrongCoverage  int
	firstAttempts  int
	secondAttempts int
	pending        int
}

func newRequestStats() *requestStats {
	return &requestStats{latencies: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits), minCoverage: 1}
}

func (s *requestStats) add(o model.Outcome) {
	s.total++
	s.pending--
	_ = s.latencies.RecordValue(max(1, o.Latency.Microseconds()))
	s.coverageSum += o.Coverage
	s.minCoverage = min(s.minCoverage, o.Coverage)
	s.firstAttempts += o.FirstAttempts
	s.secondAttempts += o.SecondAttempts
	if o.Failed {
		s.failed++
	}
	if o.Coverage != o.TrueCoverage {
		s.wrongCoverage++
	}
}

func (s *requestStats) percentileMillis(percentile float64) float64 {
	return float64(s.latencies.ValueAtQuantile(percentile)) / 1000
}

func (s *requestStats) secondAttemptRatio() float64 {
	return float64(s.secondAttempts) / float64(max(1, s.firstAttempts))
}

func (s *requestStats) meanCoverage() float64 { return s.coverageSum / float64(max(1, s.total)) }

// newWarmSimulation returns a simulation that has run until the owners have found their servers warm.
func newWarmSimulation(p model.Params) *model.Simulation {
	sim := model.New(p)
	sim.Poisson(min(warmUpRate, p.RateAtUtilization(0.3)), warmUpDuration, func() { sim.Request("warm", 1, func(model.Outcome) {}) })
	sim.Run(warmUpDuration+p.Deadline, nil)
	return sim
}

// runLoad sends requests of one team, rate per second, for the given span and returns their statistics. It calls
// onStart, unless nil, at the start of the span.
func runLoad(sim *model.Simulation, rate float64, span time.Duration, onStart func()) *requestStats {
	s := newRequestStats()
	end := sim.Now() + span
	sim.Poisson(rate, end, func() {
		s.pending++
		sim.Request("team", 1, s.add)
	})
	if onStart != nil {
		onStart()
	}
	sim.Run(end+2*sim.Params.Deadline, nil)
	return s
}

// measureTailLatency compares the latency with stragglers, for several hedge delays, to that without stragglers.
func measureTailLatency(seed uint64) (Report, error) {
	const span = 30 * time.Second
	r := Report{
		Target:  "p99 of the whole at most 1.3 times the p99 without stragglers, for at most 3% more parts",
		Columns: []string{"p50 ms", "p99 ms", "times calm", "extra parts %", "mean coverage"},
	}
	baselineP99 := 0.0
	for _, v := range []struct {
		name          string
		stragglers    float64
		hedgeQuantile float64
		extraLoad     float64
	}{
		{"no stragglers", 0, 0.95, 0.03},
		{"stragglers, no hedging", 0.01, 0, 0},
		{"stragglers, hedge after p90", 0.01, 0.90, 0.03},
		{"stragglers, hedge after p95", 0.01, 0.95, 0.03},
		{"stragglers, hedge after p98", 0.01, 0.98, 0.03},
		{"stragglers, hedge after p99", 0.01, 0.99, 0.03},
	} {
		p := typicalParams(seed)
		p.StragglerFraction, p.HedgeQuantile, p.ExtraLoad = v.stragglers, v.hedgeQuantile, v.extraLoad
		base := typicalParams(seed)
		s := runLoad(newWarmSimulation(p), base.RateAtUtilization(0.3), span, nil)
		if baselineP99 == 0 {
			baselineP99 = s.percentileMillis(99)
		}
		ratio := s.percentileMillis(99) / baselineP99
		r.Rows = append(r.Rows, Row{v.name, []float64{
			s.percentileMillis(50), s.percentileMillis(99), ratio,
			100 * s.secondAttemptRatio(), s.meanCoverage(),
		}})
		if v.name == "stragglers, hedge after p95" {
			r.Met = ratio <= 1.3 && s.secondAttemptRatio() <= 0.03
		}
	}
	return r, nil
}

// measureCoverage measures the coverage of answers while replicas are lost and a failure domain is out.
func measureCoverage(seed uint64) (Report, error) {
	const span = 30 * time.Second
	r := Report{
		Target:  "99.9% mean coverage with one replica of 5% of the shards gone and one domain out; reported coverage true in every answer",
		Columns: []string{"mean coverage", "least coverage", "untrue answers", "failed", "p99 ms"},
		Met:     true,
	}
	for _, v := range []struct {
		name        string
		replicaLost bool
		domainOut   bool
		retries     bool
	}{
		{"ordinary", false, false, true},
		{"5% of shards lost a replica", true, false, true},
		{"and one domain out", true, true, true},
		{"the same without second attempts", true, true, false},
	} {
		p := typicalParams(seed)
		p.Domains, p.Deadline, p.StragglerFraction = 3, 800*time.Millisecond, 0.01
		if !v.retries {
			p.ExtraLoad, p.HedgeQuantile = 0, 0
		}
		sim := newWarmSimulation(p)
		s := runLoad(sim, p.RateAtUtilization(0.15), span, func() {
			for i, server := range sim.Servers {
				if shard := i / p.Replicas; v.replicaLost && shard%20 == 0 && i%p.Replicas == 0 && server.Domain != 0 {
					server.Crash(time.Hour)
				}
				if v.domainOut && server.Domain == 0 && (i/p.Replicas)%20 != 0 {
					server.SetOut(true)
				}
			}
		})
		r.Rows = append(r.Rows, Row{v.name, []float64{
			s.meanCoverage(), s.minCoverage, float64(s.wrongCoverage),
			float64(s.failed), s.percentileMillis(99),
		}})
		if v.retries && (s.meanCoverage() < 0.999 || s.wrongCoverage > 0) {
			r.Met = false
		}
	}
	r.Notes = append(r.Notes, "a shard that loses its replica keeps the other one's domain, else no policy could cover it")
	return r, nil
}

// measureDomainOutage measures latency and cold overruns while a failure domain is out and after it has returned
// with cold servers.
func measureDomainOutage(seed uint64) (Report, error) {
	const phaseDuration = 20 * time.Second
	r := Report{
		Target:  "no new work after 3 s, no cold server beyond its budget, no query lost, p99 at most twice the ordinary; 70% load of what remains",
		Columns: []string{"p50 ms", "p99 ms", "times calm", "failed", "least coverage", "late work", "cold overruns"},
		Met:     true,
	}
	baselineP99 := 0.0
	for _, ignoreColdSlots := range []bool{false, true} {
		p := typicalParams(seed)
		p.IgnoreColdSlots = ignoreColdSlots
		sim := newWarmSimulation(p)
		rate := p.RateAtUtilization(0.7) * 2 / 3 * 0.75
		phases := []struct {
			name string
			do   func()
		}{
			{"ordinary", nil},
			{"domain out", func() { forEachInDomain(sim, 0, func(s *model.Server) { s.SetOut(true) }) }},
			{"domain back, all cold", func() {
				forEachInDomain(sim, 0, func(s *model.Server) { s.BecomeCold(true) })
				forEachInDomain(sim, 0, func(s *model.Server) { s.SetOut(false) })
			}},
			{"after", nil},
		}
		for _, phase := range phases {
			start := sim.Now()
			s := runLoad(sim, rate, phaseDuration, phase.do)
			if baselineP99 == 0 {
				baselineP99 = s.percentileMillis(99)
			}
			lateServers, overruns := 0, 0
			for _, server := range sim.Servers {
				overruns += server.Overruns
				if server.Out && server.LastStart > start+3*time.Second {
					lateServers++
				}
			}
			name := phase.name
			if ignoreColdSlots {
				name += " (no caution)"
			}
			ratio := s.percentileMillis(99) / baselineP99
			r.Rows = append(r.Rows, Row{name, []float64{
				s.percentileMillis(50), s.percentileMillis(99), ratio, float64(s.failed),
				s.minCoverage, float64(lateServers), float64(overruns),
			}})
			if !ignoreColdSlots && (ratio > 2 || s.failed > 0 || lateServers > 0 || overruns > 0) {
				r.Met = false
			}
		}
	}
	return r, nil
}

func forEachInDomain(sim *model.Simulation, domain int, do func(*model.Server)) {
	for _, s := range sim.Servers {
		if s.Domain == domain {
			do(s)
		}
	}
}

// measureColdStart measures the time until cold servers are warm, beside the least time that their cold slots allow.
func measureColdStart(seed uint64) (Report, error) {
	r := Report{
		Target:  "back to full service within 1.5 times the least possible time, without an overrun",
		Columns: []string{"time to warm ms", "least possible ms", "ratio", "overruns"},
		Met:     true,
	}
	for _, v := range []struct {
		name            string
		restart         bool
		bothReplicas    bool
		ignoreColdSlots bool
	}{
		{"a server restarts", true, false, false},
		{"a server turns cold silently", false, false, false},
		{"both replicas restart", true, true, false},
		{"a server restarts, no caution", true, false, true},
	} {
		p := typicalParams(seed)
		p.Shards, p.IgnoreColdSlots = 1, v.ignoreColdSlots
		sim := newWarmSimulation(p)
		coldServers := sim.Servers[:1]
		if v.bothReplicas {
			coldServers = sim.Servers
		}
		start := sim.Now()
		sim.Poisson(p.RateAtUtilization(0.9), start+time.Minute, func() { sim.Request("team", 1, func(model.Outcome) {}) })
		for _, s := range coldServers {
			s.BecomeCold(v.restart)
		}
		timeToWarm := time.Duration(0)
		sim.Run(start+time.Minute, func() {
			if timeToWarm == 0 && allWarm(coldServers) {
				timeToWarm = sim.Now() - start
			}
		})
		minTimeToWarm := time.Duration(float64(p.WarmAfter) * p.ColdFactor * float64(p.MedianServiceTime) / float64(p.ColdSlots))
		overruns := 0
		for _, s := range coldServers {
			overruns += s.Overruns
		}
		ratio := float64(timeToWarm) / float64(minTimeToWarm)
		r.Rows = append(r.Rows, Row{v.name, []float64{millis(timeToWarm), millis(minTimeToWarm), ratio, float64(overruns)}})
		if !v.ignoreColdSlots && (ratio > 1.5 || overruns > 0) {
			r.Met = false
		}
	}
	return r, nil
}

func allWarm(servers []*model.Server) bool {
	for _, s := range servers {
		if !s.Warm() {
			return false
		}
	}
	return true
}

// measureFairness measures the fraction of requests served and the latency of teams within their rate, beside a team that sends ten times its
// rate.
func measureFairness(seed uint64) (Report, error) {
	const span = 30 * time.Second
	r := Report{
		Target:  "the worst served of seven teams within their rate gets within 2% of what it gets alone, beside one at ten times its rate",
		Columns: []string{"served of worst", "worst p99 ms", "flooder served"},
	}
	servedByVariant := make(map[string]float64)
	for _, v := range []struct {
		name        string
		withFlooder bool
		singleQueue bool
	}{
		{"seven teams alone", false, false},
		{"beside the flooder, fair", true, false},
		{"beside the flooder, one line", true, true},
	} {
		p := typicalParams(seed)
		p.Shards, p.SingleQueue, p.Deadline, p.MinCoverage, p.MaxQueue = 4, v.singleQueue, 200*time.Millisecond, 1, 64
		sim := newWarmSimulation(p)
		rate := p.RateAtUtilization(0.5) / 8
		end := sim.Now() + span
		teams := []ident.Team{"a", "b", "c", "d", "e", "f", "g", "flooder"}
		statsByTeam := make(map[ident.Team]*requestStats)
		for _, team := range teams {
			s := newRequestStats()
			statsByTeam[team] = s
			factor := 1.0
			if team == "flooder" {
				factor = 10
				if !v.withFlooder {
					continue
				}
			}
			sim.Poisson(rate*factor, end, func() { sim.Request(team, 1, s.add) })
		}
		sim.Run(end+time.Second, nil)
		minServed, maxP99 := 1.0, 0.0
		for _, team := range teams[:7] {
			s := statsByTeam[team]
			minServed = min(minServed, 1-float64(s.failed)/float64(max(1, s.total)))
			maxP99 = max(maxP99, s.percentileMillis(99))
		}
		flooder := statsByTeam["flooder"]
		flooderServed := 1 - float64(flooder.failed)/float64(max(1, flooder.total))
		servedByVariant[v.name] = minServed
		r.Rows = append(r.Rows, Row{v.name, []float64{minServed, maxP99, flooderServed}})
	}
	r.Met = servedByVariant["beside the flooder, fair"] >= 0.98*servedByVariant["seven teams alone"]
	r.Notes = append(r.Notes, "the flooder's excess is let past its rate here, so that only the queue protects the others")
	return r, nil
}
