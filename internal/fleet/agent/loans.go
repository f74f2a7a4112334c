package agent

import (
	"maps"
	"slices"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/clock"
	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/conf/catlog"
	"kumquatreel.example/kumquatreel/internal/fleet/member"
	"kumquatreel.example/kumquatreel/internal/limit/bucket"
	"kumquatreel.example/kumquatreel/internal/limit/lend"
	"kumquatreel.example/kumquatreel/internal/wire/inner"
)

// Home returns the VM that spends a team's rate, empty when none is reachable.
func (a *Agent) Home(now clock.Instant, team ident.Team) ident.VM {
	var vms []ident.VM
	for _, p := range a.member.Members() {
		if vm := member.VMOf(p); a.member.Reachable(now, vm) {
			vms = append(vms, vm)
		}
	}
	ranked := ident.Rank("home:"+string(team), vms)
	if len(ranked) == 0 {
		return ""
	}
	return ranked[0]
}

// Take spends tokens of a team's rate that this VM holds or has borrowed and reports whether they were there.
func (a *Agent) Take(now clock.Instant, team ident.Team, tokens float64) bool {
	a.seen = now
	pool := a.pools[team]
	if pool == nil {
		return false
	}
	return pool.Take(now, tokens, a.ownUsable(now, team))
}

// RetryAfter returns when a team's next token is due at this VM.
func (a *Agent) RetryAfter(team ident.Team) time.Duration {
	c := a.news.Catalog()
	if c == nil || c.Team(team) == nil {
		return time.Second
	}
	return time.Duration(float64(time.Second) / c.Team(team).Rate())
}

// Level returns the tokens of a team that this VM may spend.
func (a *Agent) Level(now clock.Instant, team ident.Team) float64 {
	pool := a.pools[team]
	if pool == nil {
		return 0
	}
	return pool.Level(now, a.ownUsable(now, team))
}

// Units returns how many parts this VM may have in progress at a backend server, and how many of them while the server is cold.
func (a *Agent) Units(now clock.Instant, server *catlog.Server) (units, cold int) {
	service := server.Service()
	for u := range service.Slots() {
		if !a.MayUse(now, lend.Slot(server.Name(), u)) {
			continue
		}
		units++
		if u < service.ColdSlots() {
			cold++
		}
	}
	return units, cold
}

// Reserve counts one more part in progress at a backend server and reports whether the units allow it.
func (a *Agent) Reserve(now clock.Instant, server *catlog.Server) bool {
	units, _ := a.Units(now, server)
	if a.busy[server.Name()] >= units {
		return false
	}
	a.busy[server.Name()]++
	return true
}

// Free counts one part less in progress at a backend server.
func (a *Agent) Free(server ident.Server) {
	a.busy[server]--
	if a.busy[server] <= 0 {
		delete(a.busy, server)
	}
}

// SetWarm records the incarnation under which a backend server is warm, empty when it is not.
func (a *Agent) SetWarm(server ident.Server, incarnation string) {
	if incarnation == "" {
		delete(a.warm, server)
		return
	}
	a.warm[server] = incarnation
}

// LastWarm returns the incarnation under which another owner has lately seen a backend server warm, empty when none has.
func (a *Agent) LastWarm(now clock.Instant, server ident.Server) string {
	s, ok := a.heard[server]
	if !ok || now.MaxSince(s.at) >= 2*a.opts.Loan+a.opts.Work {
		return ""
	}
	return s.incarnation
}

// Targets returns the VMs through which a backend server may be reached, the owner first.
func (a *Agent) Targets(now clock.Instant, server *catlog.Server) []ident.VM {
	var up, leaving, down []ident.VM
	for u := range server.Service().Slots() {
		vm := a.member.Holder(lend.Slot(server.Name(), u).Resource())
		switch {
		case slices.Contains(up, vm), slices.Contains(leaving, vm), slices.Contains(down, vm):
		case a.member.Reachable(now, vm):
			up = append(up, vm)
		case a.member.Answering(now, vm):
			leaving = append(leaving, vm)
		default:
			down = append(down, vm)
		}
	}
	return slices.Concat(up, leaving, down)
}

// Lent returns how many units of this VM are lent out.
func (a *Agent) Lent(now clock.Instant) int { return a.lender.Count(now) }

