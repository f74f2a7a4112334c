// Package plan splits a request into parts, one for each shard that must answer
// it, all from one snapshot of the configuration.
package plan
