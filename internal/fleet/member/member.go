package member

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/clock"
	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/base/sets"
	"kumquatreel.example/kumquatreel/internal/conf/schema"
)

const (
	exchangesPerTick = 3
	// removedRetentionFactor is the age at which a tombstone is dropped, as a multiple of ReclaimTimeout.
	removedRetentionFactor = 4
	// maxRanked is the number of VMs that a ranking stores.
	maxRanked        = 8
	minSuspectRounds = 3
)

// Machine is the membership state machine of one process. It is not safe for concurrent use.
type Machine struct {
	timing      Timing
	vm          ident.VM
	incarnation string
	epoch       int
	self        ident.Process

	list    *schema.VMs
	members sets.Set[ident.Process]
	// removed holds the tombstones: removed processes and when they were removed.
	removed map[ident.Process]clock.Instant
	// declaredDead holds the processes that this process votes to remove; votes holds the other voters by process.
	declaredDead sets.Set[ident.Process]
	votes        map[ident.Process]sets.Set[ident.Process]
	peers        map[ident.Process]*peer
	failed       map[ident.VM]bool

	// latestPeer is the process that was last heard from, by VM.
	latestPeer map[ident.VM]*peer
	rankings   map[string]*ranking
	// views starts with the last confirmed view, if there is one, and ends with the current view.
	views []view
	// round holds the VMs still to be contacted in this round.
	round    []ident.VM
	leaving  bool
	released bool
	// majorityCached is set if, at majorityCachedAt, a majority had answered within half of HoldTimeout.
	majorityCached   bool
	majorityCachedAt clock.Instant
}

type view struct {
	members      sets.Set[ident.Process]
	digest       uint64
	adoptedAt    clock.Instant
	acknowledged sets.Set[ident.Process]
	complete     bool
	completeAt   clock.Instant
	confirmed    bool
	confirmedAt  clock.Instant
}

// ranking holds the ranks of processes for one resource: the first VMs of the current view, and the worst rank of this process in any
// view since the last confirmed one.
type ranking struct {
	top       []ident.VM
	worstRank int
}

type peer struct {
	vm           ident.VM
	digest       uint64
	lastHeard    clock.Instant
	lastAnswered clock.Instant
	hasAnswered  bool
	leaving      bool
	holdsShares  bool
}

// New returns the Machine of a process that has just started.
func New(now clock.Instant, vm ident.VM, incarnation string, timing Timing) *Machine {
	m := &Machine{
		timing: timing, vm: vm, incarnation: incarnation,
		removed:      make(map[ident.Process]clock.Instant),
		declaredDead: sets.SetOf[ident.Process](),
		votes:        make(map[ident.Process]sets.Set[ident.Process]),
		peers:        make(map[ident.Process]*peer),
		failed:       make(map[ident.VM]bool),
		latestPeer:   make(map[ident.VM]*peer),
		rankings:     make(map[string]*ranking),
	}
	m.restart(now, sets.SetOf[ident.Process]())
	return m
}

// Step applies an event and returns the resulting actions.
func (m *Machine) Step(now clock.Instant, ev Event, rng *rand.Rand) []Action {
	var out []Action
	if reason := m.lossReason(now); reason != "" {
		out = append(out, m.rename(now, reason))
	}
	switch ev := ev.(type) {
	case ListRead:
		if m.list == nil || ev.List.Revision() > m.list.Revision() {
			m.list = ev.List
			m.round = nil
		}
	case ExchangeReceived:
		out = append(out, m.applyReport(now, ev.Report)...)
		m.recordContact(now, ev.Report)
	case ExchangeAnswered:
		out = append(out, m.applyReport(now, ev.Report)...)
		m.recordAnswer(now, ev)
	case ExchangeFailed:
		m.failed[ev.VM] = true
	case Tick:
		m.expireRemoved(now)
		out = append(out, m.declareDead(now)...)
		out = append(out, m.startExchanges(now, rng)...)
	case Leave:
		m.leaving = true
	case Release:
		m.released = true
	}
	return append(out, m.confirm(now)...)
}

