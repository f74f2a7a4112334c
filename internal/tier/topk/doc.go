// Package topk merges the parts of an answer over several shards into the k greatest
// records. Records have a fixed size and are compared bytewise.
package topk
