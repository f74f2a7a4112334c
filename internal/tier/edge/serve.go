package edge

import (
	"bytes"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatreel.example/kumquatreel/internal/tier/delay"
	"kumquatreel.example/kumquatreel/internal/tier/gather"
	"kumquatreel.example/kumquatreel/internal/tier/link"
	"kumquatreel.example/kumquatreel/internal/tier/table"
	"kumquatreel.example/kumquatreel/internal/tier/topk"
)

// Prefixes of log lines.
const (
	partRequest = "request"
	partFleet   = "fleet"
	partStore   = "store"
	partServers = "servers"
	partProcess = "process"
	partTraffic = "traffic"
)

const (
	authorization = "Authorization"
	bearer        = "Bearer"
	retryAfter    = "Retry-After"

	// budgetUnknown is the time a request has when neither its caller nor its route says so.
	budgetUnknown = 10 * time.Second
	// spentMost is the share of the aim that a caller may have spent for the answer to be hurried.
	spentMost = 0.5
	// retryLeast and retryMost bound the pause that callers are asked for.
	retryLeast = 20 * time.Millisecond
	retryMost  = 2 * time.Second
	// retryStarting is the pause asked for by a VM that knows no configuration yet.
	retryStarting = 200 * time.Millisecond
	// writeLimit bounds the time after its deadline in which a caller must take its answer.
	writeLimit = 5 * time.Second
	// bodyUnknown bounds a request's body in bytes when no bound was published.
	bodyUnknown = 1 << 20
)

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// refusal is an answer of the edge's own.
type refusal struct {
	status int
	text   string
	// again is when the caller should come back, 0 for never.
	again time.Duration
	// inputs are what decided it, as names and values for the log.
	inputs []any
}

// serveCaller answers one attempt of a caller.
func (e *Edge) serveCaller(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	e.busy.Add(1)
	defer e.busy.Add(-1)
	if e.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	if hasBody(r) {
		e.limitBody(w, arrived)
	}
	rq, no := e.admit(r, arrived)
	if no != nil {
		e.refuse(w, r, rq, *no)
		return
	}
	if err := http.NewResponseController(w).SetWriteDeadline(rq.hard.Add(writeLimit)); err != nil {
		e.log.Warn(partRequest, "time of an answer cannot be bounded", "id", rq.id, "error", err.Error())
	}
	out := e.run(r.Context(), rq)
	if out.gone {
		e.metrics.gone(rq)
		e.traffic.leave()
		e.log.Info(partRequest, "caller left", "id", rq.id, "route", rq.route.Name(), "ms", ms(time.Since(arrived)), "sends", out.sends)
		panic(http.ErrAbortHandler)
	}
	e.fitness.note(time.Now(), out.enough)
	e.answer(w, r, rq, out)
}

// limitBody bounds the time in which a body must arrive.
func (e *Edge) limitBody(w http.ResponseWriter, arrived time.Time) {
	limit := headerLimit
	if t := e.dispatch.current(); t != nil && t.Limits().HeaderTimeout > 0 {
		limit = t.Limits().HeaderTimeout
	}
	if err := http.NewResponseController(w).SetReadDeadline(arrived.Add(limit)); err != nil {
		e.log.Warn(partRequest, "time of a body cannot be bounded", "error", err.Error())
	}
}

// admit finds the route and team of a request and decides whether it may run.
func (e *Edge) admit(r *http.Request, arrived time.Time) (*request, *refusal) {
	rq := &request{id: r.Header.Get(e.names.RequestID), method: r.Method, arrived: arrived}
	t := e.dispatch.current()
	if t == nil {
		return rq, &refusal{status: http.StatusServiceUnavailable, text: "no configuration is known yet", again: retryStarting}
	}
	rq.version = t.Version()
	path, _, _ := strings.Cut(r.RequestURI, "?")
	rq.route = t.Match(hostName(r.Host), path)
	if rq.route == nil {
		return rq, &refusal{status: http.StatusNotFound, text: "no route"}
	}
	team, ok := teamOf(t, rq.route, r.Header.Get(authorization))
	if !ok {
		return rq, &refusal{status: http.StatusUnauthorized, text: "no such key"}
	}
	rq.rank = rq.route.Priority()
	if team != nil {
		rq.team, rq.rank = team.Name(), team.Rank(rq.route)
	}
	body, no := readBody(r, t.Limits())
	if no != nil {
		return rq, no
	}
	rq.body = body
	rq.trip = tripTime(r)
	e.setTimes(rq, r)
	if !time.Now().Before(rq.hard) {
		return rq, &refusal{status: http.StatusServiceUnavailable, text: "no time is left", again: retryLeast}
	}
	if team != nil {
		if no := e.admitTeam(team); no != nil {
			return rq, no
		}
	}
	rq.head = e.head(r, rq)
	return rq, nil
}

