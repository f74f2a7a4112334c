package bucket

import (
	"maps"
	"slices"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/clock"
	"kumquatreel.example/kumquatreel/internal/base/ident"
)

// Bucket is a token bucket; the zero value is empty and accrues nothing. It is not safe for concurrent use.
type Bucket struct {
	rate        float64
	cap         float64
	level       float64
	lastAccrual clock.Instant
}

// SetLimits sets the rate in tokens per second and the capacity in tokens. Tokens beyond the new capacity are discarded.
func (b *Bucket) SetLimits(now clock.Instant, rate, capacity float64) {
	b.accrue(now)
	b.rate = rate
	b.cap = capacity
	b.level = min(b.level, b.cap)
}

// Level returns the number of available tokens.
func (b *Bucket) Level(now clock.Instant) float64 {
	b.accrue(now)
	return b.level
}

// Drain removes all tokens and returns how many there were. No tokens accrue until from.
func (b *Bucket) Drain(now, from clock.Instant) float64 {
	b.accrue(now)
	level := b.level
	b.level = 0
	b.lastAccrual = from
	return level
}

// Add adds n tokens, up to the capacity.
func (b *Bucket) Add(now clock.Instant, n float64) {
	b.accrue(now)
	b.level = min(b.cap, b.level+n)
}

// Take removes n tokens and reports true, or leaves the bucket unchanged and reports false if it has fewer.
func (b *Bucket) Take(now clock.Instant, n float64) bool {
	b.accrue(now)
	if b.level < n {
		return false
	}
	b.level -= n
	return true
}

// accrue adds the tokens for the time that has certainly passed since the last accrual.
func (b *Bucket) accrue(now clock.Instant) {
	b.level = min(b.cap, b.level+b.rate*now.MinSince(b.lastAccrual).Seconds())
	if now.Reached(b.lastAccrual) {
		b.lastAccrual = now
	}
}

// Pool is the set of buckets leased for one team, keyed by lessor. It is not safe for concurrent use.
type Pool struct {
	leases map[ident.VM]*leasedBucket
}

type leasedBucket struct {
	bucket      Bucket
	requestedAt clock.Instant
	duration    time.Duration
	serial      int64
}

// Lease describes a leased bucket: its rate in tokens per second, its capacity and current level in tokens, and the serial number
// and duration of the lease.
type Lease struct {
	Rate        float64
	Burst       float64
	Level       float64
	Serial      int64
	RequestedAt clock.Instant
	// Duration is counted from RequestedAt.
	Duration time.Duration
}

// Put adds the lease of a VM's bucket. If that VM's lease has not expired, Put renews it and adds the new tokens to those left.
func (p *Pool) Put(now clock.Instant, lessor ident.VM, lease Lease) {
	if p.leases == nil {
		p.leases = make(map[ident.VM]*leasedBucket)
	}
	l := p.leases[lessor]
	if l == nil || now.MaxSince(l.requestedAt) >= l.duration {
		l = &leasedBucket{}
		l.bucket.lastAccrual = now
		p.leases[lessor] = l
	}
	l.requestedAt, l.duration, l.serial = lease.RequestedAt, lease.Duration, lease.Serial
	l.bucket.SetLimits(now, lease.Rate, lease.Burst)
	l.bucket.Add(now, lease.Level)
}

// Take removes n tokens from the usable buckets together, each in proportion to its level, and reports true. If they have fewer
// tokens in total, it removes none and reports false. own, if not nil, counts as one of the buckets.
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

// Level returns the total tokens of the usable buckets, with own as one of them if it is not nil.
func (p *Pool) Level(now clock.Instant, own *Bucket) float64 {
	sum := 0.0
	for _, b := range p.usable(now, own) {
		sum += b.Level(now)
	}
	return sum
}

// Leases returns the number of unexpired leases.
func (p *Pool) Leases(now clock.Instant) int { return len(p.usable(now, nil)) }

// Release drops the lease of a VM and returns its serial number and the remaining tokens; ok is false if there was no unexpired lease.
func (p *Pool) Release(now clock.Instant, lessor ident.VM) (serial int64, level float64, ok bool) {
	l := p.leases[lessor]
	if l == nil || now.MaxSince(l.requestedAt) >= l.duration {
		return 0, 0, false
	}
	delete(p.leases, lessor)
	return l.serial, l.bucket.Level(now), true
}

// Lessors returns the VMs whose leases are recorded, sorted by name, including those of expired leases that have not been removed yet.
func (p *Pool) Lessors() []ident.VM { return slices.Sorted(maps.Keys(p.leases)) }

// Clear drops all leases.
func (p *Pool) Clear() { p.leases = nil }

// usable removes expired leases and returns the buckets of the others, preceded by own if it is not nil.
func (p *Pool) usable(now clock.Instant, own *Bucket) []*Bucket {
	out := make([]*Bucket, 0, len(p.leases)+1)
	if own != nil {
		out = append(out, own)
	}
	for lessor, l := range p.leases {
		if now.MaxSince(l.requestedAt) >= l.duration {
			delete(p.leases, lessor)
			continue
		}
		out = append(out, &l.bucket)
	}
	return out
}

// RenewalDue reports whether a VM's bucket should be requested: there is no lease, or at least half of its duration has passed.
func (p *Pool) RenewalDue(now clock.Instant, lessor ident.VM) bool {
	l := p.leases[lessor]
	return l == nil || now.MaxSince(l.requestedAt) >= l.duration/2
}
