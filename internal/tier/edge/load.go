package edge

import (
	"math"
	"sync"
	"time"
)

const (
	// partCPUSeconds is the CPU time of one part in seconds, including the part's share of the CPU time of its
	// request (`kumquatlab measure cost`).
	partCPUSeconds = 100e-6
	// loadTimeConstant is the time constant of the exponential average of the load.
	loadTimeConstant = 3 * time.Second
)

// loadMeter estimates the CPU load of client requests from the number of parts sent. The zero value is ready to use.
type loadMeter struct {
	mu    sync.Mutex
	value float64
	at    time.Time
}

// add records that a number of parts was sent.
func (l *loadMeter) add(now time.Time, parts int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.decay(now)
	l.value += partCPUSeconds * float64(parts) / loadTimeConstant.Seconds()
}

// rate returns the average load in CPU cores, rounded to 0.0001.
func (l *loadMeter) rate(now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.decay(now)
	return math.Round(l.value*1e4) / 1e4
}

func (l *loadMeter) decay(now time.Time) {
	if !l.at.IsZero() {
		l.value *= math.Exp(-float64(now.Sub(l.at)) / float64(loadTimeConstant))
	}
	l.at = now
}

const (
	// healthTimeConstant is the time constant of the exponential decay of request counts.
	healthTimeConstant = time.Second
	// minAnsweredFraction is the fraction of requests that a healthy VM answers. The VM counts as healthy while
	// fewer than minHealthSamples requests are counted.
	minAnsweredFraction = 0.5
	minHealthSamples    = 4.0
)

// healthTracker tracks the fraction of requests that the VM answers. The zero value is ready to use and healthy.
type healthTracker struct {
	mu       sync.Mutex
	answered float64
	failed   float64
	at       time.Time
}

// observe counts a request that was answered by enough servers, or one that was not.
func (f *healthTracker) observe(now time.Time, answered bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.decay(now)
	if answered {
		f.answered++
	} else {
		f.failed++
	}
}

// unhealthy reports whether the VM fails most of its recent requests.
func (f *healthTracker) unhealthy(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.decay(now)
	total := f.answered + f.failed
	return total >= minHealthSamples && f.answered < minAnsweredFraction*total
}

func (f *healthTracker) decay(now time.Time) {
	if !f.at.IsZero() {
		factor := math.Exp(-float64(now.Sub(f.at)) / float64(healthTimeConstant))
		f.answered *= factor
		f.failed *= factor
	}
	f.at = now
}
