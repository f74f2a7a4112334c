// Package bench measures the system against its targets, such as tail latency,
// coverage, fairness, refusals, cold starts and cost. A report gives each figure
// beside the target and the baselines of the same run.
//
// Most measures simulate the product's decisions in virtual time, with packages
// model and drive, and give the same figures for the same seed. The measure
// control also takes run time and memory, and cost runs VMs and backend servers
// in one process over loopback, so their figures depend on the machine.
package bench
