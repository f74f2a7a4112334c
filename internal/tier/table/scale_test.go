package table_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/tier/table"
)

// sizes are the numbers of routes that are measured, up to what a value in the store holds.
var sizes = []int{350, 700, 1400, 2800, 4900}

// shapes are the ways in which a large configuration spreads n routes over services.
var shapes = map[string]func(r *table.RouteConfig, i, n int){
	"one service":      func(r *table.RouteConfig, _, _ int) { r.Service = "s" },
	"priorities":       func(r *table.RouteConfig, i, _ int) { r.Service, r.Priority = "s", i },
	"a service a pair": func(r *table.RouteConfig, i, _ int) { r.Service = ident.Service(fmt.Sprintf("s%d", i/2)) },
	"one split of all": func(r *table.RouteConfig, i, n int) {
		r.Service = ident.Service(fmt.Sprintf("s%d", i))
		for s := 0; i == 0 && s < n; s++ {
			r.Split = append(r.Split, table.WeightedService{Service: ident.Service(fmt.Sprintf("s%d", s)), Weight: 1})
		}
	},
}

func configOf(n int, shape func(r *table.RouteConfig, i, n int)) table.Config {
	c := table.Config{Version: 1}
	for i := range n {
		r := table.RouteConfig{
			Name: ident.Route(fmt.Sprintf("r%d", i)), Host: "h", Prefix: fmt.Sprintf("/r%d/", i), TargetLatency: time.Duration(1+i%250) * time.Millisecond, Priority: i % 3,
		}
		shape(&r, i, n)
		c.Routes = append(c.Routes, r)
	}
	return c
}

func allocated(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// A configuration grows by many routes to the same services: a table whose memory grows with the square of its routes ends every VM.
func TestTableMemory(t *testing.T) {
	// maxGrowth allows slices and maps to double beyond what they hold.
	const small, factor, maxGrowth = 700, 7, 2 * 7
	for name, shape := range shapes {
		t.Run(name, func(t *testing.T) {
			few, many := configOf(small, shape), configOf(factor*small, shape)
			base := allocated(func() { table.New(few) })
			if got := allocated(func() { table.New(many) }); got > maxGrowth*base {
				t.Errorf("%d routes take %d bytes, %d times those of %d routes, want at most %d times", factor*small, got, got/base, small, maxGrowth)
			}
		})
	}
}

func BenchmarkNew(b *testing.B) {
	for name, shape := range shapes {
		for _, n := range sizes {
			c := configOf(n, shape)
			b.Run(fmt.Sprintf("%s/%d", name, n), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					table.New(c)
				}
			})
		}
	}
}
