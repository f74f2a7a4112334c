// Package ident defines the typed names of the system's entities and ranks
// candidates for a resource by rendezvous hashing.
package ident
