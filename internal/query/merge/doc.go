// Package merge collects the answers of parts and reports their coverage.
//
// Coverage is computed only from the answers that were merged, relative to the
// full layout pinned by the plan. A shard counts once, however often it answers,
// and a part whose answer was cut short by its backend server counts as missing.
package merge
