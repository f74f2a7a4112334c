package agent

import (
	"maps"
	"slices"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/clock"
	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/conf/schema"
	"kumquatreel.example/kumquatreel/internal/fleet/member"
	"kumquatreel.example/kumquatreel/internal/limit/bucket"
	"kumquatreel.example/kumquatreel/internal/limit/lease"
	"kumquatreel.example/kumquatreel/internal/wire/inner"
)

const (
	// homesAsked is how many VMs a request's token is looked for at.
	homesAsked = 3
	// homesLooked is how many VMs are looked at for a home, of which some may be out of reach.
	homesLooked = 8
)

// Home returns the VM that spends a team's rate, empty when none can.
func (a *Agent) Home(now clock.Instant, team ident.Team) ident.VM {
	homes := a.HomeCandidates(now, team)
	if len(homes) == 0 || !a.can(now, homes[0]) {
		return ""
	}
	return homes[0]
}

// HomeCandidates returns the VMs that may spend a team's rate, its home first and then those that may have been its home just before.
func (a *Agent) HomeCandidates(now clock.Instant, team ident.Team) []ident.VM {
	var able, others []ident.VM
	for _, vm := range a.member.Ranked("home:"+string(team), homesLooked) {
		switch {
		case a.can(now, vm):
			able = append(able, vm)
		case a.serves(now, vm):
			others = append(others, vm)
		}
	}
	first := able[:min(1, len(able))]
	homes := slices.Concat(first, others, able[len(first):])
	return homes[:min(homesAsked, len(homes))]
}

// can reports whether a VM is there, stays, and may use claims.
func (a *Agent) can(now clock.Instant, vm ident.VM) bool {
	return a.member.Available(now, vm) && a.member.PeerHoldsShares(now, vm)
}

// serves reports whether a VM is there and may use claims, whether it stays or leaves.
func (a *Agent) serves(now clock.Instant, vm ident.VM) bool {
	return a.member.Responding(now, vm) && a.member.PeerHoldsShares(now, vm)
}

// IsReadyHome reports whether this VM is a team's home and has gathered every part of its rate that can be had.
func (a *Agent) IsReadyHome(now clock.Instant, team ident.Team) bool {
	pool := a.pools[team]
	if pool == nil || a.Home(now, team) != a.opts.VM {
		return false
	}
	holders := 0
	for _, p := range a.member.Members() {
		if vm := member.VMOf(p); a.serves(now, vm) {
			holders++
		}
	}
	return pool.Leases(now)+1 >= holders
}

