package pacer

import (
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
)

// Report is what a VM has heard from a server, for other VMs.
type Report struct {
	// Rate is the limit in requests per second, or the last one if Ended says that the server no longer names one.
	Rate  float64 `json:"r"`
	Ended bool    `json:"e,omitempty"`
	// AgeMs is the time since the answer, in milliseconds.
	AgeMs int64 `json:"m,omitempty"`
	// Unpublished says that a start of the server said it whose entry has not arrived yet.
	Unpublished bool `json:"u,omitempty"`
}

// Reports returns what this VM has heard from servers itself lately.
func (l *Limiter) Reports(now time.Time) map[ident.Server]Report {
	return l.reports(now, func(s *server) time.Time { return s.ownAt }, reportWindow)
}

// AllReports returns what this VM has heard from servers itself or by others, within a time. Reports of it must not be passed on by their
// receivers, as their age would be lost on the way.
func (l *Limiter) AllReports(now time.Time, within time.Duration) map[ident.Server]Report {
	return l.reports(now, func(s *server) time.Time { return s.heardAt }, within)
}

func (l *Limiter) reports(now time.Time, heardAt func(*server) time.Time, within time.Duration) map[ident.Server]Report {
	var out map[ident.Server]Report
	for name, s := range l.servers {
		heard := heardAt(s)
		if now.Sub(heard) > within || len(out) >= maxReports {
			continue
		}
		if out == nil {
			out = make(map[ident.Server]Report)
		}
		out[name] = Report{Rate: s.rate, Ended: !s.limited, AgeMs: now.Sub(heard).Milliseconds(), Unpublished: s.unpublished}
	}
	return out
}

// ApplyReports applies what another VM has heard from servers, where it is newer than what is known, and returns the changes.
func (l *Limiter) ApplyReports(now time.Time, reports map[ident.Server]Report) map[ident.Server]Change {
	var out map[ident.Server]Change
	for name, r := range reports {
		if !(r.Rate >= 0) || r.AgeMs < 0 || r.AgeMs > maxReportAge.Milliseconds() {
			continue
		}
		heard := now.Add(-time.Duration(r.AgeMs) * time.Millisecond)
		s := l.servers[name]
		var c Change
		switch {
		case s == nil && !r.Ended:
			c = l.setLimit(now, heard, name, l.add(name), r.Rate)
		case s == nil || !heard.After(s.heardAt):
		case !r.Ended:
			c = l.setLimit(now, heard, name, s, r.Rate)
		case s.limited:
			c = s.endLimit(heard)
		}
		if c == nil {
			continue
		}
		if out == nil {
			out = make(map[ident.Server]Change)
		}
		out[name] = c
	}
	return out
}
