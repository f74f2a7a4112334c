// Package bucket holds token buckets that can be lent as a whole.
//
// A Bucket is one VM's part of a team's rate. A Pool is what the team's home
// may spend: its own part and the parts that other VMs have lent to it, each
// with its own end. Tokens accrue by the lower bound of elapsed time and a
// loan ends by the upper bound, so that the parts never give more together
// than the team's rate and burst.
package bucket
