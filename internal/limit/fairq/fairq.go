package fairq

import (
	"slices"

	"kumquatreel.example/kumquatreel/internal/base/ident"
)

// Queue holds items of several teams; the zero value is empty and ready to use.
type Queue[T any] struct {
	teams   map[ident.Team]*line[T]
	virtual float64
	n       int
}

type line[T any] struct {
	items  []T
	finish float64
	weight float64
	start  float64
}

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int { return q.n }

// LenOf returns the number of waiting items of a team.
func (q *Queue[T]) LenOf(team ident.Team) int {
	if l := q.teams[team]; l != nil {
		return len(l.items)
	}
	return 0
}

// Push adds an item of a team, whose weight is its share when teams compete.
func (q *Queue[T]) Push(team ident.Team, weight float64, item T) {
	if q.teams == nil {
		q.teams = make(map[ident.Team]*line[T])
	}
	l := q.teams[team]
	if l == nil {
		l = &line[T]{}
		q.teams[team] = l
	}
	l.weight = max(weight, 1e-6)
	if len(l.items) == 0 {
		l.start = max(q.virtual, l.finish)
	}
	l.items = append(l.items, item)
	q.n++
}

// Pop removes the item whose turn it is and reports whether there was one.
func (q *Queue[T]) Pop() (T, bool) {
	var zero T
	team, ok := q.next()
	if !ok {
		return zero, false
	}
	l := q.teams[team]
	item := l.items[0]
	l.items[0] = zero
	l.items = l.items[1:]
	q.virtual = l.start
	l.finish = l.start + 1/l.weight
	l.start = l.finish
	q.n--
	q.trim()
	return item, true
}

// Longest returns the team with most waiting items for its weight.
func (q *Queue[T]) Longest() (ident.Team, bool) {
	var best ident.Team
	most := 0.0
	for team, l := range q.teams {
		n := float64(len(l.items)) / l.weight
		if n > most || n == most && n > 0 && team < best {
			best, most = team, n
		}
	}
	return best, most > 0
}

// DropLast removes the newest item of a team and reports whether there was one.
func (q *Queue[T]) DropLast(team ident.Team) (T, bool) {
	var zero T
	l := q.teams[team]
	if l == nil || len(l.items) == 0 {
		return zero, false
	}
	last := len(l.items) - 1
	item := l.items[last]
	l.items[last] = zero
	l.items = l.items[:last]
	q.n--
	return item, true
}

// Remove takes out every item for which drop reports true and returns them.
func (q *Queue[T]) Remove(drop func(T) bool) []T {
	var out []T
	for _, team := range q.names() {
		l := q.teams[team]
		kept := l.items[:0]
		for _, item := range l.items {
			if drop(item) {
				out = append(out, item)
				continue
			}
			kept = append(kept, item)
		}
		clear(l.items[len(kept):])
		l.items = kept
	}
	q.n -= len(out)
	return out
}

func (q *Queue[T]) next() (ident.Team, bool) {
	var best ident.Team
	found := false
	for team, l := range q.teams {
		if len(l.items) == 0 {
			continue
		}
		b := q.teams[best]
		if !found || l.start < b.start || l.start == b.start && team < best {
			best, found = team, true
		}
	}
	return best, found
}

// trim forgets idle teams whose turn lies in the past.
func (q *Queue[T]) trim() {
	for team, l := range q.teams {
		if len(l.items) == 0 && l.finish <= q.virtual {
			delete(q.teams, team)
		}
	}
}

func (q *Queue[T]) names() []ident.Team {
	out := make([]ident.Team, 0, len(q.teams))
	for team := range q.teams {
		out = append(out, team)
	}
	return sorted(out)
}

func sorted(teams []ident.Team) []ident.Team {
	slices.Sort(teams)
	return teams
}
