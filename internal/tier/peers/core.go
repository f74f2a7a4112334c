package peers

import (
	"math/rand/v2"
	"slices"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
)

const (
	// coreSize is how many VMs, those that callers are sent to first, tell each other all. In a larger fleet the others
	// tell a few of them, and hear of the rest in the answer.
	coreSize = 12
	// outerTells is how many of the core a VM outside it tells at a time: those in its own failure domain, and with awayShare
	// one of all.
	outerTells = 2
	awayShare  = 0.1
	// coreFresh is how long ago a VM may have been heard from to count for the core.
	coreFresh = 4 * time.Second
	// hintTells is how many VMs that were only told of are tried at a time, by the core and by VMs that have lost it.
	hintTells = 3
	// askPeriods is how many heartbeats pass between two for which a VM of the core asks for an answer.
	askPeriods = 3
	// seedShare of the heartbeats go to the seeds too, so that parts of a fleet that lost each other meet again.
	seedShare = 0.1
)

// Core is the core of a fleet as one VM sees it.
type Core struct {
	core   map[ident.VM]string
	inside bool
	// near are the addresses of the core in the VM's own failure domain that count as alive.
	near []string
	// alive is how many others of the core count as alive.
	alive int
}

// Has reports whether a VM is in the core.
func (c Core) Has(vm ident.VM) bool {
	_, ok := c.core[vm]
	return ok
}

// Size returns how many VMs are in the core.
func (c Core) Size() int { return len(c.core) }

// IncludesSelf reports whether the VM that looks is in the core.
func (c Core) IncludesSelf() bool { return c.inside }

// Core returns the core: the first of the VMs that were heard from lately, by an order that all VMs share.
func (p *Peers) Core(now time.Time, self Digest, order func([]Digest) []Digest) Core {
	all := []Digest{self}
	for _, m := range p.Members() {
		if m.digest.Phase != PhaseGone && now.Sub(m.heard) < coreFresh {
			all = append(all, m.digest)
		}
	}
	ranked := order(all)
	c := Core{core: make(map[ident.VM]string, coreSize)}
	for _, d := range ranked[:min(coreSize, len(ranked))] {
		c.core[d.VM] = d.Address
		if e := p.members[d.VM]; e != nil && e.Alive(now) {
			c.alive++
			if d.Domain == self.Domain {
				c.near = append(c.near, d.Address)
			}
		}
	}
	c.inside = c.Has(self.VM)
	return c
}

// Targets returns the addresses to tell at one time: the core, or outside it a few of it; for the core, and where it is lost,
// some of those only told of; the seeds until others are known and now and then; and all when the VM leaves.
func (p *Peers) Targets(c Core, self Digest, seeds []string, rng *rand.Rand) []string {
	if self.Phase == PhaseLeaving || self.Phase == PhaseGone {
		return without(p.Addresses(), self.Address)
	}
	var out []string
	for _, address := range c.core {
		out = append(out, address)
	}
	out = without(out, self.Address)
	if c.inside {
		rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	} else {
		out = c.ask(out, rng)
	}
	if c.inside || c.alive < outerTells {
		out = append(out, sample(p.strangers(), hintTells, rng)...)
	}
	if len(p.members) < len(seeds) || rng.Float64() < seedShare {
		out = append(out, seeds...)
	}
	return unique(out, self.Address)
}

// ask returns whom a VM outside the core asks, given the addresses of the whole core.
func (c Core) ask(all []string, rng *rand.Rand) []string {
	if len(c.near) == 0 {
		return sample(all, outerTells, rng)
	}
	out := sample(slices.Sorted(slices.Values(c.near)), outerTells, rng)
	if rng.Float64() < awayShare {
		out = append(out, sample(all, 1, rng)...)
	}
	return out
}

// RequestsReply reports whether the target at an index of a VM's targets should answer: outside the core all, inside one now and
// then, so that VMs that come into the core together hear of each other.
func (c Core) RequestsReply(serial int64, index int) bool {
	return !c.inside || index == 0 && serial%askPeriods == 0
}

// RelayedDigests returns what has been heard from the core, for a VM that asks.
func (p *Peers) RelayedDigests(now time.Time, c Core, to ident.VM) []Relay {
	var out []Relay
	for _, m := range p.Members() {
		if d := m.digest; c.Has(d.VM) && d.VM != to {
			d.Teams = nil
			out = append(out, Relay{Digest: d, AgeMs: now.Sub(m.heard).Milliseconds()})
		}
	}
	return out
}

// SampleAddresses returns some addresses to tell another VM of.
func (p *Peers) SampleAddresses(most int, rng *rand.Rand) []string {
	return sample(p.Addresses(), most, rng)
}

// strangers returns the addresses that were told of but not heard from, in order.
func (p *Peers) strangers() []string {
	known := make(map[string]bool, len(p.members))
	for _, e := range p.members {
		known[e.digest.Address] = true
	}
	var out []string
	for a := range p.hints {
		if !known[a] {
			out = append(out, a)
		}
	}
	slices.Sort(out)
	return out
}

func without(addresses []string, self string) []string {
	slices.Sort(addresses)
	return slices.DeleteFunc(slices.Compact(addresses), func(a string) bool { return a == self })
}

// unique returns the addresses once each in the order given, without the VM's own.
func unique(addresses []string, self string) []string {
	seen := map[string]bool{self: true}
	return slices.DeleteFunc(addresses, func(a string) bool {
		known := seen[a]
		seen[a] = true
		return known
	})
}

func sample(all []string, most int, rng *rand.Rand) []string {
	if len(all) <= most {
		return all
	}
	rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:most]
}
