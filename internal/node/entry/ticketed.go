package entry

import (
	"context"
	"net/http"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/clock"
	"kumquatreel.example/kumquatreel/internal/base/fault"
	"kumquatreel.example/kumquatreel/internal/fleet/agent"
	"kumquatreel.example/kumquatreel/internal/fleet/member"
	"kumquatreel.example/kumquatreel/internal/node/trace"
	"kumquatreel.example/kumquatreel/internal/query/ticket"
	"kumquatreel.example/kumquatreel/internal/wire/inner"
	"kumquatreel.example/kumquatreel/internal/wire/netio"
	"kumquatreel.example/kumquatreel/internal/wire/public"
)

// forwardTimeoutMargin is added to the route's deadline for the timeout of a forwarded request.
const forwardTimeoutMargin = 500 * time.Millisecond

func (e *Entry) tickets(w http.ResponseWriter, r *http.Request) {
	var body public.TicketsRequest
	if err := e.readBody(w, r, &body); err != nil || body.Count < 1 || body.Count > maxTicketsPerCall {
		e.writeFailure(w, "", fault.New(fault.CodeBadRequest, fault.OutcomeNotSent, "count is not in 1 to %d", maxTicketsPerCall))
		return
	}
	catalog := e.mesh.Catalog()
	if catalog == nil || !e.mesh.Fresh() {
		e.writeFailure(w, "", fault.New(fault.CodeStale, fault.OutcomeNotSent, "this VM has had no news for too long").WithRetryAfter(time.Second))
		return
	}
	q := &request{catalog: catalog, team: openTeam}
	if f := e.authenticate(r, q); f != nil {
		e.writeFailure(w, "", f)
		return
	}
	reply := public.Tickets{Address: e.settings.ClientAddress(), ValidMillis: int(ticket.Lifetime / time.Millisecond)}
	e.ticketMu.Lock()
	defer e.ticketMu.Unlock()
	for range body.Count {
		id, ok := e.registry.Issue(e.clock.Now(), q.team, e.ticketRng)
		if !ok {
			break
		}
		reply.Tickets = append(reply.Tickets, string(id))
	}
	if len(reply.Tickets) == 0 {
		e.writeFailure(w, "", fault.New(fault.CodeOverloaded, fault.OutcomeNotSent, "the team has too many unused tickets").WithRetryAfter(ticket.Lifetime))
		return
	}
	netio.WriteJSON(w, http.StatusOK, reply)
}

// serveTicket answers a request that carries a ticket, or forwards it to the VM that issued the ticket.
func (e *Entry) serveTicket(w http.ResponseWriter, r *http.Request, q *request) {
	answer := e.useTicket(context.WithoutCancel(r.Context()), q, func() (ticket.Answer, *fault.Error) {
		return e.forward(r.Context(), q)
	})
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}

// ServeForwarded runs a request that another VM has forwarded to this VM as the issuer of its ticket.
func (e *Entry) ServeForwarded(ctx context.Context, in inner.Ticketed) ticket.Answer {
	q := &request{
		id: e.prefix + "f" + in.Ticket[max(0, len(in.Ticket)-8):], team: in.Team, keyID: in.KeyID,
		query:   public.Query{Route: in.Route, Record: in.Record, Ticket: in.Ticket, Body: in.Body, Limit: defaultLimit},
		catalog: e.mesh.Catalog(), arrived: e.clock.Now(),
		trace: &trace.Request{Team: in.Team, Route: in.Route},
	}
	q.trace.ID = q.id
	if q.catalog == nil || !e.mesh.Fresh() {
		return e.failedAnswer(q, fault.New(fault.CodeOutcomeUnknown, fault.OutcomeUnknown, "the ticket's VM has had no news for too long"))
	}
	q.route = q.catalog.Route(in.Route)
	if q.route == nil || q.route.Idempotent() {
		return e.failedAnswer(q, fault.New(fault.CodeNotFound, fault.OutcomeUnknown, "route %q is not defined for tickets", in.Route))
	}
	return e.useTicket(ctx, q, func() (ticket.Answer, *fault.Error) {
		return ticket.Answer{}, fault.New(fault.CodeOutcomeUnknown, fault.OutcomeUnknown, "the ticket's process is gone; the request may have run")
	})
}

