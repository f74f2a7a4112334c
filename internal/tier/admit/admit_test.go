package admit_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"kumquatreel.example/kumquatreel/internal/tier/admit"
)

func assertBetween(t *testing.T, what string, got, minWant, maxWant time.Duration) {
	t.Helper()
	if got < minWant || got > maxWant {
		t.Errorf("%s is %v, want %v to %v", what, got, minWant, maxWant)
	}
}

// All VMs have started together: a client with a short budget must still have time for its answer, and one with a long budget must not
// be held for seconds.
func TestStartupWait(t *testing.T) {
	for _, remaining := range []time.Duration{40 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond, 8 * time.Second} {
		assertBetween(t, "wait of "+remaining.String(), admit.StartupWait(remaining), 0, min(remaining/3, time.Second))
	}
	assertBetween(t, "wait without a stated time", admit.StartupWait(0), 50*time.Millisecond, time.Second)
}

// 50 clients are refused in the same instant: they must come back spread over time, each within a third or so of what it has left.
func TestRetryAfter(t *testing.T) {
	const clients, remaining = 50, 800 * time.Millisecond
	rng := rand.New(rand.NewPCG(1, 1))
	perSlice := make(map[time.Duration]int)
	for range clients {
		d := admit.RetryAfter(remaining, rng.Float64())
		assertBetween(t, "delay", d, admit.MinRetryAfter, remaining*2/5)
		perSlice[d/(20*time.Millisecond)]++
	}
	for slice, n := range perSlice {
		if n > clients/4 {
			t.Errorf("%d of %d clients return within 20 ms of %v", n, clients, slice*20*time.Millisecond)
		}
	}
	assertBetween(t, "delay of a client without time", admit.RetryAfter(0, 0.5), admit.MinRetryAfter, admit.MinRetryAfter)
	assertBetween(t, "delay of a patient client", admit.RetryAfter(time.Minute, 0.5), admit.MinRetryAfter, 2*time.Second)
}

// All servers of a shard turn requests away until a known time: no client may be told to return before it, nor all at once.
func TestRetryAfterRest(t *testing.T) {
	const rest, remaining = 200 * time.Millisecond, 800 * time.Millisecond
	rng := rand.New(rand.NewPCG(1, 1))
	first, last := remaining, time.Duration(0)
	for range 50 {
		d := admit.RetryAfterRest(rest, remaining, rng.Float64())
		first, last = min(first, d), max(last, d)
	}
	assertBetween(t, "first return", first, rest, rest+50*time.Millisecond)
	assertBetween(t, "last return", last, rest+50*time.Millisecond, remaining/2)
	assertBetween(t, "return of a client without time", admit.RetryAfterRest(rest, 0, 0.5), rest, rest)
}

func TestReopens(t *testing.T) {
	at := func(seconds int64) time.Time { return time.Unix(seconds, 0) }
	ends := []time.Time{at(3), at(1), at(2)}
	for need, want := range map[int]time.Time{1: {}, 2: {}, 3: at(1), 4: at(2), 5: at(3), 6: {}} {
		if got := admit.Reopens(ends, 5, need); !got.Equal(want) {
			t.Errorf("%d of 5 services, 3 of them without a server, have one at %v, want %v", need, got, want)
		}
	}
}

// A VM stops: what it takes on must be likely to end in time, and most likely if it may run only once.
func TestMayStart(t *testing.T) {
	const late = 100 * time.Millisecond
	for _, c := range []struct {
		left, budget time.Duration
		repeatable   bool
		want         bool
	}{
		{3 * time.Second, 8 * time.Second, false, true},
		{600 * time.Millisecond, 8 * time.Second, false, false},
		{600 * time.Millisecond, 8 * time.Second, true, true},
		{100 * time.Millisecond, 8 * time.Second, true, false},
		{300 * time.Millisecond, 200 * time.Millisecond, false, true},
		{-time.Second, 8 * time.Second, true, false},
		{-time.Second, 0, true, false},
	} {
		if got := admit.MayStart(c.left, c.budget, late, c.repeatable); got != c.want {
			t.Errorf("%+v: got %v", c, got)
		}
	}
}
