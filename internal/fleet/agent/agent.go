package agent

import (
	"math/rand/v2"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/clock"
	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/base/sets"
	"kumquatreel.example/kumquatreel/internal/conf/schema"
	"kumquatreel.example/kumquatreel/internal/fleet/docs"
	"kumquatreel.example/kumquatreel/internal/fleet/member"
	"kumquatreel.example/kumquatreel/internal/limit/bucket"
	"kumquatreel.example/kumquatreel/internal/limit/lease"
	"kumquatreel.example/kumquatreel/internal/wire/inner"
)

// leaseDriftMargin is how much longer a lessor waits than the holder uses a lease, to allow for clock drift.
const leaseDriftMargin = 200 * time.Millisecond

// Options configures the Agent of one VM.
type Options struct {
	VM          ident.VM
	Domain      ident.Domain
	Incarnation string
	// HoldTimeout is how long shares may be used without an answer from a majority.
	HoldTimeout time.Duration
	// ReclaimTimeout is the silence after which a process may be declared dead.
	ReclaimTimeout time.Duration
	// MaxStaleness is how long a configuration counts as fresh without contact to the platform or a majority.
	MaxStaleness  time.Duration
	LeaseDuration time.Duration
	TickInterval  time.Duration
	// MaxWorkTime is the longest time that a part may be in progress at a backend server.
	MaxWorkTime time.Duration
	// PlatformReaders is the number of VMs in each failure domain that watch the platform.
	PlatformReaders int
}

// Agent is the state machine of one VM within the fleet. It is not safe for concurrent use.
type Agent struct {
	opts         Options
	rng          *rand.Rand
	member       *member.Machine
	documents    docs.State
	lessor       *lease.Lessor
	holder       *lease.Holder
	ownRates     map[ident.Team]*bucket.Bucket
	pools        map[ident.Team]*bucket.Pool
	inProgress   map[ident.Server]int
	warm         map[ident.Server]warmRecord
	reportedWarm map[ident.Server]warmRecord
	peerLoads    map[ident.VM]float64
	load         float64
	// newerSince holds the VMs that have a newer configuration, and since when this is known.
	newerSince map[ident.VM]clock.Instant
	// grantPending holds the units whose lease was requested while they were in use, and when.
	grantPending map[lease.Key]clock.Instant
	// platformReadAt is the latest known instant at which some VM read the platform and found no newer configuration than the one in force
	// here. It is valid if platformReadKnown is set.
	platformReadAt    clock.Instant
	platformReadKnown bool
	startedAt         clock.Instant
	answeredPeers     sets.Set[ident.VM]
	peersChecked      bool
	grantsStopped     bool

	// held caches the result of heldServers for the view heldDigest and the configuration heldRevision.
	held         []*schema.Server
	heldDigest   uint64
	heldRevision int64
}

// warmRecord is an observation that a backend server was warm in one incarnation.
type warmRecord struct {
	incarnation string
	at          clock.Instant
}

// New returns the Agent of a process that has just started.
func New(now clock.Instant, opts Options, rng *rand.Rand) *Agent {
	terms := lease.Terms{Duration: opts.LeaseDuration, DriftMargin: leaseDriftMargin, WorkTime: opts.MaxWorkTime}
	return &Agent{
		opts: opts, rng: rng, startedAt: now, answeredPeers: sets.SetOf[ident.VM](),
		member: member.New(now, opts.VM, opts.Incarnation, member.Timing{
			HoldTimeout: opts.HoldTimeout, ReclaimTimeout: opts.ReclaimTimeout,
			DrainTime:         terms.Duration + terms.WorkTime + 2*leaseDriftMargin,
			MinSuspectTimeout: opts.LeaseDuration, TickInterval: opts.TickInterval,
		}),
		lessor:       lease.NewLessor(terms),
		holder:       lease.NewHolder(opts.LeaseDuration),
		ownRates:     make(map[ident.Team]*bucket.Bucket),
		pools:        make(map[ident.Team]*bucket.Pool),
		inProgress:   make(map[ident.Server]int),
		warm:         make(map[ident.Server]warmRecord),
		reportedWarm: make(map[ident.Server]warmRecord),
		peerLoads:    make(map[ident.VM]float64),
		newerSince:   make(map[ident.VM]clock.Instant),
		grantPending: make(map[lease.Key]clock.Instant),
	}
}

// Step applies an event and returns the resulting actions.
func (a *Agent) Step(now clock.Instant, ev Event) []Action {
	switch ev := ev.(type) {
	case Tick:
		return a.tick(now)
	case PlatformRead:
		a.recordPlatformRead(ev.RequestedAt)
	case ConfigurationRead:
		return a.updateConfiguration(now, ev)
	case ListRead:
		return a.updateList(now, ev)
	case ExchangeReceived:
		return a.handleExchange(now, ev.Exchange)
	case ExchangeAnswered:
		return a.handleReply(now, ev)
	case ExchangeFailed:
		return a.stepMembership(now, member.ExchangeFailed{VM: ev.VM})
	case Leave:
		return a.stepMembership(now, member.Leave{})
	case Release:
		return a.stepMembership(now, member.Release{})
	}
	return nil
}

