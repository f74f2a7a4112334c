package bucket_test

import (
	"math"
	"testing"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/clock"
	"kumquatreel.example/kumquatreel/internal/limit/bucket"
)

func at(d time.Duration) clock.Instant { return clock.At(d) }

func assertLevel(t *testing.T, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 1e-9 {
		t.Errorf("the level is %v, want %v", got, want)
	}
}

func TestBucket(t *testing.T) {
	t.Run("starts empty and fills to its capacity", func(t *testing.T) {
		var b bucket.Bucket
		b.SetLimits(at(time.Second), 10, 5)
		assertLevel(t, b.Level(at(time.Second)), 0)
		assertLevel(t, b.Level(at(1200*time.Millisecond)), 2)
		assertLevel(t, b.Level(at(time.Minute)), 5)
	})
	t.Run("accrues by the lower clock", func(t *testing.T) {
		var b bucket.Bucket
		b.SetLimits(at(0), 10, 5)
		assertLevel(t, b.Level(clock.Between(100*time.Millisecond, time.Hour)), 1)
	})
	t.Run("accrues nothing while it is lent", func(t *testing.T) {
		var b bucket.Bucket
		b.SetLimits(at(0), 10, 5)
		assertLevel(t, b.Drain(at(time.Second), at(3*time.Second)), 5)
		assertLevel(t, b.Level(at(3*time.Second)), 0)
		assertLevel(t, b.Level(at(3100*time.Millisecond)), 1)
	})
}

func TestPool(t *testing.T) {
	lease := bucket.Lease{Rate: 10, Burst: 5, Level: 2, Serial: 7, RequestedAt: at(0), Duration: 2 * time.Second}
	t.Run("spends all parts together", func(t *testing.T) {
		var p bucket.Pool
		p.Put(at(0), "a", lease)
		p.Put(at(0), "b", lease)
		if !p.Take(at(0), 4, nil) || p.Take(at(0), 0.1, nil) {
			t.Error("the pool did not admit exactly the tokens of its buckets")
		}
	})
	t.Run("drops a part at its end by the upper clock", func(t *testing.T) {
		var p bucket.Pool
		p.Put(at(0), "a", lease)
		if p.Take(clock.Between(time.Millisecond, 2*time.Second), 1, nil) {
			t.Error("tokens of an expired lease were spent")
		}
	})
	t.Run("gives a part up with its tokens", func(t *testing.T) {
		var p bucket.Pool
		p.Put(at(0), "a", lease)
		serial, level, ok := p.Release(at(100*time.Millisecond), "a")
		if !ok || serial != 7 {
			t.Errorf("released serial %d, %v", serial, ok)
		}
		assertLevel(t, level, 3)
		assertLevel(t, p.Level(at(100*time.Millisecond), nil), 0)
	})
}
