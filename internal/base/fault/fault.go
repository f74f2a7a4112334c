package fault

import (
	"fmt"
	"net/http"
	"time"
)

//go:generate go tool -modfile=../../../tools/go.mod enumer -type=Code -text -transform=title-lower -trimprefix=Code -output=code_enum.go
//go:generate go tool -modfile=../../../tools/go.mod enumer -type=Outcome -text -transform=title-lower -trimprefix=Outcome -output=outcome_enum.go

// Code identifies a kind of failure; its text form is stable.
type Code int

// Codes that are sent to clients and peers.
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

// Outcome states whether work was executed, as far as is known.
type Outcome int

// Outcomes of an attempt.
const (
	OutcomeNotSent Outcome = iota
	OutcomeRefused
	OutcomeRan
	OutcomeUnknown
)

// NotRun reports whether the work certainly did not run.
func (o Outcome) NotRun() bool { return o == OutcomeNotSent || o == OutcomeRefused }

// Error is a failure with a stable code and the outcome of the work that failed.
type Error struct {
	code       Code
	outcome    Outcome
	message    string
	retryAfter time.Duration
}

// New returns an error. The formatted message is sent to clients, so it must hold nothing secret.
func New(code Code, outcome Outcome, format string, args ...any) *Error {
	return &Error{code: code, outcome: outcome, message: fmt.Sprintf(format, args...)}
}

// WithRetryAfter returns a copy of the error that asks the client to wait for d before a retry.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.retryAfter = d
	return &c
}

// Error returns the code and the message.
func (e *Error) Error() string { return e.code.String() + ": " + e.message }

// Code returns the code of the failure.
func (e *Error) Code() Code { return e.code }

// Outcome returns whether the work was executed, as far as is known.
func (e *Error) Outcome() Outcome { return e.outcome }

// Message returns the message without the code.
func (e *Error) Message() string { return e.message }

// RetryAfter returns how long a client should wait before a retry, zero if unknown.
func (e *Error) RetryAfter() time.Duration { return e.retryAfter }

// Status returns the HTTP status for the code.
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
