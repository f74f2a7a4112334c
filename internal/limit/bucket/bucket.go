package bucket

import (
	"maps"
	"slices"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/clock"
	"kumquatreel.example/kumquatreel/internal/base/ident"
)

// Bucket is a token bucket; the zero value is empty and accrues nothing.
type Bucket struct {
	rate  float64
	cap   float64
	level float64
	last  clock.Instant
}

// SetLimits changes the rate in tokens per second and the capacity in tokens, keeping at most the new capacity.
func (b *Bucket) SetLimits(now clock.Instant, rate, capacity float64) {
	b.accrue(now)
	b.rate = rate
	b.cap = capacity
	b.level = min(b.level, b.cap)
}

// Level returns the tokens there are.
func (b *Bucket) Level(now clock.Instant) float64 {
	b.accrue(now)
	return b.level
}

// Drain takes all tokens out and stops accrual until from.
func (b *Bucket) Drain(now, from clock.Instant) float64 {
	b.accrue(now)
	level := b.level
	b.level = 0
	b.last = from
	return level
}

// Add puts tokens in, up to the capacity.
func (b *Bucket) Add(now clock.Instant, n float64) {
	b.accrue(now)
	b.level = min(b.cap, b.level+n)
}

// Take removes n tokens and reports whether they were there.
func (b *Bucket) Take(now clock.Instant, n float64) bool {
	b.accrue(now)
	if b.level < n {
		return false
	}
	b.level -= n
	return true
}

func (b *Bucket) accrue(now clock.Instant) {
	b.level = min(b.cap, b.level+b.rate*now.MinSince(b.last).Seconds())
	if now.Reached(b.last) {
		b.last = now
	}
}

// Pool is a set of buckets of one team, named by the VM that each part belongs to.
type Pool struct {
	parts map[ident.VM]*part
}

type part struct {
	bucket Bucket
	asked  clock.Instant
	lasts  time.Duration
	serial int64
}

// Lease is what comes with a lent part.
type Lease struct {
	Rate        float64
	Burst       float64
	Level       float64
	Serial      int64
	RequestedAt clock.Instant
	Duration    time.Duration
}

// Put adds or renews the part of a VM.
func (p *Pool) Put(now clock.Instant, from ident.VM, loan Lease) {
	if p.parts == nil {
		p.parts = make(map[ident.VM]*part)
	}
	q := p.parts[from]
	if q == nil || now.MaxSince(q.asked) >= q.lasts {
		q = &part{}
		q.bucket.last = now
		p.parts[from] = q
	}
	q.asked, q.lasts, q.serial = loan.RequestedAt, loan.Duration, loan.Serial
	q.bucket.SetLimits(now, loan.Rate, loan.Burst)
	q.bucket.Add(now, loan.Level)
}

// Take removes n tokens from the parts together, including own, and reports whether they were there.
func (p *Pool) Take(now clock.Instant, n float64, own *Bucket) bool {
	usable := p.usable(now, own)
	sum := 0.0
	for _, b := range usable {
		sum += b.Level(now)
	}
	if sum < n {
		return false
	}
	for _, b := range usable {
		share := n * b.level / sum
		b.level = max(0, b.level-share)
	}
	return true
}

// Level returns the tokens that all parts hold, including own.
func (p *Pool) Level(now clock.Instant, own *Bucket) float64 {
	sum := 0.0
	for _, b := range p.usable(now, own) {
		sum += b.Level(now)
	}
	return sum
}

// Leases returns how many lent parts can be used.
func (p *Pool) Leases(now clock.Instant) int { return len(p.usable(now, nil)) }

// Release drops the usable part of a VM and returns its serial number and the tokens left.
func (p *Pool) Release(now clock.Instant, from ident.VM) (serial int64, level float64, ok bool) {
	q := p.parts[from]
	if q == nil || now.MaxSince(q.asked) >= q.lasts {
		return 0, 0, false
	}
	delete(p.parts, from)
	return q.serial, q.bucket.Level(now), true
}

// Lessors returns the VMs whose parts are held.
func (p *Pool) Lessors() []ident.VM { return slices.Sorted(maps.Keys(p.parts)) }

// Clear drops all lent parts.
func (p *Pool) Clear() { p.parts = nil }

func (p *Pool) usable(now clock.Instant, own *Bucket) []*Bucket {
	out := make([]*Bucket, 0, len(p.parts)+1)
	if own != nil {
		out = append(out, own)
	}
	for from, q := range p.parts {
		if now.MaxSince(q.asked) >= q.lasts {
			delete(p.parts, from)
			continue
		}
		out = append(out, &q.bucket)
	}
	return out
}

// RenewalDue reports whether the part of a VM should be asked for again.
func (p *Pool) RenewalDue(now clock.Instant, from ident.VM) bool {
	q := p.parts[from]
	return q == nil || now.MaxSince(q.asked) >= q.lasts/2
}
