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

// State is the result of redeeming a ticket.
type State int

// The states of a ticket.
const (
	// StateUnknown means that the registry does not know whether the request ran.
	StateUnknown State = iota
	// StateFirst means that the request may run now, once.
	StateFirst
	// StateRunning means that the request is already running.
	StateRunning
	// StateDone means that the answer is recorded.
	StateDone
	// StateElsewhere means that another process issued the ticket.
	StateElsewhere
	// StateMalformed means that the text is not a ticket.
	StateMalformed
)

// Lifetime is how long after its issue a ticket may be redeemed.
const Lifetime = 60 * time.Second

// retention is how long a registry remembers a ticket; it is longer than the ticket's lifetime and any request.
const retention = 3 * Lifetime

// maxTicketsPerTeam bounds the remembered tickets of one team.
const maxTicketsPerTeam = 20000

// ID is the text of a ticket: the name of the process that issued it, "~" and a random nonce in hex.
type ID string

// Answer is the recorded answer to a request: its HTTP status and body. It is sent between VMs as JSON under the names
// of its fields.
type Answer struct {
	Status int
	Body   []byte
}

// Registry holds the tickets that one process has issued. It is not safe for concurrent use.
type Registry struct {
	process     ident.Process
	tickets     map[ID]*entry
	byTeam      map[ident.Team]int
	oldestFirst []ID
}

type entry struct {
	team   ident.Team
	issued clock.Instant
	state  State
	answer Answer
}

// NewRegistry returns an empty registry. The name of the process must differ after every start.
func NewRegistry(process ident.Process) *Registry {
	return &Registry{process: process, tickets: make(map[ID]*entry), byTeam: make(map[ident.Team]int)}
}

// Issue returns a new ticket for a team, and false when the team has too many already.
func (reg *Registry) Issue(now clock.Instant, team ident.Team, rng *rand.Rand) (ID, bool) {
	reg.evict(now)
	if reg.byTeam[team] >= maxTicketsPerTeam {
		return "", false
	}
	var nonce [12]byte
	for i := range nonce {
		nonce[i] = byte(rng.Uint32())
	}
	id := ID(string(reg.process) + "~" + hex.EncodeToString(nonce[:]))
	reg.tickets[id] = &entry{team: team, issued: now, state: StateFirst}
	reg.byTeam[team]++
	reg.oldestFirst = append(reg.oldestFirst, id)
	return id, true
}

// Process returns the process that issued a ticket, and false for malformed text.
func (id ID) Process() (ident.Process, bool) {
	process, nonce, ok := strings.Cut(string(id), "~")
	return ident.Process(process), ok && nonce != "" && strings.Contains(process, "/")
}

// Redeem returns the state of a ticket and, for StateDone, the recorded answer. After StateFirst the ticket counts as
// running: the caller must run the request and then call Finish or Release. The state of a ticket that
// expired before its first use and of another team's ticket is StateUnknown.
func (reg *Registry) Redeem(now clock.Instant, id ID, team ident.Team) (State, Answer) {
	process, ok := id.Process()
	if !ok {
		return StateMalformed, Answer{}
	}
	if process != reg.process {
		return StateElsewhere, Answer{}
	}
	e := reg.tickets[id]
	if e == nil || e.team != team {
		return StateUnknown, Answer{}
	}
	if e.state != StateFirst {
		return e.state, e.answer
	}
	if now.MaxSince(e.issued) >= Lifetime {
		return StateUnknown, Answer{}
	}
	e.state = StateRunning
	return StateFirst, Answer{}
}

// Finish records the answer for a ticket whose request ran or may have run.
func (reg *Registry) Finish(id ID, answer Answer) {
	if e := reg.tickets[id]; e != nil {
		e.state, e.answer = StateDone, answer
	}
}

// Release makes a ticket redeemable again after its request certainly did not run.
func (reg *Registry) Release(id ID) {
	if e := reg.tickets[id]; e != nil && e.state == StateRunning {
		e.state = StateFirst
	}
}

// evict removes the tickets that are certainly older than retention.
func (reg *Registry) evict(now clock.Instant) {
	for len(reg.oldestFirst) > 0 {
		e := reg.tickets[reg.oldestFirst[0]]
		if now.MinSince(e.issued) < retention {
			return
		}
		reg.byTeam[e.team]--
		delete(reg.tickets, reg.oldestFirst[0])
		reg.oldestFirst = reg.oldestFirst[1:]
	}
}
