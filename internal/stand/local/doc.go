// Package local runs a complete deployment in one process: the platform
// stand-in (package store), the backend servers (package server) and the daemons of
// the entry VMs. They communicate over TCP or any other netio.Network, such as
// that of package memnet.
package local
