package peers_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/tier/peers"
)

const span = 10 * time.Second

func assertSharers(t *testing.T, got []ident.VM, want ...ident.VM) {
	t.Helper()
	if !slices.Equal(got, want) {
		t.Errorf("bounds are divided among %v, want %v", got, want)
	}
}

func TestSharers(t *testing.T) {
	self := peers.Digest{VM: "self"}
	core := func(p *peers.Peers, now time.Time) peers.Core { return p.Core(now, self, strongest) }
	t.Run("are the VM alone while it knows nobody", func(t *testing.T) {
		var s peers.QuotaMembers
		assertSharers(t, s.Update(start, core(peers.New("self"), start), span), "self")
	})
	t.Run("count a silent VM for a while, as it may spend its part", func(t *testing.T) {
		var s peers.QuotaMembers
		p := peers.New("self")
		p.Receive(start, word("a", 1, 1))
		s.Update(start, core(p, start), span)
		p.Tick(start.Add(12 * time.Second))
		for _, at := range []time.Duration{5 * time.Second, span} {
			assertSharers(t, s.Update(start.Add(at), core(p, start.Add(at)), span), "a", "self")
		}
		at := start.Add(span + time.Millisecond)
		assertSharers(t, s.Update(at, core(p, at), span), "self")
	})
	t.Run("count a VM that has ended, as what it spent counts", func(t *testing.T) {
		var s peers.QuotaMembers
		p := peers.New("self")
		p.Receive(start, word("a", 1, 1))
		s.Update(start, core(p, start), span)
		last := word("a", 1, 2)
		last.From.Phase = peers.PhaseGone
		p.Receive(start, last)
		assertSharers(t, s.Update(start.Add(time.Second), core(p, start.Add(time.Second)), span), "a", "self")
	})
	t.Run("are the core of a large fleet, also after some of it was lost", func(t *testing.T) {
		var s peers.QuotaMembers
		p := peers.New("self")
		for i := range 30 {
			p.Receive(start, word(ident.VM(fmt.Sprintf("a%02d", i)), 1, 1))
		}
		before := s.Update(start, core(p, start), span)
		if len(before) != 12 {
			t.Errorf("bounds are divided among %d VMs, want 12", len(before))
		}
		later := start.Add(5 * time.Second)
		for i := 3; i < 30; i++ {
			p.Receive(later, word(ident.VM(fmt.Sprintf("a%02d", i)), 1, 2))
		}
		if after := s.Update(later, core(p, later), span); len(after) != 15 {
			t.Errorf("bounds are divided among %d VMs after 3 were lost, want 15", len(after))
		}
	})
}

// Each VM divides bounds by what it knows itself; the parts that all of them take must not add up to more than there is.
func TestParts(t *testing.T) {
	for _, n := range []int{1, 9, 30, 81} {
		t.Run(fmt.Sprintf("%d VMs", n), func(t *testing.T) {
			w := newTown(n)
			w.run(0, 14*time.Second)
			sum := 0.0
			for _, v := range w.vms {
				if slices.Contains(v.sharers, v.digest.VM) {
					sum += 1 / float64(len(v.sharers))
				}
			}
			if sum < 0.95 || sum > 1.05 {
				t.Errorf("the parts add up to %.2f, want 1", sum)
			}
		})
	}
}
