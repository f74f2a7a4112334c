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
	w := newTestFleet(1, 5)
	assertAllConfirmed(t, w, 10*time.Second)
	t.Run("the home gets the whole rate", func(t *testing.T) {
		w.takeAtFullRate(3 * time.Second)
		if got := w.takeAtFullRate(10 * time.Second); got < 0.98*rate*10 {
			t.Fatalf("the team received %.1f tokens in 10 s, its rate allows %.1f", got, rate*10)
		}
		assertNoViolation(t, w)
	})
	t.Run("every server's units are gathered by one VM", func(t *testing.T) {
		for _, s := range w.servers {
			best := 0
			for _, n := range w.sim.Nodes() {
				total, _ := n.Agent.UsableSlots(n.Clock(), s)
				best = max(best, total)
			}
			if best != s.Service().Slots() {
				t.Errorf("server %s: the VM with the most slots has %d of %d", s.Name(), best, s.Service().Slots())
			}
		}
	})
}

func TestVMDies(t *testing.T) {
	w := newTestFleet(2, 5)
	assertAllConfirmed(t, w, 10*time.Second)
	w.sim.Kill("vm1")
	w.sim.PublishList(w.list(func(vm ident.VM) bool { return vm != "vm1" }))
	t.Run("the others take over its claims", func(t *testing.T) {
		w.sim.Run(w.sim.Now()+options.ReclaimTimeout, w.checkInvariants)
		assertAllConfirmed(t, w, 20*time.Second)
		if n := len(w.sim.Node("vm0").Members()); n != 4 {
			t.Fatalf("the view has %d members, want 4", n)
		}
		w.takeAtFullRate(3 * time.Second)
		if got := w.takeAtFullRate(5 * time.Second); got < 0.98*rate*5 {
			t.Fatalf("the team received %.1f tokens in 5 s, its rate allows %.1f", got, rate*5)
		}
		assertNoViolation(t, w)
	})
}

func TestVMReplaced(t *testing.T) {
	w := newTestFleet(3, 5)
	assertAllConfirmed(t, w, 10*time.Second)
	w.sim.Kill("vm2")
	w.sim.Start("vm2", "north", 0)
	t.Run("a new process under the old name starts without claims and ends with them", func(t *testing.T) {
		w.sim.Run(w.sim.Now()+3*time.Second, w.checkInvariants)
		if w.sim.Node("vm2").Agent.Membership().HoldsShares(w.sim.Node("vm2").Clock()) {
			t.Fatal("the new process may use shares before the old one is removed")
		}
		assertAllConfirmed(t, w, 30*time.Second)
		assertNoViolation(t, w)
	})
}

func TestFleetCut(t *testing.T) {
	w := newTestFleet(4, 9)
	assertAllConfirmed(t, w, 10*time.Second)
	minority := map[ident.VM]bool{"vm0": true, "vm3": true, "vm5": true, "vm8": true}
	w.sim.Network.Cut = func(from, to ident.VM) bool { return minority[from] != minority[to] }
	t.Run("both sides together stay within the rate", func(t *testing.T) {
		w.takeAtFullRate(15 * time.Second)
		assertNoViolation(t, w)
	})
	t.Run("the small side has lost its claims", func(t *testing.T) {
		for vm := range minority {
			if w.sim.Node(vm).Agent.Membership().HoldsShares(w.sim.Node(vm).Clock()) {
				t.Errorf("%s may still use shares", vm)
			}
		}
	})
	t.Run("the fleet settles again", func(t *testing.T) {
		w.sim.Network.Cut = nil
		assertAllConfirmed(t, w, 30*time.Second)
		assertNoViolation(t, w)
	})
}

func TestPausedVMWakes(t *testing.T) {
	w := newTestFleet(5, 5)
	assertAllConfirmed(t, w, 10*time.Second)
	for i, d := range []time.Duration{2 * time.Second, 6 * time.Second, 20 * time.Second} {
		t.Run(d.String(), func(t *testing.T) {
			w.takeAtFullRate(3 * time.Second)
			n := w.primaryHolder(t, i)
			w.sim.Pause(n, d)
			w.takeAtFullRate(d)
			w.sim.Run(w.sim.Now()+time.Millisecond, nil)
			for range 8 {
				w.checkInvariants()
				w.take(n, 0.1)
			}
			w.takeAtFullRate(5 * time.Second)
			assertNoViolation(t, w)
			assertAllConfirmed(t, w, 40*time.Second)
		})
	}
}

