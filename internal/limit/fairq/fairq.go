package fairq

import (
	"slices"

	"kumquatreel.example/kumquatreel/internal/base/ident"
)

// Queue is a weighted fair queue of items by team; the zero value is empty and ready to use. It is not safe for concurrent use.
type Queue[T any] struct {
	teams       map[ident.Team]*flow[T]
	virtualTime float64
	length      int
}

// flow is the FIFO of one team. startTag is the virtual time at which its first item is due, finishTag the one at which the item
// served last was complete.
type flow[T any] struct {
	items     []T
	finishTag float64
	weight    float64
	startTag  float64
}

// Len returns the number of queued items.
func (q *Queue[T]) Len() int { return q.length }

// LenOf returns the number of queued items of a team.
func (q *Queue[T]) LenOf(team ident.Team) int {
	if f := q.teams[team]; f != nil {
		return len(f.items)
	}
	return 0
}

// Push appends an item to a team's flow. While several teams have items queued, they are served in proportion to their weights;
// weight applies to all queued items of the team and is at least 1e-6.
func (q *Queue[T]) Push(team ident.Team, weight float64, item T) {
	if q.teams == nil {
		q.teams = make(map[ident.Team]*flow[T])
	}
	f := q.teams[team]
	if f == nil {
		f = &flow[T]{}
		q.teams[team] = f
	}
	f.weight = max(weight, 1e-6)
	if len(f.items) == 0 {
		f.startTag = max(q.virtualTime, f.finishTag)
	}
	f.items = append(f.items, item)
	q.length++
}

// Pop removes and returns the next item in fair order; it returns false if the queue is empty.
func (q *Queue[T]) Pop() (T, bool) {
	var zero T
	team, ok := q.next()
	if !ok {
		return zero, false
	}
	f := q.teams[team]
	item := f.items[0]
	f.items[0] = zero
	f.items = f.items[1:]
	q.virtualTime = f.startTag
	f.finishTag = f.startTag + 1/f.weight
	f.startTag = f.finishTag
	q.length--
	q.pruneIdle()
	return item, true
}

// Longest returns the team with the most queued items per unit of weight; it returns false if the queue is empty.
func (q *Queue[T]) Longest() (ident.Team, bool) {
	var best ident.Team
	maxBacklog := 0.0
	for team, f := range q.teams {
		backlog := float64(len(f.items)) / f.weight
		if backlog > maxBacklog || backlog == maxBacklog && backlog > 0 && team < best {
			best, maxBacklog = team, backlog
		}
	}
	return best, maxBacklog > 0
}

// DropLast removes and returns the newest item of a team; it returns false if the team has none.
func (q *Queue[T]) DropLast(team ident.Team) (T, bool) {
	var zero T
	f := q.teams[team]
	if f == nil || len(f.items) == 0 {
		return zero, false
	}
	last := len(f.items) - 1
	item := f.items[last]
	f.items[last] = zero
	f.items = f.items[:last]
	q.length--
	return item, true
}

// Remove removes every item for which drop reports true and returns them, ordered by team and then by age.
func (q *Queue[T]) Remove(drop func(T) bool) []T {
	var out []T
	for _, team := range q.teamNames() {
		f := q.teams[team]
		kept := f.items[:0]
		for _, item := range f.items {
			if drop(item) {
				out = append(out, item)
				continue
			}
			kept = append(kept, item)
		}
		clear(f.items[len(kept):])
		f.items = kept
	}
	q.length -= len(out)
	return out
}

// next returns the non-empty flow with the lowest start tag; ties are broken by team name.
func (q *Queue[T]) next() (ident.Team, bool) {
	var best ident.Team
	found := false
	for team, f := range q.teams {
		if len(f.items) == 0 {
			continue
		}
		b := q.teams[best]
		if !found || f.startTag < b.startTag || f.startTag == b.startTag && team < best {
			best, found = team, true
		}
	}
	return best, found
}

// pruneIdle removes empty flows whose finish tag the virtual time has reached: a new flow would start at the same virtual time.
func (q *Queue[T]) pruneIdle() {
	for team, f := range q.teams {
		if len(f.items) == 0 && f.finishTag <= q.virtualTime {
			delete(q.teams, team)
		}
	}
}

func (q *Queue[T]) teamNames() []ident.Team {
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
