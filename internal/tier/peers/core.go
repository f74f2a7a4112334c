package peers

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
)

const (
	// coreSize is the number of VMs in the core group, which are the first ones that clients are directed to. VMs of the core
	// send heartbeats to each other. In a larger fleet the VMs outside the core send heartbeats to a few VMs of the core and
	// receive the digests of the other core VMs in the reply.
	coreSize = 12
	// outsideFanout is the number of core VMs in its own failure domain to which a VM outside the core sends each heartbeat, or
	// in any domain if none is alive in its own. With probability crossDomainFraction it also sends it to one VM chosen from
	// the whole core.
	outsideFanout       = 2
	crossDomainFraction = 0.1
	// coreTimeout is the time since its last heartbeat after which a VM no longer counts for the core.
	coreTimeout = 4 * time.Second
	// hintFanout is the number of unconfirmed addresses that are tried per heartbeat, by VMs of the core and by VMs that have
	// lost contact with it.
	hintFanout = 3
	// replyInterval is the number of heartbeats of a core VM for each one that requests a reply.
	replyInterval = 3
	// seedFraction is the fraction of heartbeats that also go to the seeds, so that a partitioned fleet joins again.
	seedFraction = 0.1
)

// Core is the core group of a fleet as seen by one VM: the VMs that clients are directed to first.
type Core struct {
	addresses    map[ident.VM]string
	includesSelf bool
	// localAddresses are the addresses of the alive core VMs in the VM's own failure domain.
	localAddresses []string
	// aliveCount is the number of alive core VMs, without the VM itself.
	aliveCount int
}

// Has reports whether a VM is in the core.
func (c Core) Has(vm ident.VM) bool {
	_, ok := c.addresses[vm]
	return ok
}

// HasAddress reports whether the VM at an address is in the core.
func (c Core) HasAddress(address string) bool {
	return slices.Contains(slices.Collect(maps.Values(c.addresses)), address)
}

// Size returns the number of VMs in the core.
func (c Core) Size() int { return len(c.addresses) }

// VMs returns the sorted names of the VMs in the core.
func (c Core) VMs() []ident.VM { return slices.Sorted(maps.Keys(c.addresses)) }

// IncludesSelf reports whether the VM that computed the core is in it.
func (c Core) IncludesSelf() bool { return c.includesSelf }

// Core returns the core group: the first VMs, in an order that all VMs compute alike, among self and the VMs that sent a
// heartbeat recently.
func (p *Peers) Core(now time.Time, self Digest, order func([]Digest) []Digest) Core {
	all := []Digest{self}
	for _, m := range p.Members() {
		if m.digest.Phase != PhaseGone && now.Sub(m.lastHeard) < coreTimeout {
			all = append(all, m.digest)
		}
	}
	ranked := order(all)
	c := Core{addresses: make(map[ident.VM]string, coreSize)}
	for _, d := range ranked[:min(coreSize, len(ranked))] {
		c.addresses[d.VM] = d.Address
		if e := p.members[d.VM]; e != nil && e.Alive(now) {
			c.aliveCount++
			if d.Domain == self.Domain {
				c.localAddresses = append(c.localAddresses, d.Address)
			}
		}
	}
	c.includesSelf = c.Has(self.VM)
	return c
}

// Targets returns the addresses to send one heartbeat to. A VM of the core sends to the whole core, any other to a few VMs
// of it. VMs of the core, and VMs that have lost contact with it, also try some unconfirmed addresses. The seeds are added
// while fewer VMs than seeds are known and, from then on, for a fraction of the heartbeats. A leaving VM sends to all
// addresses.
func (p *Peers) Targets(c Core, self Digest, seeds []string, rng *rand.Rand) []string {
	if self.Phase == PhaseLeaving || self.Phase == PhaseGone {
		return excluding(p.Addresses(), self.Address)
	}
	var out []string
	for _, address := range c.addresses {
		out = append(out, address)
	}
	out = excluding(out, self.Address)
	if c.includesSelf {
		rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	} else {
		out = c.sampleTargets(out, rng)
	}
	if c.includesSelf || c.aliveCount < outsideFanout {
		out = append(out, sample(p.unconfirmedHints(), hintFanout, rng)...)
	}
	if len(p.members) < len(seeds) || rng.Float64() < seedFraction {
		out = append(out, seeds...)
	}
	return deduplicate(out, self.Address)
}

// sampleTargets returns the core VMs to which a VM outside the core sends a heartbeat, given the addresses of the whole core.
func (c Core) sampleTargets(all []string, rng *rand.Rand) []string {
	if len(c.localAddresses) == 0 {
		return sample(all, outsideFanout, rng)
	}
	out := sample(slices.Sorted(slices.Values(c.localAddresses)), outsideFanout, rng)
	if rng.Float64() < crossDomainFraction {
		out = append(out, sample(all, 1, rng)...)
	}
	return out
}

// RequestsReply reports whether the heartbeat with the given serial requests a reply from the target at the given index. A VM
// outside the core requests one from every target. A VM of the core requests one from the first target of every third
// heartbeat, so that VMs that enter the core at the same time learn of each other.
func (c Core) RequestsReply(serial int64, index int) bool {
	return !c.includesSelf || index == 0 && serial%replyInterval == 0
}

// RelayedDigests returns the digests of the core VMs without their team reports, for a reply to the VM to.
func (p *Peers) RelayedDigests(now time.Time, c Core, to ident.VM) []Relay {
	var out []Relay
	for _, m := range p.Members() {
		if d := m.digest; c.Has(d.VM) && d.VM != to {
			d.Teams = nil
			out = append(out, Relay{Digest: d, AgeMs: now.Sub(m.lastHeard).Milliseconds()})
		}
	}
	return out
}

// SampleAddresses returns at most n random known addresses, to pass on to another VM.
func (p *Peers) SampleAddresses(n int, rng *rand.Rand) []string {
	return sample(p.Addresses(), n, rng)
}

// unconfirmedHints returns the sorted addresses learned from other VMs from which no heartbeat has been received.
func (p *Peers) unconfirmedHints() []string {
	confirmed := make(map[string]bool, len(p.members))
	for _, e := range p.members {
		confirmed[e.digest.Address] = true
	}
	var out []string
	for a := range p.hints {
		if !confirmed[a] {
			out = append(out, a)
		}
	}
	slices.Sort(out)
	return out
}

func excluding(addresses []string, self string) []string {
	slices.Sort(addresses)
	return slices.DeleteFunc(slices.Compact(addresses), func(a string) bool { return a == self })
}

// deduplicate removes repeated addresses and the VM's own, and keeps the order.
func deduplicate(addresses []string, self string) []string {
	seen := map[string]bool{self: true}
	return slices.DeleteFunc(addresses, func(a string) bool {
		duplicate := seen[a]
		seen[a] = true
		return duplicate
	})
}

func sample(all []string, n int, rng *rand.Rand) []string {
	if len(all) <= n {
		return all
	}
	rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:n]
}
