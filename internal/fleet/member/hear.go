package member

import (
	"slices"

	"kumquatreel.example/kumquatreel/internal/base/clock"
	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/base/sets"
)

// learn takes over what a report says about others and about its sender.
func (m *Machine) learn(now clock.Instant, r Report) []Action {
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
	if m.isGone(m.self) || slices.Contains(r.DeclaredDead, m.self) {
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
		if p != m.self && now.MinSince(at) > goneFactor*m.times.ReclaimTimeout {
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
	p.holds = r.HoldsShares
}

func (m *Machine) answered(now clock.Instant, ev ExchangeAnswered) {
	r := ev.Report
	delete(m.missed, r.VM)
	p := m.peers[r.Process]
	if p == nil || m.condemned.Has(r.Process) || slices.Contains(r.DeclaredDead, m.self) {
		return
	}
	m.note(now, r)
	p.everAsk = true
	p.answered = ev.RequestedAt
	v := m.current()
	if r.Digest == v.digest && ev.RequestedAt.Passed(v.adopted) {
		v.acked.Add(r.Process)
	}
}

// countVotes records which processes the sender of a report has condemned.
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

// condemn votes against silent processes and removes those that a majority has condemned.
func (m *Machine) condemn(now clock.Instant) []Action {
	if !m.HoldsShares(now) {
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
		if p != m.self && now.MinSince(m.peers[p].heard) > m.times.ReclaimTimeout {
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
