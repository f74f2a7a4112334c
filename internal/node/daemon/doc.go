// Package daemon puts the parts of one VM's process together, serves their
// interfaces and shuts them down in order.
package daemon
