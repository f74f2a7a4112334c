package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/lab/model"
)

const (
	warmUp       = 5 * time.Second
	warmRate     = 200
	digits       = 3
	lowestMicro  = 1
	highestMicro = 60_000_000
)

// typical returns the parameters of a query of 170 shards.
func typical(seed uint64) model.Params {
	return model.Params{
		Shards: 170, Replicas: 2, Slots: 2, ColdSlots: 1, WarmAfter: 30, Domains: 3,
		MedianServiceTime: 8 * time.Millisecond, ServiceTimeSigma: 0.25, StragglerFactor: 20, ColdFactor: 3, CrashDuration: time.Second,
		NetworkDelay: 500 * time.Microsecond, ExtraLoad: 0.03, HedgeQuantile: 0.95, Deadline: 400 * time.Millisecond,
		MinCoverage: 0.5, MaxQueue: 64, Seed: seed,
	}
}

// sums collects the outcomes of requests.
type sums struct {
	hist    *hdrhistogram.Histogram
	n       int
	failed  int
	cover   float64
	least   float64
	untrue  int
	first   int
	second  int
	pending int
}

func newSums() *sums {
	return &sums{hist: hdrhistogram.New(lowestMicro, highestMicro, digits), least: 1}
}

func (s *sums) add(o model.Outcome) {
	s.n++
	s.pending--
	_ = s.hist.RecordValue(max(1, o.Latency.Microseconds()))
	s.cover += o.Coverage
	s.least = min(s.least, o.Coverage)
	s.first += o.FirstAttempts
	s.second += o.SecondAttempts
	if o.Failed {
		s.failed++
	}
	if o.Coverage != o.TrueCoverage {
		s.untrue++
	}
}

func (s *sums) quantile(q float64) float64 { return float64(s.hist.ValueAtQuantile(q)) / 1000 }

func (s *sums) extra() float64 { return float64(s.second) / float64(max(1, s.first)) }

func (s *sums) mean() float64 { return s.cover / float64(max(1, s.n)) }

// warmed returns a world whose owners have found their servers warm.
func warmed(p model.Params) *model.Simulation {
	w := model.New(p)
	w.Poisson(min(warmRate, p.RateAtUtilization(0.3)), warmUp, func() { w.Request("warm", 1, func(model.Outcome) {}) })
	w.Run(warmUp+p.Deadline, nil)
	return w
}

// load runs requests of one team for a span and returns their sums; during, if given, happens at its start.
func load(w *model.Simulation, rate float64, span time.Duration, during func()) *sums {
	s := newSums()
	end := w.Now() + span
	w.Poisson(rate, end, func() {
		s.pending++
		w.Request("team", 1, s.add)
	})
	if during != nil {
		during()
	}
	w.Run(end+2*w.Params.Deadline, nil)
	return s
}

func tail(seed uint64) (Report, error) {
	const span = 30 * time.Second
	r := Report{
		Target:  "p99 of the whole at most 1.3 times the p99 without stragglers, for at most 3% more parts",
		Columns: []string{"p50 ms", "p99 ms", "times calm", "extra parts %", "mean coverage"},
	}
	calm := 0.0
	for _, v := range []struct {
		name     string
		straggle float64
		quantile float64
		extra    float64
	}{
		{"no stragglers", 0, 0.95, 0.03},
		{"stragglers, no hedging", 0.01, 0, 0},
		{"stragglers, hedge after p90", 0.01, 0.90, 0.03},
		{"stragglers, hedge after p95", 0.01, 0.95, 0.03},
		{"stragglers, hedge after p98", 0.01, 0.98, 0.03},
		{"stragglers, hedge after p99", 0.01, 0.99, 0.03},
	} {
		p := typical(seed)
		p.StragglerFraction, p.HedgeQuantile, p.ExtraLoad = v.straggle, v.quantile, v.extra
		base := typical(seed)
		s := load(warmed(p), base.RateAtUtilization(0.3), span, nil)
		if calm == 0 {
			calm = s.quantile(99)
		}
		ratio := s.quantile(99) / calm
		r.Rows = append(r.Rows, Row{v.name, []float64{s.quantile(50), s.quantile(99), ratio, 100 * s.extra(), s.mean()}})
		if v.name == "stragglers, hedge after p95" {
			r.Met = ratio <= 1.3 && s.extra() <= 0.03
		}
	}
	return r, nil
}

