package roster

import (
	"slices"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/clock"
	"kumquatreel.example/kumquatreel/internal/base/ident"
)

const (
	// reportWindow is how long after an answer what it says is reported to other VMs, and maxReports the number of servers in a report.
	reportWindow = 2 * time.Second
	maxReports   = 64
)

// Report is what a VM has heard from a server, for other VMs.
type Report struct {
	Started int64 `json:"b"`
	// Unpublished says that a later start of the server said it, whose entry has not arrived yet.
	Unpublished bool `json:"u,omitempty"`
	Leaving     bool `json:"l,omitempty"`
	// RestMs is for how much longer the server wants nothing from the VM, in milliseconds.
	RestMs int64 `json:"r,omitempty"`
}

// Reports returns what this VM has heard from servers itself lately.
func (r *Roster) Reports(now time.Time) map[ident.Server]Report {
	var out map[ident.Server]Report
	for name, st := range r.statements {
		if st.heardAt.IsZero() || now.Sub(st.heardAt) > reportWindow || len(out) >= maxReports {
			continue
		}
		if out == nil {
			out = make(map[ident.Server]Report)
		}
		out[name] = Report{
			Started: st.start.Started, Unpublished: st.start.Unpublished, Leaving: !st.leavingSince.IsZero(), RestMs: max(0, st.restUntil.Sub(now).Milliseconds()),
		}
	}
	return out
}

// ApplyReports applies what another VM has heard from servers and returns those of which something is new. Such a server is a fallback: the
// others are used first, but it is never kept from requests that only it can take, since it has turned none of this VM's away.
func (r *Roster) ApplyReports(now time.Time, reports map[ident.Server]Report) []ident.Server {
	var changed []ident.Server
	for name, rep := range reports {
		m := r.members[name]
		if m == nil || m.entry.Started != rep.Started || rep.RestMs < 0 || !rep.Leaving && rep.RestMs == 0 {
			continue
		}
		start := m.entry.Start()
		start.Unpublished = rep.Unpublished
		st := r.ensureStatement(now, name, start)
		if st == nil {
			continue
		}
		if !st.avoided(now) {
			changed = append(changed, name)
		}
		rest := time.Duration(min(rep.RestMs, maxRest.Milliseconds())) * time.Millisecond
		st.othersLeaving = st.othersLeaving || rep.Leaving
		st.othersUntil = clock.Later(st.othersUntil, now.Add(rest))
	}
	slices.Sort(changed)
	return changed
}
