package edge

import (
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/base/sets"
	"kumquatreel.example/kumquatreel/internal/limit/escrow"
	"kumquatreel.example/kumquatreel/internal/limit/pacer"
	"kumquatreel.example/kumquatreel/internal/tier/assign"
	"kumquatreel.example/kumquatreel/internal/tier/peers"
	"kumquatreel.example/kumquatreel/internal/tier/reader"
)

const (
	// gossipInterval is the time between heartbeats while some team is close to its limit. Otherwise the time is
	// calmIntervals times as long.
	gossipInterval = 200 * time.Millisecond
	calmIntervals  = 2
	// One in heartbeatsPerMemberList heartbeats lists addresses of other VMs.
	heartbeatsPerMemberList = 10
	// maxDirectorySilence is how long after its last heartbeat a VM may be listed in the directory. Silent VMs are listed
	// only by a VM that appears to be partitioned from the others.
	maxDirectorySilence = 5 * time.Second
	// maxListedMembers bounds the number of addresses in a heartbeat.
	maxListedMembers = 8
	// maxDatagramSize is the size of the largest heartbeat in bytes.
	maxDatagramSize = 32 << 10
	// coreMaxAge is how long the core group is used before it is computed again, and replyMaxAge how long a reply to VMs outside it is used.
	// The VMs of the core get a heartbeat from each other VM of the fleet several times a second.
	coreMaxAge  = 50 * time.Millisecond
	replyMaxAge = 50 * time.Millisecond
	// teamReportWindow is how long after its last request a team is included in heartbeats.
	teamReportWindow = 2 * time.Second
	// relayedLimitAge is how long after a server has named a limit VMs outside the core group are told of it, startLimitAge the same for VMs
	// that start, which hear of all that hold.
	relayedLimitAge = 2 * time.Second
	startLimitAge   = time.Hour
)

// fleet holds the state of the other VMs and the means to communicate with them.
type fleet struct {
	mu     sync.Mutex
	peers  *peers.Peers
	serial int64
	// heartbeatBytes counts the bytes sent in heartbeats.
	heartbeatBytes int64
	rng            *rand.Rand
	conn           *net.UDPConn
	codec          *peers.Codec
	client         *http.Client
	ledger         *escrow.Ledger
	// directory holds the addresses that the directory listed at the last tick.
	directory []string
	// core is the core group as of coreAt.
	core   peers.Core
	coreAt time.Time
	// outsideReply is the encoded reply to VMs outside the core group as of outsideReplyAt.
	outsideReply   []byte
	outsideReplyAt time.Time
	// fetches holds the VMs from which updates are being fetched, with the start of the fetch.
	fetches map[ident.VM]time.Time
	// fresh is what is known of the age of the mirror.
	fresh reader.Freshness
	// announced is sent to when a heartbeat is due at once.
	announced chan struct{}
}

// tickMembership updates which VMs are alive, which share the fleet-wide limits and which are in the directory, and removes
// servers whose entries have expired.
func (e *Edge) tickMembership() {
	now := time.Now()
	e.fleet.mu.Lock()
	events := e.fleet.peers.Tick(now)
	alive := e.fleet.peers.Alive(now)
	e.fleet.mu.Unlock()
	c := e.core()
	e.handleMemberEvents(c, events)
	ready := e.directoryVMs(now)
	listed := e.choose(ready)
	serving := assign.CountServing(ready, len(listed))
	e.updateParts(now, c, ready, listed)
	d := e.dispatch
	d.mu.Lock()
	servingBefore := d.serving
	d.serving = serving
	d.setEven(e.settings.Load().EvenLoad())
	d.pacer.SetFleet(now, d.self, limitVMs(c, ready), d.vms, d.scale)
	expired := d.roster.RemoveExpired(now)
	d.mu.Unlock()
	if servingBefore != serving {
		e.log.Info(componentFleet, "number of VMs that serve clients has changed", "serving", serving, "before", servingBefore)
	}
	e.recordDirectory(listed)
	for _, s := range expired {
		e.log.Info(componentServers, "server gone", "server", s, "reason", "its entry was removed and not restored")
	}
	e.metrics.members.Set(float64(len(alive) + 1))
}

// limitVMs returns the VMs that share the limits of servers: those of the core group, with whether clients are served by them.
func limitVMs(c peers.Core, ready []assign.VM) []pacer.VM {
	busy := make(sets.Set[ident.VM])
	for _, vm := range ready {
		if vm.Busy() {
			busy.Add(vm.Name)
		}
	}
	var out []pacer.VM
	for _, name := range c.VMs() {
		out = append(out, pacer.VM{Name: name, Busy: busy.Has(name)})
	}
	return out
}

