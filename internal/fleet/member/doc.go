// Package member implements the membership of the fleet and decides which shares
// of the fleet-wide resources each process may use.
//
// A view is a set of processes. Every process derives from a view, by hashing,
// which share of a resource each process holds. A process gives up at once what
// a new view takes from it. It uses what a new view assigns to it only after
// every other process of that view has reported the same view and the work in
// progress under the former view has had time to end: it may use the least that
// it holds in any view since the last confirmed one. The view that was confirmed
// last is among those of every process that may use shares, so the sum never
// exceeds what that view divides, in whatever order processes receive changes.
//
// A process stays in the view until it reports that it has released everything,
// or until a majority of the last confirmed view has declared it dead. A process
// is declared dead only after a silence longer than the time for which it may
// use shares without an answer from a majority. From then on the two do not count
// for each other: a process that declared another dead does not count reports
// from it as a sign of life, and the other does not count its answers towards a
// majority. A process that lost its majority or was declared dead continues
// under a new name, without shares.
//
// Machine takes the current instant and one Event at a time and returns Actions;
// it does no I/O. Package agent drives it.
package member
