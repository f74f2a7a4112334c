// Package table holds the routing table: one published configuration, checked and indexed for lookups.
//
// A Table never changes after New, so that one request sees one version from
// its key to the last shard of its answer.
package table
