package place_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/tier/header"
	"kumquatreel.example/kumquatreel/internal/tier/place"
)

func known(s ident.Server) bool { return s != "unknown" }

// newEven returns a balancer of one of four VMs that uses pace and news.
func newEven() *place.Balancer {
	b := &place.Balancer{}
	b.SetEven(4)
	return b
}

func tell(b *place.Balancer, at time.Time, s ident.Server, l header.Load) {
	b.Answered(at.Add(typical), b.Sent(at, s, typical), &l)
}

func hear(b *place.Balancer, s ident.Server, r place.Report) {
	b.ApplyReports(start, map[ident.Server]place.Report{s: r}, known)
}

func TestPace(t *testing.T) {
	slow := header.Load{Running: 1, Slots: 2, Pace: 3}
	t.Run("keeps requests away for a while", func(t *testing.T) {
		b := newEven()
		b.Answered(start.Add(3*typical), b.Sent(start, "a", typical), &slow)
		assertPicks(t, b, start.Add(3*typical), pair(), 0, 0)
		assertPicks(t, b, start.Add(3*time.Second), pair(), 400, 600)
	})
	t.Run("is not used unless that is set", func(t *testing.T) {
		b := &place.Balancer{}
		tell(b, start, "a", slow)
		assertPicks(t, b, start.Add(typical), pair(), 400, 600)
	})
	t.Run("does not pass for the server's own speed", func(t *testing.T) {
		b := newEven()
		for i := range 20 {
			at := start.Add(time.Duration(i) * 3 * typical)
			b.Answered(at.Add(3*typical), b.Sent(at, "a", typical), &slow)
		}
		cost, _ := b.Cost(start.Add(3*time.Second), pair()[0], typical, failureCost)
		if cost > typical*11/10 {
			t.Errorf("expected latency is %v once the pace is as usual, want %v", cost, typical)
		}
	})
	t.Run("delays the time at which an answer is overdue", func(t *testing.T) {
		b := newEven()
		tell(b, start, "a", slow)
		b.Sent(start.Add(typical), "a", typical)
		if now := start.Add(6 * typical); b.Overdue(now, "a") {
			t.Error("overdue after five times the typical latency at a pace of three")
		}
	})
}

func TestNews(t *testing.T) {
	for _, c := range []struct {
		name     string
		server   ident.Server
		report   place.Report
		min, max int
	}{
		{"of a long queue keeps requests away", "a", place.Report{Queue: 9, AgeMs: 20}, 0, 0},
		{"of a slow pace keeps requests away", "a", place.Report{Queue: 1, PacePercent: 300, AgeMs: 20}, 0, 0},
		{"of a stall keeps requests away", "a", place.Report{Stalled: true, AgeMs: 200}, 0, 0},
		{"counts little when it is old", "a", place.Report{Queue: 3, PacePercent: 300, AgeMs: 1500}, 300, 600},
		{"from the future is ignored", "a", place.Report{Queue: 9, AgeMs: -1}, 400, 600},
		{"with a queue below 0 is ignored", "a", place.Report{Queue: -9, PacePercent: 300}, 400, 600},
		{"with an absurd pace counts without it", "a", place.Report{PacePercent: 1 << 30}, 400, 600},
		{"of an unknown server is ignored", "unknown", place.Report{Queue: 9}, 400, 600},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newEven()
			hear(b, c.server, c.report)
			assertPicks(t, b, start, pair(), c.min, c.max)
			if _, ok := b.News("unknown"); ok {
				t.Error("an unknown server has news")
			}
		})
	}
	t.Run("older than what the server has told is ignored", func(t *testing.T) {
		b := newEven()
		tell(b, start.Add(-50*time.Millisecond), "a", header.Load{Slots: 2})
		for _, r := range []place.Report{{Queue: 9, AgeMs: 60}, {Stalled: true, AgeMs: 60}} {
			hear(b, "a", r)
		}
		if n, _ := b.News("a"); n.Heard || !b.Stalled("a").IsZero() {
			t.Errorf("news is %+v, stalled %v, want the server's own", n, b.Stalled("a"))
		}
	})
	t.Run("of a stall ends with an answer", func(t *testing.T) {
		b := newEven()
		hear(b, "a", place.Report{Stalled: true})
		answer(b, start, "a", typical)
		assertPicks(t, b, start.Add(typical), pair(), 300, 700)
	})
	t.Run("alone withholds no server", func(t *testing.T) {
		for _, r := range []place.Report{{Queue: 1000, PacePercent: 10000}, {Stalled: true}} {
			b := newEven()
			hear(b, "a", r)
			var skipped place.Skipped
			s, ok := b.Choose(start, pair()[:1], place.Attempt{Typical: typical, RetryRemaining: 1}, &skipped, rand.New(rand.NewPCG(1, 1)))
			if !ok || s != "a" {
				t.Errorf("after %+v no server was chosen, skipped %+v", r, skipped)
			}
		}
	})
	t.Run("is not used unless that is set", func(t *testing.T) {
		b := &place.Balancer{}
		hear(b, "a", place.Report{Queue: 9})
		assertPicks(t, b, start, pair(), 400, 600)
	})
}

