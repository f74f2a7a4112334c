package chart

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatreel.example/kumquatreel/internal/tier/events"
)

// Log messages that are drawn, and the prefix of the fields that count answers by status.
const (
	msgTraffic       = "traffic"
	msgConfiguration = "configuration in force"
	statusField      = "status"
)

// maxSpan is the longest run that is drawn. It bounds the size of the page if a log line has a wrong time.
const maxSpan = 24 * time.Hour

// Run is the summary of a run from the logs of a fleet. Its times are whole seconds since the first log line.
type Run struct {
	start     time.Time
	seconds   []secondStats
	statuses  []string
	adoptions map[string][]adoption
}

// secondStats adds up what all VMs logged in one second.
type secondStats struct {
	answered, inTime, partial, disconnected float64
	// coverageSum and medianSum (ms) are sums weighted by answers; maxP99 (ms) is the largest 99th percentile
	// of any VM.
	coverageSum, medianSum, maxP99 float64
	refused                        map[string]float64
}

// adoption records the second in which a VM adopted a version of the configuration.
type adoption struct {
	second  int
	version float64
}

// Collect adds up the log lines of a run by second. It returns an error if no line reports requests or a configuration,
// or if the lines span more than 24 hours.
func Collect(lines []events.Line) (*Run, error) {
	r := &Run{adoptions: make(map[string][]adoption)}
	var first, last time.Time
	for _, l := range lines {
		at, ok := l.Time()
		if !ok || l.Message() != msgTraffic && l.Message() != msgConfiguration {
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
		return nil, errors.Newf("no message %q or %q with a time in %d log lines", msgTraffic, msgConfiguration, len(lines))
	}
	if last.Sub(first) > maxSpan {
		return nil, errors.Newf("the log lines span %v, from %v to %v, above the limit of %v", last.Sub(first), first, last, maxSpan)
	}
	r.start = first.Truncate(time.Second)
	r.seconds = make([]secondStats, 1+int(last.Sub(r.start)/time.Second))
	statuses := make(map[string]bool)
	for _, l := range lines {
		r.add(l, statuses)
	}
	r.statuses = slices.Sorted(maps.Keys(statuses))
	for _, v := range r.adoptions {
		slices.SortStableFunc(v, func(a, b adoption) int { return a.second - b.second })
	}
	return r, nil
}

// Start returns the start of the run, to the second.
func (r *Run) Start() time.Time { return r.start }

// Seconds returns the length of the run in seconds.
func (r *Run) Seconds() int { return len(r.seconds) }

func (r *Run) add(l events.Line, statuses map[string]bool) {
	at, ok := l.Time()
	if !ok {
		return
	}
	index := int(at.Sub(r.start) / time.Second)
	switch l.Message() {
	case msgConfiguration:
		if number, ok := l.Number("version"); ok {
			r.adoptions[l.Source()] = append(r.adoptions[l.Source()], adoption{index, number})
		}
	case msgTraffic:
		s := &r.seconds[index]
		s.add(l)
		for _, name := range l.FieldNames() {
			if status, ok := strings.CutPrefix(name, statusField); ok {
				count, _ := l.Number(name)
				s.addRefused(status, count)
				statuses[status] = true
			}
		}
	}
}

func (s *secondStats) add(l events.Line) {
	number := func(name string) float64 {
		n, _ := l.Number(name)
		return n
	}
	answered := number("answered")
	s.answered += answered
	s.inTime += number("inTime")
	s.partial += number("partial")
	s.disconnected += number("left")
	s.coverageSum += answered * number("coverage")
	s.medianSum += answered * number("p50Ms")
	s.maxP99 = max(s.maxP99, number("p99Ms"))
}

func (s *secondStats) addRefused(status string, count float64) {
	if s.refused == nil {
		s.refused = make(map[string]float64)
	}
	s.refused[status] += count
}

// mean divides a sum over answers by their number; it returns false if there were none.
func (s *secondStats) mean(sum float64) (float64, bool) {
	if s.answered == 0 {
		return 0, false
	}
	return sum / s.answered, true
}
