package member

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/clock"
	"kumquatreel.example/kumquatreel/internal/base/group"
	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/conf/catlog"
)

const (
	partnersByTick = 3
	goneFactor     = 4
	maxRanked      = 8
	suspectRounds  = 3
)

// Machine holds one process's view of the fleet; it is driven by one goroutine at a time.
type Machine struct {
	times       Times
	vm          ident.VM
	incarnation string
	epoch       int
	self        ident.Process

	list      *catlog.VMs
	members   group.Set[ident.Process]
	gone      map[ident.Process]clock.Instant
	condemned group.Set[ident.Process]
	votes     map[ident.Process]group.Set[ident.Process]
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
	members   group.Set[ident.Process]
	digest    uint64
	adopted   clock.Instant
	acked     group.Set[ident.Process]
	complete  bool
	since     clock.Instant
	confirmed bool
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
func New(now clock.Instant, vm ident.VM, incarnation string, times Times) *Machine {
	m := &Machine{
		times: times, vm: vm, incarnation: incarnation,
		gone:      make(map[ident.Process]clock.Instant),
		condemned: group.SetOf[ident.Process](),
		votes:     make(map[ident.Process]group.Set[ident.Process]),
		peers:     make(map[ident.Process]*peer),
		missed:    make(map[ident.VM]bool),
		latest:    make(map[ident.VM]*peer),
		rankings:  make(map[string]*ranking),
	}
	m.restart(now, group.SetOf[ident.Process]())
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
	case Heard:
		out = append(out, m.learn(now, ev.Report)...)
		m.note(now, ev.Report)
	case Answered:
		out = append(out, m.learn(now, ev.Report)...)
		m.answered(now, ev)
	case Missed:
		m.missed[ev.VM] = true
	case Tick:
		m.forget(now)
		out = append(out, m.condemn(now)...)
		out = append(out, m.ask(rng)...)
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
		Holds: m.Holds(now), Leaving: m.leaving, Released: m.released, Condemned: group.Sorted(m.condemned),
	}
	if peerDigest != r.Digest {
		r.Members = group.Sorted(m.members)
		r.Gone = slices.Sorted(maps.Keys(m.gone))
	}
	return r
}