func TestReports(t *testing.T) {
	b := newEven()
	for i := range 40 {
		tell(b, start, ident.Server(fmt.Sprint("s", i)), header.Load{Running: i, Slots: 2, Pace: 1.5})
	}
	b.TimedOut(start.Add(typical), b.Sent(start, "stalled", typical))
	hear(b, "heard", place.Report{Queue: 50})
	now := start.Add(30 * time.Millisecond)
	own, all := b.Reports(now), b.AllReports(now, 50*time.Millisecond)
	t.Run("are the most useful ones", func(t *testing.T) {
		if _, idle := own["s0"]; len(own) != 32 || idle || !own["stalled"].Stalled {
			t.Errorf("got %d reports %v, want 32 with the stalled server and without the idle one", len(own), own)
		}
	})
	t.Run("have their whole age", func(t *testing.T) {
		if want := (place.Report{Queue: 39, PacePercent: 150, AgeMs: 20}); own["s39"] != want {
			t.Errorf("report is %+v, want %+v", own["s39"], want)
		}
		if want := (place.Report{Queue: 50, AgeMs: 80}); all["heard"] != want {
			t.Errorf("report of what was heard is %+v, want %+v", all["heard"], want)
		}
	})
	t.Run("of other VMs are passed on only in replies", func(t *testing.T) {
		if r, ok := own["heard"]; ok {
			t.Errorf("own reports have %+v", r)
		}
	})
}

// One VM with a broken link says with each heartbeat that a sound server stalls.
func TestFalseStall(t *testing.T) {
	b := newEven()
	rng := rand.New(rand.NewPCG(1, 1))
	picked := make(map[ident.Server]int)
	for i := range 2000 {
		now := start.Add(time.Duration(i) * typical)
		if i%40 == 0 {
			b.ApplyReports(now, map[ident.Server]place.Report{"a": {Stalled: true}}, known)
		}
		c, ok := b.Pick(now, pair(), typical, failureCost, rng)
		if !ok {
			t.Fatal("no server")
		}
		picked[c.Server]++
		b.Answered(now.Add(typical), b.Sent(now, c.Server, typical), nil)
	}
	if picked["a"] < 500 {
		t.Errorf("picked %v, want a quarter at least for each", picked)
	}
}

// The queue of a server holds no work of kinds that it never gets.
func TestCountAllKinds(t *testing.T) {
	b := &place.Balancer{}
	b.CountAllKinds()
	for i := range 200 {
		now := start.Add(time.Duration(i) * time.Second)
		b.Discarded(b.Sent(now, "patient", 40*typical))
		b.Discarded(b.Sent(now, "both", typical))
		b.Discarded(b.Sent(now, "both", 3*typical))
	}
	now := start.Add(time.Hour)
	for range 4 {
		b.Sent(now, "both", typical)
		b.Sent(now, "urgent", typical)
	}
	for _, c := range []struct {
		server ident.Server
		lo, hi time.Duration
	}{{"both", typical * 5 / 2, typical * 4}, {"urgent", typical * 3 / 2, typical * 3 / 2}} {
		if w := b.QueueDelay(now, place.Candidate{Server: c.server, Slots: 2}, typical); w < c.lo || w > c.hi {
			t.Errorf("queue delay at %s is %v, want %v to %v", c.server, w, c.lo, c.hi)
		}
	}
}

// Guards against a wave: all VMs hold the same old news of two servers that are almost alike. Few VMs make none.
func TestNearTie(t *testing.T) {
	for _, c := range []struct {
		name               string
		vms                int
		minPicks, maxPicks int
	}{
		{"is drawn by many VMs", 30, 501, 900},
		{"goes to the lower cost of few VMs", 4, 901, 1000},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newEven()
			b.SetEven(c.vms)
			hear(b, "a", place.Report{Queue: 2, AgeMs: 40})
			hear(b, "b", place.Report{Queue: 3, AgeMs: 40})
			assertPicks(t, b, start, pair(), c.minPicks, c.maxPicks)
		})
	}
}
