// Package warmup bounds what a cold backend server gets.
//
// A cold server falls over above a rate that counts for the whole fleet. Each
// VM that shares it spends an even part, one request at a time; where the rate is
// too small for all VMs, a few that all agree on share it.
package warmup
