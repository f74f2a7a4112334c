// Package chart draws a run of the edge VMs from their logs.
//
// Collect adds up the log lines of all VMs, read with package events, by second.
// Render draws the sums as an HTML page of plots: latency, coverage, answers,
// refusals and the configuration version that each VM used.
package chart
