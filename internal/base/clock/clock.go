package clock

import (
	"context"
	"sync"
	"time"
)

// Instant is a point in time since the start of the process, known between two bounds.
type Instant struct {
	lo, hi time.Duration
}

// At returns the instant d after the start whose bounds agree.
func At(d time.Duration) Instant { return Instant{lo: d, hi: d} }

// Between returns the instant whose bounds are lo and hi after the start.
func Between(lo, hi time.Duration) Instant { return Instant{lo: lo, hi: max(lo, hi)} }

// Add returns the instant d later.
func (t Instant) Add(d time.Duration) Instant { return Instant{lo: t.lo + d, hi: t.hi + d} }

// MinSince returns the time that has certainly passed since u.
func (t Instant) MinSince(u Instant) time.Duration { return max(0, t.lo-u.lo) }

// MaxSince returns the longest time that may have passed since u.
func (t Instant) MaxSince(u Instant) time.Duration { return max(0, t.hi-u.hi) }

// Reached reports whether t has certainly reached u.
func (t Instant) Reached(u Instant) bool { return t.lo >= u.lo }

// Passed reports whether t may have gone past u.
func (t Instant) Passed(u Instant) bool { return t.hi >= u.hi }

// Upper returns the upper bound as a duration since the start.
func (t Instant) Upper() time.Duration { return t.hi }

// Source tells the current instant and may be used by several goroutines at once.
type Source interface {
	Now() Instant
}

// System reads the machine's clocks; its zero value is ready to use.
type System struct {
	mu   sync.Mutex
	last time.Time
	now  Instant
}

// Now advances both bounds by what the monotonic and the wall clock say has passed.
func (s *System) Now() Instant {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := time.Now()
	if s.last.IsZero() {
		s.last = t
	}
	mono := t.Sub(s.last)
	wall := t.Round(0).Sub(s.last.Round(0))
	s.last = t
	s.now.lo += max(0, min(mono, wall))
	s.now.hi += max(0, mono, wall)
	return s.now
}

// Sleep waits for a span and reports whether it passed before ctx ended.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
