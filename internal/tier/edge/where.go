package edge

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/base/units"
	"kumquatreel.example/kumquatreel/internal/tier/gather"
	"kumquatreel.example/kumquatreel/internal/tier/place"
	"kumquatreel.example/kumquatreel/internal/tier/table"
	"kumquatreel.example/kumquatreel/internal/tier/where"
)

// wherePath is the path at which an operator asks where a request would go.
const wherePath = "/where"

// serveWhere answers an operator who asks where a request would go now. The parameters are host and path, and optionally team, the name of the
// team that makes it, and remainingMs, its remaining time. Nothing is sent and no token is taken.
func (e *Edge) serveWhere(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	t := e.dispatch.current()
	if t == nil {
		http.Error(w, "no configuration is known yet", http.StatusServiceUnavailable)
		return
	}
	route := t.Match(hostName(q.Get("host")), q.Get("path"))
	if route == nil {
		http.Error(w, "no route for this host and path", http.StatusNotFound)
		return
	}
	team := t.Team(ident.Team(q.Get("team")))
	if team == nil && (q.Get("team") != "" || t.RequiresKey() && !route.AllowAnonymous()) {
		http.Error(w, "the route needs a team, and no such team is known", http.StatusBadRequest)
		return
	}
	remaining := time.Duration(0)
	if text := q.Get("remainingMs"); text != "" {
		n, err := strconv.ParseFloat(text, 64)
		if err != nil || !(n > 0) || math.IsInf(n, 1) {
			http.Error(w, "remainingMs must be a number above 0", http.StatusBadRequest)
			return
		}
		remaining = min(units.Millis(n), maxBudget)
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(e.where(time.Now(), t, route, team, remaining)); err != nil {
		e.log.Warn(componentProcess, "cannot write where a request goes", "error", err.Error())
	}
}

// where returns where a request would go now.
func (e *Edge) where(now time.Time, t *table.Table, route *table.Route, team *table.Team, remaining time.Duration) where.Page {
	rq := &request{route: route, arrived: now, version: t.Version(), rank: route.Priority(), rtt: defaultRTT}
	if team != nil {
		rq.team, rq.rank = team.Name(), team.Priority(route)
	}
	budget := defaultBudget
	if remaining > 0 {
		budget = max(0, remaining-rq.rtt)
	}
	rq.bound(budget, 0)
	if e.leaving.Load() || budget <= 0 {
		return where.Page{
			VM: e.settings.Load().Name(), At: now, ConfigVersion: t.Version(), Route: route.Name(), Team: rq.team, Priority: rq.rank,
			Refused: "the VM stops, or no time is left", Parts: []where.Part{},
		}
	}
	spec := e.spec(rq)
	c := e.newChooser(rq, spec)
	rec := &recorder{chooser: c}
	c.observe = rec.add
	state := gather.New(spec)
	for _, s := range state.Start(now, rec) {
		rec.parts[s.Shard].Server = s.Server
	}
	p := where.Page{
		VM: e.settings.Load().Name(), At: now, ConfigVersion: t.Version(), Route: route.Name(), Team: rq.team, Priority: rq.rank,
		DueMs: ms(rq.soft.Sub(now)), EndMs: ms(rq.hard.Sub(now)), TypicalMs: ms(spec.TypicalLatency), MaxWaitMs: ms(c.maxWait),
		Parts: rec.parts, MinParts: state.NumShort(),
	}
	if team != nil && team.Rate() > 0 {
		e.quotaMu.Lock()
		tokens := e.quota.Level(now, rq.team)
		e.quotaMu.Unlock()
		p.Tokens = &tokens
		if tokens < 1 {
			p.Refused = "the team is beyond its rate, as far as this VM knows"
		}
	}
	if _, done := state.Done(); done {
		p.Refused = "too many parts have no server"
		if until := e.dispatch.withholding(now, state.Missing(), state.NumShort()).Until; !until.IsZero() {
			p.AgainMs = ms(until.Sub(now))
		}
	}
	return p
}

// recorder is a chooser that records what it considers for each part, in the order of the parts.
type recorder struct {
	*chooser
	parts []where.Part
}

// Choose implements gather.Chooser.
func (r *recorder) Choose(now time.Time, service ident.Service, exclude []ident.Server, cause gather.Cause) (ident.Server, gather.Capacity) {
	r.parts = append(r.parts, where.Part{Service: service, Servers: []where.Server{}})
	server, capacity := r.chooser.Choose(now, service, exclude, cause)
	r.parts[len(r.parts)-1].Capacity = capacity
	return server, capacity
}

// add records a server that is considered for the part. The lock of the dispatch is held.
func (r *recorder) add(c place.Considered) {
	part := &r.parts[len(r.parts)-1]
	s := where.Server{Server: c.Server, PassedOver: c.Reason, InFlight: r.balancer.InFlight(c.Server), WaitMs: ms(c.QueueDelay), CostMs: ms(c.Cost)}
	if m := r.roster.Member(c.Server); m != nil {
		s.Domain = m.Entry().Domain
	}
	part.Servers = append(part.Servers, s)
}
