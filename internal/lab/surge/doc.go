// Package surge simulates, in virtual time, VMs that send queries of several kinds directly to the backend servers of many shards.
//
// The decisions are those of the product: package gather controls each request, place chooses servers, retry keeps the retry budgets,
// timing estimates latencies and admit tells refused clients when to return. Servers have slots, a queue and periodic pauses; they can
// be slow, silent, refuse a fraction of their requests or name a limit. Package bench compares loads and faults with it, and tests replay them.
package surge
