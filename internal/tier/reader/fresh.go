package reader

import (
	"time"

	"kumquatreel.example/kumquatreel/internal/base/clock"
)

// Freshness is what a VM knows of the age of its copy of the store. Create one with NewFreshness. It is not safe for concurrent use.
type Freshness struct {
	// own and others are the latest times as of which the copy is known to have held all that the store did: from the VM's own calls, and from
	// those of other VMs. own is zero if there was no such call.
	own, others time.Time
	// watchedAt is when another VM last said that it watches the store.
	watchedAt time.Time
	// behindAt is since when others are known to have changes that the copy lacks, zero if it lacks none.
	behindAt time.Time
}

// NewFreshness returns what is known at the start of the VM.
func NewFreshness(now time.Time) Freshness { return Freshness{others: now, watchedAt: now} }

// Read records that the store has answered the VM itself.
func (f *Freshness) Read(at time.Time) { f.own = clock.Later(f.own, at) }

// Hear records that another VM, which holds nothing that the copy lacks, has had an answer of the store as of a time.
func (f *Freshness) Hear(at time.Time) { f.others = clock.Later(f.others, at) }

// Observe records whether another VM says now that it watches the store, and whether one has changes that the copy lacks.
func (f *Freshness) Observe(now time.Time, watched, behind bool) {
	if watched {
		f.watchedAt = now
	}
	switch {
	case !behind:
		f.behindAt = time.Time{}
	case f.behindAt.IsZero():
		f.behindAt = now
	}
}

// Age returns the time since the copy was last known to hold all that the store does.
func (f *Freshness) Age(now time.Time) time.Duration { return now.Sub(clock.Later(f.own, f.others)) }

// ReadAge returns the time since the VM's own calls last confirmed the copy. It returns false if they never have.
func (f *Freshness) ReadAge(now time.Time) (time.Duration, bool) {
	return now.Sub(f.own), !f.own.IsZero()
}

// Unconfirmed returns the time since other VMs last confirmed the copy.
func (f *Freshness) Unconfirmed(now time.Time) time.Duration { return now.Sub(f.others) }

// Unwatched returns the time since another VM last said that it watches the store.
func (f *Freshness) Unwatched(now time.Time) time.Duration { return now.Sub(f.watchedAt) }

// Behind returns how long other VMs have had changes that the copy lacks, 0 if it lacks none.
func (f *Freshness) Behind(now time.Time) time.Duration {
	if f.behindAt.IsZero() {
		return 0
	}
	return now.Sub(f.behindAt)
}
