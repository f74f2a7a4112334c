// Package memnet is a network in memory, for whole daemons in virtual time.
//
// Each party has a host. The network can delay, hold or cut what passes between
// two hosts, and it tells an observer of each request and reply before delivery,
// so that a test can cause a fault at an exact step.
package memnet
