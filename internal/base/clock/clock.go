package clock

import (
	"context"
	"sync"
	"time"
)

// Instant is a point in time, given as a lower and an upper bound of the time since the start of the process.
type Instant struct {
	lo, hi time.Duration
}

// At returns the instant d after the start of the process, with equal bounds.
func At(d time.Duration) Instant { return Instant{lo: d, hi: d} }

// Between returns the instant whose bounds are lo and hi after the start of the process; hi is raised to lo if it is lower.
func Between(lo, hi time.Duration) Instant { return Instant{lo: lo, hi: max(lo, hi)} }

// Add returns the instant d after t, with both bounds shifted.
func (t Instant) Add(d time.Duration) Instant { return Instant{lo: t.lo + d, hi: t.hi + d} }

// MinSince returns the minimum time elapsed since u, at least zero.
func (t Instant) MinSince(u Instant) time.Duration { return max(0, t.lo-u.lo) }

// MaxSince returns the maximum time that may have elapsed since u, at least zero.
func (t Instant) MaxSince(u Instant) time.Duration { return max(0, t.hi-u.hi) }

// Reached reports whether t has certainly reached u.
func (t Instant) Reached(u Instant) bool { return t.lo >= u.lo }

// Passed reports whether t may have reached u.
func (t Instant) Passed(u Instant) bool { return t.hi >= u.hi }

// Upper returns the upper bound, as the time since the start of the process.
func (t Instant) Upper() time.Duration { return t.hi }

// Later returns the later of two times.
func Later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Source returns the current instant. It is safe for concurrent use.
type Source interface {
	Now() Instant
}

// System is a Source that reads the clocks of the operating system; its zero value is ready to use.
type System struct {
	mu   sync.Mutex
	last time.Time
	now  Instant
}

// Now advances the lower bound by the smaller and the upper bound by the larger of the times that elapsed on the monotonic and the
// wall clock since the last call. Neither bound goes back.
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

// Sleep waits for d and reports whether it elapsed before ctx ended. If d is not above zero, it reports whether ctx is still active.
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
