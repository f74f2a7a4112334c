package edge

import (
	"math"
	"sync"
	"time"
)

const (
	// partCost is the processor time of one part, with its share of the request, in seconds (`kumquatlab measure cost`).
	partCPUSeconds = 100e-6
	// loadSpan is the time over which load is averaged.
	loadTimeConstant = 3 * time.Second
)

// loadMeter tells how much of a core a VM spends on callers; the zero value has seen nothing.
type loadMeter struct {
	mu    sync.Mutex
	value float64
	at    time.Time
}

// add counts parts that are sent.
func (l *loadMeter) add(now time.Time, parts int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.decay(now)
	l.value += partCPUSeconds * float64(parts) / loadTimeConstant.Seconds()
}

// rate returns the load in cores.
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
	// fitSpan is the time over which a VM judges itself by the requests that it answers.
	healthTimeConstant = time.Second
	// fitLeast is the share of requests that a VM must answer to be fit, once it has seen unfitLeast of them.
	minAnsweredFraction = 0.5
	minHealthSamples    = 4.0
)

// fitness tells whether a VM answers its requests; the zero value has seen none and is fit.
type healthTracker struct {
	mu       sync.Mutex
	answered float64
	failed   float64
	at       time.Time
}

// note counts a request that servers could answer or could not.
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

// unfit reports whether the VM fails most requests.
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