func coverage(seed uint64) (Report, error) {
	const span = 30 * time.Second
	r := Report{
		Target:  "99.9% mean coverage with one replica of 5% of the shards gone and one domain out; reported coverage true in every answer",
		Columns: []string{"mean coverage", "least coverage", "untrue answers", "failed", "p99 ms"},
		Met:     true,
	}
	for _, v := range []struct {
		name    string
		lost    bool
		out     bool
		retries bool
	}{
		{"ordinary", false, false, true},
		{"5% of shards lost a replica", true, false, true},
		{"and one domain out", true, true, true},
		{"the same without second attempts", true, true, false},
	} {
		p := typical(seed)
		p.Domains, p.Deadline, p.StragglerFraction = 3, 800*time.Millisecond, 0.01
		if !v.retries {
			p.ExtraLoad, p.HedgeQuantile = 0, 0
		}
		w := warmed(p)
		s := load(w, p.RateAtUtilization(0.15), span, func() {
			for i, server := range w.Servers {
				if shard := i / p.Replicas; v.lost && shard%20 == 0 && i%p.Replicas == 0 && server.Domain != 0 {
					server.Crash(time.Hour)
				}
				if v.out && server.Domain == 0 && (i/p.Replicas)%20 != 0 {
					server.SetOut(true)
				}
			}
		})
		r.Rows = append(r.Rows, Row{v.name, []float64{s.mean(), s.least, float64(s.untrue), float64(s.failed), s.quantile(99)}})
		if v.retries && (s.mean() < 0.999 || s.untrue > 0) {
			r.Met = false
		}
	}
	r.Notes = append(r.Notes, "a shard that loses its replica keeps the other one's domain, else no policy could cover it")
	return r, nil
}

func domain(seed uint64) (Report, error) {
	const phase = 20 * time.Second
	r := Report{
		Target:  "no new work after 3 s, no cold server beyond its budget, no query lost, p99 at most twice the ordinary; 70% load of what remains",
		Columns: []string{"p50 ms", "p99 ms", "times calm", "failed", "least coverage", "late work", "cold overruns"},
		Met:     true,
	}
	calm := 0.0
	for _, bold := range []bool{false, true} {
		p := typical(seed)
		p.IgnoreColdSlots = bold
		w := warmed(p)
		rate := p.RateAtUtilization(0.7) * 2 / 3 * 0.75
		phases := []struct {
			name string
			do   func()
		}{
			{"ordinary", nil},
			{"domain out", func() { eachIn(w, 0, func(s *model.Server) { s.SetOut(true) }) }},
			{"domain back, all cold", func() {
				eachIn(w, 0, func(s *model.Server) { s.BecomeCold(true) })
				eachIn(w, 0, func(s *model.Server) { s.SetOut(false) })
			}},
			{"after", nil},
		}
		for _, ph := range phases {
			begun := w.Now()
			s := load(w, rate, phase, ph.do)
			if calm == 0 {
				calm = s.quantile(99)
			}
			late, overruns := 0, 0
			for _, server := range w.Servers {
				overruns += server.Overruns
				if server.Out && server.LastStart > begun+3*time.Second {
					late++
				}
			}
			name := ph.name
			if bold {
				name += " (no caution)"
			}
			ratio := s.quantile(99) / calm
			r.Rows = append(r.Rows, Row{name, []float64{s.quantile(50), s.quantile(99), ratio, float64(s.failed), s.least, float64(late), float64(overruns)}})
			if !bold && (ratio > 2 || s.failed > 0 || late > 0 || overruns > 0) {
				r.Met = false
			}
		}
	}
	return r, nil
}

