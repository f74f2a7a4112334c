package pacer_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/lab/window"
	"kumquatreel.example/kumquatreel/internal/limit/pacer"
)

var start = time.Unix(1000, 0)

const (
	limitWindow = 4 * time.Second
	step        = 10 * time.Millisecond
	// tickInterval is the interval at which VMs learn of each other, reportDelay the time that a report takes.
	tickInterval = 200 * time.Millisecond
	reportDelay  = 50 * time.Millisecond
	// notice is the time after the first answer with a limit from which the bound holds.
	notice = 500 * time.Millisecond
	// fleetDemand is the number of requests per second for the server over all VMs.
	fleetDemand = 200.0
)

// simVM is a VM in a simulated fleet.
type simVM struct {
	pacer.Limiter
	name ident.VM
	// demand is the number of requests per second that the VM would send to the server.
	demand float64
	// cut says that the VM exchanges nothing with other VMs.
	cut bool
}

// sim is a fleet whose VMs send to one server that names a limit.
type sim struct {
	rng     *rand.Rand
	now     time.Time
	limit   float64
	limited bool
	vms     []*simVM
	// arrivals holds the times of all requests to the server.
	arrivals []time.Time
}

// newSim returns a fleet of which the given number of VMs have clients, which together have fleetDemand.
func newSim(seed uint64, vms, busy int) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 3)), now: start}
	for i := range vms {
		vm := &simVM{name: ident.VM(fmt.Sprintf("vm%02d", i))}
		if i < busy {
			vm.demand = fleetDemand / float64(busy)
		}
		s.vms = append(s.vms, vm)
	}
	return s
}

// run advances the time; a VM sends as many requests as its demand asks for and the limiter allows.
func (s *sim) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(step) {
		if s.now.Sub(start)%tickInterval == 0 {
			s.tick()
		}
		for _, vm := range s.vms {
			for n := vm.demand * step.Seconds(); n > 0; n-- {
				if n >= 1 || s.rng.Float64() < n {
					s.send(vm)
				}
			}
		}
	}
}

func (s *sim) send(vm *simVM) {
	if vm.Delay(s.now, "a", false) > 0 {
		return
	}
	vm.RecordSend(s.now, "a", pacer.Use(s.rng.IntN(3)))
	s.arrivals = append(s.arrivals, s.now)
	vm.Observe(s.now, s.now, "a", pacer.Statement{Rate: s.limit, Limited: s.limited})
}

// tick exchanges reports and membership between the VMs that are not cut off.
func (s *sim) tick() {
	for _, vm := range s.vms {
		var alive []pacer.VM
		for _, o := range s.vms {
			if o == vm || !o.cut && !vm.cut {
				alive = append(alive, pacer.VM{Name: o.name, Busy: o.demand > 0})
			}
			if o != vm && !o.cut && !vm.cut {
				vm.ApplyReports(s.now, o.Reports(s.now.Add(-reportDelay)))
			}
		}
		vm.SetFleet(s.now, vm.name, alive, s.names(), 1)
	}
}

// names returns the names of all VMs.
func (s *sim) names() []ident.VM {
	var out []ident.VM
	for _, vm := range s.vms {
		out = append(out, vm.name)
	}
	return out
}

// most returns the highest number of requests in any window since a time.
func (s *sim) most(since time.Time) int {
	later := slices.IndexFunc(s.arrivals, func(at time.Time) bool { return !at.Before(since) })
	if later < 0 {
		return 0
	}
	return window.Most(s.arrivals[later:], limitWindow, time.Time.Sub)
}

func (s *sim) assertBound(t *testing.T, since time.Time) {
	t.Helper()
	if got, want := s.most(since), 1.5*s.limit*limitWindow.Seconds()+5; float64(got) > want {
		t.Errorf("%d requests in %v, want at most %v", got, limitWindow, want)
	}
}

