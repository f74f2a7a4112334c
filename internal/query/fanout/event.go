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

// Attempt is one try at one part; Second is set when a backend server may do the part's work once more.
type Attempt struct {
	ID     int
	Part   int
	Target Target
	Second bool
}

// Event is something that a Machine is told.
type Event interface{ event() }

// Start begins the request.
type Start struct{}

// Answered tells that an attempt brought an answer.
type Answered struct {
	Attempt int
	Version int
	Partial bool
	Items   []merge.Item
}

// Failed tells that an attempt brought none.
type Failed struct {
	Attempt int
	Outcome fault.Outcome
	Code    fault.Code
}

// Tick tells that the instant asked for by Wake may have come.
type Tick struct{}

// Stop tells that the caller went away.
type Stop struct{}

func (Stop) event()     {}
func (Start) event()    {}
func (Answered) event() {}
func (Failed) event()   {}
func (Tick) event()     {}

// Action is something that a Machine wants done.
type Action interface{ action() }

// Send asks for an attempt to be sent.
type Send struct{ Attempt Attempt }

// Abort asks for an attempt to be cancelled; the reply says whether it ran.
type Abort struct{ Attempt Attempt }

// Wake asks for a Tick at an instant.
type Wake struct{ At clock.Instant }

// Finish ends the request; Fault is nil when there is an answer.
type Finish struct {
	Fault        *fault.Error
	SnapshotGone bool
}

func (Send) action()   {}
func (Abort) action()  {}
func (Wake) action()   {}
func (Finish) action() {}

// Budget pays for second attempts.
type Budget interface {
	Take() bool
}

// Limits are the bounds of one request.
type Limits struct {
	Deadline      time.Duration
	GracePeriod   time.Duration
	EarlyAfter    time.Duration
	EarlyCoverage float64
	MinCoverage   float64
	HedgeDelay    func(ident.Service) time.Duration
	// HedgeFraction is the share of a request's parts that may have second attempts because they are late.
	HedgeFraction float64
}
