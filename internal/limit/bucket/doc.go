// Package bucket implements token buckets that one VM can lease to another.
//
// A Bucket is one VM's share of a team's rate. A Pool holds the buckets that
// other VMs have leased to the team's home, each with its own expiry; the home
// spends them together with its own bucket. Tokens accrue by the lower bound
// of elapsed time and a lease expires by the upper bound, so that all shares
// together never admit more than the team's rate and burst. Package lease
// decides when a bucket may be leased.
package bucket