// The fleet of any size sends a server more than it has named, most when the rate gives a VM less than one request per second.
func TestLimitExceeded(t *testing.T) {
	for _, vms := range []int{1, 9, 73} {
		for _, rate := range []float64{0, 0.2, 0.7, 2.3, 5, 21.4, 90} {
			for _, busy := range []int{1, 4, vms} {
				t.Run(fmt.Sprintf("%d VMs, %d with clients, %v per second", vms, busy, rate), func(t *testing.T) {
					for seed := range uint64(3) {
						s := newSim(seed, vms, min(busy, vms))
						s.run(time.Second)
						s.limit, s.limited = rate, true
						s.run(12 * time.Second)
						s.assertBound(t, start.Add(time.Second+notice))
					}
				})
			}
		}
	}
}

// A share of the limit that nobody uses is lost to callers.
func TestLimitUnused(t *testing.T) {
	for _, c := range []struct {
		vms, busy int
		rate      float64
	}{{1, 1, 5}, {9, 4, 21.4}, {9, 9, 5}, {9, 4, 0.7}, {73, 12, 20}} {
		t.Run(fmt.Sprintf("%d VMs, %d with clients, %v per second", c.vms, c.busy, c.rate), func(t *testing.T) {
			s := newSim(1, c.vms, c.busy)
			s.run(time.Second)
			s.limit, s.limited = c.rate, true
			s.run(5 * time.Second)
			before := len(s.arrivals)
			s.run(30 * time.Second)
			if got := float64(len(s.arrivals) - before); got < 0.75*c.rate*30 {
				t.Errorf("%v requests in 30 s, want at least three quarters of %v", got, c.rate*30)
			}
		})
	}
}

// Clients move from one VM to another, and VMs are cut off from each other while all of them reach the server.
func TestLimitInTurmoil(t *testing.T) {
	t.Run("clients move", func(t *testing.T) {
		s := newSim(1, 9, 4)
		s.limit, s.limited = 10, true
		s.run(5 * time.Second)
		for i := range 10 {
			for j, vm := range s.vms {
				vm.demand = 0
				if (j+i)%9 < 4 {
					vm.demand = 50
				}
			}
			s.run(1500 * time.Millisecond)
		}
		s.assertBound(t, start.Add(notice))
	})
	t.Run("VMs are cut off from each other", func(t *testing.T) {
		s := newSim(1, 9, 9)
		s.limit, s.limited = 10, true
		s.run(5 * time.Second)
		for _, vm := range s.vms[:4] {
			vm.cut = true
		}
		s.run(40 * time.Second)
		for _, vm := range s.vms[:4] {
			vm.cut = false
		}
		s.run(8 * time.Second)
		s.assertBound(t, start.Add(notice))
	})
	t.Run("clients return all at once after a lull in which buckets fill", func(t *testing.T) {
		for _, rate := range []float64{0.7, 5} {
			s := newSim(1, 73, 73)
			s.limit, s.limited = rate, true
			s.run(5 * time.Second)
			s.lull(15*time.Second, 0.001, 5)
			s.assertBound(t, start.Add(notice))
		}
	})
	// Guards against a limit that is forgotten while its server gets nothing, and still names it.
	t.Run("clients return all at once after a time in which no VM heard from the server", func(t *testing.T) {
		for _, vms := range []int{3, 9, 73} {
			for _, rate := range []float64{0, 0.2, 1, 5} {
				for _, lull := range []time.Duration{25 * time.Second, 40 * time.Second} {
					s := newSim(1, vms, vms)
					s.limit, s.limited = rate, true
					s.run(5 * time.Second)
					s.lull(lull, 0, fleetDemand/float64(vms))
					s.assertBound(t, start.Add(notice))
				}
			}
		}
	})
	t.Run("the limit falls", func(t *testing.T) {
		s := newSim(1, 9, 4)
		s.limit, s.limited = 40, true
		s.run(5 * time.Second)
		s.limit = 3
		lowered := s.now
		s.run(10 * time.Second)
		s.assertBound(t, lowered.Add(notice))
	})
}

// lull lets all VMs have a low demand for a time, and then a high one.
func (s *sim) lull(d time.Duration, low, high float64) {
	for _, vm := range s.vms {
		vm.demand = low
	}
	s.run(d)
	for _, vm := range s.vms {
		vm.demand = high
	}
	s.run(6 * time.Second)
}

