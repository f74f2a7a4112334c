package peers_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/tier/peers"
)

const window = 10 * time.Second

func assertLimitMembers(t *testing.T, got []ident.VM, want ...ident.VM) {
	t.Helper()
	if !slices.Equal(got, want) {
		t.Errorf("limits are divided among %v, want %v", got, want)
	}
}

func TestSharers(t *testing.T) {
	self := peers.Digest{VM: "self"}
	core := func(p *peers.Peers, now time.Time) peers.Core { return p.Core(now, self, byCPUShare) }
	t.Run("are the VM alone while it knows nobody", func(t *testing.T) {
		var s peers.LimitMembers
		assertLimitMembers(t, s.Update(start, core(peers.New("self"), start), window), "self")
	})
	t.Run("count a silent VM for a while, as it may spend its part", func(t *testing.T) {
		var s peers.LimitMembers
		p := peers.New("self")
		p.Receive(start, heartbeat("a", 1, 1))
		s.Update(start, core(p, start), window)
		p.Tick(start.Add(12 * time.Second))
		for _, at := range []time.Duration{5 * time.Second, window} {
			assertLimitMembers(t, s.Update(start.Add(at), core(p, start.Add(at)), window), "a", "self")
		}
		at := start.Add(window + time.Millisecond)
		assertLimitMembers(t, s.Update(at, core(p, at), window), "self")
	})
	t.Run("count a VM that has ended, as what it spent counts", func(t *testing.T) {
		var s peers.LimitMembers
		p := peers.New("self")
		p.Receive(start, heartbeat("a", 1, 1))
		s.Update(start, core(p, start), window)
		last := heartbeat("a", 1, 2)
		last.From.Phase = peers.PhaseGone
		p.Receive(start, last)
		assertLimitMembers(t, s.Update(start.Add(time.Second), core(p, start.Add(time.Second)), window), "a", "self")
	})
	t.Run("are the core of a large fleet, also after some of it was lost", func(t *testing.T) {
		var s peers.LimitMembers
		p := peers.New("self")
		for i := range 30 {
			p.Receive(start, heartbeat(ident.VM(fmt.Sprintf("a%02d", i)), 1, 1))
		}
		before := s.Update(start, core(p, start), window)
		if len(before) != 12 {
			t.Errorf("limits are divided among %d VMs, want 12", len(before))
		}
		later := start.Add(5 * time.Second)
		for i := 3; i < 30; i++ {
			p.Receive(later, heartbeat(ident.VM(fmt.Sprintf("a%02d", i)), 1, 2))
		}
		if after := s.Update(later, core(p, later), window); len(after) != 15 {
			t.Errorf("limits are divided among %d VMs after 3 of the core failed, want 15", len(after))
		}
	})
}

// Guards against exceeding a fleet-wide limit: each VM computes its share from its own view of the core, and the shares of all
// VMs must add up to the limit.
func TestParts(t *testing.T) {
	for _, n := range []int{1, 9, 30, 81} {
		t.Run(fmt.Sprintf("%d VMs", n), func(t *testing.T) {
			f := newTestFleet(n)
			f.run(0, 14*time.Second)
			sum := 0.0
			for _, v := range f.vms {
				if slices.Contains(v.limitMembers, v.digest.VM) {
					sum += 1 / float64(len(v.limitMembers))
				}
			}
			if sum < 0.95 || sum > 1.05 {
				t.Errorf("the shares add up to %.2f, want 0.95 to 1.05", sum)
			}
		})
	}
}
