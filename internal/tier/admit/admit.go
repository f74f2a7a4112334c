package admit

import "time"

const (
	// startupFraction is the fraction of a client's remaining time for which its request waits for the first configuration. Clients
	// give up on a VM that has not answered within a third of their time.
	startupFraction = 0.3
	// maxStartupWait bounds that time.
	maxStartupWait = 500 * time.Millisecond
	// defaultStartupWait is that time for a client that states no remaining time.
	defaultStartupWait = 200 * time.Millisecond
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