// assertUnlimited checks that a VM may send to the server several times at once.
func assertUnlimited(t *testing.T, now time.Time, vm *simVM) {
	t.Helper()
	for range 20 {
		vm.RecordSend(now, "a", pacer.UseFirst)
	}
	if d := vm.Delay(now, "a", false); d > 0 {
		t.Errorf("%s has to wait %v, want no limit", vm.name, d)
	}
}

// A VM whose share is nothing never hears from the server itself, and would keep the limit for good.
func TestLimitEnds(t *testing.T) {
	t.Run("for all VMs when one hears it", func(t *testing.T) {
		s := newSim(1, 9, 9)
		s.limit, s.limited = 1, true
		s.run(5 * time.Second)
		s.limited = false
		s.run(4 * time.Second)
		for _, vm := range s.vms {
			assertUnlimited(t, s.now, vm)
		}
	})
	t.Run("for a VM that hears nothing any more by a probe", func(t *testing.T) {
		vm := &simVM{name: "vm0"}
		vm.Observe(start, start, "a", pacer.Statement{Rate: 0, Limited: true})
		if d := vm.Delay(start.Add(15*time.Second), "a", false); d <= 0 {
			t.Error("the limit has ended after 15 s, want it in force")
		}
		later := start.Add(31 * time.Second)
		if d := vm.Delay(later, "a", false); d > 0 {
			t.Error("no probe may be sent after 31 s, want one")
		}
		vm.RecordSend(later, "a", pacer.UseFirst)
		if d := vm.Delay(later.Add(time.Second), "a", false); d <= 0 {
			t.Error("another probe may be sent a second later, want none")
		}
		vm.Observe(later.Add(time.Second), later, "a", pacer.Statement{})
		assertUnlimited(t, later.Add(time.Second), vm)
	})
	t.Run("for all VMs with the probe of one", func(t *testing.T) {
		s := newSim(1, 9, 9)
		s.limit, s.limited = 0, true
		s.run(5 * time.Second)
		s.limited = false
		s.run(30 * time.Second)
		for _, vm := range s.vms {
			assertUnlimited(t, s.now, vm)
		}
	})
	t.Run("never for a server with an entry, and after a while for one without", func(t *testing.T) {
		vm := &simVM{name: "vm0"}
		for _, name := range []ident.Server{"a", "b"} {
			vm.Observe(start, start, name, pacer.Statement{Rate: 1, Limited: true})
		}
		known := func(name ident.Server) bool { return name == "a" }
		for _, c := range []struct {
			after time.Duration
			want  int
		}{{time.Minute, 2}, {2 * time.Hour, 1}} {
			if vm.Prune(start.Add(c.after), known); vm.Len() != c.want {
				t.Errorf("%d servers are kept after %v, want %d", vm.Len(), c.after, c.want)
			}
		}
	})
	t.Run("not by an answer that was overtaken", func(t *testing.T) {
		vm := &simVM{name: "vm0"}
		vm.Observe(start.Add(time.Second), start, "a", pacer.Statement{Rate: 0.1, Limited: true})
		if c := vm.Observe(start.Add(time.Second+step), start.Add(500*time.Millisecond), "a", pacer.Statement{}); c != nil {
			t.Errorf("change is %+v, want none", c)
		}
		c, ok := vm.Observe(start.Add(2*time.Second), start.Add(time.Second+step), "a", pacer.Statement{}).(pacer.Ended)
		if !ok || c.Lasted != time.Second {
			t.Errorf("change is %+v, want the end after 1 s", c)
		}
	})
	t.Run("and begins again without tokens from before", func(t *testing.T) {
		vm := &simVM{name: "vm0"}
		named := pacer.Statement{Rate: 1, Limited: true}
		vm.Observe(start, start, "a", named)
		vm.Observe(start.Add(time.Second), start.Add(step), "a", pacer.Statement{})
		vm.Observe(start.Add(time.Minute), start.Add(time.Minute), "a", named)
		if d := vm.Delay(start.Add(time.Minute), "a", false); d != time.Second {
			t.Errorf("the first request has to wait %v, want 1s", d)
		}
	})
	t.Run("with the server's next start", func(t *testing.T) {
		vm := &simVM{name: "vm0"}
		vm.Observe(start, start, "a", pacer.Statement{Rate: 0.1, Limited: true})
		vm.SetStart("a", "1", false)
		vm.Begin("a", "1", time.Time{})
		if d := vm.Delay(start, "a", false); d <= 0 {
			t.Error("the limit has ended with an entry of the same start, want it in force")
		}
		vm.Begin("a", "2", time.Time{})
		assertUnlimited(t, start, vm)
	})
}