func (e *Entry) useTicket(ctx context.Context, q *request, onElsewhere func() (ticket.Answer, *fault.Error)) ticket.Answer {
	id := ticket.ID(q.query.Ticket)
	e.ticketMu.Lock()
	state, answer := e.registry.Redeem(e.clock.Now(), id, q.team)
	e.ticketMu.Unlock()
	switch state {
	case ticket.StateFirst:
		return e.runTicket(ctx, id, q)
	case ticket.StateDone:
		return answer
	case ticket.StateRunning:
		return e.failedAnswer(q, fault.New(fault.CodeOutcomeUnknown, fault.OutcomeUnknown, "the request with this ticket is in progress").WithRetryAfter(time.Second))
	case ticket.StateElsewhere:
		answer, f := onElsewhere()
		if f != nil {
			return e.failedAnswer(q, f)
		}
		return answer
	case ticket.StateMalformed:
		return e.failedAnswer(q, fault.New(fault.CodeBadRequest, fault.OutcomeNotSent, "the ticket is malformed"))
	case ticket.StateUnknown:
	}
	return e.failedAnswer(q, fault.New(fault.CodeOutcomeUnknown, fault.OutcomeUnknown, "the ticket is not known here any more; the request may have run"))
}

// runTicket runs a ticket's request and records its outcome before it returns the answer.
func (e *Entry) runTicket(ctx context.Context, id ticket.ID, q *request) ticket.Answer {
	reply, f := e.run(ctx, q)
	var answer ticket.Answer
	if f == nil {
		answer = ticket.Answer{Status: http.StatusOK, Body: marshal(reply)}
	} else {
		answer = e.failedAnswer(q, f)
	}
	e.ticketMu.Lock()
	defer e.ticketMu.Unlock()
	if f != nil && f.Outcome().NotRun() {
		e.registry.Release(id)
	} else {
		e.registry.Finish(id, answer)
	}
	return answer
}

// forward sends a request to the VM that issued its ticket.
func (e *Entry) forward(ctx context.Context, q *request) (ticket.Answer, *fault.Error) {
	process, _ := ticket.ID(q.query.Ticket).Process()
	vm := member.VMOf(process)
	address := e.mesh.Address(vm)
	reachable := false
	e.mesh.WithAgent(func(now clock.Instant, a *agent.Agent) { reachable = a.Membership().Responding(now, vm) })
	unknown := fault.New(fault.CodeOutcomeUnknown, fault.OutcomeUnknown, "the ticket's VM %s cannot be asked; the request may have run", vm).WithRetryAfter(time.Second)
	if address == "" || vm == e.settings.Name() || !reachable {
		return ticket.Answer{}, unknown
	}
	ctx, cancel := context.WithTimeout(ctx, q.route.Deadline()+forwardTimeoutMargin)
	defer cancel()
	var answer ticket.Answer
	err := netio.Post(ctx, e.mesh.Client(), address, inner.PathTicketed, inner.Ticketed{
		Team: q.team, KeyID: q.keyID, Route: q.route.Name(), Ticket: q.query.Ticket,
		Record: q.query.Record, Body: q.query.Body,
	}, &answer, inner.MaxMessageBytes)
	if err != nil {
		return ticket.Answer{}, unknown
	}
	return answer, nil
}

func (e *Entry) failedAnswer(q *request, f *fault.Error) ticket.Answer {
	e.recordFailure(q, f)
	return ticket.Answer{Status: f.Code().Status(), Body: marshal(failure(q.id, f))}
}