// MayUse reports whether this VM may begin work under a unit now.
func (a *Agent) MayUse(now clock.Instant, k lend.Key) bool {
	if a.borrower.Has(now, k) {
		return a.member.Holds(now)
	}
	if at, ok := a.promised[k]; ok {
		if now.MinSince(at) < a.opts.Loan+a.opts.Work {
			return false
		}
		delete(a.promised, k)
	}
	return a.member.Claims(now, k.Resource()) && !a.lender.Out(now, k)
}

// owner reports whether this VM is the one that should gather a backend server's units.
func (a *Agent) owner(server ident.Server) bool {
	return a.member.Holder(lend.Slot(server, 0).Resource()) == a.opts.VM
}

func (a *Agent) ownUsable(now clock.Instant, team ident.Team) *bucket.Bucket {
	if a.lender.Out(now, lend.Rate(team)) {
		return nil
	}
	return a.own[team]
}

// refill sets the size of the own part of each team's rate; a VM without claims has none.
func (a *Agent) refill(now clock.Instant) {
	c := a.news.Catalog()
	if c == nil {
		return
	}
	share := a.member.Share(now)
	for _, t := range c.Teams() {
		b := a.own[t.Name()]
		if b == nil {
			b = &bucket.Bucket{}
			a.own[t.Name()] = b
			a.pools[t.Name()] = &bucket.Pool{}
		}
		b.Set(now, t.Rate()*share, t.Burst()*share)
	}
	for team := range a.own {
		if c.Team(team) == nil {
			delete(a.own, team)
			delete(a.pools, team)
		}
	}
}

// addLoans puts the loans that this VM needs into the exchanges to come, with further exchanges where it needs them.
func (a *Agent) addLoans(now clock.Instant, out []Action) []Action {
	c := a.news.Catalog()
	if c == nil || a.member.Leaving() {
		return out
	}
	asks := a.slotAsks(now, c)
	for _, t := range c.Teams() {
		if a.Home(now, t.Name()) == a.opts.VM {
			a.rateAsks(now, t.Name(), asks)
		}
	}
	for i, act := range out {
		if send, ok := act.(Send); ok {
			send.Exchange.Asks = asks[send.VM]
			out[i] = send
			delete(asks, send.VM)
		}
	}
	for _, vm := range slices.Sorted(maps.Keys(asks)) {
		ex := a.exchange(vm)
		ex.Asks = asks[vm]
		out = append(out, Send{VM: vm, Exchange: ex})
	}
	return out
}

// giveBack returns the parts of rates of which this VM is not the home any more, with their tokens.
func (a *Agent) giveBack(now clock.Instant, out []Action) []Action {
	returns := make(map[ident.VM][]inner.GiveBack)
	for _, team := range slices.Sorted(maps.Keys(a.pools)) {
		pool := a.pools[team]
		if len(pool.Lenders()) == 0 || a.Home(now, team) == a.opts.VM {
			continue
		}
		for _, vm := range pool.Lenders() {
			if serial, level, ok := pool.GiveUp(now, vm); ok {
				returns[vm] = append(returns[vm], inner.GiveBack{Key: lend.Rate(team), Serial: serial, Level: level})
			}
		}
	}
	for _, vm := range slices.Sorted(maps.Keys(returns)) {
		ex := a.exchange(vm)
		ex.Returns = returns[vm]
		out = append(out, Send{VM: vm, Exchange: ex})
	}
	return out
}

func (a *Agent) slotAsks(now clock.Instant, c *catlog.Catalog) map[ident.VM][]inner.LoanAsk {
	asks := make(map[ident.VM][]inner.LoanAsk)
	for _, s := range c.Servers() {
		if s.Service() == nil || !a.owner(s.Name()) {
			continue
		}
		for u := 1; u < s.Service().Slots(); u++ {
			k := lend.Slot(s.Name(), u)
			vm := a.member.Holder(k.Resource())
			if vm == a.opts.VM || !a.borrower.Due(now, k) || !a.member.Answering(now, vm) {
				continue
			}
			asks[vm] = append(asks[vm], inner.LoanAsk{Key: k, Incarnation: a.warm[s.Name()]})
		}
	}
	return asks
}

