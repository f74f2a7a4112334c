package chart

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatreel.example/kumquatreel/internal/tier/events"
)

// Messages and fields of the log that are drawn.
const (
	msgTraffic  = "traffic"
	msgVersion  = "configuration in force"
	statusField = "status"
)

// spanMost is the longest run that is drawn; a line with a wrong time must not make a page without end.
const spanMost = 24 * time.Hour

// Run is what the logs of a fleet tell of a run; its times are whole seconds from the first line.
type Run struct {
	start    time.Time
	seconds  []second
	statuses []string
	versions map[string][]version
}

// second sums up what all VMs told in one second.
type second struct {
	answered, inTime, partial, left float64
	// coverage and median are sums weighted by answers, slowest is the largest 99th percentile of any VM.
	coverage, median, slowest float64
	refused                   map[string]float64
}

// version is a configuration that a VM has taken.
type version struct {
	at     int
	number float64
}

// Collect sums up the lines of a run by second and returns an error when none tells of requests or configurations.
func Collect(lines []events.Line) (*Run, error) {
	r := &Run{versions: make(map[string][]version)}
	var first, last time.Time
	for _, l := range lines {
		at, ok := l.Time()
		if !ok || l.Message() != msgTraffic && l.Message() != msgVersion {
			continue
		}
		if first.IsZero() || at.Before(first) {
			first = at
		}
		if at.After(last) {
			last = at
		}
	}
	if first.IsZero() {
		return nil, errors.Newf("no line %q or %q with a time in %d lines", msgTraffic, msgVersion, len(lines))
	}
	if last.Sub(first) > spanMost {
		return nil, errors.Newf("the lines span %v, from %v to %v; at most %v are drawn", last.Sub(first), first, last, spanMost)
	}
	r.start = first.Truncate(time.Second)
	r.seconds = make([]second, 1+int(last.Sub(r.start)/time.Second))
	statuses := make(map[string]bool)
	for _, l := range lines {
		r.add(l, statuses)
	}
	r.statuses = slices.Sorted(maps.Keys(statuses))
	for _, v := range r.versions {
		slices.SortStableFunc(v, func(a, b version) int { return a.at - b.at })
	}
	return r, nil
}

// Start returns the second that times count from.
func (r *Run) Start() time.Time { return r.start }

// Seconds returns how many seconds the run has.
func (r *Run) Seconds() int { return len(r.seconds) }

func (r *Run) add(l events.Line, statuses map[string]bool) {
	at, ok := l.Time()
	if !ok {
		return
	}
	n := int(at.Sub(r.start) / time.Second)
	switch l.Message() {
	case msgVersion:
		if number, ok := l.Number("version"); ok {
			r.versions[l.Source()] = append(r.versions[l.Source()], version{n, number})
		}
	case msgTraffic:
		s := &r.seconds[n]
		s.add(l)
		for _, name := range l.FieldNames() {
			if status, ok := strings.CutPrefix(name, statusField); ok {
				count, _ := l.Number(name)
				s.refuse(status, count)
				statuses[status] = true
			}
		}
	}
}

func (s *second) add(l events.Line) {
	number := func(name string) float64 {
		n, _ := l.Number(name)
		return n
	}
	answered := number("answered")
	s.answered += answered
	s.inTime += number("inTime")
	s.partial += number("partial")
	s.left += number("left")
	s.coverage += answered * number("coverage")
	s.median += answered * number("p50Ms")
	s.slowest = max(s.slowest, number("p99Ms"))
}

func (s *second) refuse(status string, count float64) {
	if s.refused == nil {
		s.refused = make(map[string]float64)
	}
	s.refused[status] += count
}

// mean returns a sum over answers by answer, and false when there was none.
func (s *second) mean(sum float64) (float64, bool) {
	if s.answered == 0 {
		return 0, false
	}
	return sum / s.answered, true
}
