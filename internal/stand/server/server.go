package server

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/base/sets"
	"kumquatreel.example/kumquatreel/internal/node/owner"
	"kumquatreel.example/kumquatreel/internal/query/merge"
	"kumquatreel.example/kumquatreel/internal/wire/netio"
)

// KeyMarker is part of every API key in tests and examples, so that a server detects keys that are forwarded to it.
const KeyMarker = "secret-"

const maxBody = 1 << 20

// coldNoticeDelay is how long a sign of a cold start takes to reach the owner, and how long requests already in flight
// take to arrive. The sign is a closed connection, or the end of the first part that was started cold. Earlier overruns
// are not counted, as the owner could not have known of the cold start.
const coldNoticeDelay = 2 * time.Millisecond

// Server is a stand-in for one backend server.
type Server struct {
	model Model

	mu              sync.Mutex
	rng             *rand.Rand
	incarnation     int
	completed       int
	inFlight        int
	waiting         int
	slotFreed       chan struct{}
	conns           int
	draining        bool
	frozen          chan struct{}
	downUntil       time.Time
	coldSince       time.Time
	coldKnownAt     time.Time
	fault           Fault
	healthUpdatedAt time.Time
	reportedHealth  Health
	nextHealth      Health
	running         map[string]context.CancelFunc
	openConns       map[net.Conn]struct{}
	record          Record
}

// Fault selects the ways in which a server's answers are wrong.
type Fault struct {
	// Truncate sends only the first half of each answer's body.
	Truncate bool `json:"truncate"`
	// Corrupt changes answers on the wire without changing their length.
	Corrupt bool `json:"corrupt"`
	// Partial marks answers as partial results.
	Partial bool `json:"partial"`
	// WrongRequestID answers with the ID of another request.
	WrongRequestID bool `json:"crossed"`
	// CrossedRefusal answers parts that have run with the refusal of another request, as if a copy of that had come late.
	CrossedRefusal bool `json:"crossedRefusal"`
	// OtherVersion answers from the index version after the requested one.
	OtherVersion bool `json:"otherVersion"`
	// DropAnswer closes the connection after the part has run, without an answer.
	DropAnswer bool `json:"dropAnswer"`
	// Limit, if above 0, is the rate in requests per second that the server names in its answers.
	Limit float64 `json:"limit"`
	// Rest, if above 0, refuses all parts and names this number of seconds as the time in which the server wants none.
	Rest float64 `json:"rest"`
	// SlowFactor multiplies the service time if it is above zero.
	SlowFactor float64 `json:"slow"`
}

// New returns a cold server.
func New(model Model) *Server {
	s := &Server{
		model: model, rng: rand.New(rand.NewPCG(model.Seed, xxhash.Sum64String(string(model.Name)))),
		incarnation: 1, coldKnownAt: time.Now(), slotFreed: make(chan struct{}), running: make(map[string]context.CancelFunc),
		openConns:      make(map[net.Conn]struct{}),
		reportedHealth: Health{Healthy: true}, nextHealth: Health{Healthy: true},
	}
	s.record.RunsByRecord = make(map[string]int)
	s.record.Teams = make(map[string]int)
	return s
}

// Name returns the server's name, as in the published configuration.
func (s *Server) Name() ident.Server { return s.model.Name }

// Warm ends the cold start.
func (s *Server) Warm() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.completed = s.model.WarmAfter
}

// BecomeCold starts a cold start without notice to the owner. With newIncarnation it also closes all connections, stops the
// running parts and changes the incarnation, as a restart does.
func (s *Server) BecomeCold(newIncarnation bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.becomeCold(newIncarnation)
}

func (s *Server) becomeCold(newIncarnation bool) {
	s.completed = 0
	s.coldSince = time.Now()
	s.coldKnownAt = time.Time{}
	if !newIncarnation {
		return
	}
	s.coldKnownAt = s.coldSince.Add(coldNoticeDelay)
	s.incarnation++
	s.inFlight = 0
	for _, stop := range s.running {
		stop()
	}
	for conn := range s.openConns {
		_ = conn.Close()
	}
}

// SetDraining sets whether the server refuses new parts and reports that it is draining.
func (s *Server) SetDraining(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = on
}

// SetVersions changes the index versions that the server can answer from.
func (s *Server) SetVersions(versions ...int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.model.Versions = sets.SetOf(versions...)
}

// SetFault sets the fault of all further answers; the zero Fault ends it.
func (s *Server) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Down makes the server unavailable for d, after which it is cold.
func (s *Server) Down(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crash(d)
}

// Freeze blocks parts that start from now on until the returned function is called. It must be called exactly once.
func (s *Server) Freeze() (thaw func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ch := make(chan struct{})
	s.frozen = ch
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.frozen == ch {
			s.frozen = nil
		}
		close(ch)
	}
}