func (a *Agent) rateAsks(now clock.Instant, team ident.Team, asks map[ident.VM][]inner.LoanAsk) {
	for _, p := range a.member.Members() {
		vm := member.VMOf(p)
		if vm == a.opts.VM || !a.member.Answering(now, vm) {
			continue
		}
		if a.pools[team] != nil && a.pools[team].Due(now, vm) {
			asks[vm] = append(asks[vm], inner.LoanAsk{Key: lend.Rate(team)})
		}
	}
}

// grant lends what a peer asks for, as far as this VM holds it and does not use it.
func (a *Agent) grant(now clock.Instant, ex inner.Exchange) []inner.Grant {
	var out []inner.Grant
	for _, ask := range ex.Asks {
		var g inner.Grant
		var ok bool
		switch ask.Key.Kind {
		case lend.KindSlot:
			g, ok = a.grantSlot(now, ask, ex.Report)
		case lend.KindRate:
			g, ok = a.grantRate(now, ask, ex.Report)
		}
		if ok {
			out = append(out, g)
		}
	}
	return out
}

func (a *Agent) grantSlot(now clock.Instant, ask inner.LoanAsk, from member.Report) (inner.Grant, bool) {
	server := a.server(ident.Server(ask.Key.Name))
	if server == nil || !a.member.Claims(now, ask.Key.Resource()) || a.member.Leaving() {
		return inner.Grant{}, false
	}
	if ask.Incarnation != "" {
		a.heard[server.Name()] = sighting{incarnation: ask.Incarnation, at: now}
	} else {
		delete(a.heard, server.Name())
	}
	if !a.lender.Out(now, ask.Key) {
		a.promised[ask.Key] = now
		if units, _ := a.Units(now, server); a.busy[server.Name()] > units {
			return inner.Grant{}, false
		}
	}
	delete(a.promised, ask.Key)
	serial, ok := a.lender.Grant(now, ask.Key, from.Process)
	return inner.Grant{Key: ask.Key, Serial: serial}, ok
}

func (a *Agent) grantRate(now clock.Instant, ask inner.LoanAsk, from member.Report) (inner.Grant, bool) {
	team := ident.Team(ask.Key.Name)
	c := a.news.Catalog()
	share := a.member.Share(now)
	if c == nil || c.Team(team) == nil || share == 0 || a.own[team] == nil || a.member.Leaving() {
		return inner.Grant{}, false
	}
	if home := a.Home(now, team); home != from.VM && a.member.Reachable(now, home) && home != a.opts.VM {
		return inner.Grant{}, false
	}
	serial, ok := a.lender.Grant(now, ask.Key, from.Process)
	if !ok {
		return inner.Grant{}, false
	}
	level := a.own[team].Drain(now, a.lender.Until(ask.Key))
	return inner.Grant{
		Key: ask.Key, Serial: serial, Level: level,
		Rate: c.Team(team).Rate() * share, Burst: c.Team(team).Burst() * share,
	}, true
}

// accept takes the units that a peer has lent.
func (a *Agent) accept(now clock.Instant, ev Answered) {
	if !a.member.Holds(now) {
		return
	}
	for _, g := range ev.Reply.Grants {
		switch g.Key.Kind {
		case lend.KindSlot:
			a.borrower.Got(g.Key, ev.VM, ev.Asked)
		case lend.KindRate:
			if pool := a.pools[ident.Team(g.Key.Name)]; pool != nil {
				pool.Put(now, ev.VM, bucket.Loan{
					Rate: g.Rate, Burst: g.Burst, Level: g.Level, Serial: g.Serial,
					Asked: ev.Asked, Lasts: a.opts.Loan,
				})
			}
		}
	}
}

// takeBack ends loans that a borrower returns, with the tokens left.
func (a *Agent) takeBack(now clock.Instant, ex inner.Exchange) {
	for _, back := range ex.Returns {
		if !a.lender.Return(back.Key, ex.Report.Process, back.Serial) || back.Key.Kind != lend.KindRate {
			continue
		}
		if b := a.own[ident.Team(back.Key.Name)]; b != nil {
			b.Drain(now, now)
			b.Add(now, back.Level)
		}
	}
}

func (a *Agent) server(name ident.Server) *catlog.Server {
	c := a.news.Catalog()
	if c == nil || c.Server(name) == nil || c.Server(name).Service() == nil {
		return nil
	}
	return c.Server(name)
}
