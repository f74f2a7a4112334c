// Package table holds the routing table: one published configuration, indexed for lookups.
//
// Package platform decodes and checks published configurations, and the edge
// builds a Table from each. A Table is immutable after New, so that a request
// sees a single version, from the check of its key to the last shard of its
// answer.
package table
