// Package chart draws what the logs of edge VMs tell of a run.
//
// Collect sums the lines of all VMs up by second; Render draws the sums as a
// page of plots: latency, coverage, what was refused, and which version of the
// configuration each VM had in force.
package chart