// Report returns the report to send to a peer whose last known view digest is peerDigest.
func (m *Machine) Report(now clock.Instant, peerDigest uint64) Report {
	r := Report{
		VM: m.vm, Process: m.self, Digest: m.current().digest,
		HoldsShares: m.HoldsShares(now), Leaving: m.leaving, Released: m.released, DeclaredDead: sets.Sorted(m.declaredDead),
	}
	if peerDigest != r.Digest {
		r.Members = sets.Sorted(m.members)
		r.Removed = slices.Sorted(maps.Keys(m.removed))
	}
	return r
}

// PeerDigest returns the view digest that a VM reported last, zero if it has reported none.
func (m *Machine) PeerDigest(vm ident.VM) uint64 {
	if p := m.latestPeer[vm]; p != nil {
		return p.digest
	}
	return 0
}

// Self returns the name of this process. The name changes when the process loses its shares.
func (m *Machine) Self() ident.Process { return m.self }

// Leaving reports whether the process is shutting down.
func (m *Machine) Leaving() bool { return m.leaving }

// List returns the newest list of VMs, or nil.
func (m *Machine) List() *schema.VMs { return m.list }

// Members returns the processes of the current view, sorted.
func (m *Machine) Members() []ident.Process { return sets.Sorted(m.members) }

// ViewConfirmed reports whether the current view is confirmed: all its processes have adopted it, every live VM on the list is in it,
// and former holders have drained.
func (m *Machine) ViewConfirmed() bool { return m.current().confirmed }

// ViewConfirmedFor returns how long the current view has been confirmed, zero if it is not.
func (m *Machine) ViewConfirmedFor(now clock.Instant) time.Duration {
	if !m.ViewConfirmed() {
		return 0
	}
	return now.MinSince(m.current().confirmedAt)
}

// HoldsShares reports whether this process may use its shares at the given instant.
func (m *Machine) HoldsShares(now clock.Instant) bool {
	return !m.released && m.views[0].confirmed && m.hasMajority(now)
}

// Entitlement returns how much of a resource this process may use: the least that its rank gets in any view since the last confirmed
// one. The result of amount must not increase with the rank.
func (m *Machine) Entitlement(now clock.Instant, resource string, amount func(rank int) int) int {
	if !m.HoldsShares(now) {
		return 0
	}
	return amount(m.ranking(resource).worstRank)
}

// Share returns this process's share of a divisible resource as a fraction of it, zero if the process may use no shares.
func (m *Machine) Share(now clock.Instant) float64 {
	if !m.HoldsShares(now) {
		return 0
	}
	largest := 0
	for _, v := range m.views {
		largest = max(largest, len(v.members))
	}
	return 1 / float64(largest)
}

// Ranked returns the first n VMs by rank for a resource in the current view, best first. n must be at most maxRanked, which is 8.
func (m *Machine) Ranked(resource string, n int) []ident.VM {
	top := m.ranking(resource).top
	return slices.Clone(top[:min(n, len(top))])
}

// Digest returns the digest of the current view.
func (m *Machine) Digest() uint64 { return m.current().digest }

// PeerHoldsShares reports whether a VM has reported that it may use its shares.
func (m *Machine) PeerHoldsShares(now clock.Instant, vm ident.VM) bool {
	if vm == m.vm {
		return m.HoldsShares(now)
	}
	p := m.latestPeer[vm]
	return p != nil && p.holdsShares
}

// Available reports whether a VM has answered recently and is not leaving.
func (m *Machine) Available(now clock.Instant, vm ident.VM) bool {
	if vm == m.vm {
		return !m.leaving
	}
	return m.Responding(now, vm) && !m.latestPeer[vm].leaving
}

// Responding reports whether a VM has answered recently, leaving or not.
func (m *Machine) Responding(now clock.Instant, vm ident.VM) bool {
	if vm == m.vm {
		return true
	}
	p := m.latestPeer[vm]
	return p != nil && p.hasAnswered && now.MaxSince(p.lastAnswered) < m.suspectTimeout() && !m.failed[vm]
}

// suspectTimeout returns the silence after which a VM counts as unreachable. It is at least minSuspectRounds rounds of exchanges,
// because each VM is contacted only once in a round.
func (m *Machine) suspectTimeout() time.Duration {
	if m.list == nil {
		return m.timing.MinSuspectTimeout
	}
	round := time.Duration(len(m.list.All())/exchangesPerTick+1) * m.timing.TickInterval
	return max(m.timing.MinSuspectTimeout, minSuspectRounds*round)
}

