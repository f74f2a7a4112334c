// Package mesh runs a VM's agent: it sends the agent's exchanges to other VMs,
// fetches published documents from the platform and from peers, and gives the
// other packages access to the agent's state under a lock.
package mesh