// DigestOf returns the digest that a VM reported last, zero when it never did.
func (m *Machine) DigestOf(vm ident.VM) uint64 {
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
func (m *Machine) List() *catlog.VMs { return m.list }

// Members returns the processes of the current view in order.
func (m *Machine) Members() []ident.Process { return group.Sorted(m.members) }

// Settled reports whether every process has taken on the current view.
func (m *Machine) Settled() bool { return m.current().confirmed }

// Holds reports whether this process may use claims at all at an instant.
func (m *Machine) Holds(now clock.Instant) bool {
	return !m.released && m.views[0].confirmed && m.majority(now)
}

// Entitled returns how much of a resource this process may use: the least that its rank gets in any view since the last confirmed one; amount must not grow with the rank.
func (m *Machine) Entitled(now clock.Instant, resource string, amount func(rank int) int) int {
	if !m.Holds(now) {
		return 0
	}
	return amount(m.ranking(resource).worst)
}

// Share returns this process's part of a divisible resource as a fraction, zero without claims.
func (m *Machine) Share(now clock.Instant) float64 {
	if !m.Holds(now) {
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

// ranking returns where processes stand for a resource; it is worked out once for each change of the views.
func (m *Machine) ranking(resource string) *ranking {
	if r := m.rankings[resource]; r != nil {
		return r
	}
	r := &ranking{}
	for i := range m.views {
		r.worst = max(r.worst, rankOf(m.self, resource, m.views[i].members))
	}
	ranked := rank(resource, m.members)
	for _, p := range ranked[:min(maxRanked, len(ranked))] {
		r.top = append(r.top, VMOf(p))
	}
	m.rankings[resource] = r
	return r
}

// Digest returns the digest of the current view.
func (m *Machine) Digest() uint64 { return m.current().digest }

// HoldsClaims reports whether a VM has said that it may use claims.
func (m *Machine) HoldsClaims(now clock.Instant, vm ident.VM) bool {
	if vm == m.vm {
		return m.Holds(now)
	}
	p := m.latest[vm]
	return p != nil && p.holds
}

// Reachable reports whether a VM has answered lately and is not leaving.
func (m *Machine) Reachable(now clock.Instant, vm ident.VM) bool {
	if vm == m.vm {
		return !m.leaving
	}
	return m.Answering(now, vm) && !m.latest[vm].leaving
}

// Answering reports whether a VM has answered lately, leaving or not.
func (m *Machine) Answering(now clock.Instant, vm ident.VM) bool {
	if vm == m.vm {
		return true
	}
	p := m.latest[vm]
	return p != nil && p.everAsk && now.MaxSince(p.answered) < m.suspect() && !m.missed[vm]
}

// suspect returns the silence after which a VM counts as unreachable: at least some rounds of exchanges.
func (m *Machine) suspect() time.Duration {
	if m.list == nil {
		return m.times.Suspect
	}
	round := time.Duration(len(m.list.All())/partnersByTick+1) * m.times.Tick
	return max(m.times.Suspect, suspectRounds*round)
}

// Contact reports whether a majority of the last confirmed view has answered at instants that within takes.
func (m *Machine) Contact(within func(clock.Instant) bool) bool {
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
	if m.sure && now.MaxSince(m.sureAt) < m.times.Hold/2 {
		return true
	}
	m.sure = m.Contact(func(t clock.Instant) bool { return now.MaxSince(t) < m.times.Hold/2 })
	if m.sure {
		// Each of them has answered at most half the hold time ago, so half of it is left.
		m.sureAt = now
		return true
	}
	return m.Contact(func(t clock.Instant) bool { return now.MaxSince(t) < m.times.Hold })
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

func (m *Machine) restart(now clock.Instant, others group.Set[ident.Process]) {
	m.epoch++
	m.self = ident.Process(fmt.Sprintf("%s/%s.%d", m.vm, m.incarnation, m.epoch))
	m.members = others.Clone()
	if m.members == nil {
		m.members = group.SetOf[ident.Process]()
	}
	m.members.Add(m.self)
	m.views = nil
	m.sure = false
	m.adopt(now)
}

func (m *Machine) current() *view { return &m.views[len(m.views)-1] }

func (m *Machine) adopt(now clock.Instant) {
	v := view{members: m.members.Clone(), digest: digest(m.members), adopted: now, acked: group.SetOf[ident.Process]()}
	if len(m.views) > 0 && !m.views[0].confirmed {
		m.views = m.views[:0]
	}
	m.views = append(m.views, v)
	clear(m.rankings)
}

// learn takes over what a report says about others and about its sender.
func (m *Machine) learn(now clock.Instant, r Report) []Action {
	var out []Action
	for _, p := range r.Gone {
		out = append(out, m.remove(now, p)...)
	}
	if r.Released {
		out = append(out, m.remove(now, r.Process)...)
	} else {
		out = append(out, m.add(now, r.Process)...)
	}
	for _, p := range r.Members {
		out = append(out, m.add(now, p)...)
	}
	m.countVotes(r)
	if m.isGone(m.self) || slices.Contains(r.Condemned, m.self) {
		return append(out, m.rename(now, "condemned by "+string(r.VM)))
	}
	if len(out) > 0 {
		m.adopt(now)
	}
	return out
}

func (m *Machine) isGone(p ident.Process) bool {
	_, ok := m.gone[p]
	return ok
}

// forget drops the names of processes that went so long ago that no report can still hold them.
func (m *Machine) forget(now clock.Instant) {
	for p, at := range m.gone {
		if p != m.self && now.MinSince(at) > goneFactor*m.times.Reclaim {
			delete(m.gone, p)
		}
	}
}

func (m *Machine) add(now clock.Instant, p ident.Process) []Action {
	if m.isGone(p) || m.members.Has(p) {
		return nil
	}
	m.members.Add(p)
	if m.peers[p] == nil {
		m.peers[p] = &peer{vm: VMOf(p), heard: now}
	}
	return []Action{Joined{Process: p}}
}

func (m *Machine) remove(now clock.Instant, p ident.Process) []Action {
	m.gone[p] = now
	if q := m.peers[p]; q != nil && m.latest[q.vm] == q {
		delete(m.latest, q.vm)
	}
	delete(m.peers, p)
	delete(m.votes, p)
	delete(m.condemned, p)
	if !m.members.Has(p) {
		return nil
	}
	delete(m.members, p)
	return []Action{Left{Process: p}}
}

// note records that a process is alive, unless it has been condemned here.
func (m *Machine) note(now clock.Instant, r Report) {
	p := m.peers[r.Process]
	if p == nil || m.condemned.Has(r.Process) {
		return
	}
	m.latest[p.vm] = p
	p.heard = now
	p.digest = r.Digest
	p.leaving = r.Leaving
	p.holds = r.Holds
}

func (m *Machine) answered(now clock.Instant, ev Answered) {
	r := ev.Report
	delete(m.missed, r.VM)
	p := m.peers[r.Process]
	if p == nil || m.condemned.Has(r.Process) || slices.Contains(r.Condemned, m.self) {
		return
	}
	m.note(now, r)
	p.everAsk = true
	p.answered = ev.Asked
	v := m.current()
	if r.Digest == v.digest && ev.Asked.Passed(v.adopted) {
		v.acked.Add(r.Process)
	}
}

// countVotes records which processes the sender of a report has condemned.
func (m *Machine) countVotes(r Report) {
	for _, p := range r.Condemned {
		if !m.members.Has(p) || p == m.self {
			continue
		}
		if m.votes[p] == nil {
			m.votes[p] = group.SetOf[ident.Process]()
		}
		m.votes[p].Add(r.Process)
	}
}

// condemn votes against silent processes and removes those that a majority has condemned.
func (m *Machine) condemn(now clock.Instant) []Action {
	if !m.Holds(now) {
		return nil
	}
	var out []Action
	for _, p := range m.silent(now) {
		if !m.candidate(p) {
			continue
		}
		m.condemned.Add(p)
		if m.outvoted(p) {
			out = append(out, m.remove(now, p)...)
		}
	}
	if len(out) > 0 {
		m.adopt(now)
	}
	return out
}

// silent returns the other processes that have not been heard for the reclaim time, in order.
func (m *Machine) silent(now clock.Instant) []ident.Process {
	var out []ident.Process
	for p := range m.members {
		if p != m.self && now.MinSince(m.peers[p].heard) > m.times.Reclaim {
			out = append(out, p)
		}
	}
	slices.Sort(out)
	return out
}

// candidate reports whether a process may be condemned: its VM is off the list, or runs a newer process.
func (m *Machine) candidate(p ident.Process) bool {
	vm := VMOf(p)
	if !m.listed(vm) {
		return true
	}
	for q := range m.members {
		if q != p && VMOf(q) == vm {
			return true
		}
	}
	return false
}

func (m *Machine) listed(vm ident.VM) bool {
	if m.list == nil {
		return true
	}
	for _, v := range m.list.All() {
		if v.Name() == vm {
			return true
		}
	}
	return false
}

func (m *Machine) outvoted(p ident.Process) bool {
	base := m.views[0].members
	n := 0
	for q := range base {
		if q == m.self || m.votes[p].Has(q) {
			n++
		}
	}
	return 2*n > len(base)
}

// confirm closes the current view once every process has taken it on and former holders are done.
func (m *Machine) confirm(now clock.Instant) []Action {
	v := m.current()
	if v.confirmed || m.released || m.list == nil || !m.complete(v) {
		return nil
	}
	if !v.complete {
		v.complete = true
		v.since = now
	}
	if m.grew(v) && now.MinSince(v.since) < m.times.Drain {
		return nil
	}
	v.confirmed = true
	m.views = []view{*v}
	m.sure = false
	clear(m.rankings)
	return []Action{Confirmed{Size: len(v.members)}}
}

// grew reports whether someone may still use what the view gives to this process.
func (m *Machine) grew(v *view) bool {
	if len(v.members) == 1 {
		return false
	}
	base := m.views[0]
	if !base.confirmed {
		return true
	}
	for p := range v.members {
		if !base.members.Has(p) {
			return true
		}
	}
	return false
}

func (m *Machine) complete(v *view) bool {
	vms := group.SetOf[ident.VM]()
	for p := range v.members {
		vms.Add(VMOf(p))
		if p != m.self && !v.acked.Has(p) {
			return false
		}
	}
	for _, entry := range m.list.All() {
		if entry.State() == catlog.VMLive && !vms.Has(entry.Name()) {
			return false
		}
	}
	return true
}

// ask picks the next partners, each VM once a round.
func (m *Machine) ask(rng *rand.Rand) []Action {
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
		out = append(out, Ask{VM: vm})
	}
	m.ring = m.ring[n:]
	return out
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

// rank orders processes for a resource, best first; of two on one VM the newer name comes first.
func rank(resource string, members group.Set[ident.Process]) []ident.Process {
	type scored struct {
		process ident.Process
		score   uint64
	}
	all := make([]scored, 0, len(members))
	for p := range members {
		all = append(all, scored{p, ident.Score(resource, string(VMOf(p)))})
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(b.process, a.process))
	})
	out := make([]ident.Process, len(all))
	for i, s := range all {
		out[i] = s.process
	}
	return out
}

// rankOf counts the processes that come before one, without ordering the rest.
func rankOf(self ident.Process, resource string, members group.Set[ident.Process]) int {
	own := ident.Score(resource, string(VMOf(self)))
	n := 0
	for p := range members {
		score := ident.Score(resource, string(VMOf(p)))
		if score > own || score == own && p > self {
			n++
		}
	}
	return n
}

func digest(members group.Set[ident.Process]) uint64 {
	var sum uint64
	for p := range members {
		sum += ident.Score("view", string(p))
	}
	return sum
}
