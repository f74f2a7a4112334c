package edge

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/base/sets"
	"kumquatreel.example/kumquatreel/internal/limit/hold"
	"kumquatreel.example/kumquatreel/internal/limit/pacer"
	"kumquatreel.example/kumquatreel/internal/tier/belief"
	"kumquatreel.example/kumquatreel/internal/wire/guard"
)

// seriesRetention is how long the metrics of a removed route are kept.
const seriesRetention = 5 * time.Minute

// meter holds the Prometheus metrics of the VM.
type meter struct {
	// routes holds the time at which each route was last in the configuration. Only the housekeeping goroutine uses it.
	routes map[ident.Route]time.Time

	registry    *prometheus.Registry
	latency     *prometheus.HistogramVec
	coverage    *prometheus.HistogramVec
	failed      *prometheus.CounterVec
	clientsGone *prometheus.CounterVec
	version     prometheus.Gauge
	members     prometheus.Gauge
	storeCalls  *prometheus.CounterVec
	// limitedServers is the number of servers that name a limit, limitedSends counts the requests to them.
	limitedServers prometheus.Gauge
	limitedSends   *prometheus.CounterVec
	// loadReports counts the load reports heard, loadAge holds the age of the freshest one of each server once a second.
	loadReports *prometheus.CounterVec
	loadAge     *prometheus.HistogramVec
	busiest     *prometheus.GaugeVec
	// closed counts the connections and requests of clients that were refused or closed, by cause.
	closed *prometheus.CounterVec
}

func newMeter() *meter {
	m := &meter{
		routes:   make(map[ident.Route]time.Time),
		registry: prometheus.NewRegistry(),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "kumquatreel_edge_request_seconds", Help: "Time from arrival to answer.",
			Buckets: prometheus.ExponentialBuckets(0.002, 1.6, 16),
		}, []string{"team", "route"}),
		coverage: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "kumquatreel_edge_coverage_fraction", Help: "Share of the shards in an answer.",
			Buckets: []float64{0.5, 0.8, 0.9, 0.95, 0.99, 0.9999, 1},
		}, []string{"route"}),
		failed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kumquatreel_edge_not_answered_total", Help: "Requests that did not succeed, by status.",
		}, []string{"team", "route", "status"}),
		clientsGone: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kumquatreel_edge_callers_left_total", Help: "Requests whose caller left before the answer.",
		}, []string{"route"}),
		version: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "kumquatreel_edge_configuration_version", Help: "Version of the configuration in force.",
		}),
		members: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "kumquatreel_edge_members", Help: "VMs that count as alive, this one included.",
		}),
		storeCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kumquatreel_edge_store_calls_total", Help: "Calls to the platform's store.",
		}, []string{"result"}),
		limitedServers: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "kumquatreel_edge_limited_servers", Help: "Servers that name a request limit.",
		}),
		limitedSends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kumquatreel_edge_limited_sends_total", Help: "Requests sent to servers that name a request limit.",
		}, []string{"use"}),
		loadReports: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kumquatreel_edge_load_reports_total", Help: "Reports of a server's load that were fresher than what was known, by source.",
		}, []string{"source"}),
		loadAge: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "kumquatreel_edge_load_age_seconds", Help: "Age of the freshest load of each server, sampled each second.",
			Buckets: []float64{0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5},
		}, []string{"source"}),
		busiest: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "kumquatreel_edge_busiest_over_mean", Help: "Load of the busiest server of a service over the mean one, as told in the last second.",
		}, []string{"service"}),
		closed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kumquatreel_edge_callers_refused_total", Help: "Connections and requests of callers that were closed or refused for room or their head.",
		}, []string{"cause"}),
	}
	m.registry.MustRegister(m.latency, m.coverage, m.failed, m.clientsGone, m.version, m.members, m.storeCalls,
		m.limitedServers, m.limitedSends, m.loadReports, m.loadAge, m.busiest, m.closed)
	return m
}

// watchHeldBytes adds a metric of the bytes of answers that are held.
func (m *meter) watchHeldBytes(held func() int64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "kumquatreel_edge_held_answer_bytes", Help: "Bytes of the servers' answers that are held.",
	}, func() float64 { return float64(held()) }))
}

