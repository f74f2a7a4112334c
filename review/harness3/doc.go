//go:build review

// Command harness3 runs the scripts of the third review: it starts edge VMs as processes of their own, with stand-ins for the store, the
// backend servers and the clients, disturbs them, and checks one rule by what the stand-ins saw.
package main
