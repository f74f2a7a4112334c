package sched

import (
	"container/heap"
	"time"
)

// Queue holds what is still to happen; its zero value is empty and stands at time zero.
type Queue struct {
	now    time.Duration
	serial int
	events events
}

// Now returns the virtual time.
func (q *Queue) Now() time.Duration { return q.now }

// After does something once a span of virtual time has passed.
func (q *Queue) After(d time.Duration, do func()) {
	q.serial++
	heap.Push(&q.events, event{at: q.now + max(0, d), serial: q.serial, do: do})
}

// Run carries on until a time and calls after, if there is one, behind every event.
func (q *Queue) Run(until time.Duration, after func()) {
	for len(q.events) > 0 && q.events[0].at <= until {
		e := heap.Pop(&q.events).(event)
		q.now = max(q.now, e.at)
		e.do()
		if after != nil {
			after()
		}
	}
	q.now = max(q.now, until)
}

type event struct {
	at     time.Duration
	serial int
	do     func()
}

// events is a heap by time and then by order of making.
type events []event

// Len returns the number of events.
func (e events) Len() int { return len(e) }

// Less reports whether event i comes before event j.
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].serial < e[j].serial
}

// Swap exchanges two events.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push adds an event.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes the last event.
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}
