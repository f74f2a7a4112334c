package load

import (
	"context"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"kumquatreel.example/kumquatreel/internal/base/clock"
	"kumquatreel.example/kumquatreel/internal/base/fault"
	"kumquatreel.example/kumquatreel/internal/wire/client"
	"kumquatreel.example/kumquatreel/internal/wire/public"
)

const (
	minLatencyMicros  = 1
	maxLatencyMicros  = 60_000_000
	significantDigits = 3
	// MaxRequests is the largest number of requests that one run sends.
	MaxRequests = 2_000_000
)

// Result summarises a run. Latencies and coverage are those of the answered requests.
type Result struct {
	Sent     int                `json:"sent"`
	Answered int                `json:"answered"`
	Refused  map[fault.Code]int `json:"refused"`
	// RefusedMaybeRun counts the refused requests that a backend server may have run.
	RefusedMaybeRun int     `json:"refusedThoughMaybeRun"`
	P50Millis       float64 `json:"p50Millis"`
	P95Millis       float64 `json:"p95Millis"`
	P99Millis       float64 `json:"p99Millis"`
	MaxMillis       float64 `json:"maxMillis"`
	MeanCoverage    float64 `json:"meanCoverage"`
	MinCoverage     float64 `json:"leastCoverage"`
	// MissingShards counts the shards missing from answers, by reason.
	MissingShards  map[fault.Code]int `json:"missingShards"`
	FirstAttempts  int                `json:"firstAttempts"`
	SecondAttempts int                `json:"secondAttempts"`
}

// SecondAttemptRatio returns the number of second attempts (retries and hedges) divided by that of first attempts,
// and 0 without first attempts.
func (r Result) SecondAttemptRatio() float64 {
	if r.FirstAttempts == 0 {
		return 0
	}
	return float64(r.SecondAttempts) / float64(r.FirstAttempts)
}

// Recorder collects the outcomes of requests; it is safe for concurrent use.
type Recorder struct {
	mu          sync.Mutex
	hist        *hdrhistogram.Histogram
	result      Result
	coverageSum float64
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{
		hist:   hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits),
		result: Result{Refused: make(map[fault.Code]int), MissingShards: make(map[fault.Code]int), MinCoverage: 1},
	}
}

// Add records the outcome of one request and its latency. An error other than a *client.Error counts as refused
// with fault.CodeInternal.
func (r *Recorder) Add(latency time.Duration, answer *public.Answer, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Sent++
	var refused *client.Error
	switch {
	case err == nil:
		r.result.Answered++
		_ = r.hist.RecordValue(min(maxLatencyMicros, latency.Microseconds()))
		fraction := answer.Coverage.Fraction()
		r.coverageSum += fraction
		r.result.MinCoverage = min(r.result.MinCoverage, fraction)
		for _, m := range answer.Coverage.Missing {
			r.result.MissingShards[m.Reason]++
		}
		r.result.FirstAttempts += answer.Timing.FirstAttempts
		r.result.SecondAttempts += answer.Timing.SecondAttempts
	case errors.As(err, &refused):
		r.result.Refused[refused.Code()]++
		if !refused.NotRun() {
			r.result.RefusedMaybeRun++
		}
	default:
		r.result.Refused[fault.CodeInternal]++
	}
}

// Result returns the summary of all outcomes recorded so far.
func (r *Recorder) Result() Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.result
	millis := func(q float64) float64 { return float64(r.hist.ValueAtQuantile(q)) / 1000 }
	out.P50Millis, out.P95Millis, out.P99Millis = millis(50), millis(95), millis(99)
	out.MaxMillis = float64(r.hist.Max()) / 1000
	if out.Answered > 0 {
		out.MeanCoverage = r.coverageSum / float64(out.Answered)
	}
	return out
}

// Plan is the load to send: Query, at Rate requests per second, for Duration.
type Plan struct {
	Query    public.Query
	Rate     float64
	Duration time.Duration
}

// Run sends requests at even intervals, whether or not earlier ones have ended (an open-loop load), records their
// outcomes in r and waits for all of them. It stops sending when ctx ends or after MaxRequests.
func Run(ctx context.Context, c *client.Client, p Plan, r *Recorder) {
	n := min(MaxRequests, int(p.Rate*p.Duration.Seconds()))
	interval := time.Duration(float64(time.Second) / p.Rate)
	start := time.Now()
	var wg sync.WaitGroup
	for i := range n {
		if !clock.Sleep(ctx, time.Until(start.Add(time.Duration(i)*interval))) {
			break
		}
		wg.Go(func() {
			sent := time.Now()
			answer, err := c.Query(ctx, p.Query)
			r.Add(time.Since(sent), answer, err)
		})
	}
	wg.Wait()
}
