package surge

import (
	"cmp"
	"slices"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/limit/retry"
	"kumquatreel.example/kumquatreel/internal/tier/gather"
)

//go:generate go tool -modfile=../../../tools/go.mod enumer -type=Policy -trimprefix=Policy -transform=title-lower -output=enums.go

// Policy is how VMs choose servers.
type Policy int

// The policies.
const (
	// PolicyLeast is the product's choice by what the VM has heard itself.
	PolicyLeast Policy = iota
	// PolicyEven is the product's choice by pace and the news of other VMs.
	PolicyEven
	// PolicyTurns takes the servers in turn.
	PolicyTurns
	// PolicyTwoChoices takes the one of two random servers that has told the lower load.
	PolicyTwoChoices
	// PolicyExact takes the best server by its load and speed at this moment, which no VM can know. It is a bound for the others.
	PolicyExact
)

// spreadInterval is the time between the samples of the spread.
const spreadInterval = 10 * time.Millisecond

// chooseSimply chooses a server by a policy that is not the product's, without regard to its capacity.
func (v *vm) chooseSimply(s ident.Service, exclude []ident.Server) (ident.Server, gather.Capacity) {
	var names []ident.Server
	for _, srv := range v.sim.replicas[s] {
		if !slices.Contains(exclude, srv.name) {
			names = append(names, srv.name)
		}
	}
	if len(names) == 0 {
		return "", gather.CapacityNone
	}
	v.turn++
	policy, rng := v.sim.params.Policy, v.sim.rng
	if policy == PolicyTurns || len(names) == 1 {
		return names[v.turn/len(v.sim.shards)%len(names)], gather.CapacityNow
	}
	rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	if policy == PolicyExact {
		return slices.MinFunc(names, func(a, b ident.Server) int { return cmp.Compare(v.sim.servers[a].delay(), v.sim.servers[b].delay()) }), gather.CapacityNow
	}
	return slices.MinFunc(names[:2], func(a, b ident.Server) int { return v.told(a) - v.told(b) }), gather.CapacityNow
}

// delay returns the time until a request that comes now ends, in units of its work.
func (s *Server) delay() float64 {
	return max(1, s.SlowFactor) * max(1, float64(s.running+len(s.queue)+1)/float64(s.sim.params.Slots))
}

// told returns the load that a server told the VM last, with what the VM has in flight to it if that is more.
func (v *vm) told(s ident.Server) int {
	n, _ := v.balancer.News(s)
	return max(n.Load.Running+n.Load.Waiting, v.balancer.InFlight(s))
}

// sampleSpread records for each second the mean load of the busiest server of each shard over that of all its servers, until the given time.
func (sim *Simulation) sampleSpread(until time.Duration) {
	if sim.Now()+spreadInterval > until {
		return
	}
	sim.After(spreadInterval, func() {
		for _, shard := range sim.shards {
			for _, s := range sim.replicas[shard] {
				s.loadSum += s.running + len(s.queue)
			}
			if sim.Now()%time.Second < spreadInterval {
				sim.endSpread(sim.replicas[shard])
			}
		}
		sim.sampleSpread(until)
	})
}

func (sim *Simulation) endSpread(servers []*Server) {
	sum, most := 0, 0
	for _, s := range servers {
		sum, most = sum+s.loadSum, max(most, s.loadSum)
		s.loadSum = 0
	}
	if sum > 0 {
		sim.result.Spread += float64(most*len(servers)) / float64(sum)
		sim.result.Samples++
	}
}

// Herd returns a system in which each of many VMs hears a server rarely itself: about every 400 ms. The servers are busy for three quarters of the
// time if one of the six of each shard is always four times as slow.
func Herd(seed uint64) Params {
	return Params{
		VMs: 30, Shards: 3, Replicas: 6, Slots: 2, Queue: 24,
		Kinds: []Kind{{
			Name: "one", Rate: 390, Work: 20 * time.Millisecond, Target: 300 * time.Millisecond, Budget: 800 * time.Millisecond, MinCoverage: 0.6,
		}},
		NetDelay: time.Millisecond, ClientDelay: 3 * time.Millisecond, Retries: retry.Limits{Ratio: 0.1, Slack: 20, Window: 10 * time.Second},
		Load: 1, Seed: seed,
	}
}
