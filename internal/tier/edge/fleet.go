package edge

import (
	"compress/gzip"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatreel.example/kumquatreel/internal/base/clock"
	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/tier/assign"
	"kumquatreel.example/kumquatreel/internal/tier/mirror"
	"kumquatreel.example/kumquatreel/internal/tier/peers"
)

const (
	// gossipPeriod is the time between heartbeats while some team is close to its limit, calmPeriods times that else.
	gossipInterval = 200 * time.Millisecond
	calmIntervals  = 2
	// knownPeriods is how many heartbeats pass between two that tell of other VMs.
	heartbeatsPerMemberList = 10
	// silentNamed is how long after its last word a VM may be named to callers by one that seems to be cut off.
	maxDirectorySilence = 5 * time.Second
	// knownMost bounds the addresses told in a heartbeat.
	maxListedMembers = 8
	// datagramMost is the largest heartbeat in bytes.
	maxDatagramSize = 32 << 10
	// teamsWithin is how long after its last request a team is told of.
	teamReportWindow = 2 * time.Second
	// newsLimit bounds the time to fetch news from another VM.
	updateTimeout = time.Second
	// newsMost bounds the news in bytes.
	maxUpdateSize = 64 << 20
	// newsPath is where VMs ask each other for news.
	updatesPath = "/news"
)

// fleet is what a VM knows of the others and how it talks to them.
type fleet struct {
	mu     sync.Mutex
	peers  *peers.Peers
	serial int64
	// bytes counts what was sent in heartbeats.
	heartbeatBytes int64
	rng            *rand.Rand
	conn           *net.UDPConn
	codec          *peers.Codec
	client         *http.Client
	sharers        peers.QuotaMembers
	// named are the addresses that callers were last sent to.
	directory []string
	// fetching is set while news is being fetched from another VM.
	fetching bool
}

// news is what one VM tells another of the store.
type updates struct {
	// Whole says that the items are all there are, not only changes.
	Complete bool          `json:"whole"`
	AsOf     int64         `json:"asOf"`
	Items    []mirror.Item `json:"items"`
}

func (e *Edge) gossip(ctx context.Context) {
	for n := 0; clock.Sleep(ctx, gossipInterval); n++ {
		e.tickMembership()
		e.quotaMu.Lock()
		tight := e.quota.NearLimit(time.Now())
		e.quotaMu.Unlock()
		if tight || n%calmIntervals == 0 {
			e.sendHeartbeats(false)
		}
	}
}

// tickFleet notices who has fallen silent and who shares the fleet's bounds.
func (e *Edge) tickMembership() {
	now := time.Now()
	e.fleet.mu.Lock()
	events := e.fleet.peers.Tick(now)
	alive := e.fleet.peers.Alive(now)
	e.fleet.mu.Unlock()
	c := e.core()
	e.logMemberEvents(c, events)
	e.fleet.mu.Lock()
	names := e.fleet.sharers.Update(now, c, e.settings.Load().RepeatWindow())
	e.fleet.mu.Unlock()
	ready := e.directoryVMs(now)
	listed := assign.Choose(ready, e.serversByDomain())
	serving := assign.CountServing(ready, len(listed))
	d := e.dispatch
	d.mu.Lock()
	vmsBefore, servingBefore := len(d.vms), d.serving
	d.vms, d.serving = names, serving
	expired := d.roster.RemoveExpired(now)
	d.mu.Unlock()
	if vmsBefore != len(names) || servingBefore != serving {
		e.log.Info(componentFleet, "bounds are divided anew", "vms", len(names), "vmsBefore", vmsBefore, "serving", serving, "servingBefore", servingBefore)
	}
	e.logDirectory(listed)
	for _, s := range expired {
		e.log.Info(componentServers, "server gone", "server", s, "reason", "its entry has not come back")
	}
	e.metrics.members.Set(float64(len(alive) + 1))
}

// noteNamed logs a change of the VMs that callers are sent to.
func (e *Edge) logDirectory(addresses []string) {
	addresses = slices.Sorted(slices.Values(addresses))
	e.fleet.mu.Lock()
	same := slices.Equal(addresses, e.fleet.directory)
	e.fleet.directory = addresses
	e.fleet.mu.Unlock()
	if !same {
		e.log.Info(componentFleet, "callers are sent elsewhere", "count", len(addresses), "addresses", addresses)
	}
}