// recordDirectory records the addresses in the directory and logs a change.
func (e *Edge) recordDirectory(addresses []string) {
	addresses = slices.Sorted(slices.Values(addresses))
	e.fleet.mu.Lock()
	same := slices.Equal(addresses, e.fleet.directory)
	e.fleet.directory = addresses
	e.fleet.mu.Unlock()
	if !same {
		e.log.Info(componentFleet, "directory has changed", "count", len(addresses), "addresses", addresses)
	}
}

// handleMemberEvents forgets processes that have ended, and logs the events of VMs in the core group and of VMs that
// leave. Events of other VMs are not logged because their heartbeats arrive only occasionally.
func (e *Edge) handleMemberEvents(c peers.Core, events []peers.Event) {
	for _, ev := range events {
		switch ev := ev.(type) {
		case peers.Joined:
			e.logMember(c, e.log.Info, "VM joined", ev.Member)
			if ev.Replaced != "" {
				e.forgetProcess(ev.Replaced)
			}
		case peers.Recovered:
			e.logMember(c, e.log.Info, "VM sends heartbeats again", ev.Member)
		case peers.Silent:
			e.logMember(c, e.log.Warn, "VM sends no heartbeats", ev.Member, "agoMs", ms(time.Since(ev.Member.LastHeard())))
		case peers.PhaseChanged:
			e.logMember(c, e.log.Info, "VM has changed its phase", ev.Member, "before", ev.Before.String())
			if ev.Member.Digest().Phase == peers.PhaseGone {
				e.forgetProcess(ev.Member.Digest().Process())
			}
		}
	}
}

// forgetProcess stops charging teams for the requests that a process which has ended is assumed to admit.
func (e *Edge) forgetProcess(p ident.Process) {
	e.quotaMu.Lock()
	defer e.quotaMu.Unlock()
	e.quota.RemoveProcess(p)
}

// logMember logs an event of a VM if the VM is in the core group or leaving.
func (e *Edge) logMember(c peers.Core, write func(component, msg string, fields ...any), msg string, m peers.Member, extra ...any) {
	d := m.Digest()
	if leaving := d.Phase == peers.PhaseLeaving || d.Phase == peers.PhaseGone; !leaving && !c.Has(d.VM) {
		return
	}
	fields := []any{"vm", d.VM, "phase", d.Phase.String(), "revision", d.Revision, "reading", d.WatchesStore}
	write(componentFleet, msg, append(fields, extra...)...)
}

// digest returns the state of this VM for a heartbeat, without the serial number.
func (e *Edge) digest(now time.Time) peers.Digest {
	e.quotaMu.Lock()
	teams := e.quota.Reports(now, teamReportWindow)
	e.quotaMu.Unlock()
	phase := peers.PhaseStarting
	switch {
	case e.stopped.Load():
		phase = peers.PhaseGone
	case e.leaving.Load():
		phase = peers.PhaseLeaving
	case e.ready.Load():
		phase = peers.PhaseReady
	}
	s := e.settings.Load()
	e.fleet.mu.Lock()
	claim := e.fleet.ledger.Claim()
	readAge := int64(0)
	if age, ok := e.fleet.fresh.ReadAge(now); ok {
		readAge = max(1, age.Milliseconds())
	}
	e.fleet.mu.Unlock()
	// The revision is read after the time of the last read, so that it covers that.
	era, revision := e.position()
	return peers.Digest{
		VM: s.Name(), Address: s.Address(), Domain: s.Domain(), Region: s.Region(), Boot: e.boot, Phase: phase,
		CPUShare: s.CPUShare(), Load: e.load.rate(now), Unhealthy: e.health.unhealthy(now), Era: era, Revision: revision,
		ConfigVersion: e.dispatch.version(), Holding: e.holding(), WatchesStore: e.watching.Load(), ReadAgeMs: readAge, Teams: teams,
		Part: claim.Part, PartSettled: claim.Settled,
	}
}

// sendHeartbeats sends a heartbeat to other VMs. If reply is set, it requests an immediate reply from each of them,
// otherwise only from those for which Core.RequestsReply reports true.
func (e *Edge) sendHeartbeats(reply bool) {
	c := e.core()
	m := e.newMessage(time.Now())
	f := e.fleet
	f.mu.Lock()
	if reply || m.From.Serial%heartbeatsPerMemberList == 0 {
		m.KnownAddresses = f.peers.SampleAddresses(maxListedMembers, f.rng)
	}
	targets := f.peers.Targets(c, m.From, e.seedHosts(), f.rng)
	f.mu.Unlock()
	type kind struct{ reply, toCore bool }
	byKind := make(map[kind][]string)
	for i, to := range targets {
		k := kind{reply || c.RequestsReply(m.From.Serial, i), c.IncludesSelf() && c.HasAddress(to)}
		byKind[k] = append(byKind[k], to)
	}
	for k, to := range byKind {
		m.RequestReply, m.ToCore = k.reply, k.toCore
		e.send(m, to...)
	}
	m.ToCore = false
	if c.IncludesSelf() {
		e.inquire(m)
	}
}

