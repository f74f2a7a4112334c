package edge

import (
	"sync"
	"time"

	"kumquatreel.example/kumquatreel/internal/tier/pace"
)

const (
	// handleTime is left for the ways of a request and its answer between handler and network, where it cannot be measured.
	handleTime = 5 * time.Millisecond
	// lagUsual is taken for the time from when an answer is due until it is written, until that has been measured.
	lagUsual = 500 * time.Microsecond
	// lagMost is the share of the aim that is left at most for both.
	lagMost = 0.25
)

// lag measures how late the VM is with answers that are due: merging and writing take longer on a VM that has a part of a
// core, or shares it with many requests. The zero value has measured nothing.
type lag struct {
	mu   sync.Mutex
	pace pace.Pace
}

// note takes an answer over shards that was due, had enough parts at an instant, and is now written.
func (l *lag) note(now, due, enough time.Time) {
	from := due
	if enough.After(due) {
		from = enough
	}
	if now.Before(from) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pace.Start(lagUsual)
	l.pace.Observe(now.Sub(from))
}

// margin returns how long before the end of an aim an answer should be due.
func (l *lag) margin(aim time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pace.Start(lagUsual)
	return min(handleTime+l.pace.High(), time.Duration(lagMost*float64(aim)))
}
