package hedge

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxSaved     = 64
	lowest       = int64(time.Microsecond)
	highest      = int64(time.Minute)
	digits       = 2
	windowParts  = 2000
	leastParts   = 50
	refreshParts = 64
)

// Budget bounds second attempts to a fraction of first ones; the zero value allows none.
type Budget struct {
	mu     sync.Mutex
	tokens float64
	first  int64
	second int64
}

// CountFirst counts n first attempts, each of which pays a fraction of a second one.
func (b *Budget) CountFirst(n int, fraction float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.first += int64(n)
	b.tokens = min(maxSaved, b.tokens+float64(n)*fraction)
}

// Take spends one second attempt and reports whether the budget had it.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	b.second++
	return true
}

// Counts returns the first and second attempts so far.
func (b *Budget) Counts() (first, second int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.first, b.second
}

// LatencyHistogram learns the latency of a service's parts over a sliding window.
type LatencyHistogram struct {
	mu       sync.Mutex
	now      *hdrhistogram.Histogram
	before   *hdrhistogram.Histogram
	quantile float64
	cached   time.Duration
	since    int
}

// NewLatencyHistogram returns a Latency that has seen nothing.
func NewLatencyHistogram() *LatencyHistogram {
	return &LatencyHistogram{now: hdrhistogram.New(lowest, highest, digits), before: hdrhistogram.New(lowest, highest, digits)}
}

// Record adds the latency of one part.
func (l *LatencyHistogram) Record(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.now.RecordValue(min(max(int64(d), lowest), highest))
	l.since++
	if l.now.TotalCount() >= windowParts {
		l.before, l.now = l.now, l.before
		l.now.Reset()
	}
}

// Quantile returns the latency at a quantile, and false while too few parts have been seen.
func (l *LatencyHistogram) Quantile(q float64) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	seen := l.now.TotalCount() + l.before.TotalCount()
	if seen < leastParts {
		return 0, false
	}
	if l.cached > 0 && l.quantile == q && l.since < refreshParts {
		return l.cached, true
	}
	h := l.before
	if l.now.TotalCount() >= leastParts {
		h = l.now
	}
	l.cached, l.quantile, l.since = time.Duration(h.ValueAtQuantile(100*q)), q, 0
	return l.cached, true
}
