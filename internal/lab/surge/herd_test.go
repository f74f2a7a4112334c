package surge_test

import (
	"slices"
	"testing"
	"time"

	"kumquatreel.example/kumquatreel/internal/lab/surge"
)

// herd is the mean of several runs with one slow server in each shard.
type herd struct {
	spread float64
	p99    time.Duration
	value  float64
}

const herdRuns = 6

// runHerds makes each server slow for a second in turn.
func runHerds(policy surge.Policy) herd {
	var out herd
	for seed := range uint64(herdRuns) {
		p := surge.Herd(seed)
		p.Policy = policy
		sim := surge.New(p)
		for second := range 10 {
			sim.After(time.Duration(second)*time.Second, func() {
				for shard := range p.Shards {
					for r := range p.Replicas {
						sim.Server(shard, r).SlowFactor = 1
					}
					sim.Server(shard, second%p.Replicas).SlowFactor = 4
				}
			})
		}
		r := sim.RunLoad(10 * time.Second)
		slices.Sort(r.Waits)
		out.spread += r.Spread / float64(r.Samples) / herdRuns
		out.p99 += r.Waits[len(r.Waits)*99/100] / herdRuns
		out.value += r.Kinds[0].MeanValue() / herdRuns
	}
	return out
}

// Many VMs hear each server rarely, and each server is slow for a second in turn.
func TestHerd(t *testing.T) {
	even := runHerds(surge.PolicyEven)
	t.Logf("%v: busiest over mean %.2f, p99 of waiting %v, value %.3f", surge.PolicyEven, even.spread, even.p99, even.value)
	for _, p := range []surge.Policy{surge.PolicyLeast, surge.PolicyTurns, surge.PolicyTwoChoices} {
		t.Run("is no worse than "+p.String(), func(t *testing.T) {
			h := runHerds(p)
			t.Logf("%v: busiest over mean %.2f, p99 of waiting %v, value %.3f", p, h.spread, h.p99, h.value)
			if even.spread > h.spread || even.p99 > h.p99 || even.value < h.value {
				t.Errorf("even load gives %+v, %v gives %+v", even, p, h)
			}
		})
	}
	t.Run("is no better than what no VM can know", func(t *testing.T) {
		h := runHerds(surge.PolicyExact)
		t.Logf("%v: busiest over mean %.2f, p99 of waiting %v, value %.3f", surge.PolicyExact, h.spread, h.p99, h.value)
		if even.spread < h.spread || even.p99 < h.p99 {
			t.Errorf("even load gives %+v, the exact choice %+v: the model is wrong", even, h)
		}
	})
}