// watchStoreAge adds a metric of the age of the copy of the store.
func (m *meter) watchStoreAge(age func() time.Duration) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "kumquatreel_edge_store_age_seconds", Help: "Time since the copy of the store was last known to be complete.",
	}, func() float64 { return age().Seconds() }))
}

// watchLostLogLines adds a metric of the lines that the log's writer has lost.
func (m *meter) watchLostLogLines(lost func() int64) {
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "kumquatreel_edge_log_lines_lost_total", Help: "Log lines that were lost since the reader of the log was away or slow.",
	}, func() float64 { return float64(lost()) }))
}

// watchHeld adds metrics of what callers make the VM hold, by stage.
func (m *meter) watchHeld(held func(hold.Stage) (int64, int)) {
	for _, s := range hold.StageValues() {
		labels := prometheus.Labels{"stage": s.String()}
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "kumquatreel_edge_held_caller_bytes", Help: "Bytes held for callers, by stage of their connection.", ConstLabels: labels,
		}, func() float64 {
			bytes, _ := held(s)
			return float64(bytes)
		}), prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "kumquatreel_edge_caller_connections", Help: "Connections of callers, by stage.", ConstLabels: labels,
		}, func() float64 {
			_, conns := held(s)
			return float64(conns)
		}))
	}
}

func (m *meter) connectionClosed(c guard.Cause) { m.closed.WithLabelValues(c.String()).Inc() }

func (m *meter) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

func (m *meter) answered(rq *request, took time.Duration, coverage float64) {
	m.latency.WithLabelValues(string(rq.team), string(rq.route.Name())).Observe(took.Seconds())
	m.coverage.WithLabelValues(string(rq.route.Name())).Observe(coverage)
}

func (m *meter) refused(rq *request, status int, took time.Duration) {
	route := ""
	if rq.route != nil {
		route = string(rq.route.Name())
		m.latency.WithLabelValues(string(rq.team), route).Observe(took.Seconds())
	}
	m.failed.WithLabelValues(string(rq.team), route, strconv.Itoa(status)).Inc()
}

func (m *meter) clientGone(rq *request) { m.clientsGone.WithLabelValues(string(rq.route.Name())).Inc() }

// limited records how many servers name a limit and the requests sent to them since the last call.
func (m *meter) limited(servers int, sent pacer.Counts) {
	m.limitedServers.Set(float64(servers))
	for use, n := range map[pacer.Use]int{pacer.UseFirst: sent.First, pacer.UseHedge: sent.Hedges, pacer.UseRetry: sent.Retries} {
		if n > 0 {
			m.limitedSends.WithLabelValues(use.String()).Add(float64(n))
		}
	}
}

// loads records what was heard of the load of servers since the last call.
func (m *meter) loads(l loads) {
	server, vm := belief.SourceServer.String(), belief.SourceOtherVM.String()
	m.loadReports.WithLabelValues(server).Add(float64(l.heard.Servers))
	m.loadReports.WithLabelValues(vm).Add(float64(l.heard.VMs))
	for source, ages := range map[string][]time.Duration{server: l.own, vm: l.others} {
		for _, age := range ages {
			m.loadAge.WithLabelValues(source).Observe(age.Seconds())
		}
	}
	m.busiest.Reset()
	for service, ratio := range l.busiest {
		m.busiest.WithLabelValues(string(service)).Set(ratio)
	}
}

// prune records the routes of the current configuration and deletes the metrics of routes that were removed more than
// seriesRetention ago.
func (m *meter) prune(now time.Time, routes sets.Set[ident.Route]) {
	for name := range routes {
		m.routes[name] = now
	}
	for name, last := range m.routes {
		if now.Sub(last) < seriesRetention {
			continue
		}
		delete(m.routes, name)
		labels := prometheus.Labels{"route": string(name)}
		m.latency.DeletePartialMatch(labels)
		m.coverage.DeletePartialMatch(labels)
		m.failed.DeletePartialMatch(labels)
		m.clientsGone.DeletePartialMatch(labels)
	}
}

func (m *meter) storeCall(err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	m.storeCalls.WithLabelValues(result).Inc()
}
