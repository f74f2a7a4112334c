package edge

import (
	"net/http"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/limit/pacer"
	"kumquatreel.example/kumquatreel/internal/tier/admit"
	"kumquatreel.example/kumquatreel/internal/tier/header"
	"kumquatreel.example/kumquatreel/internal/tier/link"
	"kumquatreel.example/kumquatreel/internal/tier/peers"
	"kumquatreel.example/kumquatreel/internal/tier/roster"
)

// leavingValue is the value of the header with which a server says that it leaves.
const leavingValue = "1"

// observeStatement applies what an answer says of a start of a server: that it leaves, and in a refusal that it wants nothing for a time.
func (d *dispatch) observeStatement(now time.Time, server ident.Server, start roster.Start, a *link.Answer, names header.Names, change *serverChange) {
	if a.Header.Get(names.Leaving) == leavingValue {
		change.leaving = d.roster.HearLeaving(now, server, start)
	}
	texts := a.Header[retryAfter]
	if len(texts) == 0 || a.Status != http.StatusServiceUnavailable && a.Status != http.StatusTooManyRequests {
		return
	}
	rest, ok := header.ParseRetryAfter(texts)
	switch {
	case !ok:
		change.badRetryAfter = texts
	case rest > 0:
		change.restUntil, _ = d.roster.HearRest(now, server, start, rest)
	}
}

// withholding returns why servers of services get no requests. Until is the instant at which need of the services have a server again, zero
// if that is not known.
func (d *dispatch) withholding(now time.Time, services []ident.Service, need int) roster.Withholding {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out roster.Withholding
	var ends []time.Time
	for _, s := range services {
		w := d.roster.Withholding(now, s)
		out.Leaving, out.Resting = out.Leaving+w.Leaving, out.Resting+w.Resting
		if !w.Until.IsZero() {
			ends = append(ends, w.Until)
		}
	}
	out.Until = admit.Reopens(ends, len(services), need)
	return out
}

// mayReceive reports whether a server may still receive an attempt that was chosen for it a while ago.
func (d *dispatch) mayReceive(now time.Time, s sending) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.roster.MayReceive(now, s.target.Server, s.start)
}

// knowsLimits reports whether a server names a limit or did until lately.
func (d *dispatch) knowsLimits() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pacer.Len() > 0
}

// observeLimit applies the limit that an answer of a start of a server names, empty for none, and returns the change, or the text if it cannot be read.
func (d *dispatch) observeLimit(now, sent time.Time, server ident.Server, start roster.Start, text string) (change pacer.Change, malformed string) {
	if text == "" {
		return d.pacer.Observe(now, sent, server, pacer.Statement{}), ""
	}
	rate, ok := header.ParseRate(text)
	if !ok {
		return nil, text
	}
	change = d.pacer.Observe(now, sent, server, pacer.Statement{Rate: rate, Limited: true})
	d.pacer.SetStart(server, start.String(), start.Unpublished)
	return change, ""
}

// applyServerReports applies what another VM has heard from servers, and logs the changes.
func (e *Edge) applyServerReports(now time.Time, m peers.Message) {
	d := e.dispatch
	services := make(map[ident.Server]ident.Service)
	d.mu.Lock()
	changes := d.pacer.ApplyReports(now, m.ServerLimits)
	for server := range changes {
		if known := d.roster.Member(server); known != nil {
			services[server] = known.Entry().Service
			d.pacer.SetStart(server, known.Entry().Start().String(), m.ServerLimits[server].Unpublished)
		}
	}
	avoided := d.roster.ApplyReports(now, m.ServerStatements)
	d.balancer.ApplyReports(now, m.ServerLoads, func(s ident.Server) bool { return d.roster.Member(s) != nil })
	d.mu.Unlock()
	for _, server := range avoided {
		e.log.Info(componentServers, "server is used after the others", "server", server, "leaving", m.ServerStatements[server].Leaving,
			"restMs", m.ServerStatements[server].RestMs, "from", m.From.VM)
	}
	for server, c := range changes {
		e.logLimitChange(server, services[server], c, string(m.From.VM))
	}
}
