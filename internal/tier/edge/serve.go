package edge

import (
	"bytes"
	"io"
	"math"
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"kumquatreel.example/kumquatreel/internal/limit/hold"
	"kumquatreel.example/kumquatreel/internal/tier/admit"
	"kumquatreel.example/kumquatreel/internal/tier/delay"
	"kumquatreel.example/kumquatreel/internal/tier/gather"
	"kumquatreel.example/kumquatreel/internal/tier/link"
	"kumquatreel.example/kumquatreel/internal/tier/topk"
	"kumquatreel.example/kumquatreel/internal/wire/guard"
)

// Components that log lines belong to.
const (
	componentRequest = "request"
	componentFleet   = "fleet"
	componentStore   = "store"
	componentServers = "servers"
	componentProcess = "process"
	componentTraffic = "traffic"
)

const (
	authorization = "Authorization"
	bearer        = "Bearer"
	retryAfter    = "Retry-After"

	// defaultBudget is the time budget of a request for which neither the client nor the route sets one.
	defaultBudget = 10 * time.Second
	// maxBudget bounds the time budget that a client may state.
	maxBudget = time.Hour
	// maxElapsedFraction is the fraction of the target latency that a client may have consumed before its request arrived
	// for that time to be subtracted from the time left for the answer.
	maxElapsedFraction = 0.5
	// startingRetryAfter is the Retry-After delay sent by a VM without a configuration.
	startingRetryAfter = 200 * time.Millisecond
	// writeTimeout is how long after its deadline a request's answer may still be written to a slow client.
	writeTimeout = 5 * time.Second
	// defaultMaxBodyBytes bounds the size of a request body if no limit is published.
	defaultMaxBodyBytes = 1 << 20
)

// hopHeaders are the hop-by-hop headers, which are not forwarded.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// refusal is an error response that this VM generates itself.
type refusal struct {
	status int
	text   string
	// retryAfter is the delay after which the client should retry, 0 for no retry.
	retryAfter time.Duration
	// details are the values that caused the refusal, as keys and values for the log.
	details []any
	// ends says that the connection is closed.
	ends bool
}

// serveRequest handles one request of a client.
func (e *Edge) serveRequest(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	if hasBody(r) {
		e.setBodyDeadline(w, arrived)
	}
	if rejected := e.beginRequest(r); rejected != nil {
		e.refuse(w, r, &request{id: r.Header.Get(e.names.RequestID), arrived: arrived}, *rejected)
		return
	}
	rq, rejected := e.admit(r, arrived)
	if rejected != nil {
		e.closeIfLeaving(w)
		e.refuse(w, r, rq, *rejected)
		return
	}
	if err := http.NewResponseController(w).SetWriteDeadline(rq.hard.Add(writeTimeout)); err != nil {
		e.log.Warn(componentRequest, "cannot set write deadline of an answer", "id", rq.id, "error", err.Error())
	}
	out := e.run(r.Context(), rq)
	defer out.release()
	if out.clientGone {
		e.metrics.clientGone(rq)
		e.traffic.recordClientGone()
		e.log.Info(componentRequest, "client disconnected", "id", rq.id, "route", rq.route.Name(), "ms", ms(time.Since(arrived)),
			"sends", out.sends)
		panic(http.ErrAbortHandler)
	}
	e.health.observe(time.Now(), out.enough)
	e.closeIfLeaving(w)
	if g := guard.FromContext(r.Context()); g != nil {
		g.Enter(hold.StageAnswering)
	}
	e.respond(w, r, rq, out)
}

// closeIfLeaving asks the client to close its connection with the answer if the VM leaves, also if it began to after the request came.
func (e *Edge) closeIfLeaving(w http.ResponseWriter) {
	if e.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
}

// setBodyDeadline bounds the time in which a request body must arrive.
func (e *Edge) setBodyDeadline(w http.ResponseWriter, arrived time.Time) {
	timeout := headerTimeout
	if t := e.dispatch.current(); t != nil && t.Limits().HeaderTimeout > 0 {
		timeout = t.Limits().HeaderTimeout
	}
	deadline := arrived.Add(timeout)
	if end := e.lastAnswers.Load(); end != nil && end.Before(deadline) {
		deadline = *end
	}
	if err := http.NewResponseController(w).SetReadDeadline(deadline); err != nil {
		e.log.Warn(componentRequest, "cannot set read deadline of a body", "error", err.Error())
	}
}

// clientRTT returns the round-trip time to the client of a request.
func clientRTT(r *http.Request) time.Duration {
	if d, ok := delay.RTT(r.Context()); ok {
		return d
	}
	return defaultRTT
}

