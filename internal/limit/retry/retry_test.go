package retry_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"
	"unsafe"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/limit/retry"
)

var (
	start  = time.Unix(1000, 0)
	limits = retry.Limits{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}
)

func take(b *retry.Budget, now time.Time, members int) int {
	return takeFor(b, now, members, false)
}

func takeFor(b *retry.Budget, now time.Time, members int, hedge bool) int {
	n := 0
	for range 1000 {
		if b.Take(now, "books", 1/float64(members), hedge) {
			n++
		}
	}
	return n
}

func assertTaken(t *testing.T, got, minWant, maxWant int) {
	t.Helper()
	if got < minWant || got > maxWant {
		t.Errorf("%d retries were allowed, want %d to %d", got, minWant, maxWant)
	}
}

func TestTake(t *testing.T) {
	t.Run("gives a VM its part of the slack", func(t *testing.T) {
		assertTaken(t, take(retry.New(limits, time.Time{}), start, 10), 3, 5)
	})
	t.Run("gives a share of the first requests", func(t *testing.T) {
		b := retry.New(limits, time.Time{})
		for range 500 {
			b.CountFirst(start, "books")
		}
		assertTaken(t, take(b, start, 1000), 70, 100)
	})
	t.Run("counts each service alone", func(t *testing.T) {
		b := retry.New(limits, time.Time{})
		for range 500 {
			b.CountFirst(start, "bikes")
		}
		assertTaken(t, take(b, start, 1000), 0, 0)
	})
	// Guards against a VM that starts and uses the slack again that the process before it used.
	t.Run("gives little of the slack within a window of the start", func(t *testing.T) {
		assertTaken(t, take(retry.New(limits, start), start.Add(9*time.Second), 2), 3, 5)
		assertTaken(t, take(retry.New(limits, start), start.Add(10*time.Second), 2), 15, 25)
	})
	t.Run("keeps a part of the budget for retries when hedges press", func(t *testing.T) {
		b := retry.New(limits, time.Time{})
		for range 100 {
			b.CountFirst(start, "books")
		}
		hedges := takeFor(b, start, 1, true)
		retries := takeFor(b, start, 1, false)
		assertTaken(t, retries, 15, 30)
		assertTaken(t, hedges+retries, 50, 70)
	})
	t.Run("tells what remains", func(t *testing.T) {
		b := retry.New(limits, time.Time{})
		if got := b.Remaining(start, "books", 1); got != 1 {
			t.Errorf("%v of an unused budget remain", got)
		}
		take(b, start, 1)
		if got := b.Remaining(start, "books", 1); got > 0.05 {
			t.Errorf("%v of a used budget remain", got)
		}
		if got := b.Remaining(start, "books", 0); got != 0 {
			t.Errorf("%v remain without a share", got)
		}
	})
	t.Run("begins again when the window has passed", func(t *testing.T) {
		b := retry.New(limits, time.Time{})
		take(b, start, 1)
		assertTaken(t, take(b, start.Add(5*time.Second), 1), 0, 0)
		assertTaken(t, take(b, start.Add(10*time.Second), 1), 35, 45)
	})
}

// Each new set of shards brings new service names; without Prune the budget would keep all of them.
func TestPrune(t *testing.T) {
	b := retry.New(limits, time.Time{})
	for i := range 100 {
		b.CountFirst(start.Add(time.Duration(i)*time.Second), ident.Service(strconv.Itoa(i)))
	}
	b.Prune(start.Add(100 * time.Second))
	if n := b.Len(); n < 9 || n > 12 {
		t.Errorf("%d services are kept, want those of the last ten seconds", n)
	}
}

// withWallClockJump returns now with its wall clock reading moved by the given time and its monotonic reading unchanged.
func withWallClockJump(now time.Time, by time.Duration) time.Time {
	// In a time.Time with a monotonic reading, the first word holds the wall clock seconds above 30 bits of nanoseconds.
	wall := (*uint64)(unsafe.Pointer(&now))
	*wall += uint64(by/time.Second) << 30
	return now
}

// The wall clock jumps by more than the window while slow servers cause retries: the counts must neither be cleared nor kept too long.
func TestClockJump(t *testing.T) {
	for _, by := range []time.Duration{20 * time.Second, -20 * time.Second} {
		b, now := retry.New(limits, time.Time{}), time.Now()
		take(b, now, 1)
		assertTaken(t, take(b, withWallClockJump(now.Add(time.Second), by), 1), 0, 0)
		assertTaken(t, take(b, withWallClockJump(now.Add(11*time.Second), by), 1), 35, 45)
	}
}

// All servers are slow, so that each of nine VMs tries to retry every request. The VMs together must stay within the limits in every
// window, also in windows that are not aligned with the steps of the budgets.
func TestAllSlow(t *testing.T) {
	const members, rate, seconds = 9, 10, 60
	rng := rand.New(rand.NewPCG(1, 1))
	var first, retries [seconds * 10]int
	budgets := make([]*retry.Budget, members)
	for i := range budgets {
		budgets[i] = retry.New(limits, time.Time{})
	}
	for step := range first {
		now := start.Add(time.Duration(step) * 100 * time.Millisecond)
		for _, b := range budgets {
			if rng.Float64() > rate/10.0*1.2 {
				continue
			}
			b.CountFirst(now, "books")
			first[step]++
			if b.Take(now, "books", 1/float64(members), false) {
				retries[step]++
			}
		}
	}
	for from := range len(first) - 100 {
		f, r := 0, 0
		for i := from; i < from+100; i++ {
			f += first[i]
			r += retries[i]
		}
		if float64(r) > limits.Ratio*float64(f)+limits.Slack {
			t.Fatalf("window from step %d: %d retries of %d requests", from, r, f)
		}
	}
}
