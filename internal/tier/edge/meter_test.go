package edge

import (
	"net/http"
	"testing"
	"time"

	"kumquatreel.example/kumquatreel/internal/tier/table"
)

// BenchmarkMeter measures what counting one request costs.
func BenchmarkMeter(b *testing.B) {
	t := table.New(table.Text{Routes: []table.RouteText{{Name: "search", Host: "h", Prefix: "/", Aim: 100 * time.Millisecond}}})
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
