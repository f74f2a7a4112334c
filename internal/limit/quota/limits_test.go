package quota_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/limit/quota"
)

func TestSetLimits(t *testing.T) {
	t.Run("lowers a rate at once", func(t *testing.T) {
		rng := rand.New(rand.NewPCG(5, 1))
		f := newFleet(limit)
		f.sendRequests(rng, 0, 5*time.Second, 60, f.anyVM(rng))
		f.limit = quota.Limit{Rate: 4, Burst: 4}
		for _, l := range f.vms {
			l.SetLimits(start.Add(5*time.Second), map[ident.Team]quota.Limit{team: f.limit})
		}
		f.admitted, f.refused = nil, nil
		f.sendRequests(rng, 5*time.Second, 15*time.Second, 60, f.anyVM(rng))
		f.admitted = f.admitted[100:]
		f.assertBound(t)
	})
	t.Run("counts what a team has used before it was removed for a moment", func(t *testing.T) {
		for _, gap := range []time.Duration{0, 200 * time.Millisecond, time.Second} {
			rng := rand.New(rand.NewPCG(6, 1))
			f := newFleet(quota.Limit{Rate: 10, Burst: 100})
			f.sendRequests(rng, 0, time.Second, 200, f.anyVM(rng))
			for _, l := range f.vms {
				l.SetLimits(start.Add(time.Second), nil)
			}
			for _, l := range f.vms {
				l.SetLimits(start.Add(time.Second+gap), map[ident.Team]quota.Limit{team: f.limit})
			}
			f.sendRequests(rng, time.Second+gap, 8*time.Second, 200, f.anyVM(rng))
			f.assertBound(t)
		}
	})
	t.Run("forgets a removed team that has all its tokens again", func(t *testing.T) {
		l := quota.New(start.Add(-time.Minute), bounds)
		l.SetPart(start.Add(-time.Minute), 1, false)
		l.SetLimits(start, map[ident.Team]quota.Limit{team: {Rate: 10, Burst: 20}})
		l.Admit(start, team)
		l.SetLimits(start, nil)
		if l.Reserve(start, team) == 0 {
			t.Error("the team is forgotten at once, want what it has used to be known")
		}
		l.SetLimits(start.Add(time.Minute), nil)
		if got := l.Reserve(start.Add(time.Minute), team); got != 0 {
			t.Errorf("the team is known with a reserve of %v, want it forgotten", got)
		}
	})
	t.Run("without a burst admits the rate", func(t *testing.T) {
		for _, limit := range []quota.Limit{{Rate: 20}, {Rate: 20, Burst: 0.5}, {Rate: 0.5}} {
			rng := rand.New(rand.NewPCG(8, 1))
			f := newFleet(limit)
			f.paced = true
			f.sendRequests(rng, 0, 20*time.Second, 0.8*limit.Rate, f.anyVM(rng))
			if n := total(f.refused); n > 0 {
				t.Errorf("rate %v, burst %v: %d of %d refused, want none", limit.Rate, limit.Burst, n, n+total(f.admitted))
			}
			f.sendRequests(rng, 20*time.Second, 40*time.Second, 5*limit.Rate, f.anyVM(rng))
			f.assertBound(t)
		}
	})
	t.Run("without a rate admits all", func(t *testing.T) {
		l := quota.New(start, bounds)
		l.SetLimits(start, map[ident.Team]quota.Limit{team: {}})
		for range 1000 {
			if ok, _ := l.Admit(start, team); !ok {
				t.Fatal("refused, though the team has no limit")
			}
		}
	})
}

func TestAdmit(t *testing.T) {
	t.Run("says when to come back", func(t *testing.T) {
		l := quota.New(start.Add(-time.Minute), bounds)
		l.SetPart(start.Add(-time.Minute), 1, false)
		l.SetLimits(start, map[ident.Team]quota.Limit{team: {Rate: 10, Burst: 1}})
		l.Admit(start, team)
		ok, retryAfter := l.Admit(start, team)
		if ok || retryAfter < 90*time.Millisecond || retryAfter > 120*time.Millisecond {
			t.Errorf("admitted %v, again after %v; want no, and about 100 ms", ok, retryAfter)
		}
	})
}
