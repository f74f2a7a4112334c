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
	partnersByTick = 3
	goneFactor     = 4
	maxRanked      = 8
	suspectRounds  = 3
)

// Machine holds one process's view of the fleet; it is driven by one goroutine at a time.
type Machine struct {
	times       Timing
	vm          ident.VM
	incarnation string
	epoch       int
	self        ident.Process

	list      *schema.VMs
	members   sets.Set[ident.Process]
	gone      map[ident.Process]clock.Instant
	condemned sets.Set[ident.Process]
	votes     map[ident.Process]sets.Set[ident.Process]
	peers     map[ident.Process]*peer
	missed    map[ident.VM]bool

	latest   map[ident.VM]*peer
	rankings map[string]*ranking
	views    []view
	ring     []ident.VM
	leaving  bool
	released bool
	// sure is set when a majority had answered at sureAt within half the hold time.
	sure   bool
	sureAt clock.Instant
}

type view struct {
	members   sets.Set[ident.Process]
	digest    uint64
	adopted   clock.Instant
	acked     sets.Set[ident.Process]
	complete  bool
	since     clock.Instant
	confirmed bool
	closed    clock.Instant
}

// ranking is where processes stand for one resource: the first VMs of the current view, and the worst rank of this process in any open view.
type ranking struct {
	top   []ident.VM
	worst int
}

type peer struct {
	vm       ident.VM
	digest   uint64
	heard    clock.Instant
	answered clock.Instant
	everAsk  bool
	leaving  bool
	holds    bool
}

// New returns the machine of a process that has just started.
func New(now clock.Instant, vm ident.VM, incarnation string, times Timing) *Machine {
	m := &Machine{
		times: times, vm: vm, incarnation: incarnation,
		gone:      make(map[ident.Process]clock.Instant),
		condemned: sets.SetOf[ident.Process](),
		votes:     make(map[ident.Process]sets.Set[ident.Process]),
		peers:     make(map[ident.Process]*peer),
		missed:    make(map[ident.VM]bool),
		latest:    make(map[ident.VM]*peer),
		rankings:  make(map[string]*ranking),
	}
	m.restart(now, sets.SetOf[ident.Process]())
	return m
}

// Step takes one event and returns what follows from it.
func (m *Machine) Step(now clock.Instant, ev Event, rng *rand.Rand) []Action {
	var out []Action
	if reason := m.lost(now); reason != "" {
		out = append(out, m.rename(now, reason))
	}
	switch ev := ev.(type) {
	case ListRead:
		if m.list == nil || ev.List.Revision() > m.list.Revision() {
			m.list = ev.List
			m.ring = nil
		}
	case ExchangeReceived:
		out = append(out, m.learn(now, ev.Report)...)
		m.note(now, ev.Report)
	case ExchangeAnswered:
		out = append(out, m.learn(now, ev.Report)...)
		m.answered(now, ev)
	case ExchangeFailed:
		m.missed[ev.VM] = true
	case Tick:
		m.forget(now)
		out = append(out, m.condemn(now)...)
		out = append(out, m.ask(now, rng)...)
	case Leave:
		m.leaving = true
	case Release:
		m.released = true
	}
	return append(out, m.confirm(now)...)
}

// Report returns what to tell a peer whose last known digest is given.
func (m *Machine) Report(now clock.Instant, peerDigest uint64) Report {
	r := Report{
		VM: m.vm, Process: m.self, Digest: m.current().digest,
		HoldsShares: m.HoldsShares(now), Leaving: m.leaving, Released: m.released, DeclaredDead: sets.Sorted(m.condemned),
	}
	if peerDigest != r.Digest {
		r.Members = sets.Sorted(m.members)
		r.Removed = slices.Sorted(maps.Keys(m.gone))
	}
	return r
}

// PeerDigest returns the digest that a VM reported last, zero when it never did.
func (m *Machine) PeerDigest(vm ident.VM) uint64 {
	if p := m.latest[vm]; p != nil {
		return p.digest
	}
	return 0
}

// Self returns the name of this process, which changes when it loses its claims.
func (m *Machine) Self() ident.Process { return m.self }

// Leaving reports whether the process is shutting down.
func (m *Machine) Leaving() bool { return m.leaving }

// List returns the newest list of VMs, or nil.
func (m *Machine) List() *schema.VMs { return m.list }

// Members returns the processes of the current view in order.
func (m *Machine) Members() []ident.Process { return sets.Sorted(m.members) }

// ViewConfirmed reports whether every process has taken on the current view.
func (m *Machine) ViewConfirmed() bool { return m.current().confirmed }

// ViewConfirmedFor returns for how long the current view has been confirmed, zero while it is not.
func (m *Machine) ViewConfirmedFor(now clock.Instant) time.Duration {
	if !m.ViewConfirmed() {
		return 0
	}
	return now.MinSince(m.current().closed)
}

