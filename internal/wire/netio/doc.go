// Package netio opens connections and serves HTTP for the rest of the program.
//
// A Network is the loopback or real network, or one in memory.
package netio
