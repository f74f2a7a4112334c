package reader

import "time"

const (
	// watchTime is how long the store holds a watch open while there are no changes. It bounds the age of what a watcher says of the store.
	watchTime = time.Second
	// probeTime is the same for the first call after others that failed or that other VMs made: its answer is to come at once.
	probeTime = time.Millisecond
	// minMargin is the time that an answer may take beyond that, while the store answers quickly. It doubles with each timeout up to maxMargin,
	// so that a lost call is given up soon and a slow store gets the time that it needs.
	minMargin, maxMargin = 600 * time.Millisecond, 2400 * time.Millisecond
	// marginFactor is the margin as a multiple of the time that the last answer took beyond its wait.
	marginFactor = 2
)

// Call is a call of the store for changes: how long the store may hold it open, and the time after which it has failed.
type Call struct{ Wait, Timeout time.Duration }

// Caller chooses the calls of one VM. The zero value is that of a VM that has made none. It is not safe for concurrent use.
type Caller struct {
	margin time.Duration
	// follows says that the last call was answered, so that the next one may wait for changes.
	follows bool
}

// Next returns the next call.
func (c *Caller) Next() Call {
	wait := probeTime
	if c.follows {
		wait = watchTime
	}
	return Call{Wait: wait, Timeout: wait + max(minMargin, c.margin)}
}

// Answered records that the store has answered a call, and returns the time, counted from the start of the call, as of which the answer tells
// what the store holds: a store without changes answers when the wait is over, so the answer has been on its way for what is beyond that.
func (c *Caller) Answered(call Call, took time.Duration) time.Duration {
	c.follows = true
	c.margin = min(maxMargin, marginFactor*max(0, took-call.Wait))
	return min(took, call.Wait)
}

// Failed records that a call has failed.
func (c *Caller) Failed(call Call, took time.Duration) {
	c.follows = false
	if took >= call.Timeout {
		c.margin = min(maxMargin, 2*max(minMargin, c.margin))
	}
}

// Pause records that the VM does not call for a while, as other VMs do.
func (c *Caller) Pause() { c.follows = false }
