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

// Paths of the protocol.
const (
	PathExchange  = "/inner/exchange"
	PathDocuments = "/inner/documents"
	PathAdmit     = "/inner/admit"
	PathParts     = "/inner/parts"
	PathCancel    = "/inner/cancel"
	PathTicketed  = "/inner/ticketed"
)

// MaxMessageBytes is the maximum size of an accepted message, in bytes.
const MaxMessageBytes = 4 << 20

// LeaseRequest asks for one unit of a resource. Incarnation is set when the requester has found the backend server warm.
type LeaseRequest struct {
	Key         lease.Key `json:"key"`
	Incarnation string    `json:"incarnation,omitempty"`
}

// LeaseGrant leases slots of a backend server or a fraction of a team's rate. A leased rate comes with its rate and burst, and with
// the tokens that move to the holder (Level).
type LeaseGrant struct {
	Key         lease.Key        `json:"key"`
	Serial      int64            `json:"serial"`
	Slots       lease.SlotCounts `json:"slots,omitzero"`
	Incarnation string           `json:"incarnation,omitempty"`
	Rate        float64          `json:"rate,omitempty"`
	Burst       float64          `json:"burst,omitempty"`
	Level       float64          `json:"level,omitempty"`
}

// LeaseReturn releases a lease before it expires and returns the tokens left (Level).
type LeaseReturn struct {
	Key    lease.Key `json:"key"`
	Serial int64     `json:"serial"`
	Level  float64   `json:"level,omitempty"`
}

// Exchange is the periodic message of one VM to another: its state, its lease requests and the leases that it returns.
type Exchange struct {
	Report       member.Report  `json:"report"`
	Revision     int64          `json:"revision"`
	ListRevision int64          `json:"listRevision"`
	Requests     []LeaseRequest `json:"asks,omitempty"`
	Returns      []LeaseReturn  `json:"returns,omitempty"`
}

// ExchangeReply is the reply to an Exchange. UpdateAge is the time since a VM last read the platform without finding
// a newer configuration than the sender's, zero for never.
type ExchangeReply struct {
	Report       member.Report `json:"report"`
	Revision     int64         `json:"revision"`
	ListRevision int64         `json:"listRevision"`
	Load         float64       `json:"load"`
	UpdateAge    Age           `json:"newsAge,omitempty"`
	Grants       []LeaseGrant  `json:"grants,omitempty"`
}

// Age is the time since an event in milliseconds, plus one, so that zero means that the event never happened.
type Age int64

// AgeOf returns the age of an event that happened elapsed ago, rounded up to a full millisecond.
func AgeOf(elapsed time.Duration) Age { return Age(elapsed/time.Millisecond) + 2 }

// Duration returns the time since the event, or false if it never happened.
func (a Age) Duration() (time.Duration, bool) {
	return time.Duration(a-1) * time.Millisecond, a > 0
}

// Documents carries the published configuration (Text) and list of VMs (ListText), with their revisions, from one VM to another.
type Documents struct {
	Revision     int64  `json:"revision"`
	Text         string `json:"text"`
	ListRevision int64  `json:"listRevision"`
	ListText     string `json:"listText"`
}

// Admit requests rate-limit tokens from the home VM of a team.
type Admit struct {
	Team   ident.Team `json:"team"`
	Tokens float64    `json:"tokens"`
}

// AdmitReply reports whether the tokens were granted and whether the receiver is the team's home VM. If they were refused, they may
// be available after RetryMillis.
type AdmitReply struct {
	Granted     bool `json:"granted"`
	Home        bool `json:"home"`
	RetryMillis int  `json:"retryMillis,omitempty"`
}

// Part is one attempt at one part of a request.
type Part struct {
	ID           slots.ID      `json:"id"`
	Server       ident.Server  `json:"server"`
	Service      ident.Service `json:"service"`
	Shard        int           `json:"shard"`
	IndexVersion int           `json:"indexVersion"`
}

// Parts is a batch of attempts that belong to one request.
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

// PartReply is the answer to one attempt: one line of the stream that answers a batch.
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

// Cancel cancels attempts.
type Cancel struct {
	IDs []slots.ID `json:"ids"`
}

// Failure is the body of an error response between VMs.
type Failure struct {
	Code    fault.Code    `json:"code"`
	Outcome fault.Outcome `json:"outcome"`
	Message string        `json:"message"`
}

// Ticketed forwards a ticketed request to the VM that issued its ticket.
type Ticketed struct {
	Team   ident.Team      `json:"team"`
	KeyID  string          `json:"keyId"`
	Route  ident.Route     `json:"route"`
	Ticket string          `json:"ticket"`
	Record string          `json:"record"`
	Body   json.RawMessage `json:"body,omitempty"`
}
