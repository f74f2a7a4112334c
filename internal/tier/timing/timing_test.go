package timing_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"kumquatreel.example/kumquatreel/internal/tier/timing"
)

func assertNear(t *testing.T, what string, got, want, tolerance time.Duration) {
	t.Helper()
	if got < want-tolerance || got > want+tolerance {
		t.Errorf("%s is %v, want %v +/- %v", what, got, want, tolerance)
	}
}

func TestObserve(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	var e timing.Estimator
	e.Init(50 * time.Millisecond)
	for range 4000 {
		e.Observe(time.Duration(rng.Float64() * float64(20*time.Millisecond)))
	}
	t.Run("finds the median", func(t *testing.T) {
		assertNear(t, "median", e.Median(), 10*time.Millisecond, 3*time.Millisecond)
	})
	t.Run("finds where parts are late", func(t *testing.T) {
		assertNear(t, "high", e.HighQuantile(), 18600*time.Microsecond, 2*time.Millisecond)
	})
}

// Guards against a high quantile that rises when a tenth of the requests time out because their server does not respond.
func TestLost(t *testing.T) {
	rng := rand.New(rand.NewPCG(2, 1))
	var e timing.Estimator
	e.Init(50 * time.Millisecond)
	for i := range 4000 {
		if i%10 == 0 {
			e.ObserveTimeout(150 * time.Millisecond)
			continue
		}
		e.Observe(time.Duration(rng.Float64() * float64(20*time.Millisecond)))
	}
	t.Run("leaves what counts as late", func(t *testing.T) {
		assertNear(t, "high", e.HighQuantile(), 18600*time.Microsecond, 2*time.Millisecond)
	})
	t.Run("moves the median a little", func(t *testing.T) {
		assertNear(t, "median", e.Median(), 11*time.Millisecond, 3*time.Millisecond)
	})
}

func TestSpent(t *testing.T) {
	t.Run("is what is missing from the longest time seen", func(t *testing.T) {
		var e timing.Estimator
		e.Elapsed(250 * time.Millisecond)
		assertNear(t, "spent", e.Elapsed(235*time.Millisecond), 15*time.Millisecond, time.Millisecond)
	})
	t.Run("is nothing for a small difference", func(t *testing.T) {
		var e timing.Estimator
		e.Elapsed(1500 * time.Millisecond)
		assertNear(t, "spent", e.Elapsed(1499*time.Millisecond), 0, 0)
	})
	t.Run("follows when callers begin with less", func(t *testing.T) {
		var e timing.Estimator
		e.Elapsed(400 * time.Millisecond)
		for range 12000 {
			e.Elapsed(200 * time.Millisecond)
		}
		assertNear(t, "spent", e.Elapsed(200*time.Millisecond), 0, 0)
	})
}
