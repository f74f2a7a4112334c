// Package topk merges the parts of an answer over shards into its greatest records.
package topk