// Open returns the number of open connections.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conns
}

// Record returns a copy of the counters.
func (s *Server) Record() Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.record
	r.RunsByRecord = maps.Clone(s.record.RunsByRecord)
	r.Teams = maps.Clone(s.record.Teams)
	r.Arrivals = slices.Clone(s.record.Arrivals)
	return r
}

// Start serves on an address of a network. It returns the listener's address and a function that stops the server, or an
// error if it cannot listen.
func (s *Server) Start(n netio.Network, address string) (string, func(), error) {
	l, err := n.Listen(address)
	if err != nil {
		return "", nil, errors.Errorf("start backend server %s: %w", s.model.Name, err)
	}
	h := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = h.Serve(&limitedListener{Listener: l, server: s}) }()
	return l.Addr().String(), func() { _ = h.Close() }, nil
}

// Handler serves parts, cancellations, health, the record and the control endpoints.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /shards/{service}/{shard}", s.part)
	mux.HandleFunc("POST /cancel", s.cancel)
	mux.HandleFunc("GET /health", s.health)
	mux.HandleFunc("GET /control/record", func(w http.ResponseWriter, _ *http.Request) {
		netio.WriteJSON(w, http.StatusOK, s.Record())
	})
	mux.HandleFunc("POST /control/{action}", s.control)
	return mux
}

func (s *Server) cancel(_ http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	cancel := s.running[r.Header.Get(owner.HeaderRequest)]
	s.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

func (s *Server) part(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return
	}
	s.detectKeys(r, body)
	micros, _ := strconv.ParseInt(r.Header.Get(owner.HeaderDeadline), 10, 64)
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(micros)*time.Microsecond)
	defer cancel()
	version, _ := strconv.Atoi(r.Header.Get(owner.HeaderVersion))
	id := r.Header.Get(owner.HeaderRequest)
	w.Header().Set(owner.HeaderRequest, id)
	if !s.acquireSlot(ctx, w, version) {
		return
	}
	incarnation := s.startPart(id, r, body, cancel)
	start := time.Now()
	done := s.runPart(ctx)
	s.finishPart(id, incarnation, start, done)
	if !done {
		s.answerStopped(ctx, w, r)
		return
	}
	s.answer(w, r, version)
}

// detectKeys counts requests that hold an API key; no key may be forwarded to a server.
func (s *Server) detectKeys(r *http.Request, body []byte) {
	all := r.URL.String() + string(body)
	for name, values := range r.Header {
		all += name + strings.Join(values, " ")
	}
	if strings.Contains(all, KeyMarker) {
		s.mu.Lock()
		s.record.KeysSeen++
		s.mu.Unlock()
	}
}

// acquireSlot waits for a slot and reports whether it got one; otherwise it has written the refusal.
func (s *Server) acquireSlot(ctx context.Context, w http.ResponseWriter, version int) bool {
	s.mu.Lock()
	if s.fault.Limit > 0 || s.fault.Rest > 0 {
		s.record.Arrivals = append(s.record.Arrivals, time.Now())
	}
	if s.fault.Limit > 0 {
		w.Header().Set(owner.HeaderLimit, strconv.FormatFloat(s.fault.Limit, 'f', -1, 64))
	}
	for {
		w.Header().Set(owner.HeaderIncarnation, strconv.Itoa(s.incarnation))
		if status := s.refusal(w, version); status != 0 {
			s.mu.Unlock()
			w.Header().Set(owner.HeaderNotRun, "yes")
			w.WriteHeader(status)
			return false
		}
		if s.inFlight < s.model.Slots {
			s.takeSlot()
			s.mu.Unlock()
			return true
		}
		s.waiting++
		freed := s.slotFreed
		s.mu.Unlock()
		ok := wait(ctx, freed)
		s.mu.Lock()
		s.waiting--
		if !ok {
			s.record.Late++
			s.mu.Unlock()
			w.Header().Set(owner.HeaderNotRun, "yes")
			w.WriteHeader(http.StatusGatewayTimeout)
			return false
		}
	}
}

// refusal returns the HTTP status with which to refuse a part, or 0 to accept it. The caller must hold s.mu.
func (s *Server) refusal(w http.ResponseWriter, version int) int {
	switch {
	case s.draining:
		w.Header().Set(owner.HeaderDraining, "yes")
		return http.StatusServiceUnavailable
	case s.fault.Rest > 0:
		w.Header().Set(owner.HeaderRetryAfter, strconv.FormatFloat(s.fault.Rest, 'f', -1, 64))
		return http.StatusServiceUnavailable
	case time.Now().Before(s.downUntil):
		return http.StatusServiceUnavailable
	case !s.model.Versions.Has(version):
		return http.StatusConflict
	case s.inFlight >= s.model.Slots && s.waiting >= s.model.Slots:
		s.record.Shed++
		return http.StatusServiceUnavailable
	}
	return 0
}

