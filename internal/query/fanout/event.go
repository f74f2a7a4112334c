package fanout

import (
	"time"

	"kumquatreel.example/kumquatreel/internal/base/clock"
	"kumquatreel.example/kumquatreel/internal/base/fault"
	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/query/merge"
)

// Target is a backend server and the VM through which it is reached.
type Target struct {
	Server ident.Server
	VM     ident.VM
}

// Attempt is one attempt at a part. Part is the index of the part in the plan. Second is set when a backend
// server may have to do the part's work again, as for a hedge or a retry after a failure.
type Attempt struct {
	ID     int
	Part   int
	Target Target
	Second bool
}

// Event is an input of a Machine.
type Event interface{ event() }

// Start begins the request.
type Start struct{}

// Answered reports that an attempt has returned an answer. Version is the index version that was read;
// Partial is set when the backend server cut the answer short.
type Answered struct {
	Attempt int
	Version int
	Partial bool
	Items   []merge.Item
}

// Failed reports that an attempt has ended without an answer.
type Failed struct {
	Attempt int
	Outcome fault.Outcome
	Code    fault.Code
}

// Tick reports that the instant of the last Wake may have been reached.
type Tick struct{}

// Stop reports that the client has disconnected.
type Stop struct{}

func (Stop) event()     {}
func (Start) event()    {}
func (Answered) event() {}
func (Failed) event()   {}
func (Tick) event()     {}

// Action is an output of a Machine, to be carried out by its caller.
type Action interface{ action() }

// Send asks for an attempt to be sent.
type Send struct{ Attempt Attempt }

// Abort asks for an attempt to be cancelled; the reply, if any, says whether it ran.
type Abort struct{ Attempt Attempt }

// Wake asks for a Tick at an instant; it replaces earlier ones.
type Wake struct{ At clock.Instant }

// Finish ends the request. Fault is nil when there is an answer. SnapshotGone is set when an attempt found
// that its shard no longer has the index version of the plan.
type Finish struct {
	Fault        *fault.Error
	SnapshotGone bool
}

func (Send) action()   {}
func (Abort) action()  {}
func (Wake) action()   {}
func (Finish) action() {}

// Budget limits the second attempts of all requests. Take reports whether one more is allowed and spends it.
type Budget interface {
	Take() bool
}

// Limits are the bounds of one request. Deadline and EarlyAfter count from its start.
type Limits struct {
	Deadline time.Duration
	// GracePeriod is how long after the deadline a request that is not idempotent waits to learn whether it ran.
	GracePeriod time.Duration
	// EarlyAfter is when the request may end with a coverage of EarlyCoverage; zero disables this.
	EarlyAfter    time.Duration
	EarlyCoverage float64
	// MinCoverage is the coverage below which an idempotent request fails.
	MinCoverage float64
	// HedgeDelay returns the time after which an attempt at a service counts as late; nil or zero disables hedging.
	HedgeDelay func(ident.Service) time.Duration
	// HedgeFraction is the fraction of a request's parts that may be hedged.
	HedgeFraction float64
}
