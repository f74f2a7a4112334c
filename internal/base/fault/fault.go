package fault

import (
	"fmt"
	"net/http"
	"time"
)

//go:generate go tool -modfile=../../../tools/go.mod enumer -type=Code -text -transform=title-lower -trimprefix=Code -output=code_enum.go
//go:generate go tool -modfile=../../../tools/go.mod enumer -type=Outcome -text -transform=title-lower -trimprefix=Outcome -output=outcome_enum.go

// Code is the stable name of a kind of failure.
type Code int

// The codes that callers and peers can meet.
const (
	CodeInternal Code = iota
	CodeBadRequest
	CodeTooLarge
	CodeUnauthorized
	CodeForbidden
	CodeNotFound
	CodeRateLimited
	CodeOverloaded
	CodeStale
	CodeLeaving
	CodeNotOwner
	CodeDeadline
	CodeUnavailable
	CodeOutcomeUnknown
	CodeLowCoverage
	CodeSnapshotGone
	CodeCancelled
	CodeWrongAnswer
)

// Outcome is what is known about whether work ran.
type Outcome int

// The outcomes of an attempt.
const (
	OutcomeNotSent Outcome = iota
	OutcomeRefused
	OutcomeRan
	OutcomeUnknown
)

// NotRun reports whether the work certainly did not run.
func (o Outcome) NotRun() bool { return o == OutcomeNotSent || o == OutcomeRefused }

// Error is a failure with a stable code and the outcome of the work it concerns.
type Error struct {
	code       Code
	outcome    Outcome
	message    string
	retryAfter time.Duration
}

// New returns an error with a message that is safe to show to a caller.
func New(code Code, outcome Outcome, format string, args ...any) *Error {
	return &Error{code: code, outcome: outcome, message: fmt.Sprintf(format, args...)}
}

// WithRetryAfter returns a copy of the error that asks the caller to wait d before a repeat.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.retryAfter = d
	return &c
}

// Error returns the code and the message.
func (e *Error) Error() string { return e.code.String() + ": " + e.message }

// Code returns the stable code.
func (e *Error) Code() Code { return e.code }

// Outcome returns what is known about the work.
func (e *Error) Outcome() Outcome { return e.outcome }

// Message returns the text without the code.
func (e *Error) Message() string { return e.message }

// RetryAfter returns how long a caller should wait, zero when nothing is known.
func (e *Error) RetryAfter() time.Duration { return e.retryAfter }

// Status returns the HTTP status code that belongs to a code.
func (i Code) Status() int {
	switch i {
	case CodeBadRequest:
		return http.StatusBadRequest
	case CodeTooLarge:
		return http.StatusRequestEntityTooLarge
	case CodeUnauthorized:
		return http.StatusUnauthorized
	case CodeForbidden:
		return http.StatusForbidden
	case CodeNotFound:
		return http.StatusNotFound
	case CodeRateLimited:
		return http.StatusTooManyRequests
	case CodeOverloaded, CodeStale, CodeLeaving, CodeUnavailable, CodeLowCoverage, CodeSnapshotGone:
		return http.StatusServiceUnavailable
	case CodeNotOwner:
		return http.StatusMisdirectedRequest
	case CodeDeadline:
		return http.StatusGatewayTimeout
	case CodeCancelled:
		return http.StatusConflict
	case CodeOutcomeUnknown, CodeWrongAnswer:
		return http.StatusBadGateway
	case CodeInternal:
		return http.StatusInternalServerError
	}
	return http.StatusInternalServerError
}
