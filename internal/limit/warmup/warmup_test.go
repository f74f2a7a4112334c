package warmup_test

import (
	"fmt"
	"testing"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/limit/warmup"
)

var start = time.Unix(1000, 0)

// flood makes each VM send to a cold server whenever its limiter allows, and returns the requests of each of ten seconds.
func flood(vms int, rate float64) []int {
	var names []ident.VM
	for i := range vms {
		names = append(names, ident.VM(fmt.Sprintf("vm%d", i)))
	}
	limiters := make([]warmup.Limiter, vms)
	arrived := make([]int, 10)
	const step = 20
	for ms := 0; ms < 10000; ms += step {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		for i := range limiters {
			if limiters[i].MaySend(now, "a", rate, names[i], names) {
				limiters[i].RecordSend(now, "a", rate, names[i], names)
				arrived[ms/1000]++
			}
		}
	}
	return arrived
}

func assertRate(t *testing.T, arrived []int, rate float64) {
	t.Helper()
	total := 0
	for second, n := range arrived {
		total += n
		if float64(n) > 1.5*rate+5 {
			t.Errorf("second %d: %d requests, want at most %v", second, n, 1.5*rate+5)
		}
	}
	if float64(total) < 0.5*rate*float64(len(arrived)) {
		t.Errorf("%d requests in all, want at least half of the rate", total)
	}
}

// A server returns cold under full load: the fleet must neither exceed the server's rate nor leave most of it unused, whatever the
// number of VMs.
func TestColdReturn(t *testing.T) {
	for _, c := range []struct {
		vms  int
		rate float64
	}{{1, 20}, {6, 20}, {9, 12}, {30, 20}, {80, 10}, {80, 3}} {
		t.Run(fmt.Sprintf("%d VMs, %v a second", c.vms, c.rate), func(t *testing.T) {
			assertRate(t, flood(c.vms, c.rate), c.rate)
		})
	}
}

func TestOpen(t *testing.T) {
	var l warmup.Limiter
	t.Run("without a published rate", func(t *testing.T) {
		l.RecordSend(start, "a", 0, "vm0", []ident.VM{"vm0"})
		if !l.MaySend(start, "a", 0, "vm0", []ident.VM{"vm0"}) {
			t.Error("sending is not allowed, though the server has no rate limit")
		}
	})
	t.Run("again for a new start", func(t *testing.T) {
		l.RecordSend(start, "a", 2, "vm0", []ident.VM{"vm0"})
		l.Forget("a")
		if !l.MaySend(start, "a", 2, "vm0", []ident.VM{"vm0"}) {
			t.Error("sending is not allowed after Forget")
		}
	})
}

// All VMs start while a server is cold. Guards against processes that send at once, though those before them did.
func TestStart(t *testing.T) {
	names := []ident.VM{"vm0", "vm1"}
	l := warmup.New(start)
	for _, c := range []struct {
		after time.Duration
		want  bool
	}{{0, false}, {90 * time.Millisecond, false}, {110 * time.Millisecond, true}} {
		if got := l.MaySend(start.Add(c.after), "a", 20, "vm0", names); got != c.want {
			t.Errorf("sending is allowed %v after the start: %v, want %v", c.after, got, c.want)
		}
	}
	if !l.MaySend(start, "a", 0, "vm0", names) {
		t.Error("sending is not allowed, though the server has no rate limit")
	}
}

// Cold servers come and go under new names; without Prune the limiter would keep a record of each.
func TestPrune(t *testing.T) {
	var l warmup.Limiter
	self := []ident.VM{"vm0"}
	for i := range 100 {
		l.RecordSend(start.Add(time.Duration(i)*time.Second), ident.Server(fmt.Sprint(i)), 0.5, "vm0", self)
	}
	now := start.Add(100 * time.Second)
	l.Prune(now)
	if n := l.Len(); n != 1 || l.MaySend(now, "99", 0.5, "vm0", self) {
		t.Errorf("%d servers are kept, want only the last one, whose next request is delayed", n)
	}
}

func TestOutside(t *testing.T) {
	var l warmup.Limiter
	if l.MaySend(start, "a", 100, "vm9", []ident.VM{"vm0", "vm1"}) {
		t.Error("sending is allowed for a VM that is not a member")
	}
	if !l.MaySend(start, "a", 0, "vm9", []ident.VM{"vm0", "vm1"}) {
		t.Error("sending is not allowed, though the server has no rate limit")
	}
}
