package roster

import (
	"maps"
	"slices"
	"strings"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/clock"
	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/base/sets"
)

const (
	// removalGracePeriod is how long a server stays usable as a fallback after its entry was removed. Entries that expired while
	// the store was unavailable return within two seconds of the store.
	removalGracePeriod = 2 * time.Second
	// maxRemovalGraceFraction limits removalGracePeriod to a fraction of the drain time, since the entry may have been removed
	// because the server is leaving.
	maxRemovalGraceFraction = 0.67
	// drainUseFraction is the fraction of the drain time during which a leaving server is still used as a fallback.
	drainUseFraction = 0.34
)

// Entry is the state that a backend server publishes about itself.
type Entry struct {
	Server  ident.Server
	Service ident.Service
	Address string
	Domain  ident.Domain
	// Slots is the number of requests that the server runs at a time.
	Slots   int
	Leaving bool
	// ColdFor is the remaining time of a cold start, or 0.
	ColdFor time.Duration
	// Started identifies the start of the server's process. Another value means that the server has restarted.
	Started int64
	// Sequence rises with each message of the same start of the server, 0 if none is published.
	Sequence int64
	// Revision is the store revision of the entry.
	Revision int64
}

// Member is the known state of a server. It is immutable.
type Member struct {
	entry     Entry
	coldUntil time.Time
	// leavingSince is the time at which the server began to leave or its entry was removed, or zero. A server that is already
	// leaving when it is first seen counts as past its drain time.
	leavingSince time.Time
	removed      bool
	// lostAt is when the process may have ended last since the first entry of its start arrived, zero if nothing shows that it has.
	lostAt time.Time
	// reachedAt is when the server first answered on a connection that was opened after that, verified says that it has told its state since.
	reachedAt time.Time
	verified  bool
}

// Entry returns the last entry that the server published.
func (m *Member) Entry() Entry { return m.entry }

// Cold reports whether the server is in a cold start.
func (m *Member) Cold(now time.Time) bool { return now.Before(m.coldUntil) }

// Leaving reports whether the server is leaving or its entry was removed.
func (m *Member) Leaving() bool { return !m.leavingSince.IsZero() }

// LeavingSince returns since when the server is leaving or its entry is removed, zero if neither holds.
func (m *Member) LeavingSince() time.Time { return m.leavingSince }

// Removed reports whether the server's entry was removed.
func (m *Member) Removed() bool { return m.removed }

// ColdUntil returns the end of the server's cold start, which may have passed.
func (m *Member) ColdUntil() time.Time { return m.coldUntil }

// MayHaveRestarted reports whether the server was lost, has not told its state since, and may have started again so lately that it would still be cold,
// given how long that takes.
func (m *Member) MayHaveRestarted(now time.Time, coldFor time.Duration) bool {
	return !m.lostAt.IsZero() && !m.verified && (m.reachedAt.IsZero() || now.Sub(m.reachedAt) < coldFor)
}

// usableAsFallback reports whether the server may receive requests that no other server can take, given the drain time.
func (m *Member) usableAsFallback(now time.Time, drain time.Duration) bool {
	period := time.Duration(drainUseFraction * float64(drain))
	if m.removed {
		period = min(removalGracePeriod, time.Duration(maxRemovalGraceFraction*float64(drain)))
	}
	return m.leavingSince.IsZero() || now.Sub(m.leavingSince) < period
}

// Roster is the set of known backend servers. The zero value is empty and uses no server once it is leaving. It is not safe
// for concurrent use; the owner holds a lock.
type Roster struct {
	drain      time.Duration
	members    map[ident.Server]*Member
	services   map[ident.Service][]*Member
	outDomains sets.Set[ident.Domain]
	// statements holds what servers say of themselves in their answers. It outlives their entries, which may come back.
	statements map[ident.Server]*statement
}

// New returns an empty Roster. Servers continue to serve for the time drain after they announce that they leave.
func New(drain time.Duration) *Roster { return &Roster{drain: drain} }

// Update adds or replaces the entry of a server. It reports whether the server was unknown, has restarted, or has a new
// address.
func (r *Roster) Update(now time.Time, e Entry) bool {
	r.init()
	r.passStatement(now, e)
	old := r.members[e.Server]
	m := &Member{entry: e}
	isNew := old == nil || old.entry.Started != e.Started || old.entry.Address != e.Address
	if old != nil && !isNew {
		m.coldUntil, m.leavingSince = old.coldUntil, old.leavingSince
		m.lostAt, m.reachedAt, m.verified = old.lostAt, old.reachedAt, old.verified
	}
	if e.ColdFor > 0 {
		m.coldUntil = clock.Later(m.coldUntil, now.Add(e.ColdFor))
	}
	switch {
	case !e.Leaving:
		m.leavingSince = time.Time{}
	case isNew:
		// The time at which the server began to leave is unknown, so its drain time counts as over.
		m.leavingSince = now.Add(-r.drain)
	case m.leavingSince.IsZero() || old.removed:
		m.leavingSince = now
	}
	r.replace(old, m)
	return isNew
}

