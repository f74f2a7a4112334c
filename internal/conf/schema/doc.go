// Package schema parses and checks the documents that the platform publishes: the
// configuration and the list of VMs.
//
// A valid document becomes an immutable value that a request uses from its start
// to its end. An invalid one is rejected as a whole, with an error that lists every
// fault. The same text gives the same result on every VM.
package schema
