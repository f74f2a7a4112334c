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
	// latencyLeast and latencyMost bound the latencies told apart, in microseconds; latencyDigits is their precision.
	minLatencyMicros = 100
	maxLatencyMicros = int64(time.Minute / time.Microsecond)
	latencyDigits    = 2
)

// traffic counts what became of the requests since it was last told, so that a log holds all of them even where it
// leaves out lines about single ones.
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

// answer counts a success with a share of the parts; aim is 0 where none is set.
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
	// The bounds of the histogram hold every span that a request may take.
	_ = t.latency.RecordValue(min(took.Microseconds(), maxLatencyMicros))
}

// refuse counts an answer that is no success.
func (t *traffic) recordRefusal(status int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.statuses[status]++
}

// leave counts a caller that has gone.
func (t *traffic) recordClientGone() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.clientsGone++
}

// take returns the counts as names and values for the log and starts anew; there are none when nothing has come.
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
