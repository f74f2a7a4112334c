package peers_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/limit/escrow"
	"kumquatreel.example/kumquatreel/internal/tier/peers"
)

// testFleet is a fleet in virtual time whose VMs exchange heartbeats as the edge does; the first three are the seeds.
type testFleet struct {
	rng         *rand.Rand
	vms         []*testVM
	partitioned map[string]bool
	// sent counts all messages, crossDomain those to another failure domain.
	sent, crossDomain int
}

type testVM struct {
	peers  *peers.Peers
	digest peers.Digest
	// ledger holds the VM's part of the fleet-wide limits.
	ledger *escrow.Ledger
}

var domains = []ident.Domain{"east", "north", "south", "west"}

func newTestFleet(n int) *testFleet {
	t := &testFleet{rng: rand.New(rand.NewPCG(1, 1)), partitioned: make(map[string]bool)}
	for i := range n {
		name := fmt.Sprintf("vm%02d", i)
		cpuShare := 0.2
		if i%9 == 5 {
			cpuShare = 0.8
		}
		t.vms = append(t.vms, &testVM{
			peers: peers.New(ident.VM(name)), ledger: escrow.New(start, ident.VM(name), true),
			digest: peers.Digest{
				VM: ident.VM(name), Address: name, Boot: 1, Phase: peers.PhaseReady, CPUShare: cpuShare, Domain: domains[i%len(domains)],
			},
		})
	}
	return t
}

func byCPUShare(all []peers.Digest) []peers.Digest {
	slices.SortFunc(all, func(a, b peers.Digest) int {
		return cmp.Or(cmp.Compare(b.CPUShare, a.CPUShare), cmp.Compare(a.VM, b.VM))
	})
	return all
}

func (t *testFleet) run(from, to time.Duration) {
	for at := from; at < to; at += 400 * time.Millisecond {
		now := start.Add(at)
		for _, v := range t.vms {
			v.peers.Tick(now)
			c := v.peers.Core(now, v.digest, byCPUShare)
			v.updatePart(now, c)
			for i, to := range v.peers.Targets(c, v.digest, []string{"vm00", "vm01", "vm02"}, t.rng) {
				requestReply := at < time.Second || c.RequestsReply(int64(at/(400*time.Millisecond)), i)
				t.send(now, v, to, peers.Message{
					RequestReply: requestReply, KnownAddresses: v.peers.SampleAddresses(8, t.rng), ToCore: c.IncludesSelf() && c.HasAddress(to),
				})
			}
			if c.IncludesSelf() {
				for _, to := range v.ledger.Inquiries(now, t.rng) {
					t.send(now, v, to, peers.Message{RequestReply: true})
				}
			}
		}
	}
}

// updatePart claims the VM's part of the fleet-wide limits, as the edge does.
func (v *testVM) updatePart(now time.Time, c peers.Core) {
	view := escrow.View{Sharing: c.IncludesSelf(), Listed: c.IncludesSelf(), Seeds: 3}
	for _, m := range v.peers.Members() {
		d := m.Digest()
		view.Peers = append(view.Peers, escrow.Peer{
			VM: d.VM, Address: d.Address, Claim: escrow.Claim{Part: d.Part, Settled: d.PartSettled}, Sharing: c.Has(d.VM), Listed: c.Has(d.VM), Alive: m.Alive(now),
			Invites: m.CountsUs(now),
		})
		if m.Alive(now) && slices.Contains([]ident.VM{"vm00", "vm01", "vm02"}, d.VM) {
			view.SeedsAlive++
		}
	}
	claim := v.ledger.Update(now, view)
	v.digest.Part, v.digest.PartSettled = claim.Part, claim.Settled
}

// sumOfParts returns the sum of the parts of all VMs.
func (t *testFleet) sumOfParts() float64 {
	sum := 0.0
	for _, v := range t.vms {
		sum += v.ledger.Claim().Part
	}
	return sum
}

func (t *testFleet) send(now time.Time, from *testVM, to string, m peers.Message) {
	i := slices.IndexFunc(t.vms, func(v *testVM) bool { return v.digest.Address == to })
	if i < 0 || t.partitioned[to] || t.partitioned[from.digest.Address] {
		return
	}
	from.digest.Serial++
	m.From = from.digest
	t.sent++
	v := t.vms[i]
	if v.digest.Domain != from.digest.Domain {
		t.crossDomain++
	}
	v.peers.Receive(now, m)
	if m.RequestReply {
		c := v.peers.Core(now, v.digest, byCPUShare)
		t.send(now, v, from.digest.Address, peers.Message{
			Relayed: v.peers.RelayedDigests(now, c, from.digest.VM), ToCore: c.IncludesSelf() && c.Has(from.digest.VM),
		})
	}
}