func TestGracefulLeave(t *testing.T) {
	w := newTestFleet(6, 5)
	assertAllConfirmed(t, w, 10*time.Second)
	w.takeAtFullRate(3 * time.Second)
	w.sim.Leave(w.sim.Node("vm0"))
	t.Run("the rate stays whole while a VM leaves", func(t *testing.T) {
		got := w.takeAtFullRate(10 * time.Second)
		if got < 0.80*rate*10 {
			t.Fatalf("the team received %.1f tokens in 10 s", got)
		}
		assertNoViolation(t, w)
	})
}

// TestLeaverReturnsOnlyWhatItDoesNotUse guards against more parts at a server than it has slots when a VM leaves while it works under
// leased slots and leases out its own.
func TestLeaverReturnsOnlyWhatItDoesNotUse(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := newTestFleet(seed, 5)
			w.sim.Network.MaxDelay = 23 * time.Millisecond
			w.sim.Run(4301*time.Millisecond, w.checkInvariants)
			w.sim.Leave(w.sim.Node("vm1"))
			w.sim.Run(6*time.Second, w.checkInvariants)
			assertNoViolation(t, w)
		})
	}
}

// TestNewsTravels checks that one reader in each failure domain is enough: all VMs get the documents and their freshness from peers, and
// a VM without contact stops being fresh.
func TestNewsTravels(t *testing.T) {
	w := newTestFleet(9, 40)
	w.sim.Run(25*time.Second, nil)
	t.Run("platform calls do not grow with the fleet", func(t *testing.T) {
		w.sim.Counts = drive.Counts{}
		w.sim.Run(w.sim.Now()+10*time.Second, nil)
		if maxReads := 3 * options.PlatformReaders * 20 * 2; w.sim.Counts.PlatformReads > maxReads {
			t.Errorf("40 VMs read the platform %d times in 10 s, want at most %d", w.sim.Counts.PlatformReads, maxReads)
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
		w.sim.Run(w.sim.Now()+options.MaxStaleness, nil)
		if n := w.sim.Node("vm7"); n.Agent.Fresh(n.Clock()) {
			t.Error("the VM is fresh without contact to the platform or a peer")
		}
	})
}

// TestNewsBeforeRefused guards against a VM that keeps an old configuration for good because it has read a newer one that can't be used, and never
// the one between the two that the others have in force.
func TestNewsBeforeRefused(t *testing.T) {
	w := newTestFleet(12, 5)
	assertAllConfirmed(t, w, 10*time.Second)
	w.sim.Network.Cut = func(from, to ident.VM) bool { return from == "vm0" || to == "vm0" }
	w.sim.Network.NoPlatform = func(vm ident.VM) bool { return vm == "vm0" }
	w.doc.Preset = "peak"
	w.sim.Publish(w.doc)
	w.sim.Run(w.sim.Now()+3*time.Second, nil)
	w.doc.Preset = "none"
	w.sim.Publish(w.doc)
	w.sim.Network.NoPlatform = nil
	w.sim.Run(w.sim.Now()+3*time.Second, nil)
	w.sim.Network.Cut = nil
	w.sim.Run(w.sim.Now()+3*time.Second, nil)
	for _, n := range w.sim.Nodes() {
		if c := n.Agent.Catalog(); c.Preset().Name() != "peak" {
			t.Errorf("%s has revision %d in force, want the newest one that can be used", n.VM, c.Revision())
		}
	}
}

// TestNewsNeedsItsConfiguration guards against a VM that counts as fresh by a peer's recent read of the platform although the peer has
// a newer configuration.
func TestNewsNeedsItsConfiguration(t *testing.T) {
	w := newTestFleet(11, 5)
	assertAllConfirmed(t, w, 10*time.Second)
	w.sim.Network.Cut = func(from, to ident.VM) bool { return from == "vm0" || to == "vm0" }
	w.sim.Network.NoPlatform = func(vm ident.VM) bool { return vm == "vm0" }
	w.sim.Run(w.sim.Now()+2*options.MaxStaleness, nil)
	n, peer := w.sim.Node("vm0"), w.sim.Node("vm1")
	answer := func(revision int64) agent.ExchangeAnswered {
		return agent.ExchangeAnswered{VM: "vm1", RequestedAt: n.Clock(), Reply: inner.ExchangeReply{
			Report: peer.Agent.Membership().Report(peer.Clock(), 0), Revision: revision, UpdateAge: inner.AgeOf(0),
		}}
	}
	t.Run("a newer configuration alone makes nothing fresh", func(t *testing.T) {
		n.Agent.Step(n.Clock(), answer(2))
		if n.Agent.Fresh(n.Clock()) {
			t.Error("the VM is fresh with an older configuration than that of the peer")
		}
	})
	t.Run("news of its own configuration does", func(t *testing.T) {
		n.Agent.Step(n.Clock(), answer(1))
		if !n.Agent.Fresh(n.Clock()) {
			t.Error("the VM is not fresh after a peer with the same configuration answered")
		}
	})
}

// TestStalePlatformTakesNothingBack guards against a VM that reverts to an older document which the platform serves again.
func TestStalePlatformTakesNothingBack(t *testing.T) {
	w := newTestFleet(10, 3)
	assertAllConfirmed(t, w, 10*time.Second)
	w.sim.PlatformStale(true)
	w.sim.PlatformStale(false)
	w.sim.Publish(w.doc)
	w.sim.Run(w.sim.Now()+3*time.Second, w.checkInvariants)
	w.sim.AnswerOld()
	w.sim.Run(w.sim.Now()+3*time.Second, w.checkInvariants)
	assertNoViolation(t, w)
}

// TestSilentTowardsOne guards against the removal of a live VM by a single vote: two VMs are partitioned from each other while both
// reach all others, and one of them is off the list.
func TestSilentTowardsOne(t *testing.T) {
	w := newTestFleet(7, 5)
	assertAllConfirmed(t, w, 10*time.Second)
	pair := map[ident.VM]bool{"vm0": true, "vm1": true}
	w.sim.Network.Cut = func(from, to ident.VM) bool { return pair[from] && pair[to] }
	w.sim.PublishList(w.list(func(vm ident.VM) bool { return vm != "vm1" }))
	t.Run("one vote removes nobody", func(t *testing.T) {
		w.takeAtFullRate(4 * options.ReclaimTimeout)
		assertNoViolation(t, w)
		if n := len(w.sim.Node("vm0").Members()); n != 5 {
			t.Fatalf("the view has %d members, want 5", n)
		}
	})
}

// TestCondemnedSpeaksAgain guards against shares used twice when a VM becomes reachable again to some VMs while others have already
// voted to remove it.
func TestCondemnedSpeaksAgain(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := newTestFleet(100+seed, 5)
			assertAllConfirmed(t, w, 10*time.Second)
			w.sim.PublishList(w.list(func(vm ident.VM) bool { return vm != "vm1" }))
			w.sim.Network.Cut = func(from, to ident.VM) bool { return from == "vm1" || to == "vm1" }
			w.takeAtFullRate(options.HoldTimeout - time.Second + time.Duration(seed)*100*time.Millisecond)
			w.sim.Network.Cut = func(from, to ident.VM) bool {
				involvesVM1, involvesVM2Or3 := from == "vm1" || to == "vm1", from == "vm2" || to == "vm2" || from == "vm3" || to == "vm3"
				return involvesVM1 && !involvesVM2Or3
			}
			w.takeAtFullRate(2 * options.ReclaimTimeout)
			w.sim.Network.Cut = nil
			w.takeAtFullRate(options.ReclaimTimeout)
			assertNoViolation(t, w)
		})
	}
}

// TestFreshProcessHasNoBurst guards against extra tokens when a VM is replaced again and again.
func TestFreshProcessHasNoBurst(t *testing.T) {
	w := newTestFleet(8, 3)
	assertAllConfirmed(t, w, 10*time.Second)
	for range 5 {
		w.sim.Kill("vm1")
		n := w.sim.Start("vm1", "west", 0)
		if level := n.Agent.Level(n.Clock(), team); level > 0 {
			t.Fatalf("a new process has %.2f tokens", level)
		}
		w.takeAtFullRate(2 * options.ReclaimTimeout)
	}
	assertNoViolation(t, w)
}
