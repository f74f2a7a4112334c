package roster

import (
	"slices"
	"strings"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/base/sets"
)

const (
	// lapse is how long a removed entry is held back: entries that lapsed with the store return within two seconds of it.
	lapse = 2 * time.Second
	// lapseShare of the time in which a server leaves bounds the same, since its entry may be gone because it leaves.
	lapseShare = 0.67
	// lastShare of the time in which a server leaves, it may still get work that no other can do.
	lastShare = 0.34
)

// Entry is what a backend server says of itself.
type Entry struct {
	Server   ident.Server
	Service  ident.Service
	Address  string
	Domain   ident.Domain
	Slots    int
	Leaving  bool
	ColdFor  time.Duration
	Started  int64
	Revision int64
}

// Member is a server as the roster knows it; it does not change.
type Member struct {
	entry     Entry
	coldUntil time.Time
	// leftAt is when the server was seen to leave or lapse, zero while it stays.
	leftAt time.Time
	lapsed bool
}

// Entry returns what the server says of itself.
func (m *Member) Entry() Entry { return m.entry }

// Cold reports whether the server is in a cold start.
func (m *Member) Cold(now time.Time) bool { return now.Before(m.coldUntil) }

// Leaving reports whether the server was seen to leave or its entry to be removed.
func (m *Member) Leaving() bool { return !m.leftAt.IsZero() }

// usable reports whether the server may get work that no other can do, given how long servers take to leave.
func (m *Member) usable(now time.Time, drain time.Duration) bool {
	limit := time.Duration(lastShare * float64(drain))
	if m.lapsed {
		limit = min(lapse, time.Duration(lapseShare*float64(drain)))
	}
	return m.leftAt.IsZero() || now.Sub(m.leftAt) < limit
}

// Roster is the set of known backend servers; the zero value is empty and drops servers as soon as they leave. It is
// driven under its owner's lock.
type Roster struct {
	drain    time.Duration
	members  map[ident.Server]*Member
	services map[ident.Service][]*Member
	out      sets.Set[ident.Domain]
}

// New returns an empty Roster; servers go on serving for drain after they have said that they leave.
func New(drain time.Duration) *Roster { return &Roster{drain: drain} }

// Update takes an entry and reports whether the server is new, or a new start of a known one.
func (r *Roster) Update(now time.Time, e Entry) bool {
	r.init()
	old := r.members[e.Server]
	m := &Member{entry: e}
	fresh := old == nil || old.entry.Started != e.Started || old.entry.Address != e.Address
	if old != nil && !fresh {
		m.coldUntil, m.leftAt = old.coldUntil, old.leftAt
	}
	if e.ColdFor > 0 {
		m.coldUntil = later(m.coldUntil, now.Add(e.ColdFor))
	}
	switch {
	case !e.Leaving:
		m.leftAt = time.Time{}
	case fresh:
		// Nobody can tell how long ago it began to leave.
		m.leftAt = now.Add(-r.drain)
	case m.leftAt.IsZero() || old.lapsed:
		m.leftAt = now
	}
	r.replace(old, m)
	return fresh
}

// Remove takes the removal of an entry; one that had not said that it leaves may have lapsed only because the store was away.
func (r *Roster) Remove(now time.Time, s ident.Server) {
	old := r.members[s]
	if old == nil || old.lapsed {
		return
	}
	if old.Leaving() {
		r.drop(old)
		return
	}
	m := *old
	m.leftAt, m.lapsed = now, true
	r.replace(old, &m)
}

// Evict drops a server that another one has answered for; it comes back with its next entry.
func (r *Roster) Evict(s ident.Server) {
	if old := r.members[s]; old != nil {
		r.drop(old)
	}
}

// MarkCold records that a server says it is cold for some time, and reports whether it was taken to be warm.
func (r *Roster) MarkCold(now time.Time, s ident.Server, left time.Duration) bool {
	old := r.members[s]
	if old == nil || left <= 0 {
		return false
	}
	m := *old
	m.coldUntil = later(m.coldUntil, now.Add(left))
	r.replace(old, &m)
	return !old.Cold(now)
}

// SetDomainOut takes a failure domain out or back and reports whether that is a change.
func (r *Roster) SetDomainOut(d ident.Domain, out bool) bool {
	r.init()
	if out {
		return r.out.Add(d)
	}
	had := r.out.Has(d)
	delete(r.out, d)
	return had
}

// DomainOut reports whether a failure domain is taken out.
func (r *Roster) DomainOut(d ident.Domain) bool { return r.out.Has(d) }

// Candidates returns the servers of a service that may get work, and as spare those to use only when there is no other.
func (r *Roster) Candidates(now time.Time, s ident.Service) (usable, spare []*Member) {
	for _, m := range r.services[s] {
		switch {
		case r.out.Has(m.entry.Domain):
		case !m.Leaving():
			usable = append(usable, m)
		case m.usable(now, r.drain):
			spare = append(spare, m)
		}
	}
	return usable, spare
}

// RemoveExpired drops the servers whose time after leaving is over and returns their names.
func (r *Roster) RemoveExpired(now time.Time) []ident.Server {
	var gone []ident.Server
	for name, m := range r.members {
		if m.lapsed && !m.usable(now, r.drain) {
			r.drop(m)
			gone = append(gone, name)
		}
	}
	slices.Sort(gone)
	return gone
}

// Member returns a known server, or nil.
func (r *Roster) Member(s ident.Server) *Member { return r.members[s] }

// Len returns how many servers are known.
func (r *Roster) Len() int { return len(r.members) }

// CountByDomain counts the servers that stay by failure domain.
func (r *Roster) CountByDomain() map[ident.Domain]int {
	out := make(map[ident.Domain]int)
	for _, m := range r.members {
		if !m.Leaving() && !r.out.Has(m.entry.Domain) {
			out[m.entry.Domain]++
		}
	}
	return out
}

func (r *Roster) init() {
	if r.members == nil {
		r.members = make(map[ident.Server]*Member)
		r.services = make(map[ident.Service][]*Member)
		r.out = make(sets.Set[ident.Domain])
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

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