// Take spends tokens of a team's rate that this VM holds or has borrowed and reports whether they were there.
func (a *Agent) Take(now clock.Instant, team ident.Team, tokens float64) bool {
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

// UsableSlots returns how many parts this VM may have in progress at a backend server, and how many of them while the server is cold.
func (a *Agent) UsableSlots(now clock.Instant, server *schema.Server) (units, cold int) {
	k := lease.SlotKey(server.Name())
	if !a.member.HoldsShares(now) {
		return 0, 0
	}
	borrowed := a.borrower.Usable(now, k)
	own := a.ownSlots(now, server)
	return own.Total + borrowed.Total, own.Cold + borrowed.Cold
}

// ownSlots returns the slots of a backend server that this VM holds and has neither lent nor promised.
func (a *Agent) ownSlots(now clock.Instant, server *schema.Server) lease.SlotCounts {
	k := lease.SlotKey(server.Name())
	if a.lender.Leased(now, k) || a.isPromised(now, k) {
		return lease.SlotCounts{}
	}
	return a.entitled(now, server)
}

// entitled returns the slots of a backend server that this VM holds itself.
func (a *Agent) entitled(now clock.Instant, server *schema.Server) lease.SlotCounts {
	resource := lease.SlotKey(server.Name()).Resource()
	service := server.Service()
	return lease.SlotCounts{
		Total: a.member.Entitlement(now, resource, split(service.Slots())),
		Cold:  a.member.Entitlement(now, resource, split(service.ColdSlots())),
	}
}

// split shares a number of slots between the first two ranks.
func split(slots int) func(rank int) int {
	return func(rank int) int {
		switch rank {
		case 0:
			return (slots + 1) / 2
		case 1:
			return slots / 2
		}
		return 0
	}
}

// isPromised reports whether the VM begins no work under its own slots, because their gatherer has asked for them.
func (a *Agent) isPromised(now clock.Instant, k lease.Key) bool {
	at, ok := a.promised[k]
	if ok && now.MinSince(at) >= a.opts.LeaseDuration+a.opts.MaxWorkTime {
		delete(a.promised, k)
		return false
	}
	return ok
}

// Reserve counts one more part in progress at a backend server and reports whether the units allow it.
func (a *Agent) Reserve(now clock.Instant, server *schema.Server) bool {
	units, _ := a.UsableSlots(now, server)
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
func (a *Agent) SetWarm(now clock.Instant, server ident.Server, incarnation string) {
	if incarnation == "" {
		delete(a.warm, server)
		return
	}
	a.warm[server] = sighting{incarnation: incarnation, at: now}
}

// WarmIncarnation returns the incarnation under which this VM or another has lately found a backend server warm, empty when none has.
func (a *Agent) WarmIncarnation(now clock.Instant, server ident.Server) string {
	if own := a.ownWarm(now, server); own != "" {
		return own
	}
	return a.recent(now, a.heard[server])
}

// ownWarm returns what this VM has found itself, which is all that it tells others.
func (a *Agent) ownWarm(now clock.Instant, server ident.Server) string {
	return a.recent(now, a.warm[server])
}

func (a *Agent) recent(now clock.Instant, s sighting) string {
	if now.MaxSince(s.at) >= 2*a.opts.LeaseDuration+a.opts.MaxWorkTime {
		return ""
	}
	return s.incarnation
}

// MayProbe reports whether no other VM that answers holds slots of a backend server, so that this VM may find out alone whether it is warm.
func (a *Agent) MayProbe(now clock.Instant, server *schema.Server) bool {
	for _, vm := range a.holders(server) {
		if vm != a.opts.VM && a.serves(now, vm) {
			return false
		}
	}
	return true
}

// Targets returns the VMs through which a backend server may be reached, the gatherer of its slots first.
func (a *Agent) Targets(now clock.Instant, server *schema.Server) []ident.VM {
	holders := a.holders(server)
	var able, leaving []ident.VM
	for _, vm := range holders {
		switch {
		case a.can(now, vm):
			able = append(able, vm)
		case a.serves(now, vm):
			leaving = append(leaving, vm)
		}
	}
	if targets := append(able, leaving...); len(targets) > 0 {
		return targets
	}
	return holders
}

// heldServers returns the backend servers of which this VM holds slots in the current view.
func (a *Agent) heldServers(c *schema.Catalog) []*schema.Server {
	if digest := a.member.Digest(); a.heldDigest != digest || a.heldRevision != c.Revision() {
		a.heldDigest, a.heldRevision, a.held = digest, c.Revision(), nil
		for _, s := range c.Servers() {
			if s.Service() != nil && slices.Contains(a.holders(s), a.opts.VM) {
				a.held = append(a.held, s)
			}
		}
	}
	return a.held
}

// holders returns the VMs that hold slots of a backend server in the current view.
func (a *Agent) holders(server *schema.Server) []ident.VM {
	return slices.Compact(a.member.Ranked(lease.SlotKey(server.Name()).Resource(), min(2, server.Service().Slots())))
}

// gatherer returns the VM that borrows the other holders' slots of a backend server: the first one that can use them.
func (a *Agent) gatherer(now clock.Instant, server *schema.Server) ident.VM {
	for _, vm := range a.holders(server) {
		if a.can(now, vm) {
			return vm
		}
	}
	return ""
}

// StopGranting makes a leaving VM lend nothing more, so that its loans come to an end.
func (a *Agent) StopGranting() { a.closing = true }

// LeasedOut returns how many units of this VM are lent out.
func (a *Agent) LeasedOut(now clock.Instant) int { return a.lender.Count(now) }

func (a *Agent) ownUsable(now clock.Instant, team ident.Team) *bucket.Bucket {
	if a.lender.Leased(now, lease.RateKey(team)) {
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
		b.SetLimits(now, t.Rate()*share, t.Burst()*share)
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
		if send, ok := act.(SendExchange); ok {
			send.Exchange.Requests = asks[send.VM]
			out[i] = send
			delete(asks, send.VM)
		}
	}
	for _, vm := range slices.Sorted(maps.Keys(asks)) {
		ex := a.exchange(now, vm)
		ex.Requests = asks[vm]
		out = append(out, SendExchange{VM: vm, Exchange: ex})
	}
	return out
}

// giveBack returns what this VM has borrowed and should not gather any more: rates with their tokens, and slots that it does not use.
func (a *Agent) giveBack(now clock.Instant, out []Action) []Action {
	returns := make(map[ident.VM][]inner.LeaseReturn)
	for _, team := range slices.Sorted(maps.Keys(a.pools)) {
		pool := a.pools[team]
		if len(pool.Lessors()) == 0 || a.Home(now, team) == a.opts.VM {
			continue
		}
		// A few at a time, so that old and new home together can spend the whole rate meanwhile.
		lenders := pool.Lessors()
		for _, vm := range lenders[:(len(lenders)+3)/4] {
			if serial, level, ok := pool.Release(now, vm); ok {
				returns[vm] = append(returns[vm], inner.LeaseReturn{Key: lease.RateKey(team), Serial: serial, Level: level})
			}
		}
	}
	for _, k := range a.borrower.Keys() {
		server := a.server(ident.Server(k.Name))
		if server == nil || a.gatherer(now, server) == a.opts.VM || a.busy[server.Name()] > a.ownSlots(now, server).Total {
			continue
		}
		if vm, serial, ok := a.borrower.Release(now, k); ok {
			returns[vm] = append(returns[vm], inner.LeaseReturn{Key: k, Serial: serial})
		}
	}
	for _, vm := range slices.Sorted(maps.Keys(returns)) {
		ex := a.exchange(now, vm)
		ex.Returns = returns[vm]
		out = append(out, SendExchange{VM: vm, Exchange: ex})
	}
	return out
}

func (a *Agent) slotAsks(now clock.Instant, c *schema.Catalog) map[ident.VM][]inner.LeaseRequest {
	asks := make(map[ident.VM][]inner.LeaseRequest)
	for _, s := range a.heldServers(c) {
		if a.gatherer(now, s) != a.opts.VM {
			continue
		}
		k := lease.SlotKey(s.Name())
		for _, vm := range a.holders(s) {
			if vm != a.opts.VM && a.borrower.RenewalDue(now, k) && a.member.Responding(now, vm) {
				asks[vm] = append(asks[vm], inner.LeaseRequest{Key: k, Incarnation: a.ownWarm(now, s.Name())})
			}
		}
	}
	return asks
}

func (a *Agent) rateAsks(now clock.Instant, team ident.Team, asks map[ident.VM][]inner.LeaseRequest) {
	for _, p := range a.member.Members() {
		vm := member.VMOf(p)
		if vm == a.opts.VM || !a.member.Responding(now, vm) {
			continue
		}
		if a.pools[team] != nil && a.pools[team].RenewalDue(now, vm) {
			asks[vm] = append(asks[vm], inner.LeaseRequest{Key: lease.RateKey(team)})
		}
	}
}

// grant lends what a peer asks for, as far as this VM holds it and does not use it.
func (a *Agent) grant(now clock.Instant, ex inner.Exchange) []inner.LeaseGrant {
	var out []inner.LeaseGrant
	for _, ask := range ex.Requests {
		var g inner.LeaseGrant
		var ok bool
		switch ask.Key.Kind {
		case lease.KindSlot:
			g, ok = a.grantSlots(now, ask, ex.Report)
		case lease.KindRate:
			g, ok = a.grantRate(now, ask, ex.Report)
		}
		if ok {
			out = append(out, g)
		}
	}
	return out
}

func (a *Agent) grantSlots(now clock.Instant, ask inner.LeaseRequest, from member.Report) (inner.LeaseGrant, bool) {
	server := a.server(ident.Server(ask.Key.Name))
	if server == nil || a.closing || !from.HoldsShares || a.gatherer(now, server) != from.VM {
		return inner.LeaseGrant{}, false
	}
	own := a.entitled(now, server)
	if own.Total == 0 {
		return inner.LeaseGrant{}, false
	}
	a.heard[server.Name()] = sighting{incarnation: ask.Incarnation, at: now}
	if !a.lender.Leased(now, ask.Key) {
		a.promised[ask.Key] = now
		if units, _ := a.UsableSlots(now, server); a.busy[server.Name()] > units {
			return inner.LeaseGrant{}, false
		}
	}
	delete(a.promised, ask.Key)
	serial, ok := a.lender.Grant(now, ask.Key, from.Process)
	return inner.LeaseGrant{Key: ask.Key, Serial: serial, Slots: own, Incarnation: a.ownWarm(now, server.Name())}, ok
}

func (a *Agent) grantRate(now clock.Instant, ask inner.LeaseRequest, from member.Report) (inner.LeaseGrant, bool) {
	team := ident.Team(ask.Key.Name)
	c := a.news.Catalog()
	share := a.member.Share(now)
	if c == nil || c.Team(team) == nil || share == 0 || a.own[team] == nil || a.member.Leaving() {
		return inner.LeaseGrant{}, false
	}
	if home := a.Home(now, team); home != from.VM && a.member.Available(now, home) && home != a.opts.VM {
		return inner.LeaseGrant{}, false
	}
	serial, ok := a.lender.Grant(now, ask.Key, from.Process)
	if !ok {
		return inner.LeaseGrant{}, false
	}
	level := a.own[team].Drain(now, a.lender.ExpiresAt(ask.Key))
	return inner.LeaseGrant{
		Key: ask.Key, Serial: serial, Level: level,
		Rate: c.Team(team).Rate() * share, Burst: c.Team(team).Burst() * share,
	}, true
}

// accept takes the units that a peer has lent.
func (a *Agent) accept(now clock.Instant, ev ExchangeAnswered) {
	if !a.member.HoldsShares(now) {
		return
	}
	for _, g := range ev.Reply.Grants {
		switch g.Key.Kind {
		case lease.KindSlot:
			if g.Incarnation != "" {
				a.heard[ident.Server(g.Key.Name)] = sighting{incarnation: g.Incarnation, at: ev.RequestedAt}
			}
			a.borrower.Put(g.Key, lease.SlotLease{Lessor: ev.VM, Slots: g.Slots, Serial: g.Serial, RequestedAt: ev.RequestedAt})
		case lease.KindRate:
			if pool := a.pools[ident.Team(g.Key.Name)]; pool != nil {
				pool.Put(now, ev.VM, bucket.Lease{
					Rate: g.Rate, Burst: g.Burst, Level: g.Level, Serial: g.Serial,
					RequestedAt: ev.RequestedAt, Duration: a.opts.LeaseDuration,
				})
			}
		}
	}
}

// takeBack ends loans that a borrower returns, with the tokens left.
func (a *Agent) takeBack(now clock.Instant, ex inner.Exchange) {
	for _, back := range ex.Returns {
		if !a.lender.Return(back.Key, ex.Report.Process, back.Serial) || back.Key.Kind != lease.KindRate {
			continue
		}
		if b := a.own[ident.Team(back.Key.Name)]; b != nil {
			b.Drain(now, now)
			b.Add(now, back.Level)
		}
	}
}

func (a *Agent) server(name ident.Server) *schema.Server {
	c := a.news.Catalog()
	if c == nil || c.Server(name) == nil || c.Server(name).Service() == nil {
		return nil
	}
	return c.Server(name)
}
