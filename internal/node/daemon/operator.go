package daemon

import (
	"net/http"

	"kumquatreel.example/kumquatreel/internal/base/clock"
	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/conf/schema"
	"kumquatreel.example/kumquatreel/internal/fleet/agent"
	"kumquatreel.example/kumquatreel/internal/node/owner"
	"kumquatreel.example/kumquatreel/internal/wire/netio"
)

// Status is the state of one VM for operators. HoldsShares says that the VM may use its shares, ViewSettled that every
// process has confirmed the membership view, and LeasedUnits is the number of units leased to other VMs. FirstAttempts
// counts first attempts at parts, SecondAttempts retries and hedges.
type Status struct {
	VM              ident.VM                            `json:"vm"`
	Process         ident.Process                       `json:"process"`
	Revision        int64                               `json:"revision"`
	ListRevision    int64                               `json:"listRevision"`
	Preset          string                              `json:"preset"`
	RefusedDocument string                              `json:"refusedDocument,omitempty"`
	Fresh           bool                                `json:"fresh"`
	HoldsShares     bool                                `json:"holdsClaims"`
	ViewSettled     bool                                `json:"viewSettled"`
	Leaving         bool                                `json:"leaving"`
	WatchesPlatform bool                                `json:"watchesPlatform"`
	Members         []ident.Process                     `json:"members"`
	Domains         map[ident.Domain]schema.DomainState `json:"domains"`
	Tokens          map[ident.Team]float64              `json:"tokens"`
	LeasedUnits     int                                 `json:"lentUnits"`
	FirstAttempts   int64                               `json:"firstAttempts"`
	SecondAttempts  int64                               `json:"secondAttempts"`
	Servers         []owner.ServerStatus                `json:"servers"`
}

// operatorHandler serves the interface for operators.
func (d *Daemon) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", d.metrics.Handler())
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !d.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		netio.WriteJSON(w, http.StatusOK, d.Status())
	})
	mux.HandleFunc("GET /requests/{id}", func(w http.ResponseWriter, r *http.Request) {
		request := d.traces.Get(r.PathValue("id"))
		if request == nil {
			http.Error(w, "request not kept here", http.StatusNotFound)
			return
		}
		netio.WriteJSON(w, http.StatusOK, request)
	})
	return mux
}

// Status returns the state of the VM and of the fleet as the VM sees it.
func (d *Daemon) Status() Status {
	s := Status{VM: d.settings.Name(), Tokens: make(map[ident.Team]float64), Servers: d.owner.Status()}
	s.FirstAttempts, s.SecondAttempts = d.entry.RetryBudget().Counts()
	d.mesh.WithAgent(func(now clock.Instant, a *agent.Agent) {
		m := a.Membership()
		s.Process, s.Members = m.Self(), m.Members()
		s.Fresh, s.HoldsShares, s.ViewSettled = a.Fresh(now), m.HoldsShares(now), m.ViewConfirmed()
		s.Leaving, s.WatchesPlatform, s.LeasedUnits = m.Leaving(), a.WatchesPlatform(now), a.LeasedOut(now)
		docs := a.Documents()
		s.Revision, s.ListRevision = docs.Revision, docs.ListRevision
		if revision, err := a.Refused(); revision > 0 {
			s.RefusedDocument = err.Error()
		}
		c := a.Catalog()
		if c == nil {
			return
		}
		s.Preset, s.Domains = c.Preset().Name(), c.Domains()
		for _, t := range c.Teams() {
			s.Tokens[t.Name()] = a.Level(now, t.Name())
		}
	})
	return s
}
