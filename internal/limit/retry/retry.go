package retry

import (
	"maps"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
)

const (
	// slots is the number of steps in which the window slides.
	slots = 20
	// keepRatio and keepSlack leave room for requests that straddle the windows in which others count.
	keepRatio = 0.85
	keepSlack = 0.8
)

// Limits are the bounds of repeats for one service over the whole fleet.
type Limits struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Budget counts the first and repeated requests of each service; it is driven under its owner's lock.
type Budget struct {
	terms Limits
	// began is the first instant seen; steps are counted from it, as the time of day may jump.
	began    time.Time
	services map[ident.Service]*ring
}

type ring struct {
	first   [slots]int
	repeats [slots]int
	at      int64
}

// New returns a budget without requests.
func New(terms Limits) *Budget { return &Budget{terms: terms, services: make(map[ident.Service]*ring)} }

// CountFirst counts a request that was sent for the first time.
func (b *Budget) CountFirst(now time.Time, s ident.Service) {
	r := b.ring(now, s)
	r.first[r.at%slots]++
}

// Take counts a repeat and reports whether the bounds allow it, for a VM with a part of the fixed number for the fleet.
func (b *Budget) Take(now time.Time, s ident.Service, part float64) bool {
	r := b.ring(now, s)
	first, repeats := 0, 0
	for i := range slots {
		first += r.first[i]
		repeats += r.repeats[i]
	}
	allowed := keepRatio*b.terms.Ratio*float64(first) + keepSlack*b.terms.Slack*part
	if float64(repeats+1) > allowed {
		return false
	}
	r.repeats[r.at%slots]++
	return true
}

// Len returns how many services have been counted lately.
func (b *Budget) Len() int { return len(b.services) }

// Counts returns the first and repeated requests of a service in the window.
func (b *Budget) Counts(now time.Time, s ident.Service) (first, repeats int) {
	r := b.ring(now, s)
	for i := range slots {
		first += r.first[i]
		repeats += r.repeats[i]
	}
	return first, repeats
}

// Prune forgets the services that have had no request within the window.
func (b *Budget) Prune(now time.Time) {
	at := b.step(now)
	maps.DeleteFunc(b.services, func(_ ident.Service, r *ring) bool { return at-r.at > slots })
}

// step returns the step of the window that an instant is in.
func (b *Budget) step(now time.Time) int64 {
	if b.began.IsZero() {
		b.began = now
	}
	return int64(now.Sub(b.began) / (b.terms.Window / slots))
}

// ring returns the counts of a service with the window moved up to now.
func (b *Budget) ring(now time.Time, s ident.Service) *ring {
	at := b.step(now)
	r := b.services[s]
	if r == nil {
		r = &ring{at: at}
		b.services[s] = r
	}
	for ; r.at < at; r.at++ {
		if at-r.at > slots {
			*r = ring{at: at}
			break
		}
		next := (r.at + 1) % slots
		r.first[next], r.repeats[next] = 0, 0
	}
	return r
}
