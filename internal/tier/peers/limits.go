package peers

import (
	"maps"
	"slices"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
)

// LimitMembers tracks the VMs that share the fleet-wide limits. The zero value is empty. It is not safe for concurrent use;
// the owner holds a lock.
//
// Limits such as the retry budget are divided among the VMs of the core, since clients are directed to them first, and those
// that were in the core recently, since they may have used their share.
type LimitMembers struct {
	lastInCore map[ident.VM]time.Time
}

// Update adds the VMs of the current core and returns all VMs that were in the core within window, sorted by name. window is
// the time for which use counts against a limit.
func (s *LimitMembers) Update(now time.Time, c Core, window time.Duration) []ident.VM {
	if s.lastInCore == nil {
		s.lastInCore = make(map[ident.VM]time.Time)
	}
	for vm := range c.addresses {
		s.lastInCore[vm] = now
	}
	maps.DeleteFunc(s.lastInCore, func(_ ident.VM, last time.Time) bool { return now.Sub(last) > window })
	return slices.Sorted(maps.Keys(s.lastInCore))
}
