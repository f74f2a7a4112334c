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

// Slots returns the key of the lender's own slots of a backend server.
func Slots(s ident.Server) Key { return Key{Kind: KindSlot, Name: string(s)} }

// Rate returns the key of the lender's own part of a team's rate.
func Rate(t ident.Team) Key { return Key{Kind: KindRate, Name: string(t)} }

// Resource returns the text by which VMs are ranked for the resource.
func (k Key) Resource() string { return k.Kind.String() + ":" + k.Name }

// Terms are the spans of a loan.
type Terms struct {
	// Lasts is how long a borrower may use a unit after it asked.
	Lasts time.Duration
	// Margin is how much longer the lender waits, for clock drift.
	Margin time.Duration
	// Work is how much longer still the lender of a slot waits, for a part in progress.
	Work time.Duration
}

// whole returns how long the lender of a unit waits.
func (t Terms) whole(k Key) time.Duration {
	if k.Kind == KindSlot {
		return t.Lasts + t.Margin + t.Work
	}
	return t.Lasts + t.Margin
}

// Lender records the units that a VM has lent out; it is driven under its owner's lock.
type Lender struct {
	terms  Terms
	loans  map[Key]loan
	serial int64
}

type loan struct {
	borrower ident.Process
	granted  clock.Instant
	serial   int64
}

// NewLender returns a lender without loans.
func NewLender(terms Terms) *Lender { return &Lender{terms: terms, loans: make(map[Key]loan)} }

// Out reports whether a unit is lent out.
func (l *Lender) Out(now clock.Instant, k Key) bool {
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
func (l *Lender) Grant(now clock.Instant, k Key, borrower ident.Process) (int64, bool) {
	if l.Out(now, k) && l.loans[k].borrower != borrower {
		return 0, false
	}
	l.serial++
	l.loans[k] = loan{borrower: borrower, granted: now, serial: l.serial}
	return l.serial, true
}

// Return ends a loan that the borrower has given back; an older serial number than the last one ends nothing.
func (l *Lender) Return(k Key, borrower ident.Process, serial int64) bool {
	at, ok := l.loans[k]
	if !ok || at.borrower != borrower || at.serial != serial {
		return false
	}
	delete(l.loans, k)
	return true
}

// Until returns the instant at which an outstanding loan certainly has ended.
func (l *Lender) Until(k Key) clock.Instant {
	return l.loans[k].granted.Add(l.terms.whole(k))
}

// Count returns how many units are out.
func (l *Lender) Count(now clock.Instant) int {
	n := 0
	for k := range l.loans {
		if l.Out(now, k) {
			n++
		}
	}
	return n
}

// SlotLoan is how many slots of a backend server are lent, and how many of them may be used while it is cold.
type SlotLoan struct {
	Units int `json:"units"`
	Cold  int `json:"cold"`
}

// Held is a loan of slots as its borrower knows it.
type Held struct {
	Lender ident.VM
	Slots  SlotLoan
	Serial int64
	Asked  clock.Instant
}

// Borrower records the slots that a VM has borrowed; it is driven under its owner's lock.
type Borrower struct {
	lasts time.Duration
	held  map[Key]Held
}

// NewBorrower returns a borrower without loans.
func NewBorrower(lasts time.Duration) *Borrower {
	return &Borrower{lasts: lasts, held: make(map[Key]Held)}
}

// Got records a loan.
func (b *Borrower) Got(k Key, h Held) { b.held[k] = h }

// Has returns the borrowed slots that may still be used.
func (b *Borrower) Has(now clock.Instant, k Key) SlotLoan {
	h, ok := b.held[k]
	if !ok {
		return SlotLoan{}
	}
	if now.MaxSince(h.Asked) >= b.lasts {
		delete(b.held, k)
		return SlotLoan{}
	}
	return h.Slots
}

// Keys returns the keys of the loans in order.
func (b *Borrower) Keys() []Key {
	return slices.SortedFunc(maps.Keys(b.held), func(x, y Key) int { return cmp.Compare(x.Name, y.Name) })
}

// GiveUp forgets a loan that lasts still and returns its lender and serial number.
func (b *Borrower) GiveUp(now clock.Instant, k Key) (lender ident.VM, serial int64, ok bool) {
	if b.Has(now, k) == (SlotLoan{}) {
		return "", 0, false
	}
	h := b.held[k]
	delete(b.held, k)
	return h.Lender, h.Serial, true
}

// Due reports whether a unit should be asked for again.
func (b *Borrower) Due(now clock.Instant, k Key) bool {
	h, ok := b.held[k]
	return !ok || now.MaxSince(h.Asked) >= b.lasts/2
}

// Clear forgets all units.
func (b *Borrower) Clear() { clear(b.held) }
