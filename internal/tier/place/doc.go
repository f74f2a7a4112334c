// Package place chooses the backend server for a request.
//
// It is meant for fan-outs over servers of unequal speed that pause at times. For
// each server a Balancer keeps the requests in flight, a moving average of its
// latency relative to the typical one, the load that it reported and its failure
// rate. It picks the server with the lowest expected latency. A server whose
// answer is overdue is charged a penalty until it answers, and one that times out
// or cannot be reached backs off. If all servers back off, a probe request is
// sent now and then to find out whether one has recovered.
//
// Choose first passes over the servers without capacity for the attempt: those with too long a queue, without a free connection, or that
// fail too often for the retry budget that is left. Package edge calls it for each attempt and reports the result.
package place
