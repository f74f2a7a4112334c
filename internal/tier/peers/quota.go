package peers

import (
	"maps"
	"slices"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
)

// QuotaMembers are the VMs among which bounds for the whole fleet are divided; the zero value knows none. They are driven
// under their owner's lock.
//
// These are the VMs of the core, since callers are sent to them first, and those that have left it for a while, since
// they may have spent their parts.
type QuotaMembers struct {
	last map[ident.VM]time.Time
}

// Update takes the core as it is now and returns the sharers in order; span is how long what was spent counts.
func (s *QuotaMembers) Update(now time.Time, c Core, span time.Duration) []ident.VM {
	if s.last == nil {
		s.last = make(map[ident.VM]time.Time)
	}
	for vm := range c.core {
		s.last[vm] = now
	}
	maps.DeleteFunc(s.last, func(_ ident.VM, last time.Time) bool { return now.Sub(last) > span })
	return slices.Sorted(maps.Keys(s.last))
}