// MajorityAnswered reports whether a majority of the last confirmed view has answered an exchange that was sent at an instant for which
// accept returns true. This process counts as answered.
func (m *Machine) MajorityAnswered(accept func(clock.Instant) bool) bool {
	base := m.views[0].members
	n := 0
	for p := range base {
		if p == m.self || m.hasAnsweredAt(p, accept) {
			n++
		}
	}
	return 2*n > len(base)
}

// VMOf returns the VM on which a process runs.
func VMOf(p ident.Process) ident.VM {
	vm, _, _ := strings.Cut(string(p), "/")
	return ident.VM(vm)
}

func (m *Machine) hasAnsweredAt(p ident.Process, accept func(clock.Instant) bool) bool {
	q := m.peers[p]
	return q != nil && q.hasAnswered && accept(q.lastAnswered)
}

// hasMajority reports whether a majority of the last confirmed view has answered within HoldTimeout.
func (m *Machine) hasMajority(now clock.Instant) bool {
	if m.majorityCached && now.MaxSince(m.majorityCachedAt) < m.timing.HoldTimeout/2 {
		return true
	}
	m.majorityCached = m.MajorityAnswered(func(t clock.Instant) bool { return now.MaxSince(t) < m.timing.HoldTimeout/2 })
	if m.majorityCached {
		// Each of them answered at most half of HoldTimeout ago, so the result holds for the other half.
		m.majorityCachedAt = now
		return true
	}
	return m.MajorityAnswered(func(t clock.Instant) bool { return now.MaxSince(t) < m.timing.HoldTimeout })
}

// lossReason returns why the process must not use its shares any more, empty if it may still use them or never could.
func (m *Machine) lossReason(now clock.Instant) string {
	if m.isRemoved(m.self) {
		return "removed by a majority of the view"
	}
	if m.views[0].confirmed && !m.hasMajority(now) {
		return "no majority of the confirmed view has answered within the hold time-out"
	}
	return ""
}

func (m *Machine) rename(now clock.Instant, reason string) Action {
	m.removed[m.self] = now
	delete(m.members, m.self)
	m.restart(now, m.members)
	return Renamed{Process: m.self, Reason: reason}
}

func (m *Machine) restart(now clock.Instant, others sets.Set[ident.Process]) {
	m.epoch++
	m.self = ident.Process(fmt.Sprintf("%s/%s.%d", m.vm, m.incarnation, m.epoch))
	m.members = others.Clone()
	if m.members == nil {
		m.members = sets.SetOf[ident.Process]()
	}
	m.members.Add(m.self)
	m.views = nil
	m.majorityCached = false
	m.adoptView(now)
}

// startExchanges selects the next VMs to contact, each VM once in a round. A VM that has just answered is skipped.
func (m *Machine) startExchanges(now clock.Instant, rng *rand.Rand) []Action {
	if m.list == nil {
		return nil
	}
	if len(m.round) == 0 {
		m.round = m.partners()
		rng.Shuffle(len(m.round), func(i, j int) { m.round[i], m.round[j] = m.round[j], m.round[i] })
	}
	n := min(exchangesPerTick, len(m.round))
	var out []Action
	for _, vm := range m.round[:n] {
		if !m.recentlyAnswered(now, vm) {
			out = append(out, StartExchange{VM: vm})
		}
	}
	m.round = m.round[n:]
	return out
}

// recentlyAnswered reports whether a VM has answered within the last two ticks with the current, confirmed view, so that an exchange
// would bring no change.
func (m *Machine) recentlyAnswered(now clock.Instant, vm ident.VM) bool {
	p := m.latestPeer[vm]
	return p != nil && p.hasAnswered && m.ViewConfirmed() && p.digest == m.current().digest &&
		now.MaxSince(p.lastAnswered) < 2*m.timing.TickInterval
}

func (m *Machine) partners() []ident.VM {
	var out []ident.VM
	for _, v := range m.list.All() {
		if v.Name() != m.vm {
			out = append(out, v.Name())
		}
	}
	return out
}
