package surge_test

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"kumquatreel.example/kumquatreel/internal/lab/surge"
)

const span = 20 * time.Second

func run(load float64, seed uint64, disturb func(*surge.Simulation, surge.Params)) surge.Result {
	p := surge.MixedKinds(seed)
	p.Load = load
	sim := surge.New(p)
	if disturb != nil {
		disturb(sim, p)
	}
	return sim.RunLoad(span)
}

// refuseTwoFifths makes the first server of each shard refuse two fifths of its parts.
func refuseTwoFifths(sim *surge.Simulation, p surge.Params) {
	for shard := range p.Shards {
		sim.Server(shard, 0).RefuseFraction = 0.4
	}
}

// assertAllEnded checks that each request has exactly one outcome.
func assertAllEnded(t *testing.T, r surge.Result) {
	t.Helper()
	for i, k := range r.Kinds {
		if ended := k.InTime + k.Late + k.Refused + k.Failed; ended != k.Asked {
			t.Errorf("kind %d: %d outcomes of %d requests", i, ended, k.Asked)
		}
	}
}

// assertUnserved checks the fraction of requests without an answer, over all kinds.
func assertUnserved(t *testing.T, r surge.Result, maxFraction float64) {
	t.Helper()
	asked, unserved := 0, 0
	for _, k := range r.Kinds {
		asked += k.Asked
		unserved += k.Refused + k.Failed
	}
	if float64(unserved) > maxFraction*float64(asked) {
		t.Errorf("%d of %d requests were not answered, want at most %v", unserved, asked, maxFraction)
	}
}

// assertFailed checks the fraction of requests whose parts ran in vain, over all kinds.
func assertFailed(t *testing.T, r surge.Result, maxFraction float64) {
	t.Helper()
	asked, failed := 0, 0
	for _, k := range r.Kinds {
		asked += k.Asked
		failed += k.Failed
	}
	if float64(failed) > maxFraction*float64(asked) {
		t.Errorf("%d of %d requests ended without an answer after parts had run, want at most %v", failed, asked, maxFraction)
	}
}

func TestLoads(t *testing.T) {
	for seed := range uint64(3) {
		t.Run("within what the servers can do are answered", func(t *testing.T) {
			r := run(1, seed, nil)
			assertAllEnded(t, r)
			assertUnserved(t, r, 0.001)
			for i, k := range r.Kinds {
				if k.InTime < k.Asked*95/100 {
					t.Errorf("kind %d: %d of %d requests were answered in time", i, k.InTime, k.Asked)
				}
			}
		})
		t.Run("with servers that refuse parts waste no work on queries that end with nothing", func(t *testing.T) {
			for _, load := range []float64{1, 1.5, 2.5} {
				r := run(load, seed, refuseTwoFifths)
				assertAllEnded(t, r)
				assertFailed(t, r, 0.01)
			}
		})
		t.Run("beyond what the servers can do are refused before parts run", func(t *testing.T) {
			r := run(2.5, seed, nil)
			assertAllEnded(t, r)
			assertFailed(t, r, 0.01)
		})
		t.Run("without one of two servers of a few shards are answered", func(t *testing.T) {
			r := run(1, seed, func(sim *surge.Simulation, _ surge.Params) {
				sim.Server(0, 0).Dark, sim.Server(7, 1).Dark = true, true
			})
			assertAllEnded(t, r)
			assertUnserved(t, r, 0.001)
		})
	}
}

// The sound servers alone are not enough for this load, but both together with the retry budget are: a request in fifty may find no
// room in a crowd of arrivals.
func TestLoadWithRetries(t *testing.T) {
	for seed := range uint64(3) {
		assertUnserved(t, run(1.5, seed, refuseTwoFifths), 0.02)
	}
}

func TestRepeatable(t *testing.T) {
	if a, b := run(1.5, 4, refuseTwoFifths), run(1.5, 4, refuseTwoFifths); !reflect.DeepEqual(a, b) {
		t.Errorf("the same seed gives %+v and %+v", a, b)
	}
}

// limitWindow, limitFactor and limitSlack bound the requests to a server that names a limit; limitNotice is the time before VMs know it.
const (
	limitWindow             = 4 * time.Second
	limitFactor, limitSlack = 1.5, 5
	limitNotice             = 500 * time.Millisecond
)

// limitFirst makes the first replicas of each shard name a limit.
func limitFirst(replicas int, limit float64) func(*surge.Simulation, surge.Params) {
	return func(sim *surge.Simulation, p surge.Params) {
		for shard := range p.Shards {
			for r := range replicas {
				sim.Server(shard, r).Limit = limit
			}
		}
	}
}

// A server of each shard names a limit far below what it would get: the other one must take the rest, without loss to clients.
func TestLoadWithLimits(t *testing.T) {
	for _, vms := range []int{6, 9, 73} {
		for _, limit := range []float64{20, 2, 0.5} {
			t.Run(fmt.Sprintf("%d VMs, limit %v", vms, limit), func(t *testing.T) {
				p := surge.MixedKinds(1)
				p.VMs = vms
				// The other servers alone are then busy for 60% of the time.
				p.Load = 0.8
				sim := surge.New(p)
				limitFirst(1, limit)(sim, p)
				r := sim.RunLoad(span)
				assertAllEnded(t, r)
				assertUnserved(t, r, 0.02)
				for shard := range p.Shards {
					if n, most := sim.Server(shard, 0).MaxArrivals(limitNotice, limitWindow), limitFactor*limit*limitWindow.Seconds()+limitSlack; float64(n) > most {
						t.Errorf("shard %d: %d requests in %v, want at most %v", shard, n, limitWindow, most)
					}
				}
			})
		}
	}
}

// All servers name limits that allow half of the load: what they do not allow must be refused before any part runs.
func TestLoadBeyondLimits(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			// 91 queries per second have a part at each shard.
			r := run(1, seed, limitFirst(2, 23))
			assertAllEnded(t, r)
			assertFailed(t, r, 0.02)
			assertUnserved(t, r, 0.6)
		})
	}
}

// Two fifths of the servers refuse most of their parts for a while and name a time: no VM may press on them, and the others must take what
// they can.
func TestLoadWithRests(t *testing.T) {
	const maxIntrusions = 2
	for _, rest := range []time.Duration{200 * time.Millisecond, time.Second, 3 * time.Second} {
		t.Run(rest.String(), func(t *testing.T) {
			r := run(1, 1, func(sim *surge.Simulation, p surge.Params) {
				for shard := range p.Shards {
					if s := sim.Server(shard, 0); shard%5 < 4 {
						s.RefuseFraction, s.Rest = 0.8, rest
					}
				}
				t.Cleanup(func() {
					for shard := range p.Shards {
						if n := sim.Server(shard, 0).MaxIntrusions(); n > maxIntrusions {
							t.Errorf("shard %d: %d requests of a VM came while the server wanted none, want at most %d", shard, n, maxIntrusions)
						}
					}
				})
			})
			assertAllEnded(t, r)
			assertFailed(t, r, 0.02)
			assertUnserved(t, r, 0.1)
		})
	}
}

// One server of each shard leaves, as only its answers say: the others must take its parts without loss to clients.
func TestLoadWithLeaving(t *testing.T) {
	for seed := range uint64(3) {
		r := run(0.8, seed, func(sim *surge.Simulation, p surge.Params) {
			for shard := range p.Shards {
				sim.Server(shard, 0).Leaving = true
			}
		})
		assertAllEnded(t, r)
		assertUnserved(t, r, 0.02)
	}
}