// admitTeam takes a request from a team's rate, or returns why not.
func (e *Edge) admitTeam(team *table.Team) *refusal {
	now := time.Now()
	e.quotaMu.Lock()
	defer e.quotaMu.Unlock()
	ok, again := e.quota.Admit(now, team.Name())
	if ok {
		return nil
	}
	return &refusal{
		status: http.StatusTooManyRequests, text: "the team is beyond its rate", again: again,
		inputs: []any{"tokens", math.Round(10*e.quota.Level(now, team.Name())) / 10, "rate", team.Rate(), "burst", team.Burst()},
	}
}

func teamOf(t *table.Table, r *table.Route, header string) (*table.Team, bool) {
	if !t.Keyed() {
		return nil, true
	}
	scheme, key, _ := strings.Cut(header, " ")
	if strings.EqualFold(scheme, bearer) {
		if team := t.Holder(strings.TrimSpace(key)); team != nil {
			return team, true
		}
	}
	return nil, r.Open()
}

func readBody(r *http.Request, limits table.Limits) ([]byte, *refusal) {
	if !hasBody(r) {
		return nil, nil
	}
	most := limits.BodyBytes
	if most <= 0 {
		most = bodyUnknown
	}
	if r.ContentLength > most {
		return nil, &refusal{status: http.StatusRequestEntityTooLarge, text: "the body is too large"}
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, most+1))
	if err != nil {
		return nil, &refusal{status: http.StatusRequestTimeout, text: "the body did not arrive", again: retryLeast}
	}
	if int64(len(body)) > most {
		return nil, &refusal{status: http.StatusRequestEntityTooLarge, text: "the body is too large"}
	}
	return body, nil
}

// tripTime returns the time that bytes take to the caller of a request and back.
func tripTime(r *http.Request) time.Duration {
	if d, ok := delay.RTT(r.Context()); ok {
		return d
	}
	return tripUnknown
}

// setTimes sets when the answer is due and when the request ends. Both are counted by the caller from when it sent the
// request to when it has the answer, so the time there and back is taken off.
func (e *Edge) setTimes(rq *request, r *http.Request) {
	budget, spent := budgetUnknown, time.Duration(0)
	if n, err := strconv.ParseFloat(r.Header.Get(e.names.RemainingMs), 64); err == nil && n >= 0 {
		left := time.Duration(n * float64(time.Millisecond))
		spent = e.dispatch.spent(rq.route, left)
		budget = max(0, left-rq.trip)
	}
	if t := rq.route.Timeout(); t > 0 {
		budget = min(budget, t)
	}
	rq.hard = rq.arrived.Add(budget)
	rq.soft = rq.hard
	aim := rq.route.Aim()
	if aim <= 0 {
		return
	}
	if spent > time.Duration(spentMost*float64(aim)) {
		// The answer is late already, or this caller has another budget than most.
		spent = 0
	}
	trip := min(rq.trip, time.Duration(tripMost*float64(aim)))
	rq.soft = rq.arrived.Add(max(0, min(budget, aim-spent-trip-mergeTime)))
}

