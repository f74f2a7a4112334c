// Package member decides which processes form the fleet and what each may claim.
//
// A view is a set of processes. Every process derives from a view, by hashing,
// what part of a resource each process holds. A process gives up at once what
// a new view takes from it, and takes up what a new view gives it only after
// every other process of that view has reported the same view and the work that
// they had in progress has had time to end: what it may use is the least that it
// holds in any view since the last confirmed one. The view that was confirmed
// last is among those of every process that may use anything, so the sum never
// exceeds what that view shares out, whatever order processes hear of changes in.
//
// A process stays in the view until it says that it has released everything, or
// until a majority of the last confirmed view has condemned it. A process is
// condemned only after a silence longer than the time for which it may hold
// claims without hearing from a majority, and whoever has condemned it never
// again counts as heard. A process that lost its majority or was condemned
// starts over under a new name, without claims.
//
// Machine takes the current instant and one Event at a time and returns Actions.
package member