// Catalog returns the configuration in force, or nil.
func (a *Agent) Catalog() *schema.Catalog { return a.documents.Catalog() }

// List returns the list of VMs in force, or nil.
func (a *Agent) List() *schema.VMs { return a.documents.List() }

// Refused returns the newest refused revision and the reason, zero if none is newer than the one in force.
func (a *Agent) Refused() (int64, error) { return a.documents.Refused() }

// Membership returns the membership. The caller must only read it.
func (a *Agent) Membership() *member.Machine { return a.member }

// LastRead returns the newest revisions of the configuration and of the list that have been read, whether they were refused or not.
func (a *Agent) LastRead() (configuration, list int64) { return a.documents.LastRead() }

// Documents returns the texts of the documents in force, to be sent to a peer.
func (a *Agent) Documents() inner.Documents {
	d := inner.Documents{Revision: a.documents.Revision(), ListRevision: a.documents.ListRevision()}
	if c := a.documents.Catalog(); c != nil {
		d.Text = string(c.Bytes())
	}
	if l := a.documents.List(); l != nil {
		d.ListText = string(l.Bytes())
	}
	return d
}

// SetLoad sets the load of this VM, as a fraction of its capacity.
func (a *Agent) SetLoad(load float64) { a.load = load }

// LoadOf returns the load that a VM reported last.
func (a *Agent) LoadOf(vm ident.VM) float64 {
	if vm == a.opts.VM {
		return a.load
	}
	return a.peerLoads[vm]
}

// Fresh reports whether the configuration in force may be relied on: the platform was read or a majority answered within FreshTimeout,
// no peer has had a newer configuration for that long, and a new process has checked with its peers.
func (a *Agent) Fresh(now clock.Instant) bool {
	if a.documents.Catalog() == nil || a.documents.List() == nil || a.isOutdated(now) || !a.hasCheckedPeers(now) {
		return false
	}
	recent := func(t clock.Instant) bool { return now.MaxSince(t) < a.opts.MaxStaleness }
	return a.platformReadKnown && recent(a.platformReadAt) || a.member.MajorityAnswered(recent) && len(a.documents.List().All()) > 1
}

// hasCheckedPeers reports whether a new process has checked with a majority of the live VMs for documents newer than those of a stale
// platform, or has waited for their answers for MaxStaleness.
func (a *Agent) hasCheckedPeers(now clock.Instant) bool {
	if a.peersChecked {
		return true
	}
	live, answered := 0, 1
	for _, v := range a.documents.List().All() {
		if v.Name() == a.opts.VM || v.State() != schema.VMLive {
			continue
		}
		live++
		if a.answeredPeers.Has(v.Name()) {
			answered++
		}
	}
	a.peersChecked = 2*answered > live+1 && len(a.newerSince) == 0 || now.MinSince(a.startedAt) >= a.opts.MaxStaleness
	return a.peersChecked
}

// isOutdated reports whether a peer has had a newer configuration for at least MaxStaleness.
func (a *Agent) isOutdated(now clock.Instant) bool {
	for _, since := range a.newerSince {
		if now.MaxSince(since) >= a.opts.MaxStaleness {
			return true
		}
	}
	return false
}

// WatchesPlatform reports whether this VM is one of the PlatformReaders of its failure domain, which watch the platform. A VM without
// documents, a leaving one and one that is not on the list watch too.
func (a *Agent) WatchesPlatform(now clock.Instant) bool {
	if a.documents.List() == nil || a.documents.Catalog() == nil || a.member.Leaving() {
		return true
	}
	var available []ident.VM
	for _, v := range a.documents.List().All() {
		if v.Domain() == a.opts.Domain && a.member.Available(now, v.Name()) {
			available = append(available, v.Name())
		}
	}
	for i, vm := range ident.Rank("reader:"+string(a.opts.Domain), available) {
		if vm == a.opts.VM {
			return i < a.opts.PlatformReaders
		}
	}
	return true
}

// StaleFor reports whether, as far as this VM knows, no VM has read the platform within a span.
func (a *Agent) StaleFor(now clock.Instant, span time.Duration) bool {
	return !a.platformReadKnown || now.MaxSince(a.platformReadAt) >= span
}

// recordPlatformRead records that some VM read the platform at an instant and found no newer configuration than the one in force here.
func (a *Agent) recordPlatformRead(at clock.Instant) {
	if !a.platformReadKnown || at.Upper() > a.platformReadAt.Upper() {
		a.platformReadAt, a.platformReadKnown = at, true
	}
}

