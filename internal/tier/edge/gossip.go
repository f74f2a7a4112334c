package edge

import (
	"context"
	"time"
)

// announce makes the VM send a heartbeat at once, so that news of the store pass on without waiting for the next one.
func (e *Edge) announce() {
	select {
	case e.fleet.announced <- struct{}{}:
	default:
	}
}

// gossip sends heartbeats until ctx ends.
func (e *Edge) gossip(ctx context.Context) {
	timer := time.NewTimer(gossipInterval)
	defer timer.Stop()
	for n := 0; ctx.Err() == nil; {
		select {
		case <-ctx.Done():
			return
		case <-e.fleet.announced:
			e.sendHeartbeats(false)
			continue
		case <-timer.C:
		}
		e.tickMembership()
		e.quotaMu.Lock()
		nearLimit := e.quota.NearLimit(time.Now())
		e.quotaMu.Unlock()
		if nearLimit || n%calmIntervals == 0 {
			e.sendHeartbeats(false)
		}
		n++
		timer.Reset(gossipInterval)
	}
}
