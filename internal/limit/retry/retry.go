package retry

import (
	"maps"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
)

const (
	// windowSteps is the number of buckets that the sliding window is divided into.
	windowSteps = 20
	// Only these fractions of Ratio and Slack are used, because an observer's window is not aligned with the steps counted here:
	// a request and its retry can fall into different windows.
	ratioFraction = 0.85
	slackFraction = 0.8
	// hedgeFraction is the fraction of the budget that hedges may use. The rest is kept for retries: a part that a server refused is
	// lost without a retry, while a late part may still be answered.
	hedgeFraction = 0.6
	// startFraction is the fraction of its slack that a VM may use within a window of its start: what the process before it used counts too.
	startFraction = 0.2
)

// Limits bound the retries and hedges of one service over the whole fleet: in each window, at most Ratio times the first attempts,
// plus Slack.
type Limits struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Budget counts the first attempts and the retries of each service. It is not safe for concurrent use.
type Budget struct {
	limits Limits
	// started is the start of the process, zero if none was before it.
	started time.Time
	// epoch is the first time seen. Steps are counted from it by the monotonic clock, since the wall clock may jump.
	epoch    time.Time
	services map[ident.Service]*ring
}

// ring holds the counts of one service by step; step is the latest one.
type ring struct {
	first   [windowSteps]int
	retries [windowSteps]int
	step    int64
}

// New returns a Budget with nothing counted, for a process that started at the given time. That is zero if no other was before it on its VM.
func New(limits Limits, started time.Time) *Budget {
	return &Budget{limits: limits, started: started, services: make(map[ident.Service]*ring)}
}

// CountFirst counts the first attempt of a request.
func (b *Budget) CountFirst(now time.Time, s ident.Service) {
	r := b.ring(now, s)
	r.first[r.step%windowSteps]++
}

// Take counts a retry or hedge and reports true if the budget allows it; otherwise it counts nothing and reports false. share is the
// VM's fraction of the fleet's Slack, from 0 to 1. hedge tells an attempt beside a late one from one after all others have ended.
func (b *Budget) Take(now time.Time, s ident.Service, share float64, hedge bool) bool {
	allowed, retries := b.usage(now, s, share)
	if hedge {
		allowed *= hedgeFraction
	}
	if float64(retries+1) > allowed {
		return false
	}
	r := b.ring(now, s)
	r.retries[r.step%windowSteps]++
	return true
}

// Remaining returns the fraction of the budget of a service that is not used, from 0 to 1. share is as for Take.
func (b *Budget) Remaining(now time.Time, s ident.Service, share float64) float64 {
	allowed, retries := b.usage(now, s, share)
	if allowed <= 0 {
		return 0
	}
	return max(0, 1-float64(retries)/allowed)
}

// usage returns how many retries the budget of a service allows in the window, and how many have been made.
func (b *Budget) usage(now time.Time, s ident.Service, share float64) (allowed float64, retries int) {
	first, retries := b.Counts(now, s)
	if now.Sub(b.started) < b.limits.Window {
		share *= startFraction
	}
	return ratioFraction*b.limits.Ratio*float64(first) + slackFraction*b.limits.Slack*share, retries
}

// Len returns the number of services with counts, including those that Prune would remove.
func (b *Budget) Len() int { return len(b.services) }

// Counts returns the first attempts and the retries of a service in the window.
func (b *Budget) Counts(now time.Time, s ident.Service) (first, retries int) {
	r := b.ring(now, s)
	for i := range windowSteps {
		first += r.first[i]
		retries += r.retries[i]
	}
	return first, retries
}

// Prune removes the services without requests within the window.
func (b *Budget) Prune(now time.Time) {
	step := b.step(now)
	maps.DeleteFunc(b.services, func(_ ident.Service, r *ring) bool { return step-r.step > windowSteps })
}

// step returns the number of whole steps from the epoch to now.
func (b *Budget) step(now time.Time) int64 {
	if b.epoch.IsZero() {
		b.epoch = now
	}
	return int64(now.Sub(b.epoch) / (b.limits.Window / windowSteps))
}

// ring returns the counts of a service after clearing the steps that have left the window.
func (b *Budget) ring(now time.Time, s ident.Service) *ring {
	step := b.step(now)
	r := b.services[s]
	if r == nil {
		r = &ring{step: step}
		b.services[s] = r
	}
	for ; r.step < step; r.step++ {
		if step-r.step > windowSteps {
			*r = ring{step: step}
			break
		}
		next := (r.step + 1) % windowSteps
		r.first[next], r.retries[next] = 0, 0
	}
	return r
}