// assertCoreConnected checks that each VM of the core has received a heartbeat from each other one within the last 800 ms,
// which is often enough to share limits.
func (t *testFleet) assertCoreConnected(tb *testing.T, now time.Time) {
	tb.Helper()
	var all []peers.Digest
	for _, v := range t.vms {
		if !t.partitioned[v.digest.Address] {
			all = append(all, v.digest)
		}
	}
	core := byCPUShare(all)
	core = core[:min(12, len(core))]
	for _, v := range t.vms {
		if !slices.ContainsFunc(core, func(d peers.Digest) bool { return d.VM == v.digest.VM }) {
			continue
		}
		for _, d := range core {
			if d.VM == v.digest.VM {
				continue
			}
			received := slices.ContainsFunc(v.peers.Members(), func(m peers.Member) bool {
				return m.Digest().VM == d.VM && now.Sub(m.LastHeard()) <= 800*time.Millisecond
			})
			if !received {
				tb.Errorf("%s has received no heartbeat from %s in the last 800 ms", v.digest.VM, d.VM)
			}
		}
	}
}

// Guards against a core that does not connect: all VMs start at once with only three seed addresses, or the seeds or half of
// the core fail later.
func TestMeet(t *testing.T) {
	for _, n := range []int{1, 3, 9, 30, 81} {
		t.Run(fmt.Sprintf("%d VMs", n), func(t *testing.T) {
			f := newTestFleet(n)
			f.run(0, 4*time.Second)
			f.assertCoreConnected(t, start.Add(4*time.Second))
		})
	}
	t.Run("again when the seeds are gone", func(t *testing.T) {
		f := newTestFleet(30)
		f.run(0, 4*time.Second)
		f.partitioned["vm00"], f.partitioned["vm01"], f.partitioned["vm02"] = true, true, true
		f.run(4*time.Second, 10*time.Second)
		f.assertCoreConnected(t, start.Add(10*time.Second))
	})
	t.Run("again when half of the core is gone", func(t *testing.T) {
		f := newTestFleet(81)
		f.run(0, 4*time.Second)
		for _, name := range []string{"vm05", "vm14", "vm23", "vm32", "vm41"} {
			f.partitioned[name] = true
		}
		f.run(4*time.Second, 12*time.Second)
		f.assertCoreConnected(t, start.Add(12*time.Second))
	})
}

// Guards against exceeding a fleet-wide limit: each VM claims a part of it by its own view of the core, and the parts of all VMs must add up to
// the limit at most, also while the core changes, and to nearly all of it in calm.
func TestParts(t *testing.T) {
	for _, n := range []int{1, 9, 30, 81} {
		t.Run(fmt.Sprintf("%d VMs", n), func(t *testing.T) {
			f := newTestFleet(n)
			f.run(0, 14*time.Second)
			if sum := f.sumOfParts(); sum < 0.95 || sum > 1.005 {
				t.Errorf("the parts add up to %.2f, want 0.95 to 1", sum)
			}
		})
	}
	// Guards against parts that stay reserved for VMs which took themselves for some of the core while they knew few others.
	t.Run("soon after all VMs have started again", func(t *testing.T) {
		f := newTestFleet(81)
		for _, v := range f.vms {
			v.ledger = escrow.New(start, v.digest.VM, false)
		}
		f.run(0, 5*time.Second)
		if sum := f.sumOfParts(); sum < 0.9 || sum > 1.05 {
			t.Errorf("the parts add up to %.2f, want 0.9 to 1", sum)
		}
	})
	t.Run("when half of the core is cut off", func(t *testing.T) {
		f := newTestFleet(81)
		f.run(0, 14*time.Second)
		for _, name := range []string{"vm05", "vm14", "vm23", "vm32", "vm41"} {
			f.partitioned[name] = true
		}
		for at := 14 * time.Second; at < 30*time.Second; at += 2 * time.Second {
			f.run(at, at+2*time.Second)
			if sum := f.sumOfParts(); sum > 1.005 {
				t.Errorf("the parts add up to %.2f after %v, want 1 at most", sum, at)
				for _, v := range f.vms {
					if c := v.ledger.Claim(); c.Part > 0 {
						t.Log(v.digest.VM, c, len(v.ledger.Members()))
					}
				}
			}
		}
	})
}

// Guards against heartbeat traffic per VM that grows with the size of the fleet.
func TestCost(t *testing.T) {
	sent := func(n int) float64 {
		f := newTestFleet(n)
		f.run(0, 4*time.Second)
		f.sent = 0
		f.run(4*time.Second, 8*time.Second)
		return float64(f.sent) / float64(n)
	}
	small, large := sent(20), sent(80)
	if large > 1.5*small {
		t.Errorf("each VM of 80 sends %.0f messages in 4 s, each VM of 20 sends %.0f, want at most 1.5 times as many", large, small)
	}
}

// Guards against costly heartbeat traffic between failure domains: a VM outside the core sends mostly to core VMs in its own
// domain, and only sometimes to the others, so that these know it too.
func TestAskNear(t *testing.T) {
	f := newTestFleet(81)
	f.run(0, 4*time.Second)
	f.sent, f.crossDomain = 0, 0
	f.run(4*time.Second, 8*time.Second)
	const core, rounds = 12, 10
	inside := core * (core - 1) * rounds
	if outside := f.crossDomain - inside; outside > (f.sent-inside)/4 {
		t.Errorf("%d of %d messages from outside the core go to other failure domains, want at most a quarter", outside, f.sent-inside)
	}
	for _, v := range f.vms {
		if known := len(v.peers.Alive(start.Add(8 * time.Second))); known < core-1 {
			t.Errorf("%s knows %d alive VMs, want at least the rest of the core", v.digest.VM, known)
		}
	}
}
