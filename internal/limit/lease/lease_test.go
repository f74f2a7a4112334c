package lease_test

import (
	"testing"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/clock"
	"kumquatreel.example/kumquatreel/internal/limit/lease"
)

var (
	terms = lease.Terms{Duration: 2 * time.Second, DriftMargin: 200 * time.Millisecond, WorkTime: time.Second}
	slot  = lease.SlotKey("server")
	rate  = lease.RateKey("team")
)

func at(d time.Duration) clock.Instant { return clock.At(d) }

func assertLeased(t *testing.T, l *lease.Lessor, now clock.Instant, k lease.Key, want bool) {
	t.Helper()
	if got := l.Leased(now, k); got != want {
		t.Errorf("at %v unit %v leased: %v, want %v", now, k, got, want)
	}
}

func TestLenderWaits(t *testing.T) {
	t.Run("longer for a slot, whose work may be in progress", func(t *testing.T) {
		l := lease.NewLessor(terms)
		l.Grant(at(0), slot, "a/1")
		l.Grant(at(0), rate, "a/1")
		assertLeased(t, l, at(2199*time.Millisecond), rate, true)
		assertLeased(t, l, at(2200*time.Millisecond), rate, false)
		assertLeased(t, l, at(3199*time.Millisecond), slot, true)
		assertLeased(t, l, at(3200*time.Millisecond), slot, false)
	})
	t.Run("by the lower clock", func(t *testing.T) {
		l := lease.NewLessor(terms)
		l.Grant(at(0), rate, "a/1")
		assertLeased(t, l, clock.Between(time.Second, time.Minute), rate, true)
	})
	t.Run("and lends to one borrower at a time", func(t *testing.T) {
		l := lease.NewLessor(terms)
		l.Grant(at(0), rate, "a/1")
		if _, ok := l.Grant(at(time.Second), rate, "b/1"); ok {
			t.Error("a unit was leased to two processes")
		}
		if _, ok := l.Grant(at(time.Second), rate, "a/1"); !ok {
			t.Error("a lease was not renewed")
		}
	})
}

func TestReturn(t *testing.T) {
	t.Run("a late return ends no newer loan", func(t *testing.T) {
		l := lease.NewLessor(terms)
		first, _ := l.Grant(at(0), rate, "a/1")
		second, _ := l.Grant(at(time.Second), rate, "a/1")
		if l.Return(rate, "a/1", first) {
			t.Error("a return with an outdated serial number ended the lease")
		}
		assertLeased(t, l, at(time.Second), rate, true)
		if !l.Return(rate, "a/1", second) {
			t.Error("a return with the current serial number did not end the lease")
		}
		assertLeased(t, l, at(time.Second), rate, false)
	})
	t.Run("another process returns nothing", func(t *testing.T) {
		l := lease.NewLessor(terms)
		serial, _ := l.Grant(at(0), rate, "a/1")
		if l.Return(rate, "a/2", serial) {
			t.Error("a return by another process ended the lease")
		}
	})
}

func TestBorrowerStops(t *testing.T) {
	h := lease.NewHolder(terms.Duration)
	h.Put(slot, lease.SlotLease{Lessor: "b", Slots: lease.SlotCounts{Total: 1}, RequestedAt: at(time.Second)})
	t.Run("counted from before it asked", func(t *testing.T) {
		if h.Usable(at(2999*time.Millisecond), slot).Total != 1 {
			t.Error("the lease expired early")
		}
	})
	t.Run("by the upper clock", func(t *testing.T) {
		if h.Usable(clock.Between(2*time.Second, 3*time.Second), slot).Total != 0 {
			t.Error("the lease was usable after its duration")
		}
	})
}
