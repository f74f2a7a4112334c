package member

import (
	"cmp"
	"slices"

	"kumquatreel.example/kumquatreel/internal/base/clock"
	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/base/sets"
	"kumquatreel.example/kumquatreel/internal/conf/schema"
)

// ranking returns the ranks for a resource. It is computed once after each change of the views.
func (m *Machine) ranking(resource string) *ranking {
	if r := m.rankings[resource]; r != nil {
		return r
	}
	r := &ranking{}
	for i := range m.views {
		r.worstRank = max(r.worstRank, rankOf(m.self, resource, m.views[i].members))
	}
	ranked := rank(resource, m.members)
	for _, p := range ranked[:min(maxRanked, len(ranked))] {
		r.top = append(r.top, VMOf(p))
	}
	m.rankings[resource] = r
	return r
}

func (m *Machine) current() *view { return &m.views[len(m.views)-1] }

func (m *Machine) adoptView(now clock.Instant) {
	v := view{members: m.members.Clone(), digest: digest(m.members), adoptedAt: now, acknowledged: sets.SetOf[ident.Process]()}
	if len(m.views) > 0 && !m.views[0].confirmed {
		m.views = m.views[:0]
	}
	m.views = append(m.views, v)
	clear(m.rankings)
}

// confirm marks the current view as confirmed once it is complete and former holders have drained.
func (m *Machine) confirm(now clock.Instant) []Action {
	v := m.current()
	if v.confirmed || m.released || m.list == nil || !m.isComplete(v) {
		return nil
	}
	if !v.complete {
		v.complete = true
		v.completeAt = now
	}
	if m.needsDrain(v) && now.MinSince(v.completeAt) < m.timing.DrainTime {
		return nil
	}
	v.confirmed = true
	v.confirmedAt = now
	m.views = []view{*v}
	m.majorityCached = false
	clear(m.rankings)
	return []Action{Confirmed{Size: len(v.members)}}
}

// needsDrain reports whether a former holder may still use what the view assigns to this process.
func (m *Machine) needsDrain(v *view) bool {
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

// isComplete reports whether every process of a view has adopted it and every live VM on the list is in it.
func (m *Machine) isComplete(v *view) bool {
	vms := sets.SetOf[ident.VM]()
	for p := range v.members {
		vms.Add(VMOf(p))
		if p != m.self && !v.acknowledged.Has(p) {
			return false
		}
	}
	for _, entry := range m.list.All() {
		if entry.State() == schema.VMLive && !vms.Has(entry.Name()) {
			return false
		}
	}
	return true
}

// rank orders processes by their score for a resource, best first. Of two processes on one VM the newer one, which has the greater name,
// comes first.
func rank(resource string, members sets.Set[ident.Process]) []ident.Process {
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

// rankOf returns the rank of a process, which is the number of processes before it, without sorting the others.
func rankOf(self ident.Process, resource string, members sets.Set[ident.Process]) int {
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

func digest(members sets.Set[ident.Process]) uint64 {
	var sum uint64
	for p := range members {
		sum += ident.Score("view", string(p))
	}
	return sum
}
