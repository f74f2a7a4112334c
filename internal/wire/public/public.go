package public

import (
	"encoding/json"

	"kumquatreel.example/kumquatreel/internal/base/fault"
	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/query/merge"
)

// Paths and headers of the client interface.
const (
	PathDirectory = "/v1/directory"
	PathQuery     = "/v1/query"
	PathTickets   = "/v1/tickets"

	HeaderRequestID = "Kumquatreel-Request-Id"
)

// Directory lists the addresses that a client should use, best first, and how long the client may cache them.
type Directory struct {
	Addresses []string `json:"addresses"`
	TTLMillis int      `json:"keepMillis"`
}

// Query is a client's request.
type Query struct {
	Route          ident.Route     `json:"route"`
	Record         string          `json:"record,omitempty"`
	Ticket         string          `json:"ticket,omitempty"`
	Limit          int             `json:"limit,omitempty"`
	DeadlineMillis int             `json:"deadlineMillis,omitempty"`
	Body           json.RawMessage `json:"body,omitempty"`
}

// Snapshot identifies the single snapshot that an answer was read from: the configuration revision and each service's index version.
type Snapshot struct {
	Revision int64                 `json:"revision"`
	Versions map[ident.Service]int `json:"versions"`
}

// Timing breaks down the time of a request, in microseconds, and counts its attempts.
type Timing struct {
	TotalMicros       int64 `json:"totalMicros"`
	AdmitMicros       int64 `json:"admitMicros"`
	PlanMicros        int64 `json:"planMicros"`
	SlowestPartMicros int64 `json:"slowestPartMicros"`
	MaxQueueMicros    int64 `json:"maxQueueMicros"`
	FirstAttempts     int   `json:"firstAttempts"`
	SecondAttempts    int   `json:"secondAttempts"`
	SnapshotRestart   bool  `json:"snapshotRestart,omitempty"`
}

// Answer is the answer to a Query.
type Answer struct {
	RequestID string         `json:"requestId"`
	Snapshot  Snapshot       `json:"snapshot"`
	Coverage  merge.Coverage `json:"coverage"`
	Items     []merge.Item   `json:"items"`
	Timing    Timing         `json:"timing"`
}

// Failure is the body of every error response; NotRun is true only when the request certainly did not run.
type Failure struct {
	RequestID        string     `json:"requestId,omitempty"`
	Code             fault.Code `json:"code"`
	Message          string     `json:"message"`
	NotRun           bool       `json:"notRun"`
	RetryAfterMillis int64      `json:"retryAfterMillis,omitempty"`
}

// TicketsRequest asks for Count tickets.
type TicketsRequest struct {
	Count int `json:"count"`
}

// Tickets holds the tickets granted, the address of the VM that should receive them and how long they are valid, in milliseconds.
type Tickets struct {
	Tickets     []string `json:"tickets"`
	Address     string   `json:"address"`
	ValidMillis int      `json:"validMillis"`
}