// head returns the request line and the headers for backend servers, without those that differ by server.
func (e *Edge) head(r *http.Request, rq *request) []byte {
	dropped := append([]string{authorization, e.names.Team, e.names.ExpectedServer, e.names.RemainingMs}, hopHeaders...)
	for _, field := range r.Header["Connection"] {
		for name := range strings.SplitSeq(field, ",") {
			dropped = append(dropped, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	var b bytes.Buffer
	b.WriteString(r.Method + " " + r.RequestURI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	skip := make(map[string]bool, len(dropped))
	for _, name := range dropped {
		skip[name] = true
	}
	for name, values := range r.Header {
		if skip[name] {
			continue
		}
		for _, v := range values {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
	if rq.team != "" {
		b.WriteString(e.names.Team + ": " + string(rq.team) + "\r\n")
	}
	if hasBody(r) {
		b.WriteString("Content-Length: " + strconv.Itoa(len(rq.body)) + "\r\n")
	}
	return b.Bytes()
}

// answer gives the outcome of a request to its caller.
func (e *Edge) answer(w http.ResponseWriter, r *http.Request, rq *request, out outcome) {
	switch {
	case out.enough && len(rq.route.Shards()) > 0:
		e.answerShards(w, rq, out)
	case out.enough:
		e.pass(w, rq, out, out.parts[0])
	case out.last != nil && len(rq.route.Shards()) == 0:
		e.pass(w, rq, out, out.last)
	default:
		e.refuse(w, r, rq, e.failure(rq, out))
	}
}

// failure returns how a request that got no answer ends; only one that has run nowhere is refused.
func (e *Edge) failure(rq *request, out outcome) refusal {
	missing := ""
	if n := len(out.missing); n > 0 {
		missing = ", missing " + strconv.Itoa(n) + " parts, one of them " + string(out.missing[0])
	}
	if !out.ran {
		// Callers that are refused together should not come back together.
		again := min(max(retryLeast, time.Duration(float64(time.Until(rq.hard))*(0.5+e.dispatch.random())/4)), retryMost)
		return refusal{status: http.StatusServiceUnavailable, text: "no server has room" + missing, again: again, inputs: out.inputs()}
	}
	if out.reason == gather.ReasonDeadline {
		return refusal{status: http.StatusGatewayTimeout, text: "the time is over" + missing, inputs: out.inputs()}
	}
	return refusal{status: http.StatusBadGateway, text: "too few servers answered" + missing, inputs: out.inputs()}
}

// inputs returns what decided that a request got no answer, as names and values for the log.
func (o outcome) inputs() []any {
	return []any{
		"sends", o.sends, "refused", o.refused, "passedCold", o.passed.cold, "passedFull", o.passed.full, "passedSlow", o.passed.slow,
		"passedDown", o.passed.down,
	}
}

func (e *Edge) answerShards(w http.ResponseWriter, rq *request, out outcome) {
	merger := topk.New(rq.route.TopK())
	signatures := make([]string, 0, len(out.parts))
	seen := make(map[string]bool, len(out.parts))
	for _, p := range out.parts {
		if p == nil {
			continue
		}
		s := p.Header.Get(e.names.Signature)
		if seen[s] {
			continue
		}
		seen[s] = true
		signatures = append(signatures, s)
		merger.Add(p.Body)
	}
	body := merger.Bytes()
	h := w.Header()
	h[e.names.PartSignatures] = []string{strings.Join(signatures, ", ")}
	h[e.names.MissingParts] = []string{strconv.Itoa(len(out.parts) - len(signatures))}
	h[e.names.RequestID] = []string{rq.id}
	h["Content-Type"] = []string{"application/octet-stream"}
	h["Content-Length"] = []string{strconv.Itoa(len(body))}
	w.WriteHeader(http.StatusOK)
	_, err := w.Write(body)
	took := time.Since(rq.arrived)
	e.countAnswer(rq, took, float64(len(signatures))/float64(len(out.parts)))
	e.logAnswer(rq, out, http.StatusOK, took, err)
}

// pass gives a server's whole answer to the caller.
func (e *Edge) pass(w http.ResponseWriter, rq *request, out outcome, a *link.Answer) {
	h := w.Header()
	for name, values := range a.Header {
		if isHop(name) || name == e.names.Load || name == e.names.ColdMs {
			continue
		}
		h[name] = values
	}
	h["Content-Length"] = []string{strconv.Itoa(len(a.Body))}
	w.WriteHeader(a.Status)
	_, err := w.Write(a.Body)
	took := time.Since(rq.arrived)
	if a.Status < http.StatusMultipleChoices {
		e.countAnswer(rq, took, 1)
	} else {
		e.countRefusal(rq, a.Status, took)
	}
	e.logAnswer(rq, out, a.Status, took, err)
}

func isHop(name string) bool {
	for _, h := range hopHeaders {
		if h == name {
			return true
		}
	}
	return false
}

// refuse gives an answer of the edge's own.
func (e *Edge) refuse(w http.ResponseWriter, r *http.Request, rq *request, no refusal) {
	h := w.Header()
	if rq.id != "" {
		h[e.names.RequestID] = []string{rq.id}
	}
	if no.again > 0 {
		h.Set(retryAfter, strconv.FormatFloat(no.again.Seconds(), 'f', 3, 64))
	}
	took := time.Since(rq.arrived)
	e.countRefusal(rq, no.status, took)
	fields := []any{
		"id", rq.id, "status", no.status, "reason", no.text, "team", rq.team, "version", rq.version, "ms", ms(took),
		"againMs", ms(no.again),
	}
	if rq.route == nil {
		fields = append(fields, "host", r.Host)
	} else {
		fields = append(fields, "route", rq.route.Name())
	}
	if !rq.hard.IsZero() {
		fields = append(fields, "budgetMs", ms(rq.hard.Sub(rq.arrived)))
	}
	e.log.Warn(partRequest, "request not answered", append(fields, no.inputs...)...)
	http.Error(w, no.text, no.status)
}

func (e *Edge) countAnswer(rq *request, took time.Duration, coverage float64) {
	e.metrics.answered(rq, took, coverage)
	e.traffic.answer(took, rq.route.Aim(), coverage)
}

func (e *Edge) countRefusal(rq *request, status int, took time.Duration) {
	e.metrics.refused(rq, status, took)
	e.traffic.refuse(status)
}

func (e *Edge) logAnswer(rq *request, out outcome, status int, took time.Duration, err error) {
	late := rq.route.Aim() > 0 && took > rq.route.Aim()
	if err == nil && !late && len(out.missing) == 0 && status < http.StatusMultipleChoices {
		e.log.Info(partRequest, "answered", "id", rq.id, "route", rq.route.Name(), "team", rq.team, "version", rq.version, "ms", ms(took),
			"sends", out.sends, "hedges", out.hedges)
		return
	}
	fields := []any{
		"id", rq.id, "route", rq.route.Name(), "team", rq.team, "status", status, "version", rq.version, "ms", ms(took),
		"aimMs", ms(rq.route.Aim()), "dueMs", ms(rq.soft.Sub(rq.arrived)), "tripMs", ms(rq.trip),
		"budgetMs", ms(rq.hard.Sub(rq.arrived)), "reason", out.reason.String(), "sends", out.sends, "hedges", out.hedges,
		"refused", out.refused, "missing", len(out.missing),
	}
	if len(out.missing) > 0 {
		fields = append(fields, "firstMissing", out.missing[0])
	}
	if err != nil {
		fields = append(fields, "error", err.Error())
	}
	e.log.Info(partRequest, "answered late or in part", fields...)
}

func hostName(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		return h
	}
	return host
}

// serveReady tells the platform whether callers may come.
func (e *Edge) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !e.ready.Load() || e.leaving.Load() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// serveDirectory tells a caller which VMs to use.
func (e *Edge) serveDirectory(w http.ResponseWriter, _ *http.Request) {
	addresses := e.directory()
	if len(addresses) == 0 {
		http.Error(w, "no VM is ready", http.StatusServiceUnavailable)
		return
	}
	body, err := e.names.DirectoryAnswer(addresses, e.keep())
	if err != nil {
		e.log.Error(partFleet, "directory answer cannot be encoded", "error", err.Error())
		http.Error(w, "internal error", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

// listen opens a TCP listener at an address.
func listen(ctx context.Context, address string) (net.Listener, error) {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Errorf("listen at %s: %w", address, err)
	}
	return l, nil
}
