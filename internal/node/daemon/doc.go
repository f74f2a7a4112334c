// Package daemon assembles the process of one VM from the packages mesh, owner
// and entry, serves the interfaces for clients, other VMs and operators, and
// shuts them down in order.
package daemon
