package agent_test

import (
	"fmt"
	"testing"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/fleet/agent"
	"kumquatreel.example/kumquatreel/internal/stand/drive"
	"kumquatreel.example/kumquatreel/internal/wire/inner"
)

func TestOrderlyFleet(t *testing.T) {
	w := newWorld(1, 5)
	assertSettled(t, w, 10*time.Second)
	t.Run("the home gets the whole rate", func(t *testing.T) {
		w.fullRate(3 * time.Second)
		if got := w.fullRate(10 * time.Second); got < 0.98*rate*10 {
			t.Fatalf("the team got %.1f tokens in 10 s, %.1f are its rate", got, rate*10)
		}
		assertHolds(t, w)
	})
	t.Run("every server's units are gathered by one VM", func(t *testing.T) {
		for _, s := range w.servers {
			best := 0
			for _, n := range w.sim.Nodes() {
				units, _ := n.Agent.UsableSlots(n.Clock(), s)
				best = max(best, units)
			}
			if best != s.Service().Slots() {
				t.Errorf("server %s: one VM has %d of %d units", s.Name(), best, s.Service().Slots())
			}
		}
	})
}

func TestVMDies(t *testing.T) {
	w := newWorld(2, 5)
	assertSettled(t, w, 10*time.Second)
	w.sim.Kill("vm1")
	w.sim.PublishList(w.list(func(vm ident.VM) bool { return vm != "vm1" }))
	t.Run("the others take over its claims", func(t *testing.T) {
		w.sim.Run(w.sim.Now()+spans.ReclaimTimeout, w.judge)
		assertSettled(t, w, 20*time.Second)
		if n := len(w.sim.Node("vm0").Members()); n != 4 {
			t.Fatalf("the view has %d members", n)
		}
		w.fullRate(3 * time.Second)
		if got := w.fullRate(5 * time.Second); got < 0.98*rate*5 {
			t.Fatalf("the team got %.1f tokens in 5 s, %.1f are its rate", got, rate*5)
		}
		assertHolds(t, w)
	})
}

func TestVMReplaced(t *testing.T) {
	w := newWorld(3, 5)
	assertSettled(t, w, 10*time.Second)
	w.sim.Kill("vm2")
	w.sim.Start("vm2", "north", 0)
	t.Run("a new process under the old name starts without claims and ends with them", func(t *testing.T) {
		w.sim.Run(w.sim.Now()+3*time.Second, w.judge)
		if w.sim.Node("vm2").Agent.Membership().HoldsShares(w.sim.Node("vm2").Clock()) {
			t.Fatal("the new process holds claims before the old one is known to be gone")
		}
		assertSettled(t, w, 30*time.Second)
		assertHolds(t, w)
	})
}

func TestFleetCut(t *testing.T) {
	w := newWorld(4, 9)
	assertSettled(t, w, 10*time.Second)
	small := map[ident.VM]bool{"vm0": true, "vm3": true, "vm5": true, "vm8": true}
	w.sim.Network.Cut = func(from, to ident.VM) bool { return small[from] != small[to] }
	t.Run("both sides together stay within the rate", func(t *testing.T) {
		w.fullRate(15 * time.Second)
		assertHolds(t, w)
	})
	t.Run("the small side has lost its claims", func(t *testing.T) {
		for vm := range small {
			if w.sim.Node(vm).Agent.Membership().HoldsShares(w.sim.Node(vm).Clock()) {
				t.Errorf("%s still holds claims", vm)
			}
		}
	})
	t.Run("the fleet settles again", func(t *testing.T) {
		w.sim.Network.Cut = nil
		assertSettled(t, w, 30*time.Second)
		assertHolds(t, w)
	})
}

