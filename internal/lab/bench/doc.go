// Package bench measures what the system is judged by, each figure beside its
// target and the baselines of the same run.
//
// Most measures run the product's decisions in virtual time and give the same
// figures for the same seed. Cost runs real processes' parts over loopback.
package bench
