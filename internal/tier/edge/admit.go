package edge

import (
	"context"
	"math"
	"net/http"
	"strings"
	"time"

	"kumquatreel.example/kumquatreel/internal/tier/admit"
	"kumquatreel.example/kumquatreel/internal/tier/table"
)

// admit finds the route and team of a request and decides whether it may run. If not, it returns a refusal with those
// fields of the request that are known.
func (e *Edge) admit(r *http.Request, arrived time.Time) (*request, *refusal) {
	rq := &request{id: r.Header.Get(e.names.RequestID), method: r.Method, arrived: arrived}
	remaining, _ := e.remaining(r)
	t := e.dispatch.awaitTable(r.Context(), admit.StartupWait(remaining))
	if t == nil {
		return rq, &refusal{status: http.StatusServiceUnavailable, text: "no configuration is known yet", retryAfter: startingRetryAfter}
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
		rq.team, rq.rank = team.Name(), team.Priority(rq.route)
	}
	body, rejected := readBody(r, t.Limits())
	if rejected != nil {
		return rq, rejected
	}
	rq.body = body
	if rejected := holdQuery(r, rq.route); rejected != nil {
		return rq, rejected
	}
	rq.rtt = clientRTT(r)
	e.setDeadlines(rq, r)
	if !time.Now().Before(rq.hard) {
		return rq, &refusal{status: http.StatusServiceUnavailable, text: "no time is left", retryAfter: admit.MinRetryAfter}
	}
	if rejected := e.admitStopping(rq); rejected != nil {
		return rq, rejected
	}
	if team != nil {
		if rejected := e.admitTeam(r.Context(), team); rejected != nil {
			return rq, rejected
		}
	}
	rq.head = e.requestHead(r, rq)
	return rq, nil
}

// admitStopping bounds the deadlines of a request by the last answers of a VM that stops, or returns a refusal if the request would
// probably not be answered by then.
func (e *Edge) admitStopping(rq *request) *refusal {
	end := e.lastAnswers.Load()
	if end == nil {
		return nil
	}
	left, budget := time.Until(*end), rq.hard.Sub(rq.arrived)
	_, late := e.dispatch.partLatency(rq.route)
	if !admit.MayStart(left, budget, late, rq.route.Kind() == table.KindIdempotent) {
		return &refusal{
			status: http.StatusServiceUnavailable, text: "the VM stops", retryAfter: admit.MinRetryAfter,
			details: []any{"leftMs", ms(left), "lateMs", ms(late)},
		}
	}
	if end.Before(rq.hard) {
		rq.hard = *end
	}
	if end.Before(rq.soft) {
		rq.soft = *end
	}
	return nil
}

// admitTeam takes a token for a request from its team's quota, or returns a refusal if the team is over its rate.
func (e *Edge) admitTeam(ctx context.Context, team *table.Team) *refusal {
	now := time.Now()
	e.quotaMu.Lock()
	ok, retryAfter := e.quota.Admit(now, team.Name())
	tokens, wait := 0.0, false
	if !ok {
		tokens, wait = e.quota.Ask(now, team.Name())
	}
	e.quotaMu.Unlock()
	if wait {
		ok, retryAfter = e.admitAgain(ctx, team.Name(), tokens, retryAfter)
	}
	if ok {
		return nil
	}
	e.quotaMu.Lock()
	defer e.quotaMu.Unlock()
	now = time.Now()
	return &refusal{
		status: http.StatusTooManyRequests, text: "the team is beyond its rate", retryAfter: retryAfter,
		details: []any{
			"tokens", math.Round(10*e.quota.Level(now, team.Name())) / 10, "reserve", math.Round(10*e.quota.Reserve(now, team.Name())) / 10,
			"rate", team.Rate(), "burst", team.Burst(),
		},
	}
}

// teamOf returns the team whose key an Authorization header contains, or nil if the request is anonymous. It returns false
// if the key is missing or unknown and the route requires one.
func teamOf(t *table.Table, r *table.Route, header string) (*table.Team, bool) {
	if !t.RequiresKey() {
		return nil, true
	}
	scheme, key, _ := strings.Cut(header, " ")
	if strings.EqualFold(scheme, bearer) {
		if team := t.TeamByKey(strings.TrimSpace(key)); team != nil {
			return team, true
		}
	}
	return nil, r.AllowAnonymous()
}
