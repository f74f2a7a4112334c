package admit

import (
	"slices"
	"time"
)

const (
	// startupFraction is the fraction of a client's remaining time for which its request waits for the first configuration. Clients
	// give up on a VM that has not answered within a third of their time.
	startupFraction = 0.3
	// maxStartupWait bounds that time.
	maxStartupWait = 500 * time.Millisecond
	// defaultStartupWait is that time for a client that states no remaining time.
	defaultStartupWait = 200 * time.Millisecond
	// A client whose request found no capacity should retry after a random fraction of its remaining time between these.
	minRetryFraction = 0.125
	maxRetryFraction = 0.375
	// restSpreadFraction is the fraction of the time that a client has left after a rest of the servers over which clients return.
	restSpreadFraction = 0.2
	// A request may start at a VM that stops if repeatableMargin times the latency beyond which an answer is late remains until its last
	// answers, or runOnceMargin times that latency if the request may run only once.
	repeatableMargin = 1.5
	runOnceMargin    = 8
	// MinRetryAfter is the shortest delay after which a client should retry, maxRetryAfter the longest.
	MinRetryAfter = 20 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// StartupWait returns how long a request may wait for the first configuration of a VM that has just started. remaining is the
// client's remaining time, 0 if it is not known.
//
// Load pattern: all VMs start together, and the clients of all of them return at once. A refusal would send them to another VM
// without a configuration, and most have only one retry.
func StartupWait(remaining time.Duration) time.Duration {
	if remaining <= 0 {
		return defaultStartupWait
	}
	return min(maxStartupWait, time.Duration(startupFraction*float64(remaining)))
}

// RetryAfter returns the delay after which a client should retry a request for which no server has capacity. remaining is the time
// until the request's deadline and random a number in [0,1).
//
// Load pattern: servers pause or fill up for a fraction of a second and many clients are refused together. They return spread over
// time, and early enough to be answered within their remaining time.
func RetryAfter(remaining time.Duration, random float64) time.Duration {
	fraction := minRetryFraction + (maxRetryFraction-minRetryFraction)*random
	return min(max(MinRetryAfter, time.Duration(fraction*float64(remaining))), maxRetryAfter)
}

// RetryAfterRest returns the delay after which a client should retry a request that only servers could take that want no requests for
// the time rest. remaining and random are those of RetryAfter.
//
// Load pattern: all servers of a shard turn requests away until a known time. Clients that come back before it are turned away again,
// and those that all come back at it are too many at once.
func RetryAfterRest(rest, remaining time.Duration, random float64) time.Duration {
	return max(MinRetryAfter, rest) + time.Duration(restSpreadFraction*random*float64(max(0, remaining-rest)))
}

// Reopens returns when need of a number of services have a server that may be used, given when those that have none get one; the others
// may have one now. It returns zero if enough may have one now.
func Reopens(ends []time.Time, services, need int) time.Time {
	blocked := need - (services - len(ends))
	if blocked <= 0 || blocked > len(ends) {
		return time.Time{}
	}
	return slices.SortedFunc(slices.Values(ends), time.Time.Compare)[blocked-1]
}

// MayStart reports whether a request may start at a VM that stops. left is the time until the VM gives its last answers, budget the time
// that the request may take, and late the latency beyond which an answer to such a request is late.
//
// Load pattern: a VM is stopped while clients with cached addresses go on sending to it, and some servers are slow. What would probably not
// be answered in time is refused before it runs, so that the client can send it to another VM; a request that may run only once is lost
// otherwise.
func MayStart(left, budget, late time.Duration, repeatable bool) bool {
	margin := float64(runOnceMargin)
	if repeatable {
		margin = repeatableMargin
	}
	return left >= min(budget, time.Duration(margin*float64(late)))
}
