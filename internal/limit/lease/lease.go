package lease

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/clock"
	"kumquatreel.example/kumquatreel/internal/base/ident"
)

//go:generate go tool -modfile=../../../tools/go.mod enumer -type=Kind -text -transform=title-lower -trimprefix=Kind -output=enums.go

// Kind is the kind of resource that a unit belongs to.
type Kind int

// The kinds of resources: slots of a backend server and the rate of a team.
const (
	KindSlot Kind = iota
	KindRate
)

// Key identifies a unit: everything that a VM owns of one resource. A unit is leased undivided.
type Key struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// SlotKey returns the key of the lessor's own slots of a backend server.
func SlotKey(s ident.Server) Key { return Key{Kind: KindSlot, Name: string(s)} }

// RateKey returns the key of the lessor's own share of a team's rate.
func RateKey(t ident.Team) Key { return Key{Kind: KindRate, Name: string(t)} }

// Resource returns the text given to the rank hash that orders VMs for the resource.
func (k Key) Resource() string { return k.Kind.String() + ":" + k.Name }

// Terms are the durations of a lease.
type Terms struct {
	// Duration is how long the holder may use a unit after it requested the lease.
	Duration time.Duration
	// DriftMargin is added on the lessor's side to allow for clock drift.
	DriftMargin time.Duration
	// WorkTime is added on the lessor's side for slots, because a part may still be in progress when the lease expires.
	WorkTime time.Duration
}

// lessorDuration returns how long after the grant the lessor must not use a unit itself.
func (t Terms) lessorDuration(k Key) time.Duration {
	if k.Kind == KindSlot {
		return t.Duration + t.DriftMargin + t.WorkTime
	}
	return t.Duration + t.DriftMargin
}

// Lessor records the units that a VM has leased to others. It is not safe for concurrent use.
type Lessor struct {
	terms  Terms
	grants map[Key]grant
	serial int64
}

// grant is an outstanding lease; holder is the process that may use the unit.
type grant struct {
	holder    ident.Process
	grantedAt clock.Instant
	serial    int64
}

// NewLessor returns a lessor without outstanding leases.
func NewLessor(terms Terms) *Lessor { return &Lessor{terms: terms, grants: make(map[Key]grant)} }

// Leased reports whether a unit is leased out, which it is until its lease has certainly expired.
func (l *Lessor) Leased(now clock.Instant, k Key) bool {
	g, ok := l.grants[k]
	if !ok {
		return false
	}
	if now.MinSince(g.grantedAt) >= l.terms.lessorDuration(k) {
		delete(l.grants, k)
		return false
	}
	return true
}

// Grant leases a unit to a process, or renews its lease, and returns the serial number of the lease. The caller must own the unit
// and have stopped using it. Grant returns false if the unit is leased to another process.
func (l *Lessor) Grant(now clock.Instant, k Key, holder ident.Process) (int64, bool) {
	if l.Leased(now, k) && l.grants[k].holder != holder {
		return 0, false
	}
	l.serial++
	l.grants[k] = grant{holder: holder, grantedAt: now, serial: l.serial}
	return l.serial, true
}

// Return ends a lease that its holder has returned early and reports whether it did. A serial number that a renewal has replaced
// ends nothing, since such a return may have been delayed.
func (l *Lessor) Return(k Key, holder ident.Process, serial int64) bool {
	g, ok := l.grants[k]
	if !ok || g.holder != holder || g.serial != serial {
		return false
	}
	delete(l.grants, k)
	return true
}

// ExpiresAt returns the instant at which an outstanding lease has certainly expired.
func (l *Lessor) ExpiresAt(k Key) clock.Instant {
	return l.grants[k].grantedAt.Add(l.terms.lessorDuration(k))
}

// Count returns the number of units that are leased out.
func (l *Lessor) Count(now clock.Instant) int {
	n := 0
	for k := range l.grants {
		if l.Leased(now, k) {
			n++
		}
	}
	return n
}

// SlotCounts is a number of slots of a backend server, and how many of them may be used while the server is cold.
type SlotCounts struct {
	Total int `json:"units"`
	Cold  int `json:"cold"`
}

// SlotLease is a lease of slots as its holder records it. RequestedAt is the instant before the request was sent.
type SlotLease struct {
	Lessor      ident.VM
	Slots       SlotCounts
	Serial      int64
	RequestedAt clock.Instant
}

// Holder records the slots that a VM has leased from others. It is not safe for concurrent use.
type Holder struct {
	duration time.Duration
	leases   map[Key]SlotLease
}

// NewHolder returns a holder without leases; a lease lasts for duration after its request.
func NewHolder(duration time.Duration) *Holder {
	return &Holder{duration: duration, leases: make(map[Key]SlotLease)}
}

// Put records a lease, replacing one of the same key.
func (h *Holder) Put(k Key, lease SlotLease) { h.leases[k] = lease }

// Usable returns the leased slots that may still be used, zero if there is no lease or it may have expired.
func (h *Holder) Usable(now clock.Instant, k Key) SlotCounts {
	lease, ok := h.leases[k]
	if !ok {
		return SlotCounts{}
	}
	if now.MaxSince(lease.RequestedAt) >= h.duration {
		delete(h.leases, k)
		return SlotCounts{}
	}
	return lease.Slots
}

// Keys returns the keys of the recorded leases, ordered by name.
func (h *Holder) Keys() []Key {
	return slices.SortedFunc(maps.Keys(h.leases), func(x, y Key) int { return cmp.Compare(x.Name, y.Name) })
}

// Release drops an unexpired lease and returns its lessor and serial number; ok is false if there is none.
func (h *Holder) Release(now clock.Instant, k Key) (lessor ident.VM, serial int64, ok bool) {
	if h.Usable(now, k) == (SlotCounts{}) {
		return "", 0, false
	}
	lease := h.leases[k]
	delete(h.leases, k)
	return lease.Lessor, lease.Serial, true
}

// RenewalDue reports whether a unit should be requested: there is no lease, or at least half of its duration has passed.
func (h *Holder) RenewalDue(now clock.Instant, k Key) bool {
	lease, ok := h.leases[k]
	return !ok || now.MaxSince(lease.RequestedAt) >= h.duration/2
}

// Clear drops all leases.
func (h *Holder) Clear() { clear(h.leases) }
