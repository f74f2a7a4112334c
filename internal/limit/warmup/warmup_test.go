package warmup_test

import (
	"fmt"
	"testing"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/limit/warmup"
)

var start = time.Unix(1000, 0)

// flood has some VMs send to a cold server whenever they may, and returns what arrives in each of ten seconds.
func flood(vms int, rate float64) []int {
	var names []ident.VM
	for i := range vms {
		names = append(names, ident.VM(fmt.Sprintf("vm%d", i)))
	}
	gates := make([]warmup.Limiter, vms)
	arrived := make([]int, 10)
	const step = 20
	for ms := 0; ms < 10000; ms += step {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		for i := range gates {
			if gates[i].MaySend(now, "a", rate, names[i], names) {
				gates[i].RecordSend(now, "a", rate, names[i], names)
				arrived[ms/1000]++
			}
		}
	}
	return arrived
}

func assertBorne(t *testing.T, arrived []int, rate float64) {
	t.Helper()
	total := 0
	for second, n := range arrived {
		total += n
		if float64(n) > 1.5*rate+5 {
			t.Errorf("second %d: %d requests, the server bears %v", second, n, 1.5*rate+5)
		}
	}
	if float64(total) < 0.5*rate*float64(len(arrived)) {
		t.Errorf("%d requests in all, want at least half of the rate", total)
	}
}

// A server returns cold while callers press: the fleet keeps to its rate, however many VMs there are.
func TestColdReturn(t *testing.T) {
	for _, c := range []struct {
		vms  int
		rate float64
	}{{1, 20}, {6, 20}, {9, 12}, {30, 20}, {80, 10}, {80, 3}} {
		t.Run(fmt.Sprintf("%d VMs, %v a second", c.vms, c.rate), func(t *testing.T) {
			assertBorne(t, flood(c.vms, c.rate), c.rate)
		})
	}
}

func TestOpen(t *testing.T) {
	var g warmup.Limiter
	t.Run("without a published rate", func(t *testing.T) {
		g.RecordSend(start, "a", 0, "vm0", []ident.VM{"vm0"})
		if !g.MaySend(start, "a", 0, "vm0", []ident.VM{"vm0"}) {
			t.Error("closed, though the server has no bound")
		}
	})
	t.Run("again for a new start", func(t *testing.T) {
		g.RecordSend(start, "a", 2, "vm0", []ident.VM{"vm0"})
		g.Forget("a")
		if !g.MaySend(start, "a", 2, "vm0", []ident.VM{"vm0"}) {
			t.Error("closed after the server was forgotten")
		}
	})
}

// Cold servers come and go, each under a name of its own.
func TestPrune(t *testing.T) {
	var g warmup.Limiter
	self := []ident.VM{"vm0"}
	for i := range 100 {
		g.RecordSend(start.Add(time.Duration(i)*time.Second), ident.Server(fmt.Sprint(i)), 0.5, "vm0", self)
	}
	now := start.Add(100 * time.Second)
	g.Prune(now)
	if n := g.Len(); n != 1 || g.MaySend(now, "99", 0.5, "vm0", self) {
		t.Errorf("%d servers are kept, want the last, which has had its rate", n)
	}
}

func TestOutside(t *testing.T) {
	var g warmup.Limiter
	if g.MaySend(start, "a", 100, "vm9", []ident.VM{"vm0", "vm1"}) {
		t.Error("open for a VM that shares no bounds")
	}
	if !g.MaySend(start, "a", 0, "vm9", []ident.VM{"vm0", "vm1"}) {
		t.Error("closed, though the server has no bound")
	}
}
