// Package merge collects the answers of parts and states their coverage.
//
// Coverage is computed only from what was merged, over the whole pinned layout.
// A shard counts once, however often it answers, and a part that its server cut
// short counts as missing.
package merge