// HoldsShares reports whether this process may use claims at all at an instant.
func (m *Machine) HoldsShares(now clock.Instant) bool {
	return !m.released && m.views[0].confirmed && m.majority(now)
}

// Entitlement returns how much of a resource this process may use: the least that its rank gets in any view since the last confirmed one; amount must not grow with the rank.
func (m *Machine) Entitlement(now clock.Instant, resource string, amount func(rank int) int) int {
	if !m.HoldsShares(now) {
		return 0
	}
	return amount(m.ranking(resource).worst)
}

// Share returns this process's part of a divisible resource as a fraction, zero without claims.
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

// Ranked returns the VMs that rank first for a resource in the current view, best first and at most n, which must not be above 8.
func (m *Machine) Ranked(resource string, n int) []ident.VM {
	top := m.ranking(resource).top
	return slices.Clone(top[:min(n, len(top))])
}

// Digest returns the digest of the current view.
func (m *Machine) Digest() uint64 { return m.current().digest }

// PeerHoldsShares reports whether a VM has said that it may use claims.
func (m *Machine) PeerHoldsShares(now clock.Instant, vm ident.VM) bool {
	if vm == m.vm {
		return m.HoldsShares(now)
	}
	p := m.latest[vm]
	return p != nil && p.holds
}

// Available reports whether a VM has answered lately and is not leaving.
func (m *Machine) Available(now clock.Instant, vm ident.VM) bool {
	if vm == m.vm {
		return !m.leaving
	}
	return m.Responding(now, vm) && !m.latest[vm].leaving
}

// Responding reports whether a VM has answered lately, leaving or not.
func (m *Machine) Responding(now clock.Instant, vm ident.VM) bool {
	if vm == m.vm {
		return true
	}
	p := m.latest[vm]
	return p != nil && p.everAsk && now.MaxSince(p.answered) < m.suspect() && !m.missed[vm]
}

// suspect returns the silence after which a VM counts as unreachable: at least some rounds of exchanges.
func (m *Machine) suspect() time.Duration {
	if m.list == nil {
		return m.times.MinSuspectTimeout
	}
	round := time.Duration(len(m.list.All())/partnersByTick+1) * m.times.TickInterval
	return max(m.times.MinSuspectTimeout, suspectRounds*round)
}

// MajorityAnswered reports whether a majority of the last confirmed view has answered at instants that within takes.
func (m *Machine) MajorityAnswered(within func(clock.Instant) bool) bool {
	base := m.views[0].members
	n := 0
	for p := range base {
		if p == m.self || m.answeredWithin(p, within) {
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

func (m *Machine) answeredWithin(p ident.Process, within func(clock.Instant) bool) bool {
	q := m.peers[p]
	return q != nil && q.everAsk && within(q.answered)
}

// majority reports whether a majority of the last confirmed view has answered within the hold time.
func (m *Machine) majority(now clock.Instant) bool {
	if m.sure && now.MaxSince(m.sureAt) < m.times.HoldTimeout/2 {
		return true
	}
	m.sure = m.MajorityAnswered(func(t clock.Instant) bool { return now.MaxSince(t) < m.times.HoldTimeout/2 })
	if m.sure {
		// Each of them has answered at most half the hold time ago, so half of it is left.
		m.sureAt = now
		return true
	}
	return m.MajorityAnswered(func(t clock.Instant) bool { return now.MaxSince(t) < m.times.HoldTimeout })
}

// lost returns why the process has no right to its claims any more, empty while it has or never had any.
func (m *Machine) lost(now clock.Instant) string {
	if m.isGone(m.self) {
		return "removed by the others"
	}
	if m.views[0].confirmed && !m.majority(now) {
		return "no majority"
	}
	return ""
}

func (m *Machine) rename(now clock.Instant, reason string) Action {
	m.gone[m.self] = now
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
	m.sure = false
	m.adopt(now)
}

// ask picks the next partners, each VM once a round; one that has just answered is passed over.
func (m *Machine) ask(now clock.Instant, rng *rand.Rand) []Action {
	if m.list == nil {
		return nil
	}
	if len(m.ring) == 0 {
		m.ring = m.partners()
		rng.Shuffle(len(m.ring), func(i, j int) { m.ring[i], m.ring[j] = m.ring[j], m.ring[i] })
	}
	n := min(partnersByTick, len(m.ring))
	var out []Action
	for _, vm := range m.ring[:n] {
		if !m.justAnswered(now, vm) {
			out = append(out, StartExchange{VM: vm})
		}
	}
	m.ring = m.ring[n:]
	return out
}

// justAnswered reports whether a VM has answered within the last two ticks with the same view, so that it has nothing to tell.
func (m *Machine) justAnswered(now clock.Instant, vm ident.VM) bool {
	p := m.latest[vm]
	return p != nil && p.everAsk && m.ViewConfirmed() && p.digest == m.current().digest && now.MaxSince(p.answered) < 2*m.times.TickInterval
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
