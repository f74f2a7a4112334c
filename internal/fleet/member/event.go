package member

import (
	"time"

	"kumquatreel.example/kumquatreel/internal/base/clock"
	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/conf/schema"
)

// Report describes a process and its view of the fleet to a peer. It is sent with each exchange and with each reply. Members and Removed
// are left out if the peer is known to have the same view.
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

// Event is an input to a Machine.
type Event interface{ event() }

// ListRead reports that a list of VMs has been read from the platform or a peer.
type ListRead struct{ List *schema.VMs }

// ExchangeReceived reports that a peer has sent an exchange.
type ExchangeReceived struct{ Report Report }

// ExchangeAnswered reports that a peer has answered an exchange that was sent at RequestedAt.
type ExchangeAnswered struct {
	RequestedAt clock.Instant
	Report      Report
}

// ExchangeFailed reports that an exchange with a VM failed.
type ExchangeFailed struct{ VM ident.VM }

// Tick reports that TickInterval has passed; it starts the next exchanges.
type Tick struct{}

// Leave reports that the process has begun a graceful shutdown.
type Leave struct{}

// Release reports that the process no longer uses any of its shares.
type Release struct{}

func (ListRead) event()         {}
func (ExchangeReceived) event() {}
func (ExchangeAnswered) event() {}
func (ExchangeFailed) event()   {}
func (Tick) event()             {}
func (Leave) event()            {}
func (Release) event()          {}

// Action is an output of a Machine: a request to the caller or a change of the membership.
type Action interface{ action() }

// StartExchange requests an exchange with a VM.
type StartExchange struct{ VM ident.VM }

// Joined reports that a process was added to the view.
type Joined struct{ Process ident.Process }

// Left reports that a process was removed from the view.
type Left struct{ Process ident.Process }

// Confirmed reports that the current view was confirmed; Size is the number of its processes.
type Confirmed struct{ Size int }

// Renamed reports that the process lost its shares and continues as Process, a new name.
type Renamed struct {
	Process ident.Process
	Reason  string
}

func (StartExchange) action() {}
func (Joined) action()        {}
func (Left) action()          {}
func (Confirmed) action()     {}
func (Renamed) action()       {}

// Timing holds the time-outs and intervals of a Machine.
type Timing struct {
	// HoldTimeout is how long shares may be used without an answer from a majority.
	HoldTimeout time.Duration
	// ReclaimTimeout is the silence after which a process may be declared dead. It is longer than HoldTimeout.
	ReclaimTimeout time.Duration
	// DrainTime is the longest time for which parts and leases of a former holder may continue.
	DrainTime time.Duration
	// MinSuspectTimeout is the shortest silence after which a VM counts as unreachable.
	MinSuspectTimeout time.Duration
	// TickInterval is the time between Tick events.
	TickInterval time.Duration
}
