package edge

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/tier/belief"
	"kumquatreel.example/kumquatreel/internal/tier/roster"
)

const (
	// beliefsPath is the path of the VM's beliefs, at the address for metrics.
	beliefsPath = "/beliefs"
	// defaultBeliefs is the number of servers, of teams and of VMs in a page unless the caller asks for others, at most maxBeliefs.
	defaultBeliefs = 500
	maxBeliefs     = 5000
)

// serveBeliefs answers an operator who asks what the VM believes. The parameter service restricts the servers, limit the rows of each kind.
func (e *Edge) serveBeliefs(w http.ResponseWriter, r *http.Request) {
	limit := defaultBeliefs
	if text := r.URL.Query().Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxBeliefs {
			http.Error(w, "limit must be an integer from 1 to "+strconv.Itoa(maxBeliefs), http.StatusBadRequest)
			return
		}
		limit = n
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(e.beliefs(time.Now(), ident.Service(r.URL.Query().Get("service")), limit)); err != nil {
		e.log.Warn(componentProcess, "cannot write beliefs", "error", err.Error())
	}
}

// beliefs returns what the VM believes, with at most limit rows of each kind.
func (e *Edge) beliefs(now time.Time, service ident.Service, limit int) belief.Page {
	era, revision := e.position()
	p := belief.Page{VM: e.settings.Load().Name(), At: now, Store: belief.Store{
		Era: era, Revision: revision, ConfigVersion: e.dispatch.version(), AgeMs: e.storeAge(now).Milliseconds(), Watching: e.watching.Load(), Holding: e.holding(),
		Refused: e.refusedConfig(),
	}}
	cut := func(n int) int {
		p.LeftOut += max(0, n-limit)
		return min(n, limit)
	}
	servers := e.dispatch.beliefs(now, service)
	p.Servers = servers[:cut(len(servers))]
	teams := e.teamBeliefs(now)
	p.Teams = teams[:cut(len(teams))]
	vms := e.vmBeliefs(now)
	p.VMs = vms[:cut(len(vms))]
	return p
}

// beliefs returns what the VM believes of the servers of a service, or of all if it is empty, in order of names.
func (d *dispatch) beliefs(now time.Time, service ident.Service) []belief.Server {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := []belief.Server{}
	for _, m := range d.roster.Members() {
		e := m.Entry()
		if service != "" && e.Service != service {
			continue
		}
		out = append(out, belief.Server{
			Server: e.Server, Service: e.Service, Domain: e.Domain, Address: e.Address, Revision: e.Revision, Started: e.Started,
			InFlight: d.balancer.InFlight(e.Server), Reasons: d.reasons(now, m), Load: d.load(now, e.Server),
		})
	}
	return out
}

// reasons returns why a server gets no requests, or only those that no other server can take.
func (d *dispatch) reasons(now time.Time, m *roster.Member) []belief.Reason {
	var out []belief.Reason
	e := m.Entry()
	st := d.roster.Statement(e.Server)
	add := func(holds bool, what belief.What, source belief.Source, age, left time.Duration) {
		if holds {
			out = append(out, belief.Reason{What: what, Source: source, AgeMs: age.Milliseconds(), ForMs: max(0, left.Milliseconds())})
		}
	}
	add(d.roster.DomainOut(e.Domain), belief.WhatDomainOut, belief.SourceStore, 0, 0)
	add(m.Leaving() && !m.Removed(), belief.WhatLeaving, belief.SourceStore, now.Sub(m.LeavingSince()), 0)
	add(m.Removed(), belief.WhatRemoved, belief.SourceStore, now.Sub(m.LeavingSince()), 0)
	add(!st.LeavingSince.IsZero(), belief.WhatLeaving, belief.SourceServer, now.Sub(st.LeavingSince), 0)
	add(st.OthersLeaving, belief.WhatLeaving, belief.SourceOtherVM, 0, 0)
	add(now.Before(st.RestUntil), belief.WhatResting, belief.SourceServer, 0, st.RestUntil.Sub(now))
	add(now.Before(st.OthersUntil), belief.WhatResting, belief.SourceOtherVM, 0, st.OthersUntil.Sub(now))
	add(m.Cold(now), belief.WhatCold, belief.SourceServer, 0, m.ColdUntil().Sub(now))
	limited := d.pacer.Delay(now, e.Server, false)
	add(limited > 0, belief.WhatLimited, belief.SourceServer, 0, limited)
	backoff := d.balancer.Backoff(now, e.Server)
	add(backoff > 0, belief.WhatBackoff, belief.SourceServer, 0, backoff)
	return out
}

func (e *Edge) teamBeliefs(now time.Time) []belief.Team {
	t := e.dispatch.current()
	if t == nil {
		return []belief.Team{}
	}
	e.quotaMu.Lock()
	defer e.quotaMu.Unlock()
	out := []belief.Team{}
	for _, team := range t.Teams() {
		b := belief.Team{Team: team.Name, Rate: team.Rate, Burst: team.Burst}
		if team.Rate > 0 {
			b.Tokens = e.quota.Level(now, team.Name)
		}
		out = append(out, b)
	}
	return out
}

func (e *Edge) vmBeliefs(now time.Time) []belief.VM {
	c := e.core()
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	byName := make(map[ident.VM]belief.VM)
	for _, m := range e.fleet.peers.Members() {
		d := m.Digest()
		byName[d.VM] = belief.VM{
			VM: d.VM, Domain: d.Domain, Phase: d.Phase.String(), Alive: m.Alive(now), Core: c.Has(d.VM), AgeMs: now.Sub(m.LastHeard()).Milliseconds(),
			Era: d.Era, Revision: d.Revision, Watching: d.WatchesStore,
		}
	}
	out := make([]belief.VM, 0, len(byName))
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		out = append(out, byName[name])
	}
	return out
}
