package peers_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/tier/peers"
)

// town is a fleet in virtual time whose VMs tell each other as the edge does; the first three are the seeds.
type town struct {
	rng *rand.Rand
	vms []*villager
	cut map[string]bool
	// sent counts messages, away those to another failure domain.
	sent, away int
}

type villager struct {
	peers  *peers.Peers
	digest peers.Digest
	// sharers are those among whom the VM divides bounds for the fleet.
	divided peers.QuotaMembers
	sharers []ident.VM
}

var domains = []ident.Domain{"east", "north", "south", "west"}

func newTown(n int) *town {
	t := &town{rng: rand.New(rand.NewPCG(1, 1)), cut: make(map[string]bool)}
	for i := range n {
		name := fmt.Sprintf("vm%02d", i)
		power := 0.2
		if i%9 == 5 {
			power = 0.8
		}
		t.vms = append(t.vms, &villager{
			peers:  peers.New(ident.VM(name)),
			digest: peers.Digest{VM: ident.VM(name), Address: name, Boot: 1, Phase: peers.PhaseReady, CPUShare: power, Domain: domains[i%len(domains)]},
		})
	}
	return t
}

func strongest(all []peers.Digest) []peers.Digest {
	slices.SortFunc(all, func(a, b peers.Digest) int {
		return cmp.Or(cmp.Compare(b.CPUShare, a.CPUShare), cmp.Compare(a.VM, b.VM))
	})
	return all
}

func (t *town) run(from, to time.Duration) {
	for at := from; at < to; at += 400 * time.Millisecond {
		now := start.Add(at)
		for _, v := range t.vms {
			v.peers.Tick(now)
			c := v.peers.Core(now, v.digest, strongest)
			v.sharers = v.divided.Update(now, c, span)
			for i, to := range v.peers.Targets(c, v.digest, []string{"vm00", "vm01", "vm02"}, t.rng) {
				ask := at < time.Second || c.RequestsReply(int64(at/(400*time.Millisecond)), i)
				t.post(now, v, to, peers.Message{RequestReply: ask, KnownAddresses: v.peers.SampleAddresses(8, t.rng)})
			}
		}
	}
}

func (t *town) post(now time.Time, from *villager, to string, m peers.Message) {
	i := slices.IndexFunc(t.vms, func(v *villager) bool { return v.digest.Address == to })
	if i < 0 || t.cut[to] || t.cut[from.digest.Address] {
		return
	}
	from.digest.Serial++
	m.From = from.digest
	t.sent++
	v := t.vms[i]
	if v.digest.Domain != from.digest.Domain {
		t.away++
	}
	v.peers.Receive(now, m)
	if m.RequestReply {
		c := v.peers.Core(now, v.digest, strongest)
		t.post(now, v, from.digest.Address, peers.Message{Relayed: v.peers.RelayedDigests(now, c, from.digest.VM)})
	}
}

// assertMet checks that each VM of the core hears each other one directly, often enough to share limits.
func (t *town) assertMet(tt *testing.T, now time.Time) {
	tt.Helper()
	var all []peers.Digest
	for _, v := range t.vms {
		if !t.cut[v.digest.Address] {
			all = append(all, v.digest)
		}
	}
	core := strongest(all)
	core = core[:min(12, len(core))]
	for _, v := range t.vms {
		if !slices.ContainsFunc(core, func(d peers.Digest) bool { return d.VM == v.digest.VM }) {
			continue
		}
		for _, d := range core {
			if d.VM == v.digest.VM {
				continue
			}
			heard := slices.ContainsFunc(v.peers.Members(), func(m peers.Member) bool {
				return m.Digest().VM == d.VM && now.Sub(m.LastHeard()) <= 800*time.Millisecond
			})
			if !heard {
				tt.Errorf("%s has not heard from %s lately", v.digest.VM, d.VM)
			}
		}
	}
}

// A fleet starts at once and knows nobody but three seeds.
func TestMeet(t *testing.T) {
	for _, n := range []int{1, 3, 9, 30, 81} {
		t.Run(fmt.Sprintf("%d VMs", n), func(t *testing.T) {
			w := newTown(n)
			w.run(0, 4*time.Second)
			w.assertMet(t, start.Add(4*time.Second))
		})
	}
	t.Run("again when the seeds are gone", func(t *testing.T) {
		w := newTown(30)
		w.run(0, 4*time.Second)
		w.cut["vm00"], w.cut["vm01"], w.cut["vm02"] = true, true, true
		w.run(4*time.Second, 10*time.Second)
		w.assertMet(t, start.Add(10*time.Second))
	})
	t.Run("again when half of the core is gone", func(t *testing.T) {
		w := newTown(81)
		w.run(0, 4*time.Second)
		for _, name := range []string{"vm05", "vm14", "vm23", "vm32", "vm41"} {
			w.cut[name] = true
		}
		w.run(4*time.Second, 12*time.Second)
		w.assertMet(t, start.Add(12*time.Second))
	})
}

// What a VM sends does not grow with the fleet.
func TestCost(t *testing.T) {
	sent := func(n int) float64 {
		w := newTown(n)
		w.run(0, 4*time.Second)
		w.sent = 0
		w.run(4*time.Second, 8*time.Second)
		return float64(w.sent) / float64(n)
	}
	small, large := sent(20), sent(80)
	if large > 1.5*small {
		t.Errorf("a VM of 80 sends %.0f messages in four seconds, one of 20 sends %.0f", large, small)
	}
}

// Bytes between failure domains are dear: a VM outside the core asks VMs of the core in its own domain, and others only now
// and then, so that each part of the core knows of it.
func TestAskNear(t *testing.T) {
	w := newTown(81)
	w.run(0, 4*time.Second)
	w.sent, w.away = 0, 0
	w.run(4*time.Second, 8*time.Second)
	const core, rounds = 12, 10
	inside := core * (core - 1) * rounds
	if outside := w.away - inside; outside > (w.sent-inside)/4 {
		t.Errorf("%d of %d messages outside the core go to other failure domains, want a quarter at most", outside, w.sent-inside)
	}
	for _, v := range w.vms {
		if known := len(v.peers.Alive(start.Add(8 * time.Second))); known < core-1 {
			t.Errorf("%s knows of %d others, want the core", v.digest.VM, known)
		}
	}
}
