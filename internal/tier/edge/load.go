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
