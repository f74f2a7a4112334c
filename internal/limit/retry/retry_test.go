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
	start = time.Unix(1000, 0)
	terms = retry.Limits{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}
)

func take(b *retry.Budget, now time.Time, members int) int {
	n := 0
	for range 1000 {
		if b.Take(now, "books", 1/float64(members)) {
			n++
		}
	}
	return n
}

func assertTaken(t *testing.T, got, least, most int) {
	t.Helper()
	if got < least || got > most {
		t.Errorf("%d repeats were allowed, want %d to %d", got, least, most)
	}
}

func TestTake(t *testing.T) {
	t.Run("gives a VM its part of the slack", func(t *testing.T) {
		assertTaken(t, take(retry.New(terms), start, 10), 3, 5)
	})
	t.Run("gives a share of the first requests", func(t *testing.T) {
		b := retry.New(terms)
		for range 500 {
			b.CountFirst(start, "books")
		}
		assertTaken(t, take(b, start, 1000), 70, 100)
	})
	t.Run("counts each service alone", func(t *testing.T) {
		b := retry.New(terms)
		for range 500 {
			b.CountFirst(start, "bikes")
		}
		assertTaken(t, take(b, start, 1000), 0, 0)
	})
	t.Run("begins again when the window has passed", func(t *testing.T) {
		b := retry.New(terms)
		take(b, start, 1)
		assertTaken(t, take(b, start.Add(5*time.Second), 1), 0, 0)
		assertTaken(t, take(b, start.Add(10*time.Second), 1), 35, 45)
	})
}

// Services come and go with each new set of shards.
func TestPrune(t *testing.T) {
	b := retry.New(terms)
	for i := range 100 {
		b.CountFirst(start.Add(time.Duration(i)*time.Second), ident.Service(strconv.Itoa(i)))
	}
	b.Prune(start.Add(100 * time.Second))
	if n := b.Len(); n < 9 || n > 12 {
		t.Errorf("%d services are kept, want those of the last ten seconds", n)
	}
}

// jumped returns an instant as a clock tells it whose time of day has jumped ahead; its steady reading is as it was.
func jumped(now time.Time, by time.Duration) time.Time {
	// The first word of a time with a steady reading holds the seconds of the time of day above 30 bits of nanoseconds.
	wall := (*uint64)(unsafe.Pointer(&now))
	*wall += uint64(by/time.Second) << 30
	return now
}

// The time of day jumps by more than the window while servers are slow.
func TestClockJump(t *testing.T) {
	for _, by := range []time.Duration{20 * time.Second, -20 * time.Second} {
		b, now := retry.New(terms), time.Now()
		take(b, now, 1)
		assertTaken(t, take(b, jumped(now.Add(time.Second), by), 1), 0, 0)
		assertTaken(t, take(b, jumped(now.Add(11*time.Second), by), 1), 35, 45)
	}
}

// Nine VMs meet servers that are all slow, and each wants to repeat every request: together they stay within the bound
// in every window.
func TestAllSlow(t *testing.T) {
	const members, rate, seconds = 9, 10, 60
	rng := rand.New(rand.NewPCG(1, 1))
	var first, repeats [seconds * 10]int
	budgets := make([]*retry.Budget, members)
	for i := range budgets {
		budgets[i] = retry.New(terms)
	}
	for step := range first {
		now := start.Add(time.Duration(step) * 100 * time.Millisecond)
		for _, b := range budgets {
			if rng.Float64() > rate/10.0*1.2 {
				continue
			}
			b.CountFirst(now, "books")
			first[step]++
			if b.Take(now, "books", 1/float64(members)) {
				repeats[step]++
			}
		}
	}
	for from := range len(first) - 100 {
		f, r := 0, 0
		for i := from; i < from+100; i++ {
			f += first[i]
			r += repeats[i]
		}
		if float64(r) > terms.Ratio*float64(f)+terms.Slack {
			t.Fatalf("from %d: %d repeats of %d requests", from, r, f)
		}
	}
}
