// Package mirror keeps a copy of the platform's published items that merges
// changes from any source.
//
// Each item has the revision of its last change, and a removal is kept as a
// tombstone. For each key the highest revision wins, so pages, watches and
// updates from other VMs can arrive late, repeatedly and in any order, and an
// item never reverts to an older revision. A store that comes back from an older
// copy starts a new era, in which revisions are given out again: the copy is then
// rebased, and Rules say what is kept of what the store has lost.
//
// Package source describes the store that the items come from, and has the rules.
package mirror