func eachIn(w *model.Simulation, domain int, do func(*model.Server)) {
	for _, s := range w.Servers {
		if s.Domain == domain {
			do(s)
		}
	}
}

func cold(seed uint64) (Report, error) {
	r := Report{
		Target:  "back to full service within 1.5 times the least possible time, without an overrun",
		Columns: []string{"time to warm ms", "least possible ms", "ratio", "overruns"},
		Met:     true,
	}
	for _, v := range []struct {
		name    string
		restart bool
		both    bool
		bold    bool
	}{
		{"a server restarts", true, false, false},
		{"a server turns cold silently", false, false, false},
		{"both replicas restart", true, true, false},
		{"a server restarts, no caution", true, false, true},
	} {
		p := typical(seed)
		p.Shards, p.IgnoreColdSlots = 1, v.bold
		w := warmed(p)
		struck := w.Servers[:1]
		if v.both {
			struck = w.Servers
		}
		begun := w.Now()
		w.Poisson(p.RateAtUtilization(0.9), begun+time.Minute, func() { w.Request("team", 1, func(model.Outcome) {}) })
		for _, s := range struck {
			s.BecomeCold(v.restart)
		}
		warm := time.Duration(0)
		w.Run(begun+time.Minute, func() {
			if warm == 0 && allWarm(struck) {
				warm = w.Now() - begun
			}
		})
		least := time.Duration(float64(p.WarmAfter) * p.ColdFactor * float64(p.MedianServiceTime) / float64(p.ColdSlots))
		overruns := 0
		for _, s := range struck {
			overruns += s.Overruns
		}
		ratio := float64(warm) / float64(least)
		r.Rows = append(r.Rows, Row{v.name, []float64{millis(warm), millis(least), ratio, float64(overruns)}})
		if !v.bold && (ratio > 1.5 || overruns > 0) {
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

func fair(seed uint64) (Report, error) {
	const span = 30 * time.Second
	r := Report{
		Target:  "the worst served of seven teams within their rate gets within 2% of what it gets alone, beside one at ten times its rate",
		Columns: []string{"served of worst", "worst p99 ms", "flooder served"},
	}
	served := make(map[string]float64)
	for _, v := range []struct {
		name   string
		flood  bool
		unfair bool
	}{
		{"seven teams alone", false, false},
		{"beside the flooder, fair", true, false},
		{"beside the flooder, one line", true, true},
	} {
		p := typical(seed)
		p.Shards, p.SingleQueue, p.Deadline, p.MinCoverage, p.MaxQueue = 4, v.unfair, 200*time.Millisecond, 1, 64
		w := warmed(p)
		rate := p.RateAtUtilization(0.5) / 8
		end := w.Now() + span
		teams := []ident.Team{"a", "b", "c", "d", "e", "f", "g", "flooder"}
		all := make(map[ident.Team]*sums)
		for _, team := range teams {
			s := newSums()
			all[team] = s
			factor := 1.0
			if team == "flooder" {
				factor = 10
				if !v.flood {
					continue
				}
			}
			w.Poisson(rate*factor, end, func() { w.Request(team, 1, s.add) })
		}
		w.Run(end+time.Second, nil)
		worst, p99 := 1.0, 0.0
		for _, team := range teams[:7] {
			s := all[team]
			worst = min(worst, 1-float64(s.failed)/float64(max(1, s.n)))
			p99 = max(p99, s.quantile(99))
		}
		flooder := all["flooder"]
		got := 1 - float64(flooder.failed)/float64(max(1, flooder.n))
		served[v.name] = worst
		r.Rows = append(r.Rows, Row{v.name, []float64{worst, p99, got}})
	}
	r.Met = served["beside the flooder, fair"] >= 0.98*served["seven teams alone"]
	r.Notes = append(r.Notes, "the flooder's excess is let past its rate here, so that only the queue protects the others")
	return r, nil
}
