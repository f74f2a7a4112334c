package member

import (
	"time"

	"kumquatreel.example/kumquatreel/internal/base/clock"
	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/conf/schema"
)

// Report is what one process tells another about itself in an exchange.
type Report struct {
	VM           ident.VM        `json:"vm"`
	Process      ident.Process   `json:"process"`
	Digest       uint64          `json:"digest,string"`
	Members      []ident.Process `json:"members,omitempty"`
	Removed      []ident.Process `json:"gone,omitempty"`
	DeclaredDead []ident.Process `json:"condemned,omitempty"`
	HoldsShares  bool            `json:"holds,omitempty"`
	Leaving      bool            `json:"leaving,omitempty"`
	Released     bool            `json:"released,omitempty"`
}

// Event is something that a Machine is told.
type Event interface{ event() }

// ListRead tells that a list of VMs has been read from the platform or a peer.
type ListRead struct{ List *schema.VMs }

// ExchangeReceived tells that a peer has asked for an exchange.
type ExchangeReceived struct{ Report Report }

// ExchangeAnswered tells that a peer has answered an exchange that was asked for at Asked.
type ExchangeAnswered struct {
	RequestedAt clock.Instant
	Report      Report
}

// ExchangeFailed tells that an exchange with a VM failed.
type ExchangeFailed struct{ VM ident.VM }

// Tick tells that time has passed.
type Tick struct{}

// Leave tells that the process has begun a graceful shutdown.
type Leave struct{}

// Release tells that the process uses none of its claims any more.
type Release struct{}

func (ListRead) event()         {}
func (ExchangeReceived) event() {}
func (ExchangeAnswered) event() {}
func (ExchangeFailed) event()   {}
func (Tick) event()             {}
func (Leave) event()            {}
func (Release) event()          {}

// Action is something that a Machine wants done or known.
type Action interface{ action() }

// StartExchange asks for an exchange with a VM.
type StartExchange struct{ VM ident.VM }

// Joined tells that a process came into the view.
type Joined struct{ Process ident.Process }

// Left tells that a process went from the view.
type Left struct{ Process ident.Process }

// Confirmed tells that every process has taken on the view.
type Confirmed struct{ Size int }

// Renamed tells that the process lost its claims and goes on under a new name.
type Renamed struct {
	Process ident.Process
	Reason  string
}

func (StartExchange) action() {}
func (Joined) action()        {}
func (Left) action()          {}
func (Confirmed) action()     {}
func (Renamed) action()       {}

// Timing are the spans that a Machine works with.
type Timing struct {
	// HoldTimeout is how long claims last without a majority.
	HoldTimeout time.Duration
	// ReclaimTimeout is the silence after which a process is condemned.
	ReclaimTimeout time.Duration
	// DrainTime is how long work and loans of a former holder may go on.
	DrainTime time.Duration
	// MinSuspectTimeout is the least silence after which a VM counts as unreachable.
	MinSuspectTimeout time.Duration
	// TickInterval is the time between exchanges.
	TickInterval time.Duration
}
