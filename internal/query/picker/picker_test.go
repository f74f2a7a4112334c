package picker_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/clock"
	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/query/picker"
)

// countFirst returns how often server a is asked first in 1000 draws.
func countFirst(p *picker.Picker, now clock.Instant) int {
	rng := rand.New(rand.NewPCG(1, 1))
	n := 0
	for range 1000 {
		replicas := []ident.Server{"a", "b"}
		p.Order(now, replicas, 2, rng)
		if replicas[0] == "a" {
			n++
		}
	}
	return n
}

func assertCount(t *testing.T, got, minCount, maxCount int) {
	t.Helper()
	if got < minCount || got > maxCount {
		t.Errorf("server a was asked first %d times of 1000, want %d to %d", got, minCount, maxCount)
	}
}

func TestShare(t *testing.T) {
	now := clock.At(time.Second)
	t.Run("is even while nothing is known", func(t *testing.T) {
		assertCount(t, countFirst(&picker.Picker{}, now), 450, 550)
	})
	slow := func() *picker.Picker {
		p := &picker.Picker{}
		for range 50 {
			p.Sent(now, "a")
			p.Answered(now, "a", 30*time.Millisecond)
			p.Sent(now, "b")
			p.Answered(now, "b", 10*time.Millisecond)
		}
		return p
	}
	t.Run("of a slow server is small but not none", func(t *testing.T) {
		assertCount(t, countFirst(slow(), now), 20, 200)
	})
	t.Run("of an idle server recovers", func(t *testing.T) {
		assertCount(t, countFirst(slow(), now.Add(time.Minute)), 350, 550)
	})
	t.Run("of a busy server shrinks", func(t *testing.T) {
		p := &picker.Picker{}
		for range 4 {
			p.Sent(now, "a")
		}
		assertCount(t, countFirst(p, now), 20, 200)
	})
	t.Run("is as before once what was sent has been dropped", func(t *testing.T) {
		p := &picker.Picker{}
		for range 4 {
			p.Sent(now, "a")
		}
		for range 4 {
			p.Cancelled(now, "a")
		}
		assertCount(t, countFirst(p, now), 450, 550)
	})
}
