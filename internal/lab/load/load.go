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
	lowestMicros  = 1
	highestMicros = 60_000_000
	digits        = 3
	// MaxRequests bounds one run.
	MaxRequests = 2_000_000
)

// Result sums up a run.
type Result struct {
	Sent            int                `json:"sent"`
	Answered        int                `json:"answered"`
	Refused         map[fault.Code]int `json:"refused"`
	RefusedMaybeRun int                `json:"refusedThoughMaybeRun"`
	P50Millis       float64            `json:"p50Millis"`
	P95Millis       float64            `json:"p95Millis"`
	P99Millis       float64            `json:"p99Millis"`
	MaxMillis       float64            `json:"maxMillis"`
	MeanCoverage    float64            `json:"meanCoverage"`
	MinCoverage     float64            `json:"leastCoverage"`
	MissingShards   map[fault.Code]int `json:"missingShards"`
	FirstAttempts   int                `json:"firstAttempts"`
	SecondAttempts  int                `json:"secondAttempts"`
}

// SecondAttemptRatio returns the second attempts as a share of the first.
func (r Result) SecondAttemptRatio() float64 {
	if r.FirstAttempts == 0 {
		return 0
	}
	return float64(r.SecondAttempts) / float64(r.FirstAttempts)
}

// Recorder collects results; it may be used by several goroutines at once.
type Recorder struct {
	mu     sync.Mutex
	hist   *hdrhistogram.Histogram
	result Result
	cover  float64
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{
		hist:   hdrhistogram.New(lowestMicros, highestMicros, digits),
		result: Result{Refused: make(map[fault.Code]int), MissingShards: make(map[fault.Code]int), MinCoverage: 1},
	}
}

// Add records how one request ended after a time.
func (r *Recorder) Add(took time.Duration, answer *public.Answer, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Sent++
	var refused *client.Error
	switch {
	case err == nil:
		r.result.Answered++
		_ = r.hist.RecordValue(min(highestMicros, took.Microseconds()))
		f := answer.Coverage.Fraction()
		r.cover += f
		r.result.MinCoverage = min(r.result.MinCoverage, f)
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

// Result returns the sums so far.
func (r *Recorder) Result() Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.result
	millis := func(q float64) float64 { return float64(r.hist.ValueAtQuantile(q)) / 1000 }
	out.P50Millis, out.P95Millis, out.P99Millis = millis(50), millis(95), millis(99)
	out.MaxMillis = float64(r.hist.Max()) / 1000
	if out.Answered > 0 {
		out.MeanCoverage = r.cover / float64(out.Answered)
	}
	return out
}

// Plan says what to send.
type Plan struct {
	Query    public.Query
	Rate     float64
	Duration time.Duration
}

// Run sends requests at even intervals, whether or not earlier ones have ended, and waits for all of them.
func Run(ctx context.Context, c *client.Client, p Plan, r *Recorder) {
	n := min(MaxRequests, int(p.Rate*p.Duration.Seconds()))
	gap := time.Duration(float64(time.Second) / p.Rate)
	begun := time.Now()
	var wait sync.WaitGroup
	for i := range n {
		if !clock.Sleep(ctx, time.Until(begun.Add(time.Duration(i)*gap))) {
			break
		}
		wait.Go(func() {
			at := time.Now()
			answer, err := c.Query(ctx, p.Query)
			r.Add(time.Since(at), answer, err)
		})
	}
	wait.Wait()
}