func (a *Agent) platformReadAge(now clock.Instant) inner.Age {
	if !a.platformReadKnown {
		return 0
	}
	return inner.AgeOf(now.MaxSince(a.platformReadAt))
}

func (a *Agent) tick(now clock.Instant) []Action {
	out := a.stepMembership(now, member.Tick{})
	a.updateRateLimits(now)
	return a.addLeaseRequests(now, a.returnLeases(now, out))
}

// stepMembership passes an event to the membership and translates the resulting actions.
func (a *Agent) stepMembership(now clock.Instant, ev member.Event) []Action {
	var out []Action
	for _, act := range a.member.Step(now, ev, a.rng) {
		switch act := act.(type) {
		case member.StartExchange:
			out = append(out, SendExchange{VM: act.VM, Exchange: a.newExchange(now, act.VM)})
		case member.Renamed:
			a.dropShares(now)
			out = append(out, MembershipChanged{Change: act})
		case member.Joined, member.Left, member.Confirmed:
			out = append(out, MembershipChanged{Change: act})
		}
	}
	return out
}

// dropShares drops the leases and tokens that the process held under its former name.
func (a *Agent) dropShares(now clock.Instant) {
	a.holder.Clear()
	for _, p := range a.pools {
		p.Clear()
	}
	for _, b := range a.ownRates {
		b.Drain(now, now)
	}
}

func (a *Agent) newExchange(now clock.Instant, vm ident.VM) inner.Exchange {
	return inner.Exchange{
		Report:       a.member.Report(now, a.member.PeerDigest(vm)),
		Revision:     a.documents.Revision(),
		ListRevision: a.documents.ListRevision(),
	}
}

func (a *Agent) updateConfiguration(now clock.Instant, ev ConfigurationRead) []Action {
	changed, err := a.documents.UpdateCatalog(ev.Revision, ev.Text)
	if err != nil {
		clear(a.newerSince)
		return []Action{DocumentRefused{Reason: err}}
	}
	if !changed {
		return nil
	}
	clear(a.newerSince)
	a.updateRateLimits(now)
	return []Action{ConfigurationApplied{Revision: ev.Revision}}
}

func (a *Agent) updateList(now clock.Instant, ev ListRead) []Action {
	changed, err := a.documents.UpdateList(ev.Revision, ev.Text)
	if err != nil {
		return []Action{DocumentRefused{Reason: err}}
	}
	if !changed {
		return nil
	}
	return a.stepMembership(now, member.ListRead{List: a.documents.List()})
}

func (a *Agent) handleExchange(now clock.Instant, ex inner.Exchange) []Action {
	out := a.stepMembership(now, member.ExchangeReceived{Report: ex.Report})
	out = append(out, a.compareRevisions(now, ex.Report.VM, ex.Revision, ex.ListRevision)...)
	a.acceptReturns(now, ex)
	reply := inner.ExchangeReply{
		Report:       a.member.Report(now, ex.Report.Digest),
		Revision:     a.documents.Revision(),
		ListRevision: a.documents.ListRevision(),
		Load:         a.load,
		UpdateAge:    a.platformReadAge(now),
		Grants:       a.grantLeases(now, ex),
	}
	return append(out, SendReply{Reply: reply})
}

func (a *Agent) handleReply(now clock.Instant, ev ExchangeAnswered) []Action {
	out := a.stepMembership(now, member.ExchangeAnswered{RequestedAt: ev.RequestedAt, Report: ev.Reply.Report})
	a.peerLoads[ev.VM] = ev.Reply.Load
	a.answeredPeers.Add(ev.VM)
	if age, ok := ev.Reply.UpdateAge.Duration(); ok && ev.Reply.Revision <= a.documents.Revision() {
		a.recordPlatformRead(ev.RequestedAt.Add(-age))
	}
	a.acceptGrants(now, ev)
	return append(out, a.compareRevisions(now, ev.VM, ev.Reply.Revision, ev.Reply.ListRevision)...)
}

// compareRevisions records whether a peer has a newer configuration and requests newer documents from it.
func (a *Agent) compareRevisions(now clock.Instant, vm ident.VM, revision, listRevision int64) []Action {
	// A newer document that was refused may have followed one that the peer has in force.
	read, readList := a.documents.LastRead()
	if revision > a.documents.Revision() && revision != read {
		if _, known := a.newerSince[vm]; !known {
			a.newerSince[vm] = now
		}
		return []Action{FetchDocuments{VM: vm}}
	}
	delete(a.newerSince, vm)
	if listRevision > a.documents.ListRevision() && listRevision != readList {
		return []Action{FetchDocuments{VM: vm}}
	}
	return nil
}
