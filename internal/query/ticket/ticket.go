package ticket

import (
	"encoding/hex"
	"math/rand/v2"
	"strings"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/clock"
	"kumquatreel.example/kumquatreel/internal/base/ident"
)

//go:generate go tool -modfile=../../../tools/go.mod enumer -type=State -text -transform=title-lower -trimprefix=State -output=enums.go

// State is what a Book says of a ticket that is presented.
type State int

// The states of a ticket.
const (
	// StateUnknown means that the book cannot say whether the request ran.
	StateUnknown State = iota
	// StateFirst means that the request may run now, once.
	StateFirst
	// StateRunning means that the request runs already.
	StateRunning
	// StateDone means that the outcome is recorded.
	StateDone
	// StateElsewhere means that another process minted the ticket.
	StateElsewhere
	// StateMalformed means that the text is no ticket.
	StateMalformed
)

// Lifetime is how long a minted ticket may be used.
const Lifetime = 60 * time.Second

// remembered is how long a book knows a ticket, which outlasts its validity and any request.
const remembered = 3 * Lifetime

// maxTickets bounds the tickets of one team in a book.
const maxTickets = 20000

// ID is the text of a ticket.
type ID string

// Answer is a recorded outcome.
type Answer struct {
	Status int
	Body   []byte
}

// Registry holds the tickets that one process minted; it is driven under its owner's lock.
type Registry struct {
	process ident.Process
	tickets map[ID]*record
	byTeam  map[ident.Team]int
	ages    []ID
}

type record struct {
	team   ident.Team
	minted clock.Instant
	state  State
	answer Answer
}

// NewRegistry returns an empty book of a process, whose name must be new with every start.
func NewRegistry(process ident.Process) *Registry {
	return &Registry{process: process, tickets: make(map[ID]*record), byTeam: make(map[ident.Team]int)}
}

// Issue returns a new ticket for a team, and false when the team has too many.
func (b *Registry) Issue(now clock.Instant, team ident.Team, rng *rand.Rand) (ID, bool) {
	b.forget(now)
	if b.byTeam[team] >= maxTickets {
		return "", false
	}
	var nonce [12]byte
	for i := range nonce {
		nonce[i] = byte(rng.Uint32())
	}
	id := ID(string(b.process) + "~" + hex.EncodeToString(nonce[:]))
	b.tickets[id] = &record{team: team, minted: now, state: StateFirst}
	b.byTeam[team]++
	b.ages = append(b.ages, id)
	return id, true
}

// Process returns the process that minted a ticket, and false for malformed text.
func (id ID) Process() (ident.Process, bool) {
	process, nonce, ok := strings.Cut(string(id), "~")
	return ident.Process(process), ok && nonce != "" && strings.Contains(process, "/")
}

// Redeem presents a ticket; after StateFirst the caller must call Finish or Void.
func (b *Registry) Redeem(now clock.Instant, id ID, team ident.Team) (State, Answer) {
	process, ok := id.Process()
	if !ok {
		return StateMalformed, Answer{}
	}
	if process != b.process {
		return StateElsewhere, Answer{}
	}
	r := b.tickets[id]
	if r == nil || r.team != team {
		return StateUnknown, Answer{}
	}
	if r.state != StateFirst {
		return r.state, r.answer
	}
	if now.MaxSince(r.minted) >= Lifetime {
		return StateUnknown, Answer{}
	}
	r.state = StateRunning
	return StateFirst, Answer{}
}

// Finish records the outcome of a ticket whose request ran or may have run.
func (b *Registry) Finish(id ID, answer Answer) {
	if r := b.tickets[id]; r != nil {
		r.state, r.answer = StateDone, answer
	}
}

// Release makes a ticket usable again after its request certainly did not run.
func (b *Registry) Release(id ID) {
	if r := b.tickets[id]; r != nil && r.state == StateRunning {
		r.state = StateFirst
	}
}

func (b *Registry) forget(now clock.Instant) {
	for len(b.ages) > 0 {
		r := b.tickets[b.ages[0]]
		if now.MinSince(r.minted) < remembered {
			return
		}
		b.byTeam[r.team]--
		delete(b.tickets, b.ages[0])
		b.ages = b.ages[1:]
	}
}
