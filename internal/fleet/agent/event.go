package agent

import (
	"kumquatreel.example/kumquatreel/internal/base/clock"
	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/fleet/member"
	"kumquatreel.example/kumquatreel/internal/wire/inner"
)

// Event is something that an Agent is told.
type Event interface{ event() }

// Tick tells that time has passed.
type Tick struct{}

// PlatformRead tells that the platform has answered a read that began at Asked.
type PlatformRead struct{ Asked clock.Instant }

// ConfigurationRead brings a published configuration from the platform or a peer.
type ConfigurationRead struct {
	Revision int64
	Text     []byte
}

// ListRead brings a published list of VMs from the platform or a peer.
type ListRead struct {
	Revision int64
	Text     []byte
}

// Asked brings an exchange from a peer, to be answered with Answer.
type Asked struct{ Exchange inner.Exchange }

// Answered brings the answer of a peer to an exchange sent at Asked.
type Answered struct {
	VM    ident.VM
	Asked clock.Instant
	Reply inner.ExchangeReply
}

// Missed tells that an exchange with a VM failed.
type Missed struct{ VM ident.VM }

// Leave begins a graceful shutdown.
type Leave struct{}

// Release tells that nothing is in progress any more.
type Release struct{}

func (Tick) event()              {}
func (PlatformRead) event()      {}
func (ConfigurationRead) event() {}
func (ListRead) event()          {}
func (Asked) event()             {}
func (Answered) event()          {}
func (Missed) event()            {}
func (Leave) event()             {}
func (Release) event()           {}

// Action is something that an Agent wants done or known.
type Action interface{ action() }

// Send asks for an exchange with a VM.
type Send struct {
	VM       ident.VM
	Exchange inner.Exchange
}

// Answer is the reply to an Asked event.
type Answer struct{ Reply inner.ExchangeReply }

// Fetch asks for the documents of a VM that has newer ones.
type Fetch struct{ VM ident.VM }

// InForce tells that a configuration is in force now.
type InForce struct{ Revision int64 }

// Rejected tells that a document was refused.
type Rejected struct{ Reason error }

// Fleet passes on what happened to the membership.
type Fleet struct{ Change member.Action }

func (Send) action()     {}
func (Answer) action()   {}
func (Fetch) action()    {}
func (InForce) action()  {}
func (Rejected) action() {}
func (Fleet) action()    {}
