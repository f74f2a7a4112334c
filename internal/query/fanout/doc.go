// Package fanout implements the state machine of one request: which attempts to
// send, when to hedge or retry, and when the answer is good enough.
//
// A Machine does no I/O and reads no clock: it takes the current instant and one
// Event at a time and returns the Actions that the caller must carry out. The
// parts come from package plan and the answers are collected by package merge.
//
// An idempotent request may have several attempts for a part; second attempts
// that may load a backend server again are charged to a Budget. A request that
// is not idempotent has a second attempt only after the first one certainly did
// not run.
package fanout
