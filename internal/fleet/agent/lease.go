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
	// maxHomeCandidates is the number of VMs that are asked for the token of one request.
	maxHomeCandidates = 3
	// maxRankedHomes is the number of VMs considered as the home of a team. It is larger, since some of them may be unreachable.
	maxRankedHomes = 8
)

// Home returns the VM that spends a team's rate, empty if no VM can.
func (a *Agent) Home(now clock.Instant, team ident.Team) ident.VM {
	homes := a.HomeCandidates(now, team)
	if len(homes) == 0 || !a.isAvailableHolder(now, homes[0]) {
		return ""
	}
	return homes[0]
}

// HomeCandidates returns the VMs that may spend a team's rate: its home first, then those that may have been its home until recently.
func (a *Agent) HomeCandidates(now clock.Instant, team ident.Team) []ident.VM {
	var available, leaving []ident.VM
	for _, vm := range a.member.Ranked("home:"+string(team), maxRankedHomes) {
		switch {
		case a.isAvailableHolder(now, vm):
			available = append(available, vm)
		case a.isRespondingHolder(now, vm):
			leaving = append(leaving, vm)
		}
	}
	first := available[:min(1, len(available))]
	homes := slices.Concat(first, leaving, available[len(first):])
	return homes[:min(maxHomeCandidates, len(homes))]
}

// isAvailableHolder reports whether a VM has answered recently, is not leaving and may use its shares.
func (a *Agent) isAvailableHolder(now clock.Instant, vm ident.VM) bool {
	return a.member.Available(now, vm) && a.member.PeerHoldsShares(now, vm)
}

// isRespondingHolder reports whether a VM has answered recently and may use its shares, leaving or not.
func (a *Agent) isRespondingHolder(now clock.Instant, vm ident.VM) bool {
	return a.member.Responding(now, vm) && a.member.PeerHoldsShares(now, vm)
}

// IsReadyHome reports whether this VM is a team's home and holds leases of the shares of all VMs that respond and hold shares.
func (a *Agent) IsReadyHome(now clock.Instant, team ident.Team) bool {
	pool := a.pools[team]
	if pool == nil || a.Home(now, team) != a.opts.VM {
		return false
	}
	holders := 0
	for _, p := range a.member.Members() {
		if vm := member.VMOf(p); a.isRespondingHolder(now, vm) {
			holders++
		}
	}
	return pool.Leases(now)+1 >= holders
}

// Take spends tokens of a team's rate, from this VM's own share and its leases, and reports whether there were enough.
func (a *Agent) Take(now clock.Instant, team ident.Team, tokens float64) bool {
	pool := a.pools[team]
	if pool == nil {
		return false
	}
	return pool.Take(now, tokens, a.usableOwnRate(now, team))
}

// RetryAfter returns the time in which one token of a team's rate accrues, one second if the rate is unknown.
func (a *Agent) RetryAfter(team ident.Team) time.Duration {
	c := a.documents.Catalog()
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
	return pool.Level(now, a.usableOwnRate(now, team))
}

// UsableSlots returns how many parts this VM may have in progress at a backend server, and how many of them while the server is cold.
func (a *Agent) UsableSlots(now clock.Instant, server *schema.Server) (total, cold int) {
	k := lease.SlotKey(server.Name())
	if !a.member.HoldsShares(now) {
		return 0, 0
	}
	leased := a.holder.Usable(now, k)
	own := a.unleasedSlots(now, server)
	return own.Total + leased.Total, own.Cold + leased.Cold
}

// unleasedSlots returns the slots of a backend server that this VM owns, zero if they are leased out or a grant of them is pending.
func (a *Agent) unleasedSlots(now clock.Instant, server *schema.Server) lease.SlotCounts {
	k := lease.SlotKey(server.Name())
	if a.lessor.Leased(now, k) || a.isGrantPending(now, k) {
		return lease.SlotCounts{}
	}
	return a.slotEntitlement(now, server)
}

// slotEntitlement returns the slots of a backend server that this VM owns, leased out or not.
func (a *Agent) slotEntitlement(now clock.Instant, server *schema.Server) lease.SlotCounts {
	resource := lease.SlotKey(server.Name()).Resource()
	service := server.Service()
	return lease.SlotCounts{
		Total: a.member.Entitlement(now, resource, splitSlots(service.Slots())),
		Cold:  a.member.Entitlement(now, resource, splitSlots(service.ColdSlots())),
	}
}