// noteMembers logs what is believed of VMs of the core and of those that end; others are heard of now and then only.
func (e *Edge) logMemberEvents(c peers.Core, events []peers.Event) {
	for _, ev := range events {
		switch ev := ev.(type) {
		case peers.Joined:
			e.logMember(c, e.log.Info, "VM joined", ev.Member)
			if ev.Replaced != "" {
				e.forgetProcess(ev.Replaced)
			}
		case peers.Recovered:
			e.logMember(c, e.log.Info, "VM is heard from again", ev.Member)
		case peers.Silent:
			e.logMember(c, e.log.Warn, "VM is silent", ev.Member, "agoMs", ms(time.Since(ev.Member.LastHeard())))
		case peers.PhaseChanged:
			e.logMember(c, e.log.Info, "VM is in another phase", ev.Member, "before", ev.Before.String())
			if ev.Member.Digest().Phase == peers.PhaseGone {
				e.forgetProcess(ev.Member.Digest().Process())
			}
		}
	}
}

// forgetProcess stops charging teams for what a process that has ended would let through.
func (e *Edge) forgetProcess(p ident.Process) {
	e.quotaMu.Lock()
	defer e.quotaMu.Unlock()
	e.quota.RemoveProcess(p)
}

func (e *Edge) logMember(c peers.Core, write func(prefix, msg string, fields ...any), msg string, m peers.Member, extra ...any) {
	d := m.Digest()
	if leaving := d.Phase == peers.PhaseLeaving || d.Phase == peers.PhaseGone; !leaving && !c.Has(d.VM) {
		return
	}
	fields := []any{"vm", d.VM, "phase", d.Phase.String(), "revision", d.Revision, "reading", d.WatchesStore}
	write(componentFleet, msg, append(fields, extra...)...)
}

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
	return peers.Digest{
		VM: s.Name(), Address: s.Address(), Domain: s.Domain(), Region: s.Region(), Boot: e.boot, Phase: phase,
		CPUShare: s.CPUShare(), Load: e.load.rate(now), Unhealthy: e.health.unhealthy(now), Revision: e.revision(), WatchesStore: e.watching.Load(), Teams: teams,
	}
}

// tell sends a heartbeat to other VMs; with reply set it asks them to answer at once.
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
	var withReply, withoutReply []string
	for i, to := range targets {
		if reply || c.RequestsReply(m.From.Serial, i) {
			withReply = append(withReply, to)
		} else {
			withoutReply = append(withoutReply, to)
		}
	}
	e.send(m, withoutReply...)
	m.RequestReply = true
	e.send(m, withReply...)
}

// reply returns what a VM that asks is told, with what is heard from the core.
func (e *Edge) reply(now time.Time, to ident.VM) peers.Message {
	c := e.core()
	m := e.newMessage(now)
	e.fleet.mu.Lock()
	m.KnownAddresses = e.fleet.peers.SampleAddresses(maxListedMembers, e.fleet.rng)
	m.Relayed = e.fleet.peers.RelayedDigests(now, c, to)
	e.fleet.mu.Unlock()
	if !c.Has(to) {
		e.quotaMu.Lock()
		m.Levels = e.quota.LowLevels(now)
		e.quotaMu.Unlock()
	}
	return m
}

func (e *Edge) newMessage(now time.Time) peers.Message {
	m := peers.Message{From: e.digest(now)}
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	e.fleet.serial++
	m.From.Serial = e.fleet.serial
	return m
}

// circle returns the core of the fleet: the VMs that callers are sent to first.
func (e *Edge) core() peers.Core {
	now := time.Now()
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

func (e *Edge) serversByDomain() map[ident.Domain]int {
	e.dispatch.mu.Lock()
	defer e.dispatch.mu.Unlock()
	return e.dispatch.roster.CountByDomain()
}

// seedHosts returns the IP numbers of the seeds.
func (e *Edge) seedHosts() []string {
	var out []string
	for _, seed := range e.settings.Load().Seeds() {
		if host, _, err := net.SplitHostPort(seed); err == nil {
			out = append(out, host)
		}
	}
	return out
}

// post sends a message to some VMs.
func (e *Edge) send(m peers.Message, hosts ...string) {
	if len(hosts) == 0 {
		return
	}
	raw, err := e.fleet.codec.Encode(m)
	if err != nil {
		e.log.Error(componentFleet, "heartbeat cannot be encoded", "error", err.Error())
		return
	}
	e.fleet.mu.Lock()
	e.fleet.heartbeatBytes += int64(len(raw) * len(hosts))
	e.fleet.mu.Unlock()
	for _, host := range hosts {
		ip := net.ParseIP(host)
		if ip == nil {
			e.log.Warn(componentFleet, "heartbeat cannot be sent", "to", host, "error", "the address is no IP number")
			continue
		}
		if _, err := e.fleet.conn.WriteToUDP(raw, &net.UDPAddr{IP: ip, Port: e.settings.Load().GossipPort()}); err != nil {
			e.log.Warn(componentFleet, "heartbeat cannot be sent", "to", host, "error", err.Error())
		}
	}
}

// hear takes heartbeats until the socket is closed.
func (e *Edge) receiveHeartbeats() {
	buf := make([]byte, maxDatagramSize)
	for {
		n, from, err := e.fleet.conn.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			e.log.Warn(componentFleet, "heartbeat cannot be read", "error", err.Error())
			continue
		}
		m, err := e.fleet.codec.Decode(buf[:n])
		if err != nil {
			e.log.Warn(componentFleet, "heartbeat is malformed", "from", from.String(), "error", err.Error())
			continue
		}
		e.handleHeartbeat(m)
	}
}

