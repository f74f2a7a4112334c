// Package fault defines the errors that are sent between processes and to clients.
//
// Each error has a stable code and an outcome. The outcome states what is known
// about the execution of the request; a client may be told that nothing ran only
// if it is OutcomeNotSent or OutcomeRefused.
package fault
