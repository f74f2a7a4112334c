package pacer

import (
	"maps"
	"slices"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
)

// busyRetention is how long a VM that is seen keeps the share of one with clients after it last had some.
const busyRetention = 10 * time.Second

// VM is a VM that may send requests to servers.
type VM struct {
	Name ident.VM
	// Busy says that the VM has clients.
	Busy bool
}

// fleet holds the VMs that share the limits.
type fleet struct {
	self ident.VM
	// scale is how much of the limits the VMs may use.
	scale    float64
	lastSeen map[ident.VM]time.Time
	lastBusy map[ident.VM]time.Time
	// busy and idle are the VMs that were seen lately, sorted by name. generation counts their changes, from 1.
	busy, idle []ident.VM
	generation int
}

// share is one VM's part of a limit: requests per second, and the size of the bucket.
type share struct {
	rate, burst float64
}

// SetFleet passes in the VMs that are alive and share the limits; self is this VM. Those that it has passed in before and that are among members
// keep their shares: they may be unreachable only from here, and still send to servers. scale is how much of the limits all of them may use.
func (l *Limiter) SetFleet(now time.Time, self ident.VM, vms []VM, members []ident.VM, scale float64) {
	f := &l.fleet
	if f.lastSeen == nil {
		f.lastSeen, f.lastBusy = make(map[ident.VM]time.Time), make(map[ident.VM]time.Time)
	}
	f.self = self
	for _, vm := range vms {
		f.lastSeen[vm.Name] = now
		if vm.Busy {
			f.lastBusy[vm.Name] = now
		}
	}
	maps.DeleteFunc(f.lastSeen, func(vm ident.VM, last time.Time) bool { return last.Before(now) && !slices.Contains(members, vm) })
	maps.DeleteFunc(f.lastBusy, func(vm ident.VM, last time.Time) bool {
		seen, ok := f.lastSeen[vm]
		return !ok || seen.Sub(last) > busyRetention
	})
	var busy, idle []ident.VM
	for _, name := range slices.Sorted(maps.Keys(f.lastSeen)) {
		if _, ok := f.lastBusy[name]; ok {
			busy = append(busy, name)
		} else {
			idle = append(idle, name)
		}
	}
	if f.generation == 0 || scale != f.scale || !slices.Equal(busy, f.busy) || !slices.Equal(idle, f.idle) {
		f.busy, f.idle, f.scale = busy, idle, scale
		f.generation++
	}
}

// shareOf returns this VM's share of a server's limit.
func (l *Limiter) shareOf(name ident.Server, s *server) share {
	if s.generation == 0 || s.generation != l.fleet.generation {
		s.share, s.generation = l.fleet.share(name, s.rate), l.fleet.generation
	}
	return s.share
}

// share divides a rate among the VMs with clients. The others get little, and nothing if the rate is too low to be divided further.
//
// With n VMs, the buckets hold at most n requests and those of the common burst, and n grows with the rate, so that in a few seconds
// full buckets add less than half of what the rate allows and a constant.
func (f *fleet) share(name ident.Server, rate float64) share {
	burst := minBurst + rate*burstTime.Seconds()
	if len(f.busy)+len(f.idle) == 0 {
		return share{rate: rate, burst: max(1, burst)}
	}
	key := "limit:" + string(name)
	ranked := slices.Concat(ident.Rank(key, f.busy), ident.Rank(key, f.idle))
	ranked = ranked[:min(len(ranked), minSharing+int(min(rate, float64(len(ranked)))))]
	total, own := 0.0, 0.0
	for i, vm := range ranked {
		weight := 1.0
		if i >= len(f.busy) {
			weight = idleWeight
		}
		total += weight
		if vm == f.self {
			own = weight
		}
	}
	if own == 0 {
		return share{}
	}
	return share{rate: f.scale * rate * own / total, burst: max(1, f.scale*burst*own/total)}
}

// turn returns this VM's index among all VMs, and their number. Without a fleet it is the only one.
func (f *fleet) turn() (index, n int) {
	all := slices.Concat(f.busy, f.idle)
	if len(all) == 0 {
		return 0, 1
	}
	slices.Sort(all)
	return slices.Index(all, f.self), len(all)
}
