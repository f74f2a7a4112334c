package table_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/tier/table"
)

func sample() *table.Table {
	priority := 0
	return table.New(table.Config{
		Version: 7,
		Routes: []table.RouteConfig{
			{Name: "short", Host: "a.example", Prefix: "/x/", Service: "books", Priority: 3},
			{Name: "long", Host: "a.example", Prefix: "/x/y/", Shards: []ident.Service{"s1", "s2"}},
			{Name: "split", Host: "b.example", Prefix: "/", Split: []table.WeightedService{{"old", 3}, {"new", 1}}},
		},
		Teams: []table.TeamConfig{{Name: "tailors", Keys: []string{"k1", "k2"}, Priority: &priority}, {Name: "halls"}},
	})
}

func assertRoute(t *testing.T, host, path string, want ident.Route) {
	t.Helper()
	var got ident.Route
	if r := sample().Match(host, path); r != nil {
		got = r.Name()
	}
	if got != want {
		t.Errorf("%s%s matches %q, want %q", host, path, got, want)
	}
}

func TestMatch(t *testing.T) {
	t.Run("takes the longest prefix", func(t *testing.T) {
		assertRoute(t, "a.example", "/x/y/1", "long")
		assertRoute(t, "a.example", "/x/z", "short")
	})
	t.Run("keeps to the host", func(t *testing.T) {
		assertRoute(t, "b.example", "/x/z", "split")
		assertRoute(t, "c.example", "/x/z", "")
	})
	t.Run("takes a host in any case, but a path as it is", func(t *testing.T) {
		assertRoute(t, "A.Example", "/x/z", "short")
		assertRoute(t, "a.example", "/X/z", "")
	})
	t.Run("needs the whole prefix", func(t *testing.T) {
		assertRoute(t, "a.example", "/x", "")
	})
}

func TestChoose(t *testing.T) {
	r := sample().Match("b.example", "/")
	counts := make(map[ident.Service]int)
	for i := range 1000 {
		counts[r.Choose(float64(i)/1000)]++
	}
	if counts["old"] != 750 || counts["new"] != 250 {
		t.Errorf("requests per service are %v, want 750 and 250", counts)
	}
}

func TestHolder(t *testing.T) {
	tbl := sample()
	t.Run("knows each key of a team", func(t *testing.T) {
		for _, k := range []string{"k1", "k2"} {
			if h := tbl.TeamByKey(k); h == nil || h.Name() != "tailors" {
				t.Errorf("key %s belongs to %v, want tailors", k, h)
			}
		}
	})
	t.Run("knows no other", func(t *testing.T) {
		if h := tbl.TeamByKey(""); h != nil {
			t.Errorf("the empty key belongs to %s, want no team", h.Name())
		}
	})
	t.Run("puts the team's priority before the route's", func(t *testing.T) {
		r := tbl.Match("a.example", "/x/z")
		if got := tbl.TeamByKey("k1").Priority(r); got != 0 {
			t.Errorf("priority is %d, want 0", got)
		}
		if got := tbl.Team("halls").Priority(r); got != 3 {
			t.Errorf("priority is %d, want the route's 3", got)
		}
	})
}

func TestUrgent(t *testing.T) {
	if got := sample().HighestPriority(); got != 0 {
		t.Errorf("highest priority is %d, want 0", got)
	}
}

// assertUrgentTargets compares the urgent targets of all routes with those found by looking at each pair of routes.
func assertUrgentTargets(t *testing.T, routes []table.RouteConfig, priorities int) {
	t.Helper()
	tab := table.New(table.Config{Routes: routes})
	services := func(r table.RouteConfig) []ident.Service {
		out := append([]ident.Service{r.Service}, r.Shards...)
		for _, s := range r.Split {
			out = append(out, s.Service)
		}
		return out
	}
	for i, r := range routes {
		for p := range priorities + 1 {
			want := time.Duration(0)
			for j, o := range routes {
				shared := slices.ContainsFunc(services(o), func(s ident.Service) bool { return s != "" && slices.Contains(services(r), s) })
				if i != j && shared && o.Priority < p && o.TargetLatency > 0 && (want == 0 || o.TargetLatency < want) {
					want = o.TargetLatency
				}
			}
			if got := tab.Match(r.Host, r.Prefix).UrgentTarget(p); got != want {
				t.Fatalf("route %s, priority %d: target latency is %d, want %d; routes %+v", r.Name, p, got, want, routes)
			}
		}
	}
}

// Routes share services in any way: an index must find what a look at each pair of routes finds.
func TestUrgentTargets(t *testing.T) {
	const priorities = 4
	rng := rand.New(rand.NewPCG(1, 2))
	service := func() ident.Service { return ident.Service(rune('a' + rng.IntN(6))) }
	for range 300 {
		routes := make([]table.RouteConfig, 1+rng.IntN(8))
		for i := range routes {
			r := &routes[i]
			*r = table.RouteConfig{
				Name: ident.Route(rune('0' + i)), Host: "h", Prefix: fmt.Sprintf("/%d/", i), Priority: rng.IntN(priorities),
				TargetLatency: time.Duration(rng.IntN(5)),
			}
			switch rng.IntN(3) {
			case 0:
				r.Service = service()
			case 1:
				r.Shards = []ident.Service{service(), service(), service()}
			case 2:
				r.Split = []table.WeightedService{{Service: service(), Weight: 1}, {Service: service(), Weight: 2}}
			}
		}
		assertUrgentTargets(t, routes, priorities)
	}
}

func TestUrgentTarget(t *testing.T) {
	tab := table.New(table.Config{Routes: []table.RouteConfig{
		{Name: "sweep", Host: "h", Prefix: "/sweep/", Priority: 2, TargetLatency: 300, Shards: []ident.Service{"a", "b"}},
		{Name: "alarm", Host: "h", Prefix: "/alarm/", Priority: 0, TargetLatency: 80, Shards: []ident.Service{"b", "c"}},
		{Name: "check", Host: "h", Prefix: "/check/", Priority: 1, TargetLatency: 50, Service: "a"},
		{Name: "apart", Host: "h", Prefix: "/apart/", Priority: 0, TargetLatency: 5, Split: []table.WeightedService{{Service: "d", Weight: 1}}},
		{Name: "idle", Host: "h", Prefix: "/idle/", Priority: 0, Service: "a"},
	}})
	for _, c := range []struct {
		name     string
		priority int
		want     time.Duration
	}{
		{"of the more urgent routes at the same servers, the shortest", 2, 50},
		{"leaves out routes that are as urgent", 1, 80},
		{"is none for the most urgent", 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := tab.Match("h", "/sweep/").UrgentTarget(c.priority); got != c.want {
				t.Errorf("target latency is %d, want %d", got, c.want)
			}
		})
	}
}
