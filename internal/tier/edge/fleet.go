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
	gossipPeriod = 200 * time.Millisecond
	calmPeriods  = 2
	// knownPeriods is how many heartbeats pass between two that tell of other VMs.
	knownPeriods = 10
	// silentNamed is how long after its last word a VM may be named to callers by one that seems to be cut off.
	silentNamed = 5 * time.Second
	// knownMost bounds the addresses told in a heartbeat.
	knownMost = 8
	// datagramMost is the largest heartbeat in bytes.
	datagramMost = 32 << 10
	// teamsWithin is how long after its last request a team is told of.
	teamsWithin = 2 * time.Second
	// newsLimit bounds the time to fetch news from another VM.
	newsLimit = time.Second
	// newsMost bounds the news in bytes.
	newsMost = 64 << 20
	// newsPath is where VMs ask each other for news.
	newsPath = "/news"
)

// fleet is what a VM knows of the others and how it talks to them.
type fleet struct {
	mu     sync.Mutex
	peers  *peers.Peers
	serial int64
	// bytes counts what was sent in heartbeats.
	bytes   int64
	rng     *rand.Rand
	conn    *net.UDPConn
	codec   *peers.Codec
	client  *http.Client
	sharers peers.Sharers
	// named are the addresses that callers were last sent to.
	named []string
	// fetching is set while news is being fetched from another VM.
	fetching bool
}

// news is what one VM tells another of the store.
type news struct {
	// Whole says that the items are all there are, not only changes.
	Whole bool          `json:"whole"`
	AsOf  int64         `json:"asOf"`
	Items []mirror.Item `json:"items"`
}

func (e *Edge) gossip(ctx context.Context) {
	for n := 0; clock.Sleep(ctx, gossipPeriod); n++ {
		e.tickFleet()
		e.quotaMu.Lock()
		tight := e.quota.NearLimit(time.Now())
		e.quotaMu.Unlock()
		if tight || n%calmPeriods == 0 {
			e.tell(false)
		}
	}
}

// tickFleet notices who has fallen silent and who shares the fleet's bounds.
func (e *Edge) tickFleet() {
	now := time.Now()
	e.fleet.mu.Lock()
	events := e.fleet.peers.Tick(now)
	alive := e.fleet.peers.Alive(now)
	e.fleet.mu.Unlock()
	c := e.circle()
	e.noteMembers(c, events)
	e.fleet.mu.Lock()
	names := e.fleet.sharers.Update(now, c, e.settings.Load().RepeatWindow())
	e.fleet.mu.Unlock()
	ready := e.callersVMs(now)
	named := assign.Choose(ready, e.serversByDomain())
	serving := assign.Serving(ready, len(named))
	d := e.dispatch
	d.mu.Lock()
	vmsBefore, servingBefore := len(d.vms), d.serving
	d.vms, d.serving = names, serving
	gone := d.roster.Sweep(now)
	d.mu.Unlock()
	if vmsBefore != len(names) || servingBefore != serving {
		e.log.Info(partFleet, "bounds are divided anew", "vms", len(names), "vmsBefore", vmsBefore, "serving", serving, "servingBefore", servingBefore)
	}
	e.noteNamed(named)
	for _, s := range gone {
		e.log.Info(partServers, "server gone", "server", s, "reason", "its entry has not come back")
	}
	e.metrics.members.Set(float64(len(alive) + 1))
}

// noteNamed logs a change of the VMs that callers are sent to.
func (e *Edge) noteNamed(named []string) {
	named = slices.Sorted(slices.Values(named))
	e.fleet.mu.Lock()
	same := slices.Equal(named, e.fleet.named)
	e.fleet.named = named
	e.fleet.mu.Unlock()
	if !same {
		e.log.Info(partFleet, "callers are sent elsewhere", "count", len(named), "addresses", named)
	}
}

