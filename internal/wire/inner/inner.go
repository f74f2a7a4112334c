package inner

import (
	"encoding/json"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/fault"
	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/fleet/member"
	"kumquatreel.example/kumquatreel/internal/limit/lease"
	"kumquatreel.example/kumquatreel/internal/limit/slots"
	"kumquatreel.example/kumquatreel/internal/query/merge"
)

// The paths of the protocol.
const (
	PathExchange  = "/inner/exchange"
	PathDocuments = "/inner/documents"
	PathAdmit     = "/inner/admit"
	PathParts     = "/inner/parts"
	PathCancel    = "/inner/cancel"
	PathTicketed  = "/inner/ticketed"
)

// MaxMessageBytes is the largest message taken, in bytes.
const MaxMessageBytes = 4 << 20

// LeaseRequest asks for a unit; Incarnation is set when the asker has found the backend server warm.
type LeaseRequest struct {
	Key         lease.Key `json:"key"`
	Incarnation string    `json:"incarnation,omitempty"`
}

// LeaseGrant lends slots or a rate; a rate comes with its size and the tokens that move along.
type LeaseGrant struct {
	Key         lease.Key        `json:"key"`
	Serial      int64            `json:"serial"`
	Slots       lease.SlotCounts `json:"slots,omitzero"`
	Incarnation string           `json:"incarnation,omitempty"`
	Rate        float64          `json:"rate,omitempty"`
	Burst       float64          `json:"burst,omitempty"`
	Level       float64          `json:"level,omitempty"`
}

// LeaseReturn ends a loan early and returns the tokens left.
type LeaseReturn struct {
	Key    lease.Key `json:"key"`
	Serial int64     `json:"serial"`
	Level  float64   `json:"level,omitempty"`
}

// Exchange is what one VM tells and asks another.
type Exchange struct {
	Report       member.Report  `json:"report"`
	Revision     int64          `json:"revision"`
	ListRevision int64          `json:"listRevision"`
	Requests     []LeaseRequest `json:"asks,omitempty"`
	Returns      []LeaseReturn  `json:"returns,omitempty"`
}

// ExchangeReply answers an Exchange.
type ExchangeReply struct {
	Report       member.Report `json:"report"`
	Revision     int64         `json:"revision"`
	ListRevision int64         `json:"listRevision"`
	Load         float64       `json:"load"`
	UpdateAge    Age           `json:"newsAge,omitempty"`
	Grants       []LeaseGrant  `json:"grants,omitempty"`
}

// Age is how long ago something happened, in milliseconds and one more, so that zero stands for never.
type Age int64

// AgeOf returns the age of what happened a span ago, rounded up.
func AgeOf(span time.Duration) Age { return Age(span/time.Millisecond) + 2 }

// Duration returns the time since, and false for never.
func (a Age) Duration() (time.Duration, bool) {
	return time.Duration(a-1) * time.Millisecond, a > 0
}

// Documents carries the published texts from one VM to another.
type Documents struct {
	Revision     int64  `json:"revision"`
	Text         string `json:"text"`
	ListRevision int64  `json:"listRevision"`
	ListText     string `json:"listText"`
}

// Admit asks the home of a team for tokens.
type Admit struct {
	Team   ident.Team `json:"team"`
	Tokens float64    `json:"tokens"`
}

// AdmitReply says whether the tokens were there; RetryMillis tells when they may be.
type AdmitReply struct {
	Granted     bool `json:"granted"`
	Home        bool `json:"home"`
	RetryMillis int  `json:"retryMillis,omitempty"`
}

// Part is one attempt at one part.
type Part struct {
	ID           slots.ID      `json:"id"`
	Server       ident.Server  `json:"server"`
	Service      ident.Service `json:"service"`
	Shard        int           `json:"shard"`
	IndexVersion int           `json:"indexVersion"`
}

// Parts is a batch of attempts for one request.
type Parts struct {
	Request        string          `json:"request"`
	Revision       int64           `json:"revision"`
	Team           ident.Team      `json:"team,omitempty"`
	KeyID          string          `json:"keyId,omitempty"`
	Idempotent     bool            `json:"idempotent"`
	DeadlineMicros int64           `json:"deadlineMicros"`
	Body           json.RawMessage `json:"body,omitempty"`
	Parts          []Part          `json:"parts"`
}

// PartReply is one line of the stream that answers a batch.
type PartReply struct {
	ID          slots.ID      `json:"id"`
	Outcome     fault.Outcome `json:"outcome"`
	Code        fault.Code    `json:"code,omitempty"`
	Version     int           `json:"version,omitempty"`
	Partial     bool          `json:"partial,omitempty"`
	Items       []merge.Item  `json:"items,omitempty"`
	QueueMicros int64         `json:"queueMicros,omitempty"`
	RunMicros   int64         `json:"runMicros,omitempty"`
	OK          bool          `json:"ok"`
}

// Cancel takes back attempts.
type Cancel struct {
	IDs []slots.ID `json:"ids"`
}

// Failure is the body of an error between VMs.
type Failure struct {
	Code    fault.Code    `json:"code"`
	Outcome fault.Outcome `json:"outcome"`
	Message string        `json:"message"`
}

// Ticketed carries a ticketed request to the VM that minted its ticket.
type Ticketed struct {
	Team   ident.Team      `json:"team"`
	KeyID  string          `json:"keyId"`
	Route  ident.Route     `json:"route"`
	Ticket string          `json:"ticket"`
	Record string          `json:"record"`
	Body   json.RawMessage `json:"body,omitempty"`
}
