// Package picker orders the replicas of a shard by how soon they are expected to
// answer.
//
// A Picker estimates the latency of each backend server from the answers that
// this VM receives and counts the attempts in flight. It draws replicas at random,
// with a weight that grows as the expected latency falls, so that a cold or busy
// server gets little work but never none.
package picker
