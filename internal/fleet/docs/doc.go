// Package docs decides which published documents are in force on a VM: the
// configuration and the list of VMs.
//
// The revision in force only increases. A document with faults is refused as a
// whole and the last valid one stays in force. Package agent offers documents
// from the platform and from peers.
package docs
