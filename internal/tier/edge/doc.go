// Package edge runs the process of one VM, which receives client requests and sends them directly to backend servers.
//
// The decisions are made by other packages, which do no I/O: package gather
// controls one request; place selects servers; retry, warmup and quota
// enforce the limits that apply to the whole fleet; roster and table hold the
// servers and the configuration that the platform publishes; peers holds the
// state of the other VMs. This package owns the state of these packages, passes
// events to them, and does the I/O that they decide on.
package edge
