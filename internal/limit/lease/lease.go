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

// Kind says what a unit belongs to.
type Kind int

// The kinds of units.
const (
	KindSlot Kind = iota
	KindRate
)

// Key names what a VM holds of one resource, which it lends as a whole.
type Key struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// SlotKey returns the key of the lender's own slots of a backend server.
func SlotKey(s ident.Server) Key { return Key{Kind: KindSlot, Name: string(s)} }

// RateKey returns the key of the lender's own part of a team's rate.
func RateKey(t ident.Team) Key { return Key{Kind: KindRate, Name: string(t)} }

// Resource returns the text by which VMs are ranked for the resource.
func (k Key) Resource() string { return k.Kind.String() + ":" + k.Name }

// Terms are the spans of a loan.
type Terms struct {
	// Duration is how long a borrower may use a unit after it asked.
	Duration time.Duration
	// DriftMargin is how much longer the lender waits, for clock drift.
	DriftMargin time.Duration
	// WorkTime is how much longer still the lender of a slot waits, for a part in progress.
	WorkTime time.Duration
}

// whole returns how long the lender of a unit waits.
func (t Terms) whole(k Key) time.Duration {
	if k.Kind == KindSlot {
		return t.Duration + t.DriftMargin + t.WorkTime
	}
	return t.Duration + t.DriftMargin
}

// Lessor records the units that a VM has lent out; it is driven under its owner's lock.
type Lessor struct {
	terms  Terms
	loans  map[Key]loan
	serial int64
}

type loan struct {
	borrower ident.Process
	granted  clock.Instant
	serial   int64
}

// NewLessor returns a lender without loans.
func NewLessor(terms Terms) *Lessor { return &Lessor{terms: terms, loans: make(map[Key]loan)} }

// Leased reports whether a unit is lent out.
func (l *Lessor) Leased(now clock.Instant, k Key) bool {
	at, ok := l.loans[k]
	if !ok {
		return false
	}
	if now.MinSince(at.granted) >= l.terms.whole(k) {
		delete(l.loans, k)
		return false
	}
	return true
}

// Grant lends a unit that the caller holds and does not use, or renews the loan, and returns the loan's serial number.
func (l *Lessor) Grant(now clock.Instant, k Key, borrower ident.Process) (int64, bool) {
	if l.Leased(now, k) && l.loans[k].borrower != borrower {
		return 0, false
	}
	l.serial++
	l.loans[k] = loan{borrower: borrower, granted: now, serial: l.serial}
	return l.serial, true
}

// Return ends a loan that the borrower has given back; an older serial number than the last one ends nothing.
func (l *Lessor) Return(k Key, borrower ident.Process, serial int64) bool {
	at, ok := l.loans[k]
	if !ok || at.borrower != borrower || at.serial != serial {
		return false
	}
	delete(l.loans, k)
	return true
}

// ExpiresAt returns the instant at which an outstanding loan certainly has ended.
func (l *Lessor) ExpiresAt(k Key) clock.Instant {
	return l.loans[k].granted.Add(l.terms.whole(k))
}

// Count returns how many units are out.
func (l *Lessor) Count(now clock.Instant) int {
	n := 0
	for k := range l.loans {
		if l.Leased(now, k) {
			n++
		}
	}
	return n
}

// SlotCounts is how many slots of a backend server are lent, and how many of them may be used while it is cold.
type SlotCounts struct {
	Total int `json:"units"`
	Cold  int `json:"cold"`
}

// SlotLease is a loan of slots as its borrower knows it.
type SlotLease struct {
	Lessor      ident.VM
	Slots       SlotCounts
	Serial      int64
	RequestedAt clock.Instant
}

// Holder records the slots that a VM has borrowed; it is driven under its owner's lock.
type Holder struct {
	lasts time.Duration
	held  map[Key]SlotLease
}

// NewHolder returns a borrower without loans.
func NewHolder(lasts time.Duration) *Holder {
	return &Holder{lasts: lasts, held: make(map[Key]SlotLease)}
}

// Put records a loan.
func (b *Holder) Put(k Key, h SlotLease) { b.held[k] = h }

// Usable returns the borrowed slots that may still be used.
func (b *Holder) Usable(now clock.Instant, k Key) SlotCounts {
	h, ok := b.held[k]
	if !ok {
		return SlotCounts{}
	}
	if now.MaxSince(h.RequestedAt) >= b.lasts {
		delete(b.held, k)
		return SlotCounts{}
	}
	return h.Slots
}

// Keys returns the keys of the loans in order.
func (b *Holder) Keys() []Key {
	return slices.SortedFunc(maps.Keys(b.held), func(x, y Key) int { return cmp.Compare(x.Name, y.Name) })
}

// Release forgets a loan that lasts still and returns its lender and serial number.
func (b *Holder) Release(now clock.Instant, k Key) (lender ident.VM, serial int64, ok bool) {
	if b.Usable(now, k) == (SlotCounts{}) {
		return "", 0, false
	}
	h := b.held[k]
	delete(b.held, k)
	return h.Lessor, h.Serial, true
}

// RenewalDue reports whether a unit should be asked for again.
func (b *Holder) RenewalDue(now clock.Instant, k Key) bool {
	h, ok := b.held[k]
	return !ok || now.MaxSince(h.RequestedAt) >= b.lasts/2
}

// Clear forgets all units.
func (b *Holder) Clear() { clear(b.held) }
