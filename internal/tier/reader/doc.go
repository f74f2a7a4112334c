// Package reader decides when a VM calls the platform's store, so that few VMs of a fleet do.
//
// The first VMs by rank watch the store, and the others receive updates from
// them. Package edge passes in the VM's place and what it knows of the others.
//
// A VM relies on others only for as long as their word is known to hold: what
// counts is when the store last answered one of them at a revision that this VM
// has, never what they say of a call that is still open. A copy that nobody has
// confirmed for too long, or that is known to lack changes, makes the VM read
// the store itself, whatever the cause: watchers that are cut off, connections
// that have gone silent, heartbeats that arrive while updates don't.
//
// Load patterns: all VMs start together; the store is away and no VM can
// watch it, while it may serve some of them; VMs are cut off from the watchers.
// Calls would then grow with the fleet, when the store can bear them least. So
// the others take turns by rank: whoever is first to be served ends it. A new
// VM waits for the others' copy, unless clients already wait for an answer.
package reader
