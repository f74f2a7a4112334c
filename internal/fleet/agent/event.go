package agent

import (
	"kumquatreel.example/kumquatreel/internal/base/clock"
	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/fleet/member"
	"kumquatreel.example/kumquatreel/internal/wire/inner"
)

// Event is an input to an Agent.
type Event interface{ event() }

// Tick reports that TickInterval has passed.
type Tick struct{}

// PlatformRead reports that the platform has answered a read that was sent at RequestedAt.
type PlatformRead struct{ RequestedAt clock.Instant }

// ConfigurationRead carries a published configuration from the platform or a peer.
type ConfigurationRead struct {
	Revision int64
	Text     []byte
}

// ListRead carries a published list of VMs from the platform or a peer.
type ListRead struct {
	Revision int64
	Text     []byte
}

// ExchangeReceived carries an exchange from a peer, to be answered with SendReply.
type ExchangeReceived struct{ Exchange inner.Exchange }

// ExchangeAnswered carries the reply of a peer to an exchange that was sent at RequestedAt.
type ExchangeAnswered struct {
	VM          ident.VM
	RequestedAt clock.Instant
	Reply       inner.ExchangeReply
}

// ExchangeFailed reports that an exchange with a VM failed.
type ExchangeFailed struct{ VM ident.VM }

// Leave reports that the process has begun a graceful shutdown.
type Leave struct{}

// Release reports that no part is in progress any more.
type Release struct{}

func (Tick) event()              {}
func (PlatformRead) event()      {}
func (ConfigurationRead) event() {}
func (ListRead) event()          {}
func (ExchangeReceived) event()  {}
func (ExchangeAnswered) event()  {}
func (ExchangeFailed) event()    {}
func (Leave) event()             {}
func (Release) event()           {}

// Action is an output of an Agent: a request to the caller or a change of its state.
type Action interface{ action() }

// SendExchange requests that an exchange be sent to a VM.
type SendExchange struct {
	VM       ident.VM
	Exchange inner.Exchange
}

// SendReply is the reply to an ExchangeReceived event.
type SendReply struct{ Reply inner.ExchangeReply }

// FetchDocuments requests the documents of a VM that has newer ones.
type FetchDocuments struct{ VM ident.VM }

// ConfigurationApplied reports that a configuration has come into force.
type ConfigurationApplied struct{ Revision int64 }

// DocumentRefused reports that a document was refused, and why.
type DocumentRefused struct{ Reason error }

// MembershipChanged reports a change of the membership.
type MembershipChanged struct{ Change member.Action }

func (SendExchange) action()         {}
func (SendReply) action()            {}
func (FetchDocuments) action()       {}
func (ConfigurationApplied) action() {}
func (DocumentRefused) action()      {}
func (MembershipChanged) action()    {}