// splitSlots divides a number of slots between the first two ranks; the first rank gets the odd one.
func splitSlots(slots int) func(rank int) int {
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

// isGrantPending reports whether this VM must start no part under its own slots, because the primary holder has requested them.
func (a *Agent) isGrantPending(now clock.Instant, k lease.Key) bool {
	at, ok := a.grantPending[k]
	if ok && now.MinSince(at) >= a.opts.LeaseDuration+a.opts.MaxWorkTime {
		delete(a.grantPending, k)
		return false
	}
	return ok
}

// Reserve counts one more part in progress at a backend server and reports whether the usable slots allow it.
func (a *Agent) Reserve(now clock.Instant, server *schema.Server) bool {
	total, _ := a.UsableSlots(now, server)
	if a.inProgress[server.Name()] >= total {
		return false
	}
	a.inProgress[server.Name()]++
	return true
}

// Free counts one part less in progress at a backend server.
func (a *Agent) Free(server ident.Server) {
	a.inProgress[server]--
	if a.inProgress[server] <= 0 {
		delete(a.inProgress, server)
	}
}

// SetWarm records the incarnation in which this VM found a backend server warm, or, if it is empty, that the server is not warm.
func (a *Agent) SetWarm(now clock.Instant, server ident.Server, incarnation string) {
	if incarnation == "" {
		delete(a.warm, server)
		return
	}
	a.warm[server] = warmRecord{incarnation: incarnation, at: now}
}

// WarmIncarnation returns the incarnation in which this VM or another has recently found a backend server warm, empty if none has.
func (a *Agent) WarmIncarnation(now clock.Instant, server ident.Server) string {
	if own := a.ownWarmIncarnation(now, server); own != "" {
		return own
	}
	return a.recentIncarnation(now, a.reportedWarm[server])
}

// ownWarmIncarnation is like WarmIncarnation for this VM's own observations, the only ones that it reports to other VMs.
func (a *Agent) ownWarmIncarnation(now clock.Instant, server ident.Server) string {
	return a.recentIncarnation(now, a.warm[server])
}

func (a *Agent) recentIncarnation(now clock.Instant, s warmRecord) string {
	if now.MaxSince(s.at) >= 2*a.opts.LeaseDuration+a.opts.MaxWorkTime {
		return ""
	}
	return s.incarnation
}

// MayProbe reports whether no other VM that responds holds slots of a backend server, so that this VM may probe on its own whether the
// server is warm.
func (a *Agent) MayProbe(now clock.Instant, server *schema.Server) bool {
	for _, vm := range a.slotHolders(server) {
		if vm != a.opts.VM && a.isRespondingHolder(now, vm) {
			return false
		}
	}
	return true
}

// Targets returns the VMs through which a backend server can be reached, the primary holder of its slots first.
func (a *Agent) Targets(now clock.Instant, server *schema.Server) []ident.VM {
	holders := a.slotHolders(server)
	var available, leaving []ident.VM
	for _, vm := range holders {
		switch {
		case a.isAvailableHolder(now, vm):
			available = append(available, vm)
		case a.isRespondingHolder(now, vm):
			leaving = append(leaving, vm)
		}
	}
	if targets := append(available, leaving...); len(targets) > 0 {
		return targets
	}
	return holders
}

// heldServers returns the backend servers of which this VM holds slots in the current view.
func (a *Agent) heldServers(c *schema.Catalog) []*schema.Server {
	if digest := a.member.Digest(); a.heldDigest != digest || a.heldRevision != c.Revision() {
		a.heldDigest, a.heldRevision, a.held = digest, c.Revision(), nil
		for _, s := range c.Servers() {
			if s.Service() != nil && slices.Contains(a.slotHolders(s), a.opts.VM) {
				a.held = append(a.held, s)
			}
		}
	}
	return a.held
}

// slotHolders returns the VMs that hold slots of a backend server in the current view, by rank.
func (a *Agent) slotHolders(server *schema.Server) []ident.VM {
	return slices.Compact(a.member.Ranked(lease.SlotKey(server.Name()).Resource(), min(2, server.Service().Slots())))
}

// primaryHolder returns the VM that leases the other holders' slots of a backend server: the first one that is available.
func (a *Agent) primaryHolder(now clock.Instant, server *schema.Server) ident.VM {
	for _, vm := range a.slotHolders(server) {
		if a.isAvailableHolder(now, vm) {
			return vm
		}
	}
	return ""
}

// StopGranting makes a leaving VM grant no further slot leases, so that the outstanding ones expire.
func (a *Agent) StopGranting() { a.grantsStopped = true }

// LeasedOut returns the number of units of this VM that are leased out.
func (a *Agent) LeasedOut(now clock.Instant) int { return a.lessor.Count(now) }

func (a *Agent) usableOwnRate(now clock.Instant, team ident.Team) *bucket.Bucket {
	if a.lessor.Leased(now, lease.RateKey(team)) {
		return nil
	}
	return a.ownRates[team]
}

// updateRateLimits sets the rate and burst of this VM's own share of each team's rate; they are zero if it may use no shares.
func (a *Agent) updateRateLimits(now clock.Instant) {
	c := a.documents.Catalog()
	if c == nil {
		return
	}
	share := a.member.Share(now)
	for _, t := range c.Teams() {
		b := a.ownRates[t.Name()]
		if b == nil {
			b = &bucket.Bucket{}
			a.ownRates[t.Name()] = b
			a.pools[t.Name()] = &bucket.Pool{}
		}
		b.SetLimits(now, t.Rate()*share, t.Burst()*share)
	}
	for team := range a.ownRates {
		if c.Team(team) == nil {
			delete(a.ownRates, team)
			delete(a.pools, team)
		}
	}
}

// addLeaseRequests adds requests for the leases that this VM needs to the exchanges in out, and further exchanges where there is none.
func (a *Agent) addLeaseRequests(now clock.Instant, out []Action) []Action {
	c := a.documents.Catalog()
	if c == nil || a.member.Leaving() {
		return out
	}
	requests := a.slotRequests(now, c)
	for _, t := range c.Teams() {
		if a.Home(now, t.Name()) == a.opts.VM {
			a.addRateRequests(now, t.Name(), requests)
		}
	}
	for i, act := range out {
		if send, ok := act.(SendExchange); ok {
			send.Exchange.Requests = requests[send.VM]
			out[i] = send
			delete(requests, send.VM)
		}
	}
	for _, vm := range slices.Sorted(maps.Keys(requests)) {
		ex := a.newExchange(now, vm)
		ex.Requests = requests[vm]
		out = append(out, SendExchange{VM: vm, Exchange: ex})
	}
	return out
}

// returnLeases adds exchanges that return leases which this VM should no longer hold: rates of which it is not the home, with their
// tokens, and slots of which it is not the primary holder and that it does not use.
func (a *Agent) returnLeases(now clock.Instant, out []Action) []Action {
	returns := make(map[ident.VM][]inner.LeaseReturn)
	for _, team := range slices.Sorted(maps.Keys(a.pools)) {
		pool := a.pools[team]
		if len(pool.Lessors()) == 0 || a.Home(now, team) == a.opts.VM {
			continue
		}
		// Returns a quarter at a time, so that the old and the new home together can spend the full rate in the meantime.
		lessors := pool.Lessors()
		for _, vm := range lessors[:(len(lessors)+3)/4] {
			if serial, level, ok := pool.Release(now, vm); ok {
				returns[vm] = append(returns[vm], inner.LeaseReturn{Key: lease.RateKey(team), Serial: serial, Level: level})
			}
		}
	}
	for _, k := range a.holder.Keys() {
		server := a.server(ident.Server(k.Name))
		if server == nil || a.primaryHolder(now, server) == a.opts.VM || a.inProgress[server.Name()] > a.unleasedSlots(now, server).Total {
			continue
		}
		if vm, serial, ok := a.holder.Release(now, k); ok {
			returns[vm] = append(returns[vm], inner.LeaseReturn{Key: k, Serial: serial})
		}
	}
	for _, vm := range slices.Sorted(maps.Keys(returns)) {
		ex := a.newExchange(now, vm)
		ex.Returns = returns[vm]
		out = append(out, SendExchange{VM: vm, Exchange: ex})
	}
	return out
}

func (a *Agent) slotRequests(now clock.Instant, c *schema.Catalog) map[ident.VM][]inner.LeaseRequest {
	requests := make(map[ident.VM][]inner.LeaseRequest)
	for _, s := range a.heldServers(c) {
		if a.primaryHolder(now, s) != a.opts.VM {
			continue
		}
		k := lease.SlotKey(s.Name())
		for _, vm := range a.slotHolders(s) {
			if vm != a.opts.VM && a.holder.RenewalDue(now, k) && a.member.Responding(now, vm) {
				requests[vm] = append(requests[vm], inner.LeaseRequest{Key: k, Incarnation: a.ownWarmIncarnation(now, s.Name())})
			}
		}
	}
	return requests
}

func (a *Agent) addRateRequests(now clock.Instant, team ident.Team, requests map[ident.VM][]inner.LeaseRequest) {
	for _, p := range a.member.Members() {
		vm := member.VMOf(p)
		if vm == a.opts.VM || !a.member.Responding(now, vm) {
			continue
		}
		if a.pools[team] != nil && a.pools[team].RenewalDue(now, vm) {
			requests[vm] = append(requests[vm], inner.LeaseRequest{Key: lease.RateKey(team)})
		}
	}
}

// grantLeases grants the leases that a peer requests, as far as this VM owns the units and does not use them.
func (a *Agent) grantLeases(now clock.Instant, ex inner.Exchange) []inner.LeaseGrant {
	var out []inner.LeaseGrant
	for _, request := range ex.Requests {
		var g inner.LeaseGrant
		var ok bool
		switch request.Key.Kind {
		case lease.KindSlot:
			g, ok = a.grantSlots(now, request, ex.Report)
		case lease.KindRate:
			g, ok = a.grantRate(now, request, ex.Report)
		}
		if ok {
			out = append(out, g)
		}
	}
	return out
}

func (a *Agent) grantSlots(now clock.Instant, request inner.LeaseRequest, from member.Report) (inner.LeaseGrant, bool) {
	server := a.server(ident.Server(request.Key.Name))
	if server == nil || a.grantsStopped || !from.HoldsShares || a.primaryHolder(now, server) != from.VM {
		return inner.LeaseGrant{}, false
	}
	own := a.slotEntitlement(now, server)
	if own.Total == 0 {
		return inner.LeaseGrant{}, false
	}
	a.reportedWarm[server.Name()] = warmRecord{incarnation: request.Incarnation, at: now}
	if !a.lessor.Leased(now, request.Key) {
		a.grantPending[request.Key] = now
		if total, _ := a.UsableSlots(now, server); a.inProgress[server.Name()] > total {
			return inner.LeaseGrant{}, false
		}
	}
	delete(a.grantPending, request.Key)
	serial, ok := a.lessor.Grant(now, request.Key, from.Process)
	return inner.LeaseGrant{Key: request.Key, Serial: serial, Slots: own, Incarnation: a.ownWarmIncarnation(now, server.Name())}, ok
}

func (a *Agent) grantRate(now clock.Instant, request inner.LeaseRequest, from member.Report) (inner.LeaseGrant, bool) {
	team := ident.Team(request.Key.Name)
	c := a.documents.Catalog()
	share := a.member.Share(now)
	if c == nil || c.Team(team) == nil || share == 0 || a.ownRates[team] == nil || a.member.Leaving() {
		return inner.LeaseGrant{}, false
	}
	if home := a.Home(now, team); home != from.VM && a.member.Available(now, home) && home != a.opts.VM {
		return inner.LeaseGrant{}, false
	}
	serial, ok := a.lessor.Grant(now, request.Key, from.Process)
	if !ok {
		return inner.LeaseGrant{}, false
	}
	level := a.ownRates[team].Drain(now, a.lessor.ExpiresAt(request.Key))
	return inner.LeaseGrant{
		Key: request.Key, Serial: serial, Level: level,
		Rate: c.Team(team).Rate() * share, Burst: c.Team(team).Burst() * share,
	}, true
}

// acceptGrants records the leases that a peer has granted.
func (a *Agent) acceptGrants(now clock.Instant, ev ExchangeAnswered) {
	if !a.member.HoldsShares(now) {
		return
	}
	for _, g := range ev.Reply.Grants {
		switch g.Key.Kind {
		case lease.KindSlot:
			if g.Incarnation != "" {
				a.reportedWarm[ident.Server(g.Key.Name)] = warmRecord{incarnation: g.Incarnation, at: ev.RequestedAt}
			}
			a.holder.Put(g.Key, lease.SlotLease{Lessor: ev.VM, Slots: g.Slots, Serial: g.Serial, RequestedAt: ev.RequestedAt})
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

// acceptReturns ends leases that their holder returns and adds the tokens left.
func (a *Agent) acceptReturns(now clock.Instant, ex inner.Exchange) {
	for _, ret := range ex.Returns {
		if !a.lessor.Return(ret.Key, ex.Report.Process, ret.Serial) || ret.Key.Kind != lease.KindRate {
			continue
		}
		if b := a.ownRates[ident.Team(ret.Key.Name)]; b != nil {
			b.Drain(now, now)
			b.Add(now, ret.Level)
		}
	}
}

func (a *Agent) server(name ident.Server) *schema.Server {
	c := a.documents.Catalog()
	if c == nil || c.Server(name) == nil || c.Server(name).Service() == nil {
		return nil
	}
	return c.Server(name)
}
