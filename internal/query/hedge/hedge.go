package hedge

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxTokens bounds the second attempts that a Budget accumulates while few are taken.
	maxTokens         = 64
	minLatency        = int64(time.Microsecond)
	maxLatency        = int64(time.Minute)
	significantDigits = 2
	// windowSamples is the number of samples after which a new histogram is started; quantiles are read from the
	// previous one until the new one has minSamples.
	windowSamples = 2000
	// minSamples is the number of samples below which a histogram is not used.
	minSamples = 50
	// refreshSamples is the number of new samples after which a cached quantile is computed again.
	refreshSamples = 64
)

// Budget limits second attempts to a fraction of first ones. The zero value allows none. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	tokens float64
	first  int64
	second int64
}

// CountFirst counts n first attempts, each of which adds fraction to the allowed second attempts.
func (b *Budget) CountFirst(n int, fraction float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.first += int64(n)
	b.tokens = min(maxTokens, b.tokens+float64(n)*fraction)
}

// Take reports whether a second attempt is allowed and, if so, counts it.
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

// Counts returns the number of first and second attempts so far.
func (b *Budget) Counts() (first, second int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.first, b.second
}

// LatencyHistogram records the latencies of a service's parts over a sliding window. It is safe for concurrent use.
type LatencyHistogram struct {
	mu           sync.Mutex
	current      *hdrhistogram.Histogram
	previous     *hdrhistogram.Histogram
	quantile     float64
	cached       time.Duration
	sinceRefresh int
}

// NewLatencyHistogram returns an empty LatencyHistogram.
func NewLatencyHistogram() *LatencyHistogram {
	return &LatencyHistogram{
		current:  hdrhistogram.New(minLatency, maxLatency, significantDigits),
		previous: hdrhistogram.New(minLatency, maxLatency, significantDigits),
	}
}

// Record adds the latency of one part, clamped to the range from 1 µs to 1 min.
func (l *LatencyHistogram) Record(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.current.RecordValue(min(max(int64(d), minLatency), maxLatency))
	l.sinceRefresh++
	if l.current.TotalCount() >= windowSamples {
		l.previous, l.current = l.current, l.previous
		l.current.Reset()
	}
}

// Quantile returns the latency at quantile q, from 0 to 1, and false while too few latencies have been recorded.
func (l *LatencyHistogram) Quantile(q float64) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	seen := l.current.TotalCount() + l.previous.TotalCount()
	if seen < minSamples {
		return 0, false
	}
	if l.cached > 0 && l.quantile == q && l.sinceRefresh < refreshSamples {
		return l.cached, true
	}
	h := l.previous
	if l.current.TotalCount() >= minSamples {
		h = l.current
	}
	l.cached, l.quantile, l.sinceRefresh = time.Duration(h.ValueAtQuantile(100*q)), q, 0
	return l.cached, true
}
