package metric

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"kumquatreel.example/kumquatreel/internal/base/fault"
	"kumquatreel.example/kumquatreel/internal/base/ident"
)

// Set is the metrics of one VM.
type Set struct {
	registry         *prometheus.Registry
	latency          *prometheus.HistogramVec
	coverage         *prometheus.HistogramVec
	queue            *prometheus.HistogramVec
	refused          *prometheus.CounterVec
	attempts         *prometheus.CounterVec
	parts            *prometheus.CounterVec
	revision         prometheus.Gauge
	documentsRefused prometheus.Counter
	members          prometheus.Gauge
	sharesLost       prometheus.Counter
}

// New returns metrics that are registered in a registry of their own.
func New() *Set {
	s := &Set{
		registry: prometheus.NewRegistry(),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "kumquatreel_request_seconds", Help: "Time from arrival to answer.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 1.6, 22),
		}, []string{"team", "class"}),
		coverage: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "kumquatreel_coverage_fraction", Help: "Covered weight of an answer.",
			Buckets: []float64{0, 0.5, 0.8, 0.9, 0.95, 0.99, 0.999, 0.9999, 1},
		}, []string{"team", "class"}),
		queue: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "kumquatreel_owner_queue_seconds", Help: "Time a part waits at the owner.",
			Buckets: prometheus.ExponentialBuckets(0.0001, 2, 16),
		}, []string{"team"}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kumquatreel_refused_total", Help: "Requests without an answer.",
		}, []string{"team", "class", "code", "not_run"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kumquatreel_attempts_total", Help: "Attempts at parts, first and second.",
		}, []string{"order"}),
		parts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kumquatreel_owner_parts_total", Help: "Parts handled as owner, by how they ended.",
		}, []string{"outcome", "code"}),
		revision: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "kumquatreel_configuration_revision", Help: "Revision of the configuration in force.",
		}),
		documentsRefused: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "kumquatreel_documents_refused_total", Help: "Published documents that were refused.",
		}),
		members: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "kumquatreel_members", Help: "Processes in the view.",
		}),
		sharesLost: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "kumquatreel_claims_lost_total", Help: "Times the process lost its claims and started over.",
		}),
	}
	s.registry.MustRegister(s.latency, s.coverage, s.queue, s.refused, s.attempts, s.parts,
		s.revision, s.documentsRefused, s.members, s.sharesLost)
	return s
}

// WatchLostLogLines adds a metric of the lines that the log's writer has lost. It must be called only once.
func (s *Set) WatchLostLogLines(lost func() int64) {
	s.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "kumquatreel_log_lines_lost_total", Help: "Log lines that were lost since the reader of the log was away or slow.",
	}, func() float64 { return float64(lost()) }))
}

// Handler serves the metrics in the Prometheus text format.
func (s *Set) Handler() http.Handler {
	return promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{})
}

// Answered records an answered request: the time from its arrival and its covered fraction, from 0 to 1.
func (s *Set) Answered(team ident.Team, class string, d time.Duration, coverage float64) {
	s.latency.WithLabelValues(string(team), class).Observe(d.Seconds())
	s.coverage.WithLabelValues(string(team), class).Observe(coverage)
}

// Refused records a request that ended with a fault, and the time from its arrival.
func (s *Set) Refused(team ident.Team, class string, d time.Duration, e *fault.Error) {
	s.latency.WithLabelValues(string(team), class).Observe(d.Seconds())
	notRun := "no"
	if e.Outcome().NotRun() {
		notRun = "yes"
	}
	s.refused.WithLabelValues(string(team), class, e.Code().String(), notRun).Inc()
}

// Attempts adds the attempts of one request: first attempts at a part, and second ones (retries and hedges).
func (s *Set) Attempts(first, second int) {
	s.attempts.WithLabelValues("first").Add(float64(first))
	s.attempts.WithLabelValues("second").Add(float64(second))
}

// PartFinished records a part that ended at the owner, and the time it spent in the queue.
func (s *Set) PartFinished(team ident.Team, outcome fault.Outcome, code string, queued time.Duration) {
	s.parts.WithLabelValues(outcome.String(), code).Inc()
	s.queue.WithLabelValues(string(team)).Observe(queued.Seconds())
}

// SetRevision sets the revision of the configuration in force.
func (s *Set) SetRevision(n int64) { s.revision.Set(float64(n)) }

// DocumentRefused counts a published document that was refused.
func (s *Set) DocumentRefused() { s.documentsRefused.Inc() }

// SetMembers sets the number of processes in the membership view.
func (s *Set) SetMembers(n int) { s.members.Set(float64(n)) }

// SharesLost counts a loss of the process's shares, after which it continues under a new name.
func (s *Set) SharesLost() { s.sharesLost.Inc() }
