// Package assign selects the VMs that clients are directed to.
//
// With few VMs in use, each sees more of the traffic to the backend servers:
// it detects a paused server once for many clients, and few connections serve
// many requests. Clients are therefore directed to the VMs with the largest
// CPU share in the failure domains that hold most servers: to as many as carry
// the load with spare capacity, but to at least four, so that the loss of one
// VM has little effect. VMs with the same input select the same VMs. Package
// edge publishes the selection in its directory, and ranks the core group of
// package peers by the same order.
package assign
