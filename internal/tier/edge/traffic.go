package edge

import (
	"maps"
	"math"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// minLatencyMicros and maxLatencyMicros bound the range of the latency histogram in microseconds. latencyDigits is
	// its precision in significant decimal digits.
	minLatencyMicros = 100
	maxLatencyMicros = int64(time.Minute / time.Microsecond)
	latencyDigits    = 2
)

// traffic counts the outcomes of requests since the last flush. The log drops lines about single requests when there are
// too many of them, but these counts include every request.
type traffic struct {
	mu          sync.Mutex
	latency     *hdrhistogram.Histogram
	answered    int
	inTime      int
	partial     int
	coverage    float64
	clientsGone int
	statuses    map[int]int
}

func newTraffic() *traffic {
	return &traffic{latency: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits), statuses: make(map[int]int)}
}

// recordAnswer counts a success. coverage is the fraction of the parts in the answer; target is the target latency, 0 if
// the route has none.
func (t *traffic) recordAnswer(took, target time.Duration, coverage float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answered++
	t.coverage += coverage
	if target <= 0 || took <= target {
		t.inTime++
	}
	if coverage < 1 {
		t.partial++
	}
	// The value is within the histogram's bounds, so RecordValue cannot fail.
	_ = t.latency.RecordValue(min(took.Microseconds(), maxLatencyMicros))
}

// recordRefusal counts an answer with an error status.
func (t *traffic) recordRefusal(status int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.statuses[status]++
}

// recordClientGone counts a request whose client disconnected before the answer.
func (t *traffic) recordClientGone() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.clientsGone++
}

// flush returns the counts as keys and values for the log and resets them. It returns nil if there were no requests.
func (t *traffic) flush() []any {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.answered+t.clientsGone+len(t.statuses) == 0 {
		return nil
	}
	fields := []any{"answered", t.answered, "inTime", t.inTime, "partial", t.partial, "left", t.clientsGone}
	if t.answered > 0 {
		fields = append(fields, "coverage", math.Round(1e4*t.coverage/float64(t.answered))/1e4,
			"p50Ms", micros(t.latency.ValueAtQuantile(50)), "p99Ms", micros(t.latency.ValueAtQuantile(99)))
	}
	for _, status := range slices.Sorted(maps.Keys(t.statuses)) {
		fields = append(fields, "status"+strconv.Itoa(status), t.statuses[status])
	}
	t.latency.Reset()
	t.answered, t.inTime, t.partial, t.coverage, t.clientsGone = 0, 0, 0, 0, 0
	clear(t.statuses)
	return fields
}

func micros(n int64) float64 { return ms(time.Duration(n) * time.Microsecond) }
