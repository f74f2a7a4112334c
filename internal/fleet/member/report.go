package member

import (
	"slices"

	"kumquatreel.example/kumquatreel/internal/base/clock"
	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/base/sets"
)

// applyReport merges a report about its sender and other processes into the view.
func (m *Machine) applyReport(now clock.Instant, r Report) []Action {
	var out []Action
	for _, p := range r.Removed {
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
	if m.isRemoved(m.self) || slices.Contains(r.DeclaredDead, m.self) {
		return append(out, m.rename(now, "declared dead by "+string(r.VM)))
	}
	if len(out) > 0 {
		m.adoptView(now)
	}
	return out
}

func (m *Machine) isRemoved(p ident.Process) bool {
	_, ok := m.removed[p]
	return ok
}

// expireRemoved drops tombstones that are so old that no report can list the process as a member any more.
func (m *Machine) expireRemoved(now clock.Instant) {
	for p, at := range m.removed {
		if p != m.self && now.MinSince(at) > removedRetentionFactor*m.timing.ReclaimTimeout {
			delete(m.removed, p)
		}
	}
}

func (m *Machine) add(now clock.Instant, p ident.Process) []Action {
	if m.isRemoved(p) || m.members.Has(p) {
		return nil
	}
	m.members.Add(p)
	if m.peers[p] == nil {
		m.peers[p] = &peer{vm: VMOf(p), lastHeard: now}
	}
	return []Action{Joined{Process: p}}
}

func (m *Machine) remove(now clock.Instant, p ident.Process) []Action {
	m.removed[p] = now
	if q := m.peers[p]; q != nil && m.latestPeer[q.vm] == q {
		delete(m.latestPeer, q.vm)
	}
	delete(m.peers, p)
	delete(m.votes, p)
	delete(m.declaredDead, p)
	if !m.members.Has(p) {
		return nil
	}
	delete(m.members, p)
	return []Action{Left{Process: p}}
}

// recordContact records that a process is alive, unless this process has declared it dead.
func (m *Machine) recordContact(now clock.Instant, r Report) {
	p := m.peers[r.Process]
	if p == nil || m.declaredDead.Has(r.Process) {
		return
	}
	m.latestPeer[p.vm] = p
	p.lastHeard = now
	p.digest = r.Digest
	p.leaving = r.Leaving
	p.holdsShares = r.HoldsShares
}

func (m *Machine) recordAnswer(now clock.Instant, ev ExchangeAnswered) {
	r := ev.Report
	delete(m.failed, r.VM)
	p := m.peers[r.Process]
	if p == nil || m.declaredDead.Has(r.Process) || slices.Contains(r.DeclaredDead, m.self) {
		return
	}
	m.recordContact(now, r)
	p.hasAnswered = true
	p.lastAnswered = ev.RequestedAt
	v := m.current()
	if r.Digest == v.digest && ev.RequestedAt.Passed(v.adoptedAt) {
		v.acknowledged.Add(r.Process)
	}
}

// countVotes records which processes the sender of a report has declared dead.
func (m *Machine) countVotes(r Report) {
	for _, p := range r.DeclaredDead {
		if !m.members.Has(p) || p == m.self {
			continue
		}
		if m.votes[p] == nil {
			m.votes[p] = sets.SetOf[ident.Process]()
		}
		m.votes[p].Add(r.Process)
	}
}

// declareDead votes to remove silent processes and removes those that a majority has declared dead.
func (m *Machine) declareDead(now clock.Instant) []Action {
	if !m.HoldsShares(now) {
		return nil
	}
	var out []Action
	for _, p := range m.silentProcesses(now) {
		if !m.mayDeclareDead(p) {
			continue
		}
		m.declaredDead.Add(p)
		if m.hasMajorityVote(p) {
			out = append(out, m.remove(now, p)...)
		}
	}
	if len(out) > 0 {
		m.adoptView(now)
	}
	return out
}

// silentProcesses returns the other processes that were last heard from longer than ReclaimTimeout ago, sorted.
func (m *Machine) silentProcesses(now clock.Instant) []ident.Process {
	var out []ident.Process
	for p := range m.members {
		if p != m.self && now.MinSince(m.peers[p].lastHeard) > m.timing.ReclaimTimeout {
			out = append(out, p)
		}
	}
	slices.Sort(out)
	return out
}

// mayDeclareDead reports whether a process may be declared dead: its VM is not on the list, or another process of the view runs on it.
func (m *Machine) mayDeclareDead(p ident.Process) bool {
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

func (m *Machine) hasMajorityVote(p ident.Process) bool {
	base := m.views[0].members
	n := 0
	for q := range base {
		if q == m.self || m.votes[p].Has(q) {
			n++
		}
	}
	return 2*n > len(base)
}
