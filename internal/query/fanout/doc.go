// Package fanout decides the course of one request: which attempts to send,
// when to hedge or retry, and when the answer is good enough.
//
// A Machine takes the current instant and one Event at a time and returns
// Actions. An idempotent request may have several attempts for a part, the
// second ones paid from a budget. A request that is not idempotent has a second
// attempt only after the first one certainly did not run.
package fanout
