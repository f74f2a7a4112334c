// Package local runs a whole deployment in one process: the platform, the backend
// servers and the entry VMs, over any network.
package local
