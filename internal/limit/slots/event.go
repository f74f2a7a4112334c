package slots

import (
	"time"

	"kumquatreel.example/kumquatreel/internal/base/clock"
	"kumquatreel.example/kumquatreel/internal/base/fault"
	"kumquatreel.example/kumquatreel/internal/base/ident"
)

//go:generate go tool -modfile=../../../tools/go.mod enumer -type=Warmth -text -transform=title-lower -trimprefix=Warmth -output=enums.go

// Warmth says how much work a backend server is trusted with.
type Warmth int

// The states of trust; a server that nothing is known of is cold.
const (
	WarmthCold Warmth = iota
	WarmthProbing
	WarmthWarm
)

// ID names one attempt at one part.
type ID string

// Attempt is one attempt at one part that asks for a slot.
type Attempt struct {
	ID       ID
	Team     ident.Team
	KeyID    string
	Weight   float64
	Deadline clock.Instant
}

// Result is what is known after an attempt was sent.
type Result struct {
	Outcome          fault.Outcome
	Latency          time.Duration
	Incarnation      string
	ConnectionFailed bool
	Shed             bool
	Draining         bool
}

// Env is what the machine may assume at the moment of a step.
type Env struct {
	// Slots is how many parts the VM may have in progress at the server.
	Slots int
	// ColdSlots is how many of those may be used while the server is cold.
	ColdSlots int
	// MayProbe is whether one part may go to a server that another VM has lately found warm, whatever ColdUnits says.
	MayProbe bool
	// MaxQueue is how many parts may wait.
	MaxQueue int
	// WarmAfter is how many good parts end a cold start.
	WarmAfter int
	// Usable is false when the server must receive nothing new.
	Usable bool
	// Returning is set while the server's failure domain comes back: it counts as cold when that begins.
	Returning bool
	// KeyValid reports whether a team may still use a key.
	KeyValid func(team ident.Team, keyID string) bool
}

// Event is something that a Machine is told.
type Event interface{ event() }

// Offer asks for a slot.
type Offer struct{ Attempt Attempt }

// Done tells how an attempt ended.
type Done struct {
	ID     ID
	Result Result
}

// Cancel takes back an attempt that is no longer wanted.
type Cancel struct{ ID ID }

// ConnectionClosed tells that the server has closed a connection.
type ConnectionClosed struct{}

// Check tells that time has passed or the environment may have changed.
type Check struct{}

func (Offer) event()            {}
func (Done) event()             {}
func (Cancel) event()           {}
func (ConnectionClosed) event() {}
func (Check) event()            {}

// Action is something that a Machine wants done.
type Action interface{ action() }

// Send asks for an attempt to be sent to the server now.
type Send struct{ ID ID }

// Refuse tells that an attempt certainly was not and will not be sent.
type Refuse struct {
	ID   ID
	Code fault.Code
}

// Abort asks for an attempt in progress to be cancelled at the server.
type Abort struct{ ID ID }

func (Send) action()   {}
func (Refuse) action() {}
func (Abort) action()  {}
