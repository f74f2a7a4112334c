package sched

import (
	"container/heap"
	"time"
)

// Queue holds the scheduled events; its zero value is empty and at time zero. It is not safe for concurrent use.
type Queue struct {
	now    time.Duration
	seq    int
	events eventHeap
}

// Now returns the virtual time since the start of the queue.
func (q *Queue) Now() time.Duration { return q.now }

// After schedules f to run d from now in virtual time; a negative d counts as 0. Events at the same time run in
// the order in which they were scheduled.
func (q *Queue) After(d time.Duration, f func()) {
	q.seq++
	heap.Push(&q.events, event{at: q.now + max(0, d), seq: q.seq, run: f})
}

// Run runs all events up to and including the virtual time until, then sets the time to it. It calls afterEach,
// unless nil, after every event.
func (q *Queue) Run(until time.Duration, afterEach func()) {
	for len(q.events) > 0 && q.events[0].at <= until {
		e := heap.Pop(&q.events).(event)
		q.now = max(q.now, e.at)
		e.run()
		if afterEach != nil {
			afterEach()
		}
	}
	q.now = max(q.now, until)
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

// eventHeap is a heap.Interface that orders events by time, then by seq, the order in which they were scheduled.
type eventHeap []event

// Len implements heap.Interface.
func (e eventHeap) Len() int { return len(e) }

// Less reports whether event i runs before event j.
func (e eventHeap) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].seq < e[j].seq
}

// Swap implements heap.Interface.
func (e eventHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push appends an event; use heap.Push to keep the order.
func (e *eventHeap) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes and returns the last event; use heap.Pop to get the earliest.
func (e *eventHeap) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}
