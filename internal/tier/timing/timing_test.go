package timing_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"kumquatreel.example/kumquatreel/internal/tier/timing"
)

func assertNear(t *testing.T, what string, got, want, slack time.Duration) {
	t.Helper()
	if got < want-slack || got > want+slack {
		t.Errorf("%s is %v, want %v give or take %v", what, got, want, slack)
	}
}

func TestObserve(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	var p timing.Estimator
	p.Init(50 * time.Millisecond)
	for range 4000 {
		p.Observe(time.Duration(rng.Float64() * float64(20*time.Millisecond)))
	}
	t.Run("finds the median", func(t *testing.T) {
		assertNear(t, "median", p.Median(), 10*time.Millisecond, 3*time.Millisecond)
	})
	t.Run("finds where parts are late", func(t *testing.T) {
		assertNear(t, "high", p.HighQuantile(), 18600*time.Microsecond, 2*time.Millisecond)
	})
}

// Every tenth answer is not waited for to its end, since its server is silent.
func TestLost(t *testing.T) {
	rng := rand.New(rand.NewPCG(2, 1))
	var p timing.Estimator
	p.Init(50 * time.Millisecond)
	for i := range 4000 {
		if i%10 == 0 {
			p.ObserveTimeout(150 * time.Millisecond)
			continue
		}
		p.Observe(time.Duration(rng.Float64() * float64(20*time.Millisecond)))
	}
	t.Run("leaves what counts as late", func(t *testing.T) {
		assertNear(t, "high", p.HighQuantile(), 18600*time.Microsecond, 2*time.Millisecond)
	})
	t.Run("moves the median a little", func(t *testing.T) {
		assertNear(t, "median", p.Median(), 11*time.Millisecond, 3*time.Millisecond)
	})
}

func TestSpent(t *testing.T) {
	t.Run("is what is missing from the longest time seen", func(t *testing.T) {
		var p timing.Estimator
		p.Elapsed(250 * time.Millisecond)
		assertNear(t, "spent", p.Elapsed(235*time.Millisecond), 15*time.Millisecond, time.Millisecond)
	})
	t.Run("is nothing for a small difference", func(t *testing.T) {
		var p timing.Estimator
		p.Elapsed(1500 * time.Millisecond)
		assertNear(t, "spent", p.Elapsed(1499*time.Millisecond), 0, 0)
	})
	t.Run("follows when callers begin with less", func(t *testing.T) {
		var p timing.Estimator
		p.Elapsed(400 * time.Millisecond)
		for range 12000 {
			p.Elapsed(200 * time.Millisecond)
		}
		assertNear(t, "spent", p.Elapsed(200*time.Millisecond), 0, 0)
	})
}