func TestPausedVMWakes(t *testing.T) {
	w := newWorld(5, 5)
	assertSettled(t, w, 10*time.Second)
	for i, d := range []time.Duration{2 * time.Second, 6 * time.Second, 20 * time.Second} {
		t.Run(d.String(), func(t *testing.T) {
			w.fullRate(3 * time.Second)
			n := w.gatherer(t, i)
			w.sim.Pause(n, d)
			w.fullRate(d)
			w.sim.Run(w.sim.Now()+time.Millisecond, nil)
			for range 8 {
				w.judge()
				w.take(n, 0.1)
			}
			w.fullRate(5 * time.Second)
			assertHolds(t, w)
			assertSettled(t, w, 40*time.Second)
		})
	}
}

func TestGracefulLeave(t *testing.T) {
	w := newWorld(6, 5)
	assertSettled(t, w, 10*time.Second)
	w.fullRate(3 * time.Second)
	w.sim.Leave(w.sim.Node("vm0"))
	t.Run("the rate stays whole while a VM leaves", func(t *testing.T) {
		got := w.fullRate(10 * time.Second)
		if got < 0.80*rate*10 {
			t.Fatalf("the team got %.1f tokens in 10 s", got)
		}
		assertHolds(t, w)
	})
}

// TestLeaverReturnsOnlyWhatItDoesNotUse lets VMs leave while they work under borrowed slots and lend their own.
func TestLeaverReturnsOnlyWhatItDoesNotUse(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := newWorld(seed, 5)
			w.sim.Network.Most = 23 * time.Millisecond
			w.sim.Run(4301*time.Millisecond, w.judge)
			w.sim.Leave(w.sim.Node("vm1"))
			w.sim.Run(6*time.Second, w.judge)
			assertHolds(t, w)
		})
	}
}

// TestNewsTravels lets one VM in a failure domain read the platform and all others learn of it.
func TestNewsTravels(t *testing.T) {
	w := newWorld(9, 40)
	w.sim.Run(25*time.Second, nil)
	t.Run("platform calls do not grow with the fleet", func(t *testing.T) {
		w.sim.Counts = drive.Counts{}
		w.sim.Run(w.sim.Now()+10*time.Second, nil)
		if most := 3 * spans.PlatformReaders * 20 * 2; w.sim.Counts.Platform > most {
			t.Errorf("40 VMs read the platform %d times in 10 s, at most %d are allowed", w.sim.Counts.Platform, most)
		}
	})
	t.Run("a change is in force everywhere within 3 s", func(t *testing.T) {
		w.doc.Preset = "peak"
		w.sim.Publish(w.doc)
		w.sim.Run(w.sim.Now()+3*time.Second, nil)
		for _, n := range w.sim.Nodes() {
			if c := n.Agent.Catalog(); c == nil || c.Preset().Name() != "peak" || !n.Agent.Fresh(n.Clock()) {
				t.Errorf("%s has revision %d, fresh %v", n.VM, c.Revision(), n.Agent.Fresh(n.Clock()))
			}
		}
	})
	t.Run("a VM that is cut off is not fresh after 3 s", func(t *testing.T) {
		w.sim.Network.Cut = func(from, to ident.VM) bool { return from == "vm7" || to == "vm7" }
		w.sim.Network.NoPlatform = func(vm ident.VM) bool { return vm == "vm7" }
		w.sim.Run(w.sim.Now()+spans.FreshTimeout, nil)
		if n := w.sim.Node("vm7"); n.Agent.Fresh(n.Clock()) {
			t.Error("the VM is fresh without news")
		}
	})
}