// A start of a server names a limit before its entry arrives. That entry must not end the limit, but the one of a further start must.
func TestBeforeEntry(t *testing.T) {
	later := start.Add(time.Second)
	newNamed := func() *simVM {
		vm := &simVM{name: "vm0"}
		vm.Observe(start, start, "a", pacer.Statement{Rate: 0.1, Limited: true})
		vm.SetStart("a", "1", true)
		return vm
	}
	t.Run("holds with the entry of that start", func(t *testing.T) {
		vm := newNamed()
		vm.Begin("a", "1", time.Time{})
		vm.Begin("a", "2", start.Add(-time.Second))
		if d := vm.Delay(start, "a", false); d <= 0 {
			t.Error("the limit has ended")
		}
		vm.Begin("a", "3", time.Time{})
		assertUnlimited(t, start, vm)
	})
	t.Run("ends if the server was lost again", func(t *testing.T) {
		vm := newNamed()
		vm.Begin("a", "2", later)
		assertUnlimited(t, later, vm)
	})
	t.Run("is reported as such", func(t *testing.T) {
		if rep := newNamed().Reports(start)["a"]; !rep.Unpublished {
			t.Errorf("report is %+v, want it to be of a start without an entry", rep)
		}
	})
}

// Requests that wait for a token must get it, and those that would wait too long must know it at once.
func TestPromise(t *testing.T) {
	vm := &simVM{name: "vm0"}
	vm.Observe(start, start, "a", pacer.Statement{Rate: 10, Limited: true})
	if d := vm.Delay(start, "a", false); d != 100*time.Millisecond {
		t.Errorf("the first token is due after %v, want 100ms", d)
	}
	vm.Promise(start.Add(200*time.Millisecond), "a")
	if d := vm.Delay(start, "a", false); d != 200*time.Millisecond {
		t.Errorf("the second token is due after %v, want 200ms", d)
	}
	later := start.Add(110 * time.Millisecond)
	if d := vm.Delay(later, "a", false); d <= 0 {
		t.Error("a request without a promise gets the token of one that waits")
	}
	if d := vm.Delay(later, "a", true); d > 0 {
		t.Errorf("the request that waits has to wait %v more, want 0", d)
	}
	vm.Redeem("a")
	if d := vm.Delay(later, "a", false); d > 0 {
		t.Errorf("a request has to wait %v after the promise has ended, want 0", d)
	}
}

// Malformed reports of other VMs must not change a limit.
func TestBadReport(t *testing.T) {
	vm := &simVM{name: "vm0"}
	for _, r := range []pacer.Report{{Rate: -1}, {Rate: 1, AgeMs: -5}, {Rate: 1, Ended: true}} {
		if c := vm.ApplyReports(start, map[ident.Server]pacer.Report{"a": r}); len(c) > 0 {
			t.Errorf("report %+v changes the limit: %+v", r, c)
		}
	}
}

// Numbers too large to be a limit must neither end the process nor keep requests from the server.
func TestHugeNumbers(t *testing.T) {
	vms := []pacer.VM{{Name: "vm0", Busy: true}, {Name: "vm1", Busy: true}, {Name: "vm2"}}
	for _, rate := range []float64{1e19, 1e300, math.MaxFloat64} {
		var l pacer.Limiter
		l.SetFleet(start, "vm0", vms, []ident.VM{"vm0", "vm1", "vm2"}, 1)
		l.Observe(start, start, "a", pacer.Statement{Rate: rate, Limited: true})
		l.ApplyReports(start, map[ident.Server]pacer.Report{"b": {Rate: rate}, "c": {Rate: 1, AgeMs: math.MaxInt64}})
		for _, name := range []ident.Server{"a", "b", "c"} {
			if d := l.Delay(start.Add(time.Second), name, false); d > 0 {
				t.Errorf("rate %v: server %s may get a request after %v, want at once", rate, name, d)
			}
		}
	}
}
