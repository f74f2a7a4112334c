package agent_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"kumquatreel.example/kumquatreel/internal/base/ident"
)

// TestPromisesUnderRandomFaults injects random faults and checks the fleet-wide limits at every event.
func TestPromisesUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newTestFleet(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(3, 6).Draw(t, "vms"))
		w.sim.Network.Loss = rapid.Float64Range(0, 0.3).Draw(t, "loss")
		w.sim.Network.Double = rapid.Float64Range(0, 0.2).Draw(t, "double")
		w.sim.Network.Most = time.Duration(rapid.IntRange(3, 800).Draw(t, "delay")) * time.Millisecond
		steps := rapid.IntRange(4, 14).Draw(t, "steps")
		for range steps {
			w.randomFault(t)
			end := w.sim.Now() + time.Duration(rapid.IntRange(100, 9000).Draw(t, "wait"))*time.Millisecond
			for w.sim.Now() < end {
				w.sim.Run(w.sim.Now()+50*time.Millisecond, w.checkInvariants)
				w.randomTake()
			}
			assertNoViolation(t, w)
		}
	})
}

func (w *testFleet) randomTake() {
	rng := w.sim.Rand()
	for _, n := range w.sim.Nodes() {
		switch rng.IntN(6) {
		case 0:
			for w.take(n, 1) {
			}
		case 1:
			w.take(n, 0.5)
		}
	}
}

func (w *testFleet) randomFault(t *rapid.T) {
	vms := w.deploy.List().VMs
	vm := rapid.SampledFrom(vms).Draw(t, "vm")
	n := w.sim.Node(vm.Name)
	switch rapid.IntRange(0, 9).Draw(t, "fault") {
	case 0:
		w.sim.Kill(vm.Name)
	case 1:
		w.sim.Kill(vm.Name)
		w.sim.Start(vm.Name, vm.Domain, 0)
	case 2:
		if n == nil {
			w.sim.Start(vm.Name, vm.Domain, 0)
		} else if !n.Asleep() {
			w.sim.Pause(n, time.Duration(rapid.IntRange(100, 15000).Draw(t, "pause"))*time.Millisecond)
		}
	case 3:
		side := make(map[ident.VM]bool)
		for _, other := range vms {
			side[other.Name] = rapid.Bool().Draw(t, "side")
		}
		w.sim.Network.Cut = func(from, to ident.VM) bool { return side[from] != side[to] }
	case 4:
		w.sim.Network.Cut = func(from, _ ident.VM) bool { return from == vm.Name }
	case 5:
		w.sim.Network.Cut = nil
	case 6:
		w.sim.PlatformDown(time.Duration(rapid.IntRange(1, 20).Draw(t, "down")) * time.Second)
	case 7:
		w.sim.PlatformStale(rapid.Bool().Draw(t, "stale"))
	case 8:
		unlisted := vm.Name
		w.sim.PublishList(w.list(func(v ident.VM) bool { return v != unlisted }))
	case 9:
		w.sim.PublishList(w.deploy.List())
		if n != nil && rapid.Bool().Draw(t, "leave") {
			w.sim.Leave(n)
		}
	}
}