// TestNewsNeedsItsConfiguration gives a VM the word of fresh news from a peer that has a newer configuration.
func TestNewsNeedsItsConfiguration(t *testing.T) {
	w := newWorld(11, 5)
	assertSettled(t, w, 10*time.Second)
	w.sim.Network.Cut = func(from, to ident.VM) bool { return from == "vm0" || to == "vm0" }
	w.sim.Network.NoPlatform = func(vm ident.VM) bool { return vm == "vm0" }
	w.sim.Run(w.sim.Now()+2*spans.FreshTimeout, nil)
	n, peer := w.sim.Node("vm0"), w.sim.Node("vm1")
	answer := func(revision int64) agent.ExchangeAnswered {
		return agent.ExchangeAnswered{VM: "vm1", RequestedAt: n.Clock(), Reply: inner.ExchangeReply{
			Report: peer.Agent.Membership().Report(peer.Clock(), 0), Revision: revision, UpdateAge: inner.AgeOf(0),
		}}
	}
	t.Run("a newer configuration alone makes nothing fresh", func(t *testing.T) {
		n.Agent.Step(n.Clock(), answer(2))
		if n.Agent.Fresh(n.Clock()) {
			t.Error("the VM is fresh with an older configuration than the news")
		}
	})
	t.Run("news of its own configuration does", func(t *testing.T) {
		n.Agent.Step(n.Clock(), answer(1))
		if !n.Agent.Fresh(n.Clock()) {
			t.Error("the VM is not fresh")
		}
	})
}

// TestStalePlatformTakesNothingBack lets the platform answer with an older document again.
func TestStalePlatformTakesNothingBack(t *testing.T) {
	w := newWorld(10, 3)
	assertSettled(t, w, 10*time.Second)
	w.sim.PlatformStale(true)
	w.sim.PlatformStale(false)
	w.sim.Publish(w.doc)
	w.sim.Run(w.sim.Now()+3*time.Second, w.judge)
	w.sim.AnswerOld()
	w.sim.Run(w.sim.Now()+3*time.Second, w.judge)
	assertHolds(t, w)
}

// TestSilentTowardsOne cuts two VMs from each other while both speak to all others, and takes one off the list.
func TestSilentTowardsOne(t *testing.T) {
	w := newWorld(7, 5)
	assertSettled(t, w, 10*time.Second)
	pair := map[ident.VM]bool{"vm0": true, "vm1": true}
	w.sim.Network.Cut = func(from, to ident.VM) bool { return pair[from] && pair[to] }
	w.sim.PublishList(w.list(func(vm ident.VM) bool { return vm != "vm1" }))
	t.Run("one vote removes nobody", func(t *testing.T) {
		w.fullRate(4 * spans.ReclaimTimeout)
		assertHolds(t, w)
		if n := len(w.sim.Node("vm0").Members()); n != 5 {
			t.Fatalf("the view has %d members", n)
		}
	})
}

// TestCondemnedSpeaksAgain lets a VM come back into hearing between the votes against it.
func TestCondemnedSpeaksAgain(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := newWorld(100+seed, 5)
			assertSettled(t, w, 10*time.Second)
			w.sim.PublishList(w.list(func(vm ident.VM) bool { return vm != "vm1" }))
			w.sim.Network.Cut = func(from, to ident.VM) bool { return from == "vm1" || to == "vm1" }
			w.fullRate(spans.HoldTimeout - time.Second + time.Duration(seed)*100*time.Millisecond)
			w.sim.Network.Cut = func(from, to ident.VM) bool {
				one, other := from == "vm1" || to == "vm1", from == "vm2" || to == "vm2" || from == "vm3" || to == "vm3"
				return one && !other
			}
			w.fullRate(2 * spans.ReclaimTimeout)
			w.sim.Network.Cut = nil
			w.fullRate(spans.ReclaimTimeout)
			assertHolds(t, w)
		})
	}
}

// TestFreshProcessHasNoBurst replaces a VM again and again, which must not mint tokens.
func TestFreshProcessHasNoBurst(t *testing.T) {
	w := newWorld(8, 3)
	assertSettled(t, w, 10*time.Second)
	for range 5 {
		w.sim.Kill("vm1")
		n := w.sim.Start("vm1", "west", 0)
		if level := n.Agent.Level(n.Clock(), team); level > 0 {
			t.Fatalf("a fresh process has %.2f tokens", level)
		}
		w.fullRate(2 * spans.ReclaimTimeout)
	}
	assertHolds(t, w)
}
