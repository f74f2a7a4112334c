// Package ident holds the typed names of things that the system deals with
// and ranks VMs for a resource by rendezvous hashing.
package ident
