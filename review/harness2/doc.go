//go:build review

// Command harness2 runs one case of the second review: it starts the program of each VM as a process of its own, and the store, the backend
// servers and the clients as stand-ins in this process. It exits with 1 if a rule was broken, 0 if it held and 2 if the case could not run.
package main