// remaining returns the remaining time that the client states, at most maxBudget, or false if it states none.
func (e *Edge) remaining(r *http.Request) (time.Duration, bool) {
	n, err := strconv.ParseFloat(r.Header.Get(e.names.RemainingMs), 64)
	if err != nil || math.IsNaN(n) || n < 0 {
		return 0, false
	}
	return time.Duration(min(n*float64(time.Millisecond), float64(maxBudget))), true
}

// setDeadlines sets when the answer is due and when the request ends. The client measures both times from sending the
// request to receiving the answer, so the round-trip time is subtracted.
func (e *Edge) setDeadlines(rq *request, r *http.Request) {
	budget, elapsed := defaultBudget, time.Duration(0)
	if left, ok := e.remaining(r); ok {
		elapsed = e.dispatch.elapsed(rq.route, left)
		budget = max(0, left-rq.rtt)
	}
	rq.bound(budget, elapsed)
}

// bound sets when the answer is due and when the request ends, given what is left of the client's time for the answer to be written and what it
// had used of it before the request arrived.
func (rq *request) bound(budget, elapsed time.Duration) {
	if t := rq.route.Timeout(); t > 0 {
		budget = min(budget, t)
	}
	rq.hard = rq.arrived.Add(budget)
	rq.soft = rq.hard
	target := rq.route.TargetLatency()
	if target <= 0 {
		return
	}
	if elapsed > time.Duration(maxElapsedFraction*float64(target)) {
		// The answer is late already, or this client's time budget differs from that of most clients.
		elapsed = 0
	}
	rtt := min(rq.rtt, time.Duration(maxRTTFraction*float64(target)))
	rq.soft = rq.arrived.Add(max(0, min(budget, target-elapsed-rtt-mergeTime)))
}