// sendReply replies to a heartbeat. All VMs outside the core group get the same reply for a while, but for those that start while servers name
// limits.
func (e *Edge) sendReply(now time.Time, to peers.Digest) {
	if e.core().Has(to.VM) || to.Phase == peers.PhaseStarting && e.dispatch.knowsLimits() {
		e.send(e.reply(now, to), to.Address)
		return
	}
	f := e.fleet
	f.mu.Lock()
	raw, age := f.outsideReply, now.Sub(f.outsideReplyAt)
	f.mu.Unlock()
	if raw == nil || age >= replyMaxAge {
		var err error
		if raw, err = f.codec.Encode(e.reply(now, to)); err != nil {
			e.log.Error(componentFleet, "cannot encode heartbeat", "error", err.Error())
			return
		}
		f.mu.Lock()
		f.outsideReply, f.outsideReplyAt = raw, now
		f.mu.Unlock()
	}
	e.sendRaw(raw, to.Address)
}

// reply returns the heartbeat for a VM that requested a reply. It includes the heartbeats received from the core group.
func (e *Edge) reply(now time.Time, to peers.Digest) peers.Message {
	c := e.core()
	m := e.newMessage(now)
	e.fleet.mu.Lock()
	m.KnownAddresses = e.fleet.peers.SampleAddresses(maxListedMembers, e.fleet.rng)
	m.Relayed = e.fleet.peers.RelayedDigests(now, c, to.VM)
	e.fleet.mu.Unlock()
	m.ToCore = c.IncludesSelf() && c.Has(to.VM)
	limitAge := time.Duration(0)
	if !c.Has(to.VM) {
		limitAge = relayedLimitAge
		e.quotaMu.Lock()
		m.Levels = e.quota.LowLevels(now)
		e.quotaMu.Unlock()
	}
	if to.Phase == peers.PhaseStarting {
		limitAge = startLimitAge
	}
	if limitAge > 0 {
		e.dispatch.mu.Lock()
		m.ServerLimits = e.dispatch.pacer.AllReports(now, limitAge)
		m.ServerLoads = e.dispatch.allLoadReports(now)
		e.dispatch.mu.Unlock()
	}
	return m
}

// newMessage returns a heartbeat with the next serial number.
func (e *Edge) newMessage(now time.Time) peers.Message {
	m := peers.Message{From: e.digest(now)}
	e.dispatch.mu.Lock()
	m.ServerLimits = e.dispatch.pacer.Reports(now)
	m.ServerStatements = e.dispatch.roster.Reports(now)
	m.ServerLoads = e.dispatch.loadReports(now)
	e.dispatch.mu.Unlock()
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	e.fleet.serial++
	m.From.Serial = e.fleet.serial
	return m
}

// core returns the core group of the fleet, the VMs that the directory lists first, as of coreMaxAge ago at most.
func (e *Edge) core() peers.Core {
	now := time.Now()
	e.fleet.mu.Lock()
	c, age := e.fleet.core, now.Sub(e.fleet.coreAt)
	e.fleet.mu.Unlock()
	if age < coreMaxAge {
		return c
	}
	c = e.newCore(now)
	e.fleet.mu.Lock()
	e.fleet.core, e.fleet.coreAt = c, now
	e.fleet.mu.Unlock()
	return c
}

// newCore computes the core group.
func (e *Edge) newCore(now time.Time) peers.Core {
	s := e.settings.Load()
	self := peers.Digest{VM: s.Name(), Address: s.Address(), Domain: s.Domain(), CPUShare: s.CPUShare()}
	servers := e.serversByDomain()
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	return e.fleet.peers.Core(now, self, func(all []peers.Digest) []peers.Digest {
		vms := make([]assign.VM, len(all))
		byName := make(map[ident.VM]peers.Digest, len(all))
		for i, d := range all {
			vms[i] = assign.VM{Name: d.VM, Domain: d.Domain, Address: d.Address, CPUShare: d.CPUShare}
			byName[d.VM] = d
		}
		for i, vm := range assign.Rank(vms, servers) {
			all[i] = byName[vm.Name]
		}
		return all
	})
}

// serversByDomain returns the number of backend servers in each failure domain.
func (e *Edge) serversByDomain() map[ident.Domain]int {
	e.dispatch.mu.Lock()
	defer e.dispatch.mu.Unlock()
	return e.dispatch.roster.CountByDomain()
}

// seedHosts returns the IP addresses of the seeds.
func (e *Edge) seedHosts() []string {
	var out []string
	for _, seed := range e.settings.Load().Seeds() {
		if host, _, err := net.SplitHostPort(seed); err == nil {
			out = append(out, host)
		}
	}
	return out
}

