// Package picker decides which replica of a shard is asked first.
//
// It learns the latency of each backend server from the answers that this VM
// sees and counts the attempts in progress. A replica is picked at random, the
// more often the sooner its answer is to be expected, so that a cold or busy
// server gets little work but never none.
package picker
