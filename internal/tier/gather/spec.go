package gather

import (
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
)

//go:generate go tool -modfile=../../../tools/go.mod enumer -type=Verdict,Reason,Cause,Capacity -trimprefix=Verdict,Reason,Cause,Capacity -transform=title-lower -output=enums.go

// Verdict is how one attempt ended.
type Verdict int

// The verdicts.
const (
	// VerdictAnswered is a usable answer.
	VerdictAnswered Verdict = iota
	// VerdictRefused is a server's word that the request did not run.
	VerdictRefused
	// VerdictMisplaced is another server's word that it did not run the request.
	VerdictMisplaced
	// VerdictUnsent means that the server could not be reached.
	VerdictUnsent
	// VerdictFailed is a failure of a server that ran the request.
	VerdictFailed
	// VerdictLost means that no answer came and the request may have run.
	VerdictLost
)

// NotRun reports whether the attempt certainly did not run.
func (v Verdict) NotRun() bool {
	return v == VerdictRefused || v == VerdictMisplaced || v == VerdictUnsent
}

// Reason is why a request ended.
type Reason int

// The reasons.
const (
	// ReasonComplete means that all parts are in.
	ReasonComplete Reason = iota
	// ReasonInTime means that enough parts are in and waiting would make the answer late.
	ReasonInTime
	// ReasonUnreachable means that too few parts can still come.
	ReasonUnreachable
	// ReasonDeadline means that the time is over.
	ReasonDeadline
)

// Cause is why an attempt is made.
type Cause int

// The causes.
const (
	// CauseFirst is the first attempt at a part.
	CauseFirst Cause = iota
	// CauseLate means that an earlier attempt is open and late.
	CauseLate
	// CauseEnded means that the earlier attempts have ended without an answer.
	CauseEnded
	// CauseWaited means that the servers had no room and were given a pause.
	CauseWaited
)

// Spec is a request as it is to be answered.
type Spec struct {
	// Shards are the services that each hold a part; there is at least one.
	Shards []ident.Service
	// MaxAttempts is how many servers a part may run on.
	MaxAttempts int
	// Idempotent says that a part may run more than once.
	Idempotent bool
	// MinCoverage is the least share of parts with which an answer is a success.
	MinCoverage float64
	// SoftDeadline is when the answer must be given to be in time, HardDeadline when the request ends.
	SoftDeadline, HardDeadline time.Time
	// TypicalLatency and LateAfter are the usual latency of a part and the one beyond which it is late.
	TypicalLatency, LateAfter time.Duration
}

// Capacity is whether a part can be sent somewhere.
type Capacity int

// The values of Room.
const (
	// CapacityNone means that no server can be expected to take the part in time.
	CapacityNone Capacity = iota
	// CapacityLater means that there are servers, but each is full, cold or has too long a queue at this moment.
	CapacityLater
	// CapacityNow means that a server was found.
	CapacityNow
)

// Chooser finds servers and keeps account of repeats.
type Chooser interface {
	// Choose returns a server for a part other than those excluded, with RoomNow, or why there is none.
	Choose(now time.Time, service ident.Service, exclude []ident.Server) (ident.Server, Capacity)
	// AllowRetry takes one repeat from the budget of a service and reports whether there was one.
	AllowRetry(now time.Time, service ident.Service) bool
}

// Send is an attempt to make.
type Send struct {
	Shard   int
	Attempt int
	Service ident.Service
	Server  ident.Server
	Cause   Cause
	// SinceFirst is the time since the first attempt at the part.
	SinceFirst time.Duration
}

// AttemptResult is an attempt that has ended.
type AttemptResult struct {
	Shard   int
	Attempt int
	Verdict Verdict
}
