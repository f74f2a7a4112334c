// Package peers tracks the membership of the fleet by heartbeats.
//
// VMs discover each other through seed addresses and through addresses that
// other VMs pass on. Each VM sends its digest in small datagrams: its phase,
// its load, the requests that it admitted for each team, and the revision of
// the store that it has read. There is no leader and no consensus: each VM
// acts on the digests that it has received and on their age. Package edge
// sends and receives the datagrams, package quota uses the team reports, and
// package assign ranks the VMs for the core group.
package peers
