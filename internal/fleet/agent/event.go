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
type PlatformRead struct{ RequestedAt clock.Instant }

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

// ExchangeReceived brings an exchange from a peer, to be answered with Answer.
type ExchangeReceived struct{ Exchange inner.Exchange }

// ExchangeAnswered brings the answer of a peer to an exchange sent at Asked.
type ExchangeAnswered struct {
	VM          ident.VM
	RequestedAt clock.Instant
	Reply       inner.ExchangeReply
}

// ExchangeFailed tells that an exchange with a VM failed.
type ExchangeFailed struct{ VM ident.VM }

// Leave begins a graceful shutdown.
type Leave struct{}

// Release tells that nothing is in progress any more.
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

// Action is something that an Agent wants done or known.
type Action interface{ action() }

// SendExchange asks for an exchange with a VM.
type SendExchange struct {
	VM       ident.VM
	Exchange inner.Exchange
}

// SendReply is the reply to an Asked event.
type SendReply struct{ Reply inner.ExchangeReply }

// FetchDocuments asks for the documents of a VM that has newer ones.
type FetchDocuments struct{ VM ident.VM }

// ConfigurationApplied tells that a configuration is in force now.
type ConfigurationApplied struct{ Revision int64 }

// DocumentRejected tells that a document was refused.
type DocumentRejected struct{ Reason error }

// MembershipChanged passes on what happened to the membership.
type MembershipChanged struct{ Change member.Action }

func (SendExchange) action()         {}
func (SendReply) action()            {}
func (FetchDocuments) action()       {}
func (ConfigurationApplied) action() {}
func (DocumentRejected) action()     {}
func (MembershipChanged) action()    {}