// noteMembers logs what is believed of VMs of the core and of those that end; others are heard of now and then only.
func (e *Edge) noteMembers(c peers.Circle, events []peers.Event) {
	for _, ev := range events {
		switch ev := ev.(type) {
		case peers.Joined:
			e.noteMember(c, e.log.Info, "VM joined", ev.Member)
			if ev.Replaced != "" {
				e.forgetProcess(ev.Replaced)
			}
		case peers.Back:
			e.noteMember(c, e.log.Info, "VM is heard from again", ev.Member)
		case peers.Silent:
			e.noteMember(c, e.log.Warn, "VM is silent", ev.Member, "agoMs", ms(time.Since(ev.Member.Heard())))
		case peers.Changed:
			e.noteMember(c, e.log.Info, "VM is in another phase", ev.Member, "before", ev.Before.String())
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

func (e *Edge) noteMember(c peers.Circle, write func(prefix, text string, fields ...any), text string, m peers.Member, more ...any) {
	d := m.Digest()
	if ends := d.Phase == peers.PhaseLeaving || d.Phase == peers.PhaseGone; !ends && !c.Has(d.VM) {
		return
	}
	fields := []any{"vm", d.VM, "phase", d.Phase.String(), "revision", d.Revision, "reading", d.Reading}
	write(partFleet, text, append(fields, more...)...)
}

func (e *Edge) digest(now time.Time) peers.Digest {
	e.quotaMu.Lock()
	teams := e.quota.Reports(now, teamsWithin)
	e.quotaMu.Unlock()
	phase := peers.PhaseStarting
	switch {
	case e.ended.Load():
		phase = peers.PhaseGone
	case e.leaving.Load():
		phase = peers.PhaseLeaving
	case e.ready.Load():
		phase = peers.PhaseReady
	}
	s := e.settings.Load()
	return peers.Digest{
		VM: s.Name(), Address: s.Address(), Domain: s.Domain(), Region: s.Region(), Boot: e.boot, Phase: phase,
		Power: s.CPUShare(), Load: e.load.rate(now), Unfit: e.fitness.unfit(now), Revision: e.revision(), Reading: e.reading.Load(), Teams: teams,
	}
}

// tell sends a heartbeat to other VMs; with reply set it asks them to answer at once.
func (e *Edge) tell(reply bool) {
	c := e.circle()
	m := e.message(time.Now())
	f := e.fleet
	f.mu.Lock()
	if reply || m.From.Serial%knownPeriods == 0 {
		m.Known = f.peers.Known(knownMost, f.rng)
	}
	targets := f.peers.Targets(c, m.From, e.seedHosts(), f.rng)
	f.mu.Unlock()
	var asking, telling []string
	for i, to := range targets {
		if reply || c.Asks(m.From.Serial, i) {
			asking = append(asking, to)
		} else {
			telling = append(telling, to)
		}
	}
	e.post(m, telling...)
	m.Reply = true
	e.post(m, asking...)
}

// reply returns what a VM that asks is told, with what is heard from the core.
func (e *Edge) reply(now time.Time, to ident.VM) peers.Message {
	c := e.circle()
	m := e.message(now)
	e.fleet.mu.Lock()
	m.Known = e.fleet.peers.Known(knownMost, e.fleet.rng)
	m.Relayed = e.fleet.peers.Relays(now, c, to)
	e.fleet.mu.Unlock()
	if !c.Has(to) {
		e.quotaMu.Lock()
		m.Levels = e.quota.LowLevels(now)
		e.quotaMu.Unlock()
	}
	return m
}

func (e *Edge) message(now time.Time) peers.Message {
	m := peers.Message{From: e.digest(now)}
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	e.fleet.serial++
	m.From.Serial = e.fleet.serial
	return m
}

// circle returns the core of the fleet: the VMs that callers are sent to first.
func (e *Edge) circle() peers.Circle {
	now := time.Now()
	s := e.settings.Load()
	self := peers.Digest{VM: s.Name(), Address: s.Address(), Domain: s.Domain(), Power: s.CPUShare()}
	servers := e.serversByDomain()
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	return e.fleet.peers.Circle(now, self, func(all []peers.Digest) []peers.Digest {
		vms := make([]assign.VM, len(all))
		byName := make(map[ident.VM]peers.Digest, len(all))
		for i, d := range all {
			vms[i] = assign.VM{Name: d.VM, Domain: d.Domain, Address: d.Address, Power: d.Power}
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
	return e.dispatch.roster.Domains()
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
func (e *Edge) post(m peers.Message, hosts ...string) {
	if len(hosts) == 0 {
		return
	}
	raw, err := e.fleet.codec.Encode(m)
	if err != nil {
		e.log.Error(partFleet, "heartbeat cannot be encoded", "error", err.Error())
		return
	}
	e.fleet.mu.Lock()
	e.fleet.bytes += int64(len(raw) * len(hosts))
	e.fleet.mu.Unlock()
	for _, host := range hosts {
		ip := net.ParseIP(host)
		if ip == nil {
			e.log.Warn(partFleet, "heartbeat cannot be sent", "to", host, "error", "the address is no IP number")
			continue
		}
		if _, err := e.fleet.conn.WriteToUDP(raw, &net.UDPAddr{IP: ip, Port: e.settings.Load().GossipPort()}); err != nil {
			e.log.Warn(partFleet, "heartbeat cannot be sent", "to", host, "error", err.Error())
		}
	}
}

// hear takes heartbeats until the socket is closed.
func (e *Edge) hear() {
	buf := make([]byte, datagramMost)
	for {
		n, from, err := e.fleet.conn.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			e.log.Warn(partFleet, "heartbeat cannot be read", "error", err.Error())
			continue
		}
		m, err := e.fleet.codec.Decode(buf[:n])
		if err != nil {
			e.log.Warn(partFleet, "heartbeat is malformed", "from", from.String(), "error", err.Error())
			continue
		}
		e.heard(m)
	}
}

func (e *Edge) heard(m peers.Message) {
	now := time.Now()
	e.fleet.mu.Lock()
	events, fresh := e.fleet.peers.Heard(now, m)
	e.fleet.mu.Unlock()
	if !fresh {
		return
	}
	e.quotaMu.Lock()
	e.quota.ApplyReports(now, m.From.Process(), m.From.Teams)
	e.quota.CapLevels(now, m.Levels)
	e.quotaMu.Unlock()
	if len(events) > 0 {
		e.noteMembers(e.circle(), events)
	}
	if m.Reply {
		e.post(e.reply(now, m.From.VM), m.From.Address)
	}
	if m.From.Revision > e.revision() {
		e.fetchSoon(m.From)
	}
}

// fetchSoon fetches news from a VM that has more, unless that is going on.
func (e *Edge) fetchSoon(from peers.Digest) {
	e.fleet.mu.Lock()
	busy := e.fleet.fetching
	e.fleet.fetching = true
	e.fleet.mu.Unlock()
	if busy {
		return
	}
	go func() {
		err := e.fetch(from)
		e.fleet.mu.Lock()
		e.fleet.fetching = false
		e.fleet.mu.Unlock()
		if err != nil {
			e.log.Warn(partFleet, "news cannot be fetched", "from", from.VM, "error", err.Error())
		}
	}()
}

func (e *Edge) fetch(from peers.Digest) error {
	ctx, cancel := context.WithTimeout(context.Background(), newsLimit)
	defer cancel()
	since := e.revision()
	_, port, err := net.SplitHostPort(e.settings.Load().Peers())
	if err != nil {
		return errors.Errorf("own address for VMs: %w", err)
	}
	u := url.URL{
		Scheme: "http", Host: net.JoinHostPort(from.Address, port), Path: newsPath,
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
	var n news
	if err := json.NewDecoder(http.MaxBytesReader(nil, resp.Body, newsMost)).Decode(&n); err != nil {
		return errors.Errorf("decode news of %s: %w", from.VM, err)
	}
	e.take(n.Items, since, n.AsOf, n.Whole, string(from.VM))
	return nil
}

// serveNews tells another VM what is new since a revision.
func (e *Edge) serveNews(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		http.Error(w, "since is not a number", http.StatusBadRequest)
		return
	}
	e.mirrorMu.Lock()
	n := news{AsOf: e.mirror.AsOf()}
	if since < e.mirror.Floor() {
		since, n.Whole = 0, true
	}
	n.Items = e.mirror.Since(since)
	e.mirrorMu.Unlock()
	if n.Whole {
		n.Items = slices.DeleteFunc(n.Items, func(it mirror.Item) bool { return it.Removed })
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Encoding", "gzip")
	z := gzip.NewWriter(w)
	if err := errors.Join(json.NewEncoder(z).Encode(n), z.Close()); err != nil {
		e.log.Warn(partFleet, "news cannot be told", "error", err.Error())
	}
}

// directory returns the addresses that callers should use.
func (e *Edge) directory() []string {
	return assign.Choose(e.callersVMs(time.Now()), e.serversByDomain())
}

// callersVMs returns the VMs that callers may be sent to.
func (e *Edge) callersVMs(now time.Time) []assign.VM {
	s := e.settings.Load()
	e.fleet.mu.Lock()
	members := e.fleet.peers.Members()
	e.fleet.mu.Unlock()
	_, port, err := net.SplitHostPort(s.Callers())
	if err != nil {
		e.log.Error(partFleet, "own address for callers is malformed", "error", err.Error())
		return nil
	}
	var ready []assign.VM
	if e.ready.Load() && !e.leaving.Load() {
		ready = append(ready, assign.VM{
			Name: s.Name(), Domain: s.Domain(), Address: s.Callers(), Power: s.CPUShare(), Load: e.load.rate(now),
			Unfit: e.fitness.unfit(now),
		})
	}
	for _, m := range members {
		if d := m.Digest(); d.Phase == peers.PhaseReady && now.Sub(m.Heard()) < silentNamed {
			ready = append(ready, assign.VM{
				Name: d.VM, Domain: d.Domain, Address: net.JoinHostPort(d.Address, port), Power: d.Power, Load: d.Load,
				Unfit: d.Unfit, Silent: !m.Alive(now),
			})
		}
	}
	return ready
}

// keep returns how long a caller may keep a directory answer.
func (e *Edge) keep() time.Duration { return min(keepFor, e.settings.Load().KeepMost()) }
