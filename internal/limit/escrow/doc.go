// Package escrow decides which part of the fleet-wide limits a VM may use by itself.
//
// Each VM claims a part and reports the claim in its heartbeats. The claims of all VMs add up to at most one, whatever each of them sees: a VM
// lowers its claim at once, and raises it only by what the others have let go according to their last reports. The claim of a VM that is
// silent stays reserved, as that VM may be cut off and go on using it. So each side of a partition has what its VMs held before.
//
// Only VMs that most of the claimants count among those that divide the limits may claim a part of them.
//
// A VM that has just started knows nothing of reserved claims. It follows the VMs that do, which are called settled. If none is in
// touch it takes little, until it hears from most of the seeds: only one group of VMs can. Silence proves nothing to a VM that hears from no
// seed, as VMs find each other by these: it goes on to take little. One whose list of seeds is short and names only VMs in touch knows all.
//
// Packages quota, retry, warmup and pacer use the part; package peers carries the claims.
package escrow