// Ended returns the start of a server that has certainly ended if the server publishes an entry, and whether there is one: a later start at the
// same address, while the server before neither left nor let its entry go. It must be asked before Update.
//
// Load pattern: a server crashes without closing its connections and starts again while requests wait for it.
func (r *Roster) Ended(e Entry) (Start, bool) {
	old := r.members[e.Server]
	if old == nil || old.Leaving() || e.Started <= old.entry.Started || e.Address != old.entry.Address {
		return Start{}, false
	}
	if st := r.statements[e.Server]; st != nil && (!st.leavingSince.IsZero() || st.othersLeaving) {
		return Start{}, false
	}
	return old.entry.Start(), true
}

// Remove handles the removal of an entry. A server that has not announced that it leaves is kept as a fallback for a while,
// since its entry may have expired only because the store was unavailable.
func (r *Roster) Remove(now time.Time, s ident.Server) {
	old := r.members[s]
	if old == nil || old.removed {
		return
	}
	if old.Leaving() {
		r.drop(old)
		return
	}
	m := *old
	m.leavingSince, m.removed = now, true
	r.replace(old, &m)
}

// Evict drops a server at whose address another server answers, unless it has another address or has started again since the request was sent to
// the given start. It is used again once its next entry arrives.
func (r *Roster) Evict(s ident.Server, start Start) {
	if old := r.members[s]; old != nil && old.entry.Start() == start {
		r.drop(old)
	}
}

// MarkCold records that a server reports a cold start that lasts for the time left, and reports whether the server counted as
// warm before. It ignores unknown servers.
func (r *Roster) MarkCold(now time.Time, s ident.Server, left time.Duration) bool {
	old := r.members[s]
	if old == nil || left <= 0 {
		return false
	}
	m := *old
	m.coldUntil = clock.Later(m.coldUntil, now.Add(left))
	r.replace(old, &m)
	return !old.Cold(now)
}

// SetDomainOut takes a failure domain out of service or back into service and reports whether its state changed.
func (r *Roster) SetDomainOut(d ident.Domain, out bool) bool {
	r.init()
	if out {
		return r.outDomains.Add(d)
	}
	wasOut := r.outDomains.Has(d)
	delete(r.outDomains, d)
	return wasOut
}

// DomainOut reports whether a failure domain is out of service.
func (r *Roster) DomainOut(d ident.Domain) bool { return r.outDomains.Has(d) }

// Candidates returns the servers of a service that may receive requests, and as fallback those to use only if there is no
// other. It excludes servers in failure domains that are out of service and those that have left, but not those for which Resting
// reports true.
func (r *Roster) Candidates(now time.Time, s ident.Service) (usable, fallback []*Member) {
	for _, m := range r.services[s] {
		st := r.statements[m.entry.Server]
		switch {
		case r.outDomains.Has(m.entry.Domain):
		case st != nil && !st.usable(now, r.drain):
		case !m.Leaving() && (st == nil || !st.avoided(now)):
			usable = append(usable, m)
		case m.usableAsFallback(now, r.drain):
			fallback = append(fallback, m)
		}
	}
	return usable, fallback
}

// RemoveExpired drops the servers whose entry was removed longer ago than the grace period and returns their sorted names.
func (r *Roster) RemoveExpired(now time.Time) []ident.Server {
	var expired []ident.Server
	for name, m := range r.members {
		if m.removed && !m.usableAsFallback(now, r.drain) {
			r.drop(m)
			expired = append(expired, name)
		}
	}
	slices.Sort(expired)
	return expired
}

// Member returns the known state of a server, or nil.
func (r *Roster) Member(s ident.Server) *Member { return r.members[s] }

// Members returns the known states of all servers, in order of names.
func (r *Roster) Members() []*Member {
	return slices.SortedFunc(maps.Values(r.members), func(a, b *Member) int {
		return strings.Compare(string(a.entry.Server), string(b.entry.Server))
	})
}

// Len returns the number of known servers.
func (r *Roster) Len() int { return len(r.members) }

// CountByDomain returns the number of servers in each failure domain, without those that are leaving or out of service.
func (r *Roster) CountByDomain() map[ident.Domain]int {
	out := make(map[ident.Domain]int)
	for _, m := range r.members {
		if !m.Leaving() && !r.outDomains.Has(m.entry.Domain) {
			out[m.entry.Domain]++
		}
	}
	return out
}

func (r *Roster) init() {
	if r.members == nil {
		r.members = make(map[ident.Server]*Member)
		r.services = make(map[ident.Service][]*Member)
		r.outDomains = make(sets.Set[ident.Domain])
		r.statements = make(map[ident.Server]*statement)
	}
}

func (r *Roster) replace(old, m *Member) {
	if old != nil {
		r.drop(old)
	}
	s := m.entry.Service
	r.members[m.entry.Server] = m
	list := append(slices.Clone(r.services[s]), m)
	slices.SortFunc(list, func(a, b *Member) int { return strings.Compare(string(a.entry.Server), string(b.entry.Server)) })
	r.services[s] = list
}

func (r *Roster) drop(m *Member) {
	s := m.entry.Service
	delete(r.members, m.entry.Server)
	r.services[s] = slices.DeleteFunc(slices.Clone(r.services[s]), func(o *Member) bool { return o == m })
}