// requestHead returns the request line and the headers for backend servers, without the headers that differ by server.
func (e *Edge) requestHead(r *http.Request, rq *request) []byte {
	excluded := append([]string{authorization, e.names.Team, e.names.ExpectedServer, e.names.RemainingMs}, hopHeaders...)
	for _, field := range r.Header["Connection"] {
		for name := range strings.SplitSeq(field, ",") {
			excluded = append(excluded, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	var b bytes.Buffer
	b.WriteString(r.Method + " " + r.RequestURI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	skip := make(map[string]bool, len(excluded))
	for _, name := range excluded {
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
		b.WriteString("Content-Length: " + strconv.Itoa(link.BodyBytes(rq.body)) + "\r\n")
	}
	return b.Bytes()
}

// respond writes the outcome of a request to the client.
func (e *Edge) respond(w http.ResponseWriter, r *http.Request, rq *request, out outcome) {
	switch {
	case out.enough && len(rq.route.Shards()) > 0:
		e.writeMerged(w, rq, out)
	case out.enough:
		e.writeAnswer(w, rq, out, out.parts[0])
	case out.lastFailed != nil && len(rq.route.Shards()) == 0:
		e.writeAnswer(w, rq, out, out.lastFailed)
	default:
		e.refuse(w, r, rq, e.failure(rq, out))
	}
}

// failure returns the response to a request without an answer. Status 503, after which the client may retry, is returned
// only if no server has run any part of the request.
func (e *Edge) failure(rq *request, out outcome) refusal {
	missing := ""
	if n := len(out.missing); n > 0 {
		missing = ", missing " + strconv.Itoa(n) + " parts, one of them " + string(out.missing[0])
	}
	now := time.Now()
	w := e.dispatch.withholding(now, out.missing, out.short)
	details := append(out.details(), "saidLeaving", w.Leaving, "resting", w.Resting)
	if !out.ran {
		delay := admit.RetryAfter(rq.hard.Sub(now), e.dispatch.random())
		if !w.Until.IsZero() {
			delay = admit.RetryAfterRest(w.Until.Sub(now), rq.hard.Sub(now), e.dispatch.random())
		}
		return refusal{status: http.StatusServiceUnavailable, text: "no server has room" + missing, retryAfter: delay, details: details}
	}
	switch out.reason {
	case gather.ReasonDeadline:
		return refusal{status: http.StatusGatewayTimeout, text: "the time is over" + missing, details: details}
	case gather.ReasonStopped:
		return refusal{status: http.StatusGatewayTimeout, text: "the VM stops" + missing, details: details}
	default:
	}
	return refusal{status: http.StatusBadGateway, text: "too few servers answered" + missing, details: details}
}

// details returns the values that explain a request without an answer, as keys and values for the log.
func (o outcome) details() []any {
	return []any{
		"sends", o.sends, "refused", o.refused, "passedCold", o.skipped.Cold, "passedFull", o.skipped.Full, "passedSlow", o.skipped.Slow,
		"passedFailing", o.skipped.Failing, "passedLimited", o.skipped.Limited, "passedResting", o.skipped.Resting, "passedDown", o.skipped.Down, "passedLoaded", o.skipped.Loaded,
	}
}

// writeMerged merges the answers of the shards and writes the result to the client.
func (e *Edge) writeMerged(w http.ResponseWriter, rq *request, out outcome) {
	merger := topk.New(rq.route.TopK())
	signatures := make([]string, 0, len(out.parts))
	for _, p := range out.parts {
		if p == nil {
			continue
		}
		signatures = append(signatures, p.Header.Get(e.names.Signature))
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

// writeAnswer forwards a server's complete answer to the client.
func (e *Edge) writeAnswer(w http.ResponseWriter, rq *request, out outcome, a *link.Answer) {
	h := w.Header()
	for name, values := range a.Header {
		if isHopHeader(name) || e.names.ForVMs(name) {
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

func isHopHeader(name string) bool {
	for _, h := range hopHeaders {
		if h == name {
			return true
		}
	}
	return false
}

// refuse writes and logs a refusal.
func (e *Edge) refuse(w http.ResponseWriter, r *http.Request, rq *request, ref refusal) {
	if err := http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		e.log.Warn(componentRequest, "cannot set write deadline of a refusal", "id", rq.id, "error", err.Error())
	}
	if g := guard.FromContext(r.Context()); g != nil {
		g.Enter(hold.StageAnswering)
	}
	h := w.Header()
	if ref.ends {
		h.Set("Connection", "close")
	}
	if rq.id != "" {
		h[e.names.RequestID] = []string{rq.id}
	}
	if ref.retryAfter > 0 {
		h.Set(retryAfter, strconv.FormatFloat(ref.retryAfter.Seconds(), 'f', 3, 64))
	}
	took := time.Since(rq.arrived)
	e.countRefusal(rq, ref.status, took)
	fields := []any{
		"id", rq.id, "status", ref.status, "reason", ref.text, "team", rq.team, "version", rq.version, "ms", ms(took),
		"againMs", ms(ref.retryAfter),
	}
	if rq.route == nil {
		fields = append(fields, "host", r.Host)
	} else {
		fields = append(fields, "route", rq.route.Name())
	}
	if !rq.hard.IsZero() {
		fields = append(fields, "budgetMs", ms(rq.hard.Sub(rq.arrived)))
	}
	e.log.Warn(componentRequest, "request not answered", append(fields, ref.details...)...)
	http.Error(w, ref.text, ref.status)
}

func (e *Edge) countAnswer(rq *request, took time.Duration, coverage float64) {
	e.metrics.answered(rq, took, coverage)
	e.traffic.recordAnswer(took, rq.route.TargetLatency(), coverage)
}

func (e *Edge) countRefusal(rq *request, status int, took time.Duration) {
	e.metrics.refused(rq, status, took)
	e.traffic.recordRefusal(status)
}

// logAnswer logs an answer that was written to the client, with more details if it was late, partial or an error.
func (e *Edge) logAnswer(rq *request, out outcome, status int, took time.Duration, err error) {
	late := rq.route.TargetLatency() > 0 && took > rq.route.TargetLatency()
	if err == nil && !late && len(out.missing) == 0 && status < http.StatusMultipleChoices {
		e.log.Info(componentRequest, "answered", "id", rq.id, "route", rq.route.Name(), "team", rq.team, "version", rq.version, "ms", ms(took),
			"sends", out.sends, "hedges", out.hedges)
		return
	}
	fields := []any{
		"id", rq.id, "route", rq.route.Name(), "team", rq.team, "status", status, "version", rq.version, "ms", ms(took),
		"aimMs", ms(rq.route.TargetLatency()), "dueMs", ms(rq.soft.Sub(rq.arrived)), "tripMs", ms(rq.rtt),
		"budgetMs", ms(rq.hard.Sub(rq.arrived)), "reason", out.reason.String(), "sends", out.sends, "hedges", out.hedges,
		"refused", out.refused, "missing", len(out.missing),
	}
	if len(out.missing) > 0 {
		fields = append(fields, "firstMissing", out.missing[0])
	}
	if err != nil {
		fields = append(fields, "error", err.Error())
	}
	e.log.Info(componentRequest, "answered late or in part", fields...)
}

// hostName returns the host of a Host header without its port.
func hostName(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		return h
	}
	return host
}

// serveReady answers the platform's readiness probe.
func (e *Edge) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !e.ready.Load() || e.leaving.Load() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// serveDirectory returns the addresses of the VMs to which a client should send requests.
func (e *Edge) serveDirectory(w http.ResponseWriter, _ *http.Request) {
	addresses := e.directory()
	if len(addresses) == 0 {
		http.Error(w, "no VM is ready", http.StatusServiceUnavailable)
		return
	}
	body, err := e.names.DirectoryAnswer(addresses, e.directoryTTL())
	if err != nil {
		e.log.Error(componentFleet, "cannot encode directory answer", "error", err.Error())
		http.Error(w, "internal error", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}
