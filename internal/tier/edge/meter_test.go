package edge

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/tier/table"
)

// Configuration changes replace routes over months of uptime. State of removed routes must not accumulate.
func TestPrune(t *testing.T) {
	const changes = 100
	d, m := newTestDispatch(t), newMeter()
	now := start
	for i := range changes {
		now = start.Add(time.Duration(i) * time.Minute)
		d.table = table.New(table.Config{Routes: []table.RouteConfig{{Name: ident.Route(strconv.Itoa(i)), Host: "h", Prefix: "/"}}})
		rq := &request{team: "tailors", route: d.table.Match("h", "/")}
		d.partLatency(rq.route)
		m.answered(rq, time.Millisecond, 1)
		m.refused(rq, http.StatusServiceUnavailable, time.Millisecond)
		m.clientGone(rq)
		m.prune(now, d.prune(now))
	}
	limit := int(seriesRetention/time.Minute) + 1
	t.Run("keeps the metrics of routes that have been in force lately", func(t *testing.T) {
		for _, n := range []int{
			testutil.CollectAndCount(m.latency), testutil.CollectAndCount(m.coverage), testutil.CollectAndCount(m.failed),
			testutil.CollectAndCount(m.clientsGone),
		} {
			if n < 2 || n > limit {
				t.Errorf("%d series kept for %d routes, want at most %d", n, changes, limit)
			}
		}
	})
	t.Run("keeps the estimates of routes in force", func(t *testing.T) {
		if n := len(d.latencies); n != 1 {
			t.Errorf("%d latency estimates kept, want one", n)
		}
	})
	t.Run("forgets nothing while no configuration is known", func(t *testing.T) {
		d.table = nil
		m.prune(now, d.prune(now))
		if n := testutil.CollectAndCount(m.latency); n < 2 {
			t.Errorf("%d series kept", n)
		}
	})
}

// BenchmarkMeter measures the cost of recording one request.
func BenchmarkMeter(b *testing.B) {
	t := table.New(table.Config{Routes: []table.RouteConfig{{Name: "search", Host: "h", Prefix: "/", TargetLatency: 100 * time.Millisecond}}})
	e := &Edge{metrics: newMeter(), traffic: newTraffic()}
	rq := &request{team: "tailors", route: t.Match("h", "/")}
	b.Run("answered", func(b *testing.B) {
		for b.Loop() {
			e.countAnswer(rq, 20*time.Millisecond, 1)
		}
	})
	b.Run("refused", func(b *testing.B) {
		for b.Loop() {
			e.countRefusal(rq, http.StatusTooManyRequests, time.Millisecond)
		}
	})
}
