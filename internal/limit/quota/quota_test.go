package quota_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/limit/quota"
)

var start = time.Unix(1000, 0)

const team = ident.Team("t")

// fleet is some VMs that tell each other of a team every 200 ms.
type fleet struct {
	vms   []*quota.Limiter
	names []ident.Process
	limit quota.Limit
	// cut holds the VMs that the others neither hear nor are heard by; with alone set they do not hear each other either.
	cut   map[int]bool
	alone bool
	// paced spaces requests evenly, so that a team within its rate on average is so at all times.
	paced    bool
	due      float64
	admitted []int
	refused  []int
}

// members is the size of the fleet.
const members = 9

func newFleet(limit quota.Limit) *fleet {
	f := &fleet{limit: limit, cut: make(map[int]bool)}
	for i := range members {
		f.vms = append(f.vms, quota.New(start.Add(-10*time.Second)))
		f.names = append(f.names, ident.Process(rune('a'+i)))
		f.vms[i].SetLimits(start.Add(-10*time.Second), map[ident.Team]quota.Limit{team: limit})
	}
	return f
}

// play sends requests at a rate, spread by pick, and records what is admitted and refused in each tenth of a second.
func (f *fleet) play(rng *rand.Rand, from, to time.Duration, rate float64, pick func() int) {
	for at := from; at < to; at += 10 * time.Millisecond {
		now := start.Add(at)
		step := int(at / (100 * time.Millisecond))
		for len(f.admitted) <= step {
			f.admitted = append(f.admitted, 0)
			f.refused = append(f.refused, 0)
		}
		if at%(200*time.Millisecond) == 0 {
			f.tell(now)
		}
		for range f.arrivals(rng, rate/100) {
			if ok, _ := f.vms[pick()].Admit(now, team); ok {
				f.admitted[step]++
			} else {
				f.refused[step]++
			}
		}
	}
}

// arrivals returns how many requests arrive in a step in which mean ones do on average.
func (f *fleet) arrivals(rng *rand.Rand, mean float64) int {
	if !f.paced {
		return int(math.Ceil(max(0, mean-rng.Float64())))
	}
	f.due += mean
	n := math.Floor(f.due)
	f.due -= n
	return int(n)
}

func (f *fleet) tell(now time.Time) {
	for i, from := range f.vms {
		reports := from.Reports(now, 2*time.Second)
		for j, to := range f.vms {
			if i != j && f.cut[i] == f.cut[j] && (!f.cut[i] || !f.alone) {
				to.ApplyReports(now, f.names[i], reports)
			}
		}
	}
}

func (f *fleet) anyVM(rng *rand.Rand) func() int { return func() int { return rng.IntN(len(f.vms)) } }

// assertBound checks the users' bound in every window of five seconds.
func (f *fleet) assertBound(t *testing.T) {
	t.Helper()
	const steps, overshoot, slack = 50, 0.25, 20
	allowed := (f.limit.Rate*5+f.limit.Burst)*(1+overshoot) + slack
	for from := 0; from+steps <= len(f.admitted); from++ {
		if sum := total(f.admitted[from : from+steps]); float64(sum) > allowed {
			t.Fatalf("%d admitted in the window from %d00 ms, want at most %.0f", sum, from, allowed)
		}
	}
}

func total(counts []int) int {
	sum := 0
	for _, n := range counts {
		sum += n
	}
	return sum
}

var limit = quota.Limit{Rate: 24, Burst: 24}

func TestWithinRate(t *testing.T) {
	t.Run("nothing is refused, wherever the requests arrive", func(t *testing.T) {
		rng := rand.New(rand.NewPCG(1, 1))
		f := newFleet(limit)
		f.play(rng, 0, 10*time.Second, 15, f.anyVM(rng))
		f.play(rng, 10*time.Second, 20*time.Second, 15, func() int { return 3 })
		if n := total(f.refused); n > 0 {
			t.Errorf("%d refused, want none", n)
		}
	})
}

// One team sends many times its rate.
func TestHotTeam(t *testing.T) {
	for _, rate := range []float64{60, 115, 230} {
		rng := rand.New(rand.NewPCG(2, 1))
		f := newFleet(limit)
		f.play(rng, 0, 5*time.Second, 15, f.anyVM(rng))
		f.play(rng, 5*time.Second, 15*time.Second, rate, f.anyVM(rng))
		f.assertBound(t)
		if n := total(f.admitted[100:150]); float64(n) < 0.85*5*limit.Rate {
			t.Errorf("rate %v: %d admitted in five seconds, want close to %v", rate, n, 5*limit.Rate)
		}
	}
}

// A third of the VMs is cut off while a team presses, from the first request on.
func TestCut(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 9))
		f := newFleet(limit)
		f.play(rng, 0, 5*time.Second, 115, f.anyVM(rng))
		f.cut[0], f.cut[1], f.cut[2] = true, true, true
		f.play(rng, 5*time.Second, 11*time.Second, 115, f.anyVM(rng))
		f.cut = map[int]bool{}
		f.play(rng, 11*time.Second, 16*time.Second, 115, f.anyVM(rng))
		f.assertBound(t)
	}
}

