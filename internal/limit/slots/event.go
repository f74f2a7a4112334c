package slots

import (
	"time"

	"kumquatreel.example/kumquatreel/internal/base/clock"
	"kumquatreel.example/kumquatreel/internal/base/fault"
	"kumquatreel.example/kumquatreel/internal/base/ident"
)

//go:generate go tool -modfile=../../../tools/go.mod enumer -type=Warmth -text -transform=title-lower -trimprefix=Warmth -output=enums.go

// Warmth is the warm-up state of a backend server, which decides how many slots may be used.
type Warmth int

// The warm-up states. A server without known state is cold; a probing one was warm and must show that its incarnation is unchanged.
const (
	WarmthCold Warmth = iota
	WarmthProbing
	WarmthWarm
)

// ID identifies an attempt at a part of a request.
type ID string

// Attempt is an attempt at a part of a request. Weight is its team's share of the server relative to other teams.
type Attempt struct {
	ID       ID
	Team     ident.Team
	KeyID    string
	Weight   float64
	Deadline clock.Instant
}

// Result describes how an attempt ended at the server.
type Result struct {
	Outcome fault.Outcome
	Latency time.Duration
	// Incarnation is the one that the server answered under, empty without an answer.
	Incarnation string
	// ConnectionFailed is set if the connection could not be opened or broke before the answer.
	ConnectionFailed bool
	// Shed is set if the server refused the attempt because of overload.
	Shed bool
	// Limit is the rate, in requests per second, that the server names as what it takes from all VMs. It only holds if Limited is set.
	Limit   float64
	Limited bool
	// Rest is the time for which the server wants no attempts, named with a refusal.
	Rest time.Duration
	// Draining is set if the server has announced that it is shutting down.
	Draining bool
}

// Env holds the conditions that apply at the time of a step.
type Env struct {
	// Slots is how many attempts the VM may have in flight at the server.
	Slots int
	// ServerSlots is how many attempts all VMs together may have in flight at the server.
	ServerSlots int
	// ColdSlots is how many of the slots may be used while the server is cold.
	ColdSlots int
	// MayProbe allows one attempt to a server that another VM has recently found warm, whatever ColdSlots is.
	MayProbe bool
	// MaxQueue is how many attempts may be queued.
	MaxQueue int
	// WarmAfter is how many successful attempts end a cold start.
	WarmAfter int
	// Usable is false while the server must receive no new attempts.
	Usable bool
	// Returning is set while the server's failure domain returns to service. The server is marked cold when that begins.
	Returning bool
	// KeyValid reports whether a team's API key is still valid; if it is nil, all keys are.
	KeyValid func(team ident.Team, keyID string) bool
}

// Event is an input of a Scheduler.
type Event interface{ event() }

// Offer requests a slot for an attempt.
type Offer struct{ Attempt Attempt }

// Done reports how an attempt ended.
type Done struct {
	ID     ID
	Result Result
}

// Cancel withdraws an attempt that is no longer needed.
type Cancel struct{ ID ID }

// ConnectionClosed reports that the server has closed a connection.
type ConnectionClosed struct{}

// Check reports that time has passed or that Env may have changed.
type Check struct{}

func (Offer) event()            {}
func (Done) event()             {}
func (Cancel) event()           {}
func (ConnectionClosed) event() {}
func (Check) event()            {}

// Action is an output of a Scheduler, which the caller of Step carries out.
type Action interface{ action() }

// Send requests that an attempt be sent to the server now.
type Send struct{ ID ID }

// Refuse reports that an attempt has not been and will not be sent.
type Refuse struct {
	ID   ID
	Code fault.Code
}

// Abort requests that an attempt in flight be cancelled at the server.
type Abort struct{ ID ID }

func (Send) action()   {}
func (Refuse) action() {}
func (Abort) action()  {}
