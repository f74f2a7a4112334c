package table

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
)

// urgency holds the shortest target latencies of the routes to one service. It takes memory by the number of these routes, not of their pairs.
type urgency struct {
	// levels holds the distinct priorities in ascending order, so the most urgent first.
	levels []urgencyLevel
}

// urgencyLevel holds the two routes with the shortest target latencies among those with a priority of at most this one. The second stands in where the
// first is the route that asks.
type urgencyLevel struct {
	priority      int
	first, second *Route
}

// indexUrgency returns the urgency of each service.
func indexUrgency(routes []*Route) map[ident.Service]*urgency {
	byService := make(map[ident.Service][]*Route)
	for _, r := range routes {
		if r.TargetLatency() <= 0 {
			continue
		}
		for s := range r.services() {
			if known := byService[s]; len(known) == 0 || known[len(known)-1] != r {
				byService[s] = append(known, r)
			}
		}
	}
	out := make(map[ident.Service]*urgency, len(byService))
	for s, known := range byService {
		out[s] = newUrgency(known)
	}
	return out
}

// newUrgency returns the urgency of a service, given the routes to it, each once. It reorders them.
func newUrgency(routes []*Route) *urgency {
	slices.SortStableFunc(routes, func(x, y *Route) int { return cmp.Compare(x.Priority(), y.Priority()) })
	u := &urgency{}
	var l urgencyLevel
	for i, r := range routes {
		l.priority = r.Priority()
		switch {
		case l.first == nil || r.TargetLatency() < l.first.TargetLatency():
			l.first, l.second = r, l.first
		case l.second == nil || r.TargetLatency() < l.second.TargetLatency():
			l.second = r
		}
		if i+1 == len(routes) || routes[i+1].Priority() != l.priority {
			u.levels = append(u.levels, l)
		}
	}
	return u
}

// target returns the shortest target latency of the routes other than r that are more urgent than a priority, or 0 if there is none.
func (u *urgency) target(r *Route, priority int) time.Duration {
	if u == nil {
		return 0
	}
	n, _ := slices.BinarySearchFunc(u.levels, priority, func(l urgencyLevel, p int) int { return cmp.Compare(l.priority, p) })
	if n == 0 {
		return 0
	}
	other := u.levels[n-1].first
	if other == r {
		other = u.levels[n-1].second
	}
	if other == nil {
		return 0
	}
	return other.TargetLatency()
}

// services returns all services that a request of the route may go to.
func (r *Route) services() iter.Seq[ident.Service] {
	return func(yield func(ident.Service) bool) {
		for _, s := range r.config.Shards {
			if !yield(s) {
				return
			}
		}
		if r.config.Service != "" && !yield(r.config.Service) {
			return
		}
		for _, s := range r.config.Split {
			if !yield(s.Service) {
				return
			}
		}
	}
}

// UrgentTarget returns the shortest target latency of the routes that share servers with this one and are more urgent than a priority, or 0 if
// there is none.
func (r *Route) UrgentTarget(priority int) time.Duration {
	shortest := time.Duration(0)
	for s := range r.services() {
		if target := r.urgency[s].target(r, priority); target > 0 && (shortest == 0 || target < shortest) {
			shortest = target
		}
	}
	return shortest
}
