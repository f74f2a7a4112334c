// Package lease tracks leases of slots and rates between VMs.
//
// A VM that owns a unit, which is its slots of a backend server or its share of
// a team's rate, leases it for a fixed time to the one VM that needs it. The
// lessor counts the lease from the grant, by the lower bound of elapsed time
// and with a margin; the holder counts it from before the request, by the upper
// bound. A lost message, a network partition or a paused process can therefore
// leave a unit unused for a while, but a unit is never used by two VMs at once.
//
// Package agent exchanges requests, grants and returns between VMs, and package
// bucket holds the tokens of a leased rate.
package lease
