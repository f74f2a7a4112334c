package entry

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"kumquatreel.example/kumquatreel/internal/base/clock"
	"kumquatreel.example/kumquatreel/internal/base/fault"
	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/conf/config"
	"kumquatreel.example/kumquatreel/internal/conf/schema"
	"kumquatreel.example/kumquatreel/internal/fleet/agent"
	"kumquatreel.example/kumquatreel/internal/fleet/assign"
	"kumquatreel.example/kumquatreel/internal/node/mesh"
	"kumquatreel.example/kumquatreel/internal/node/metric"
	"kumquatreel.example/kumquatreel/internal/node/owner"
	"kumquatreel.example/kumquatreel/internal/node/trace"
	"kumquatreel.example/kumquatreel/internal/query/hedge"
	"kumquatreel.example/kumquatreel/internal/query/picker"
	"kumquatreel.example/kumquatreel/internal/query/ticket"
	"kumquatreel.example/kumquatreel/internal/wire/netio"
	"kumquatreel.example/kumquatreel/internal/wire/public"
)

// openTeam is the team of requests for open routes, which carry no key.
const openTeam ident.Team = "open"

const (
	noClass           = "none"
	maxTicketsPerCall = 100
	maxLimit          = 10000
	defaultLimit      = 100
	// bodyTimeout is how long a client may take to send a request body.
	bodyTimeout = 5 * time.Second
	// maxActiveRequests is the number of requests in progress on one VM above which new ones are refused.
	maxActiveRequests = 2000
)

// Entry serves client requests on one VM.
type Entry struct {
	settings   config.Settings
	clock      clock.Source
	mesh       *mesh.Mesh
	owner      *owner.Owner
	log        *log.Logger
	metrics    *metric.Set
	traces     *trace.Store
	budget     hedge.Budget
	requestSeq atomic.Int64
	active     atomic.Int64
	prefix     string

	pickMu  sync.Mutex
	picker  picker.Picker
	pickRng *rand.Rand

	latencyMu sync.Mutex
	latency   map[ident.Service]*hedge.LatencyHistogram

	ticketMu  sync.Mutex
	registry  *ticket.Registry
	ticketRng *rand.Rand
}

// New returns the entry of a VM. The incarnation must be new with every start, because request IDs and tickets contain it.
func New(settings config.Settings, src clock.Source, m *mesh.Mesh, o *owner.Owner, logger *log.Logger, metrics *metric.Set, traces *trace.Store, incarnation string, rng *rand.Rand) *Entry {
	process := ident.Process(string(settings.Name()) + "/" + incarnation)
	return &Entry{
		settings: settings, clock: src, mesh: m, owner: o, metrics: metrics, traces: traces,
		log: logger.WithPrefix("entry"), prefix: string(settings.Name()) + "-" + incarnation + "-",
		latency:  make(map[ident.Service]*hedge.LatencyHistogram),
		registry: ticket.NewRegistry(process), ticketRng: rng,
		pickRng: rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64())),
	}
}

// Active returns the number of requests in progress.
func (e *Entry) Active() int { return int(e.active.Load()) }

// RetryBudget returns the budget of second attempts (retries and hedges), shared by all requests.
func (e *Entry) RetryBudget() *hedge.Budget { return &e.budget }

// Handler serves the interface for clients. While the VM is leaving, it asks clients to close their connections.
func (e *Entry) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+public.PathDirectory, e.directory)
	mux.HandleFunc("POST "+public.PathQuery, e.query)
	mux.HandleFunc("POST "+public.PathTickets, e.tickets)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.active.Add(1)
		defer e.active.Add(-1)
		if e.leaving() {
			w.Header().Set("Connection", "close")
		}
		mux.ServeHTTP(w, r)
	})
}

func (e *Entry) leaving() bool {
	leaving := false
	e.mesh.WithAgent(func(_ clock.Instant, a *agent.Agent) { leaving = a.Membership().Leaving() })
	return leaving
}

func (e *Entry) directory(w http.ResponseWriter, r *http.Request) {
	team := ident.Team(r.URL.Query().Get("team"))
	reply := public.Directory{TTLMillis: int(e.settings.DirectoryTTL() / time.Millisecond)}
	e.mesh.WithAgent(func(now clock.Instant, a *agent.Agent) {
		if !a.Fresh(now) {
			return
		}
		reply.Addresses = assign.Choose(a.Catalog(), a.List(), team, assign.State{
			Available: func(vm ident.VM) bool { return a.Membership().Available(now, vm) },
			Ready:     func(vm ident.VM) bool { return a.Membership().PeerHoldsShares(now, vm) },
			Load:      a.LoadOf,
		})
	})
	if len(reply.Addresses) == 0 {
		e.writeFailure(w, "", fault.New(fault.CodeUnavailable, fault.OutcomeNotSent, "no VM can be named yet").WithRetryAfter(time.Second))
		return
	}
	netio.WriteJSON(w, http.StatusOK, reply)
}

// request is one client request and what its checks have found.
type request struct {
	id        string
	team      ident.Team
	keyID     string
	query     public.Query
	route     *schema.Route
	catalog   *schema.Catalog
	arrived   clock.Instant
	admitTime time.Duration
	trace     *trace.Request
}

func (q *request) class() string {
	if q.route == nil {
		return noClass
	}
	return q.route.Class()
}

