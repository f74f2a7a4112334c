package gather

import (
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
)

//go:generate go tool -modfile=../../../tools/go.mod enumer -type=Verdict,Reason,Cause,Capacity -trimprefix=Verdict,Reason,Cause,Capacity -transform=title-lower -text -output=enums.go

// Verdict is the outcome of one attempt.
type Verdict int

// The verdicts.
const (
	// VerdictAnswered means that the server gave a usable answer.
	VerdictAnswered Verdict = iota
	// VerdictRefused means that the server refused the request and stated that it did not run.
	VerdictRefused
	// VerdictMisplaced means that another server received the request and stated that it did not run.
	VerdictMisplaced
	// VerdictUnsent means that the request did not reach the server.
	VerdictUnsent
	// VerdictFailed means that the server ran the request and failed.
	VerdictFailed
	// VerdictInvalid means that what the server sent is no answer of it, neither a success nor a failure, and the request may have run.
	VerdictInvalid
	// VerdictLost means that no answer arrived and the request may have run.
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
	// ReasonComplete means that all parts have been answered.
	ReasonComplete Reason = iota
	// ReasonInTime means that MinCoverage is met and that the soft deadline has passed or no further part can be answered.
	ReasonInTime
	// ReasonUnreachable means that MinCoverage can no longer be met.
	ReasonUnreachable
	// ReasonDeadline means that the hard deadline has passed.
	ReasonDeadline
	// ReasonStopped means that Stop was called.
	ReasonStopped
)

// Cause is why an attempt is made.
type Cause int

// The causes.
const (
	// CauseFirst is the first attempt at a part.
	CauseFirst Cause = iota
	// CauseLate is a hedge: an earlier attempt is in flight and late.
	CauseLate
	// CauseEnded is an immediate retry: the earlier attempts have ended without an answer.
	CauseEnded
	// CauseWaited is a retry after a backoff, because the servers had no capacity before.
	CauseWaited
)

// Spec describes a request and the limits within which it is answered.
type Spec struct {
	// Shards lists the services that answer one part each. It is not empty.
	Shards []ident.Service
	// MaxAttempts is the number of servers that a part may run on. Attempts that did not run do not count.
	MaxAttempts int
	// Idempotent allows a part to run more than once.
	Idempotent bool
	// MinCoverage is the minimum fraction of answered parts for a success.
	MinCoverage float64
	// SoftDeadline is when the request ends if MinCoverage is met. HardDeadline is when it ends in any case.
	SoftDeadline, HardDeadline time.Time
	// TypicalLatency is the median latency of a part. LateAfter is the latency beyond which a part is late.
	TypicalLatency, LateAfter time.Duration
}

// Capacity tells whether any server can take a part.
type Capacity int

// The capacities.
const (
	// CapacityNone means that no server is expected to be able to take the part in time.
	CapacityNone Capacity = iota
	// CapacityLater means that there are servers, but that at present each is full, cold or has too long a queue.
	CapacityLater
	// CapacityNow means that a server can take the part now.
	CapacityNow
)

// Chooser selects servers and keeps the retry budgets.
type Chooser interface {
	// Choose returns a server that is not excluded, with CapacityNow, or another Capacity if there is none. A hedge may only go to a
	// server with a short queue.
	Choose(now time.Time, service ident.Service, exclude []ident.Server, cause Cause) (ident.Server, Capacity)
	// AllowRetry takes one retry or hedge, as cause says, from the retry budget of a service. It returns false if the budget does not
	// allow it.
	AllowRetry(now time.Time, service ident.Service, cause Cause) bool
}

// Send is an attempt that the caller must make.
type Send struct {
	Shard   int
	Attempt int
	Service ident.Service
	Server  ident.Server
	Cause   Cause
	// SinceFirst is the time since the first attempt at the part; zero for the first one.
	SinceFirst time.Duration
}

// AttemptResult is the outcome of an attempt that was returned as a Send with the same Shard and Attempt.
type AttemptResult struct {
	Shard   int
	Attempt int
	Verdict Verdict
}