func (e *Edge) handleHeartbeat(m peers.Message) {
	now := time.Now()
	e.fleet.mu.Lock()
	events, fresh := e.fleet.peers.Receive(now, m)
	e.fleet.mu.Unlock()
	if !fresh {
		return
	}
	e.quotaMu.Lock()
	e.quota.ApplyReports(now, m.From.Process(), m.From.Teams)
	e.quota.CapLevels(now, m.Levels)
	e.quotaMu.Unlock()
	if len(events) > 0 {
		e.logMemberEvents(e.core(), events)
	}
	if m.RequestReply {
		e.send(e.reply(now, m.From.VM), m.From.Address)
	}
	if m.From.Revision > e.revision() {
		e.startFetch(m.From)
	}
}

// fetchSoon fetches news from a VM that has more, unless that is going on.
func (e *Edge) startFetch(from peers.Digest) {
	e.fleet.mu.Lock()
	busy := e.fleet.fetching
	e.fleet.fetching = true
	e.fleet.mu.Unlock()
	if busy {
		return
	}
	go func() {
		err := e.fetchUpdates(from)
		e.fleet.mu.Lock()
		e.fleet.fetching = false
		e.fleet.mu.Unlock()
		if err != nil {
			e.log.Warn(componentFleet, "news cannot be fetched", "from", from.VM, "error", err.Error())
		}
	}()
}

func (e *Edge) fetchUpdates(from peers.Digest) error {
	ctx, cancel := context.WithTimeout(context.Background(), updateTimeout)
	defer cancel()
	since := e.revision()
	_, port, err := net.SplitHostPort(e.settings.Load().Peers())
	if err != nil {
		return errors.Errorf("own address for VMs: %w", err)
	}
	u := url.URL{
		Scheme: "http", Host: net.JoinHostPort(from.Address, port), Path: updatesPath,
		RawQuery: "since=" + strconv.FormatInt(since, 10),
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return errors.Errorf("build call: %w", err)
	}
	resp, err := e.fleet.client.Do(req)
	if err != nil {
		return errors.Errorf("ask %s for news: %w", from.VM, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("%s answers with status %d", from.VM, resp.StatusCode)
	}
	var n updates
	if err := json.NewDecoder(http.MaxBytesReader(nil, resp.Body, maxUpdateSize)).Decode(&n); err != nil {
		return errors.Errorf("decode news of %s: %w", from.VM, err)
	}
	e.mergeItems(n.Items, since, n.AsOf, n.Complete, string(from.VM))
	return nil
}

// serveNews tells another VM what is new since a revision.
func (e *Edge) serveUpdates(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		http.Error(w, "since is not a number", http.StatusBadRequest)
		return
	}
	e.mirrorMu.Lock()
	n := updates{AsOf: e.mirror.AsOf()}
	if since < e.mirror.CompactRevision() {
		since, n.Complete = 0, true
	}
	n.Items = e.mirror.Since(since)
	e.mirrorMu.Unlock()
	if n.Complete {
		n.Items = slices.DeleteFunc(n.Items, func(it mirror.Item) bool { return it.Removed })
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Encoding", "gzip")
	z := gzip.NewWriter(w)
	if err := errors.Join(json.NewEncoder(z).Encode(n), z.Close()); err != nil {
		e.log.Warn(componentFleet, "news cannot be told", "error", err.Error())
	}
}

// directory returns the addresses that callers should use.
func (e *Edge) directory() []string {
	return assign.Choose(e.directoryVMs(time.Now()), e.serversByDomain())
}

// callersVMs returns the VMs that callers may be sent to.
func (e *Edge) directoryVMs(now time.Time) []assign.VM {
	s := e.settings.Load()
	e.fleet.mu.Lock()
	members := e.fleet.peers.Members()
	e.fleet.mu.Unlock()
	_, port, err := net.SplitHostPort(s.Callers())
	if err != nil {
		e.log.Error(componentFleet, "own address for callers is malformed", "error", err.Error())
		return nil
	}
	var ready []assign.VM
	if e.ready.Load() && !e.leaving.Load() {
		ready = append(ready, assign.VM{
			Name: s.Name(), Domain: s.Domain(), Address: s.Callers(), CPUShare: s.CPUShare(), Load: e.load.rate(now),
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

// keep returns how long a caller may keep a directory answer.
func (e *Edge) directoryTTL() time.Duration {
	return min(defaultDirectoryTTL, e.settings.Load().KeepMost())
}