// send sends a message to the VMs at the given IP addresses. Errors are logged.
func (e *Edge) send(m peers.Message, hosts ...string) {
	if len(hosts) == 0 {
		return
	}
	raw, err := e.fleet.codec.Encode(m)
	if err != nil {
		e.log.Error(componentFleet, "cannot encode heartbeat", "error", err.Error())
		return
	}
	e.sendRaw(raw, hosts...)
}

// sendRaw sends an encoded message to the VMs at the given IP addresses. Errors are logged.
func (e *Edge) sendRaw(raw []byte, hosts ...string) {
	e.fleet.mu.Lock()
	e.fleet.heartbeatBytes += int64(len(raw) * len(hosts))
	e.fleet.mu.Unlock()
	for _, host := range hosts {
		ip := net.ParseIP(host)
		if ip == nil {
			e.log.Warn(componentFleet, "cannot send heartbeat", "to", host, "error", "not an IP address")
			continue
		}
		if _, err := e.fleet.conn.WriteToUDP(raw, &net.UDPAddr{IP: ip, Port: e.settings.Load().GossipPort()}); err != nil {
			e.log.Warn(componentFleet, "cannot send heartbeat", "to", host, "error", err.Error())
		}
	}
}

// receiveHeartbeats reads heartbeats until the socket is closed.
func (e *Edge) receiveHeartbeats() {
	buf := make([]byte, maxDatagramSize)
	for {
		n, from, err := e.fleet.conn.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			e.log.Warn(componentFleet, "cannot read heartbeat", "error", err.Error())
			continue
		}
		m, err := e.fleet.codec.Decode(buf[:n])
		if err != nil {
			e.log.Warn(componentFleet, "malformed heartbeat", "from", from.String(), "error", err.Error())
			continue
		}
		e.handleHeartbeat(m)
	}
}

// handleHeartbeat applies a heartbeat, replies to it if requested, and fetches updates if its sender has a newer revision.
// Old heartbeats and those of this VM are ignored.
func (e *Edge) handleHeartbeat(m peers.Message) {
	now := time.Now()
	e.fleet.mu.Lock()
	events, accepted := e.fleet.peers.Receive(now, m)
	e.fleet.mu.Unlock()
	if !accepted {
		return
	}
	e.quotaMu.Lock()
	e.quota.ApplyReports(now, m.From.Process(), m.From.Teams)
	e.quota.CapLevels(now, m.Levels)
	e.quotaMu.Unlock()
	e.applyServerReports(now, m)
	e.exchangeTokens(now, m)
	if len(events) > 0 {
		e.handleMemberEvents(e.core(), events)
	}
	if m.RequestReply {
		e.sendReply(now, m.From)
	}
	if e.lacks(now, m.From) {
		e.startFetch(now, m.From)
	}
}

// directory returns the addresses to which clients should send requests.
func (e *Edge) directory() []string {
	return e.choose(e.directoryVMs(time.Now()))
}

// choose returns the addresses of those of the given VMs to which clients are directed.
func (e *Edge) choose(ready []assign.VM) []string {
	if e.settings.Load().EvenLoad() {
		return assign.ChooseEven(ready, e.serversByDomain())
	}
	return assign.Choose(ready, e.serversByDomain())
}

// directoryVMs returns the VMs that the directory may list.
func (e *Edge) directoryVMs(now time.Time) []assign.VM {
	s := e.settings.Load()
	e.fleet.mu.Lock()
	members := e.fleet.peers.Members()
	e.fleet.mu.Unlock()
	_, port, err := net.SplitHostPort(s.ClientAddress())
	if err != nil {
		e.log.Error(componentFleet, "own address for clients is malformed", "error", err.Error())
		return nil
	}
	var ready []assign.VM
	if e.ready.Load() && !e.leaving.Load() {
		ready = append(ready, assign.VM{
			Name: s.Name(), Domain: s.Domain(), Address: s.ClientAddress(), CPUShare: s.CPUShare(), Load: e.load.rate(now),
			Unhealthy: e.health.unhealthy(now),
		})
	}
	for _, m := range members {
		if d := m.Digest(); d.Phase == peers.PhaseReady && now.Sub(m.LastHeard()) < maxDirectorySilence {
			ready = append(ready, assign.VM{
				Name: d.VM, Domain: d.Domain, Address: net.JoinHostPort(d.Address, port), CPUShare: d.CPUShare, Load: d.Load,
				Unhealthy: d.Unhealthy, Silent: !m.Alive(now),
			})
		}
	}
	return ready
}

// directoryTTL returns how long a client may cache a directory answer.
func (e *Edge) directoryTTL() time.Duration {
	return min(defaultDirectoryTTL, e.settings.Load().MaxDirectoryTTL())
}