// takeSlot occupies a slot. A cold server crashes if more parts run than it has cold slots and the owner could have known
// that it is cold. The caller must hold s.mu.
func (s *Server) takeSlot() {
	s.inFlight++
	s.record.MaxInFlight = max(s.record.MaxInFlight, s.inFlight)
	s.record.LastStart = time.Now()
	known := !s.coldKnownAt.IsZero() && !time.Now().Before(s.coldKnownAt)
	if s.completed < s.model.WarmAfter && known && s.inFlight > s.model.ColdSlots {
		s.record.ColdOverruns++
		s.record.Crashes++
		s.crash(s.model.CrashDuration)
	}
}

func (s *Server) crash(d time.Duration) {
	s.downUntil = time.Now().Add(d)
	s.becomeCold(true)
}

func (s *Server) startPart(id string, r *http.Request, body []byte, cancel context.CancelFunc) int {
	var request struct {
		Operation string `json:"operation"`
	}
	_ = json.Unmarshal(body, &request)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[id] = cancel
	s.record.Runs++
	s.record.Teams[r.Header.Get(owner.HeaderTeam)]++
	if request.Operation != "" {
		s.record.RunsByRecord[request.Operation]++
	}
	return s.incarnation
}

// runPart waits for the service time and reports whether the part completed before ctx ended.
func (s *Server) runPart(ctx context.Context) bool {
	s.mu.Lock()
	d := float64(s.model.MedianServiceTime) * math.Exp(s.model.ServiceTimeSigma*s.rng.NormFloat64())
	if s.rng.Float64() < s.model.StragglerFraction {
		d *= s.model.StragglerFactor
	}
	if s.completed < s.model.WarmAfter {
		d *= s.model.ColdFactor
	}
	if s.fault.SlowFactor > 0 {
		d *= s.fault.SlowFactor
	}
	frozen := s.frozen
	s.mu.Unlock()
	if frozen != nil {
		wait(context.Background(), frozen)
	}
	t := time.NewTimer(time.Duration(d))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Server) finishPart(id string, incarnation int, start time.Time, done bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, id)
	if incarnation != s.incarnation {
		return
	}
	s.inFlight--
	if done {
		s.completed++
		if s.coldKnownAt.IsZero() && !start.Before(s.coldSince) {
			s.coldKnownAt = time.Now().Add(coldNoticeDelay)
		}
	}
	close(s.slotFreed)
	s.slotFreed = make(chan struct{})
}

func (s *Server) answerStopped(ctx context.Context, w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.record.Cancelled++
	s.mu.Unlock()
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	if r.Context().Err() == nil {
		w.WriteHeader(http.StatusRequestTimeout)
	}
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request, version int) {
	s.mu.Lock()
	f := s.fault
	s.mu.Unlock()
	if f.OtherVersion {
		version++
	}
	raw, err := json.Marshal(owner.BackendAnswer{Items: s.items(r.PathValue("service"), r.PathValue("shard"), version)})
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if f.DropAnswer {
		panic(http.ErrAbortHandler)
	}
	if f.WrongRequestID || f.CrossedRefusal {
		w.Header().Set(owner.HeaderRequest, "another")
	}
	if f.CrossedRefusal {
		w.Header().Set(owner.HeaderNotRun, "yes")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if f.Partial {
		w.Header().Set(owner.HeaderPartial, "yes")
	}
	w.Header().Set(owner.HeaderVersion, strconv.Itoa(version))
	w.Header().Set(owner.HeaderDigest, strconv.FormatUint(xxhash.Sum64(raw), 16))
	if f.Corrupt {
		raw = bytes.Replace(raw, []byte(`"score":0.`), []byte(`"score":9.`), 1)
	}
	if f.Truncate {
		raw = raw[:len(raw)/2]
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	_, _ = w.Write(raw)
}

func (s *Server) items(service, shard string, version int) []merge.Item {
	out := make([]merge.Item, s.model.ItemsPerShard)
	for i := range out {
		id := fmt.Sprintf("%s-%s-%d", service, shard, i)
		score := float64(xxhash.Sum64String(id)%1000) / 1000
		out[i] = merge.Item{ID: id, Score: score, Body: json.RawMessage(fmt.Sprintf(`{"version":%d}`, version))}
	}
	return out
}

func wait(ctx context.Context, ch <-chan struct{}) bool {
	select {
	case <-ch:
		return true
	case <-ctx.Done():
		return false
	}
}
