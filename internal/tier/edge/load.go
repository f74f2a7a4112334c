package edge

import (
	"math"
	"sync"
	"time"
)

const (
	// partCost is the processor time of one part, with its share of the request, in seconds (`kumquatlab measure cost`).
	partCost = 100e-6
	// loadSpan is the time over which load is averaged.
	loadSpan = 3 * time.Second
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
	l.value += partCost * float64(parts) / loadSpan.Seconds()
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
		l.value *= math.Exp(-float64(now.Sub(l.at)) / float64(loadSpan))
	}
	l.at = now
}

const (
	// fitSpan is the time over which a VM judges itself by the requests that it answers.
	fitSpan = time.Second
	// fitLeast is the share of requests that a VM must answer to be fit, once it has seen unfitLeast of them.
	fitLeast   = 0.5
	unfitLeast = 4.0
)

// fitness tells whether a VM answers its requests; the zero value has seen none and is fit.
type fitness struct {
	mu       sync.Mutex
	answered float64
	failed   float64
	at       time.Time
}

// note counts a request that servers could answer or could not.
func (f *fitness) note(now time.Time, answered bool) {
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
func (f *fitness) unfit(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.decay(now)
	sum := f.answered + f.failed
	return sum >= unfitLeast && f.answered < fitLeast*sum
}

func (f *fitness) decay(now time.Time) {
	if !f.at.IsZero() {
		k := math.Exp(-float64(now.Sub(f.at)) / float64(fitSpan))
		f.answered *= k
		f.failed *= k
	}
	f.at = now
}
