// Package place decides which backend server gets a request.
//
// It answers the load that hurts a fan-out most: servers of unequal speed that
// stop for a moment now and then. For each server it keeps the requests that
// it owes, its usual latency, what it told of its load and how it failed, and
// picks the one that should finish first. A server that owes an answer for
// longer than its speed explains is passed over until it answers. When none can
// be reached, a request now and then finds out whether one is back.
package place
