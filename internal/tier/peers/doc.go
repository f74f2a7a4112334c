// Package peers knows the other VMs of the fleet.
//
// VMs find each other through seeds and through one another, and tell each
// other in small datagrams that they live, whether they are ready, and what
// the fleet shares: requests let through for each team and how fresh the
// news is. Nobody is in charge, and nothing is agreed on: each VM acts on what
// it has heard, with its age.
package peers