// Three VMs are cut off from all others, each alone, while a team presses harder and harder.
func TestIslands(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 10))
		f := newFleet(limit)
		f.play(rng, 0, 3*time.Second, 15, f.anyVM(rng))
		f.play(rng, 3*time.Second, 5*time.Second, 180, f.anyVM(rng))
		f.alone = true
		f.cut[0], f.cut[4], f.cut[8] = true, true, true
		f.play(rng, 5*time.Second, 11*time.Second, 180, f.anyVM(rng))
		f.cut = map[int]bool{}
		f.play(rng, 11*time.Second, 18*time.Second, 180, f.anyVM(rng))
		f.assertBound(t)
	}
}

// A third of the VMs is cut off and comes back while a team stays within its rate.
func TestCutInRate(t *testing.T) {
	rng := rand.New(rand.NewPCG(6, 1))
	f := newFleet(limit)
	f.play(rng, 0, 5*time.Second, 15, f.anyVM(rng))
	f.cut[0], f.cut[1], f.cut[2] = true, true, true
	f.play(rng, 5*time.Second, 12*time.Second, 15, f.anyVM(rng))
	f.cut = map[int]bool{}
	f.play(rng, 12*time.Second, 20*time.Second, 15, f.anyVM(rng))
	if n := total(f.refused); n > 0 {
		t.Errorf("%d refused, want none", n)
	}
}

// A third of the VMs goes for good, and its callers come to the others.
func TestLoss(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 1))
	f := newFleet(limit)
	f.play(rng, 0, 5*time.Second, 15, f.anyVM(rng))
	f.cut[0], f.cut[1], f.cut[2] = true, true, true
	f.play(rng, 5*time.Second, 15*time.Second, 18, func() int { return 3 + rng.IntN(6) })
	if n := total(f.refused); n > 0 {
		t.Errorf("%d refused, want none", n)
	}
}

// VMs restart one after the other while a team presses; each starts with nothing and hears the others.
func TestRestarts(t *testing.T) {
	rng := rand.New(rand.NewPCG(4, 1))
	f := newFleet(limit)
	f.play(rng, 0, 6*time.Second, 115, f.anyVM(rng))
	for i := range 9 {
		at := 6*time.Second + time.Duration(i)*time.Second
		f.startAnew(i, at)
		f.play(rng, at, at+time.Second, 115, f.anyVM(rng))
	}
	f.assertBound(t)
}

// A VM that has just started lets a part of a team's burst through, since the others may have let through the rest.
func TestStart(t *testing.T) {
	q := quota.New(start)
	q.SetLimits(start.Add(10*time.Millisecond), map[ident.Team]quota.Limit{team: limit})
	admitted := 0
	for range 100 {
		if ok, _ := q.Admit(start.Add(20*time.Millisecond), team); ok {
			admitted++
		}
	}
	if admitted < 1 || float64(admitted) > limit.Burst/2 {
		t.Errorf("%d admitted at once, want some and at most half of the burst", admitted)
	}
}

// A fleet of any size starts, and callers come to each VM of it at once.
func TestStartOfFleet(t *testing.T) {
	for _, vms := range []int{1, 4, 9, 30, 95, 300} {
		admitted := 0
		for range vms {
			q := quota.New(start)
			q.SetLimits(start.Add(100*time.Millisecond), map[ident.Team]quota.Limit{team: limit})
			now := start.Add(300 * time.Millisecond)
			q.StartServing(now, vms)
			for range 100 {
				if ok, _ := q.Admit(now, team); ok {
					admitted++
				}
			}
		}
		if float64(admitted) > 3*limit.Burst {
			t.Errorf("%d VMs admitted %d at once, want at most three bursts of %v", vms, admitted, limit.Burst)
		}
	}
	t.Run("without callers admits none", func(t *testing.T) {
		q := quota.New(start)
		q.SetLimits(start, map[ident.Team]quota.Limit{team: limit})
		q.StartServing(start.Add(300*time.Millisecond), 0)
		if ok, _ := q.Admit(start.Add(300*time.Millisecond), team); ok {
			t.Error("admitted by a VM that shares nothing")
		}
	})
	t.Run("keeps what others have told", func(t *testing.T) {
		q := quota.New(start)
		q.SetLimits(start, map[ident.Team]quota.Limit{team: limit})
		q.ApplyReports(start.Add(100*time.Millisecond), "old", map[ident.Team]quota.Report{team: {Level: 10}})
		q.StartServing(start.Add(300*time.Millisecond), 9)
		if level := q.Level(start.Add(300*time.Millisecond), team); level < 10 {
			t.Errorf("%v tokens are left of 10", level)
		}
	})
}

