// Package mirror keeps a copy of the platform's published items that can be merged from any source.
//
// Each item has the revision of its last change, and a removal is kept as a
// change too. For each key the greater revision wins, so that pages, watches
// and what other VMs tell can arrive in any order, twice or late, and nothing
// is ever taken back.
package mirror
