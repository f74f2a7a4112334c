package edge

import (
	"context"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/limit/quota"
	"kumquatreel.example/kumquatreel/internal/tier/peers"
)

// askFanout is the number of VMs that are asked for tokens of a team.
const askFanout = 4

// admitAgain asks other VMs for tokens of a team, if their number is above 0, and admits a request that was not admitted for want of them if
// they give enough in time.
func (e *Edge) admitAgain(ctx context.Context, team ident.Team, tokens float64, retryAfter time.Duration) (bool, time.Duration) {
	if tokens > 0 && !e.askForTokens(team, tokens) {
		return false, retryAfter
	}
	timeout := time.NewTimer(quota.AnswerTime)
	defer timeout.Stop()
	for {
		e.quotaMu.Lock()
		ok, retryAfter := e.quota.AdmitAgain(time.Now(), team)
		given := e.tokensGiven
		e.quotaMu.Unlock()
		if ok {
			return true, 0
		}
		select {
		case <-given:
		case <-timeout.C:
			return false, retryAfter
		case <-ctx.Done():
			return false, retryAfter
		}
	}
}

// askForTokens asks some VMs of the core group for tokens of a team, and reports whether there are any.
func (e *Edge) askForTokens(team ident.Team, tokens float64) bool {
	c, now := e.core(), time.Now()
	e.fleet.mu.Lock()
	var to []string
	for _, m := range e.fleet.peers.Alive(now) {
		if d := m.Digest(); c.Has(d.VM) && d.Part > 0 {
			to = append(to, d.Address)
		}
	}
	e.fleet.rng.Shuffle(len(to), func(i, j int) { to[i], to[j] = to[j], to[i] })
	e.fleet.mu.Unlock()
	if len(to) == 0 {
		return false
	}
	m := e.newMessage(now)
	m.Asked = map[ident.Team]float64{team: tokens}
	e.send(m, to[:min(len(to), askFanout)]...)
	return true
}

// exchangeTokens gives another VM the tokens that it asks for, and takes those that it gives.
func (e *Edge) exchangeTokens(now time.Time, m peers.Message) {
	if len(m.Asked)+len(m.Given) == 0 {
		return
	}
	e.quotaMu.Lock()
	given := e.quota.Give(now, m.Asked)
	if len(m.Given) > 0 {
		e.quota.Receive(now, m.Given)
		close(e.tokensGiven)
		e.tokensGiven = make(chan struct{})
	}
	e.quotaMu.Unlock()
	if len(given) > 0 {
		reply := e.newMessage(now)
		reply.Given = given
		e.send(reply, m.From.Address)
	}
}