func (e *Entry) query(w http.ResponseWriter, r *http.Request) {
	q := &request{id: e.prefix + strconv.FormatInt(e.requestSeq.Add(1), 36), team: openTeam, arrived: e.clock.Now()}
	w.Header().Set(public.HeaderRequestID, q.id)
	if f := e.parse(w, r, q); f != nil {
		e.refuse(w, q, f)
		return
	}
	if f := e.admit(r.Context(), q); f != nil {
		e.refuse(w, q, f)
		return
	}
	if q.query.Ticket != "" {
		e.serveTicket(w, r, q)
		return
	}
	answer, f := e.run(r.Context(), q)
	if f != nil {
		e.refuse(w, q, f)
		return
	}
	netio.WriteJSON(w, http.StatusOK, answer)
}

// parse reads and validates a request and looks up its team and route.
func (e *Entry) parse(w http.ResponseWriter, r *http.Request, q *request) *fault.Error {
	if e.active.Load() > maxActiveRequests {
		return fault.New(fault.CodeOverloaded, fault.OutcomeNotSent, "too many requests in progress here").WithRetryAfter(100 * time.Millisecond)
	}
	if f := e.decode(w, r, &q.query); f != nil {
		return f
	}
	q.catalog = e.mesh.Catalog()
	if q.catalog == nil || !e.mesh.Fresh() {
		return fault.New(fault.CodeStale, fault.OutcomeNotSent, "this VM has had no news for too long").WithRetryAfter(time.Second)
	}
	q.route = q.catalog.Route(q.query.Route)
	if q.route == nil {
		return fault.New(fault.CodeNotFound, fault.OutcomeNotSent, "route %q is not defined", q.query.Route)
	}
	if !q.route.Open() {
		if f := e.authenticate(r, q); f != nil {
			return f
		}
	}
	if !q.route.Idempotent() && q.query.Record == "" {
		return fault.New(fault.CodeBadRequest, fault.OutcomeNotSent, "the route needs a record")
	}
	if q.route.Idempotent() && q.query.Ticket != "" {
		return fault.New(fault.CodeBadRequest, fault.OutcomeNotSent, "the route takes no ticket")
	}
	return nil
}

func (e *Entry) decode(w http.ResponseWriter, r *http.Request, query *public.Query) *fault.Error {
	if err := e.readBody(w, r, query); err != nil {
		if errors.Is(err, netio.ErrTooLarge) {
			return fault.New(fault.CodeTooLarge, fault.OutcomeNotSent, "the body is longer than %d bytes", e.settings.MaxBodyBytes())
		}
		return fault.New(fault.CodeBadRequest, fault.OutcomeNotSent, "the body is not a query: %v", errors.UnwrapAll(err))
	}
	if query.Limit < 0 || query.Limit > maxLimit {
		return fault.New(fault.CodeBadRequest, fault.OutcomeNotSent, "limit %d is not in 0 to %d", query.Limit, maxLimit)
	}
	if query.Limit == 0 {
		query.Limit = defaultLimit
	}
	if query.DeadlineMillis < 0 {
		return fault.New(fault.CodeBadRequest, fault.OutcomeNotSent, "the deadline is negative")
	}
	return nil
}

// readBody decodes a request body that must arrive within bodyTimeout, so that slow clients do not hold resources.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request, v any) error {
	c := http.NewResponseController(w)
	if err := c.SetReadDeadline(time.Now().Add(bodyTimeout)); err != nil {
		return errors.Errorf("set the read deadline of the request body: %w", err)
	}
	if err := netio.ReadJSON(r.Body, e.settings.MaxBodyBytes(), v); err != nil {
		return errors.Errorf("read the request body: %w", err)
	}
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		return errors.Errorf("clear the read deadline of the request body: %w", err)
	}
	return nil
}

// authenticate looks up the team of the request's key.
func (e *Entry) authenticate(r *http.Request, q *request) *fault.Error {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return fault.New(fault.CodeUnauthorized, fault.OutcomeNotSent, "a key is needed")
	}
	team, id, ok := q.catalog.Authenticate(key)
	if !ok {
		return fault.New(fault.CodeUnauthorized, fault.OutcomeNotSent, "the key is not valid")
	}
	q.team, q.keyID = team.Name(), id
	return nil
}

func (e *Entry) admit(ctx context.Context, q *request) *fault.Error {
	q.trace = &trace.Request{ID: q.id, Team: q.team, Route: q.route.Name(), Revision: q.catalog.Revision()}
	if q.route.Open() {
		return nil
	}
	f := e.mesh.Admit(ctx, q.team)
	q.admitTime = e.clock.Now().MaxSince(q.arrived)
	return f
}

// refuse records a failed request and sends the failure to the client.
func (e *Entry) refuse(w http.ResponseWriter, q *request, f *fault.Error) {
	e.recordFailure(q, f)
	e.writeFailure(w, q.id, f)
}

func (e *Entry) recordFailure(q *request, f *fault.Error) {
	e.metrics.Refused(q.team, q.class(), e.clock.Now().MaxSince(q.arrived), f)
	if q.trace != nil {
		q.trace.Result = f.Error()
		e.traces.Put(q.trace)
	}
	e.log.Debug("request refused", "request", q.id, "team", q.team, "code", f.Code(), "not run", f.Outcome().NotRun())
}

func (e *Entry) writeFailure(w http.ResponseWriter, id string, f *fault.Error) {
	if f.RetryAfter() > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int((f.RetryAfter()+time.Second-1)/time.Second)))
	}
	netio.WriteJSON(w, f.Code().Status(), failure(id, f))
}

func failure(id string, f *fault.Error) public.Failure {
	return public.Failure{
		RequestID: id, Code: f.Code(), Message: f.Message(), NotRun: f.Outcome().NotRun(),
		RetryAfterMillis: f.RetryAfter().Milliseconds(),
	}
}

func marshal(v any) json.RawMessage {
	raw, err := json.Marshal(v)
	if err != nil {
		return json.RawMessage("null")
	}
	return raw
}