// All VMs restart together, twice, while a team presses; a process is started again after a moment, and listens before
// it serves.
func TestAllRestart(t *testing.T) {
	const restartTime, listenTime = 200 * time.Millisecond, 300 * time.Millisecond
	for seed := range uint64(20) {
		for _, rate := range []float64{1.5, 5, 10} {
			for _, limit := range []quota.Limit{{Rate: 5, Burst: 5}, {Rate: 24, Burst: 24}, {Rate: 80, Burst: 60}} {
				rng := rand.New(rand.NewPCG(seed, 12))
				f := newFleet(limit)
				f.play(rng, 0, 6*time.Second, rate*limit.Rate, f.anyVM(rng))
				for _, at := range []time.Duration{6 * time.Second, 8 * time.Second} {
					f.restart(at + restartTime)
					f.play(rng, at, at+restartTime+listenTime, 0, f.anyVM(rng))
					f.play(rng, at+restartTime+listenTime, at+2*time.Second, rate*limit.Rate, f.anyVM(rng))
				}
				f.play(rng, 10*time.Second, 16*time.Second, rate*limit.Rate, f.anyVM(rng))
				f.assertBound(t)
			}
		}
	}
}

// restart starts all VMs anew.
func (f *fleet) restart(at time.Duration) {
	for i := range f.vms {
		f.startAnew(i, at)
	}
}

// startAnew replaces the process of a VM; the others hear of it at once.
func (f *fleet) startAnew(i int, at time.Duration) {
	for _, q := range f.vms {
		q.RemoveProcess(f.names[i])
	}
	f.vms[i] = quota.New(start.Add(at))
	f.names[i] += "'"
	f.vms[i].SetLimits(start.Add(at), map[ident.Team]quota.Limit{team: f.limit})
}

// All VMs restart together, and then one after the other, while a team stays within its rate.
func TestRestartsInRate(t *testing.T) {
	const share = 0.6
	for seed := range uint64(20) {
		for _, limit := range []quota.Limit{{Rate: 5, Burst: 5}, {Rate: 24, Burst: 24}} {
			rng := rand.New(rand.NewPCG(seed, 13))
			f := newFleet(limit)
			f.paced = true
			f.restart(0)
			f.play(rng, 0, 300*time.Millisecond, 0, f.anyVM(rng))
			f.play(rng, 300*time.Millisecond, 6*time.Second, share*limit.Rate, f.anyVM(rng))
			for i := range f.vms {
				at := 6*time.Second + time.Duration(i)*time.Second
				f.startAnew(i, at)
				others := func() int { return (i + 1 + rng.IntN(members-1)) % members }
				f.play(rng, at, at+300*time.Millisecond, share*limit.Rate, others)
				f.play(rng, at+300*time.Millisecond, at+time.Second, share*limit.Rate, f.anyVM(rng))
			}
			if n := total(f.refused); n > 0 {
				t.Errorf("seed %d, rate %v: %d of %d refused, want none", seed, limit.Rate, n, n+total(f.admitted))
			}
		}
	}
}

func TestSetLimits(t *testing.T) {
	t.Run("lowers a rate at once", func(t *testing.T) {
		rng := rand.New(rand.NewPCG(5, 1))
		f := newFleet(limit)
		f.play(rng, 0, 5*time.Second, 60, f.anyVM(rng))
		f.limit = quota.Limit{Rate: 4, Burst: 4}
		for _, q := range f.vms {
			q.SetLimits(start.Add(5*time.Second), map[ident.Team]quota.Limit{team: f.limit})
		}
		f.admitted, f.refused = nil, nil
		f.play(rng, 5*time.Second, 15*time.Second, 60, f.anyVM(rng))
		f.admitted = f.admitted[100:]
		f.assertBound(t)
	})
	t.Run("without a burst admits the rate", func(t *testing.T) {
		for _, limit := range []quota.Limit{{Rate: 20}, {Rate: 20, Burst: 0.5}, {Rate: 0.5}} {
			rng := rand.New(rand.NewPCG(8, 1))
			f := newFleet(limit)
			f.paced = true
			f.play(rng, 0, 20*time.Second, 0.8*limit.Rate, f.anyVM(rng))
			if n := total(f.refused); n > 0 {
				t.Errorf("rate %v, burst %v: %d of %d refused, want none", limit.Rate, limit.Burst, n, n+total(f.admitted))
			}
			f.play(rng, 20*time.Second, 40*time.Second, 5*limit.Rate, f.anyVM(rng))
			f.assertBound(t)
		}
	})
	t.Run("without a rate admits all", func(t *testing.T) {
		q := quota.New(start)
		q.SetLimits(start, map[ident.Team]quota.Limit{team: {}})
		for range 1000 {
			if ok, _ := q.Admit(start, team); !ok {
				t.Fatal("refused, though the team has no limit")
			}
		}
	})
}

func TestAdmit(t *testing.T) {
	t.Run("says when to come back", func(t *testing.T) {
		q := quota.New(start.Add(-time.Minute))
		q.SetLimits(start, map[ident.Team]quota.Limit{team: {Rate: 10, Burst: 1}})
		q.Admit(start, team)
		ok, again := q.Admit(start, team)
		if ok || again < 90*time.Millisecond || again > 120*time.Millisecond {
			t.Errorf("admitted %v, again after %v; want no, and about 100 ms", ok, again)
		}
	})
}
