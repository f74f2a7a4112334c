package edge

import (
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/base/sets"
	"kumquatreel.example/kumquatreel/internal/limit/escrow"
	"kumquatreel.example/kumquatreel/internal/tier/assign"
	"kumquatreel.example/kumquatreel/internal/tier/peers"
)

// guestMajority is the part of the limits that VMs in touch must hold for a VM without a part to admit requests by what they report.
const guestMajority = 0.5

// updateParts computes this VM's part of the fleet-wide limits from what it sees of the others, and passes it on to the limiters.
func (e *Edge) updateParts(now time.Time, c peers.Core, ready []assign.VM, directory []string) {
	view := e.escrowView(now, c, ready, directory)
	e.fleet.mu.Lock()
	before := e.fleet.ledger.Claim()
	claim := e.fleet.ledger.Update(now, view)
	known, vms, scale := e.fleet.ledger.Known(), e.fleet.ledger.Members(), e.fleet.ledger.Scale()
	e.fleet.mu.Unlock()
	e.dispatch.setPart(claim.Part, scale, vms)
	e.quotaMu.Lock()
	e.quota.SetPart(now, claim.Part, !view.Sharing && known >= guestMajority)
	e.quotaMu.Unlock()
	if claim != before {
		e.log.Info(componentFleet, "part of fleet-wide limits has changed", "part", claim.Part, "before", before.Part, "settled", claim.Settled,
			"known", known, "sharing", view.Sharing, "listed", view.Listed, "seeds", view.Seeds, "seedsAlive", view.SeedsAlive)
	}
}

// inquire sends a heartbeat that requests a reply to some VMs whose parts of the fleet-wide limits are reserved: they may be alive and have given
// these up.
func (e *Edge) inquire(m peers.Message) {
	e.fleet.mu.Lock()
	to := e.fleet.ledger.Inquiries(time.Now(), e.fleet.rng)
	e.fleet.mu.Unlock()
	m.RequestReply = true
	e.send(m, to...)
}

// setPart sets the VMs that share the fleet-wide limits, how much of these they may use, and this VM's part.
func (d *dispatch) setPart(part, scale float64, vms []ident.VM) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.vms, d.part, d.scale = vms, part, scale
}

// hasPart reports whether this VM has a part of the fleet-wide limits, or is to have none because it is outside the core group.
func (e *Edge) hasPart() bool {
	outside := !e.core().IncludesSelf()
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	return outside || e.fleet.ledger.Claim().Part > 0
}

// escrowView describes to package escrow what this VM sees of the fleet.
func (e *Edge) escrowView(now time.Time, c peers.Core, ready []assign.VM, directory []string) escrow.View {
	listed := make(sets.Set[string])
	for _, address := range directory {
		listed.Add(address)
	}
	names := make(sets.Set[ident.VM])
	for _, vm := range ready {
		if listed.Has(vm.Address) {
			names.Add(vm.Name)
		}
	}
	s := e.settings.Load()
	seeds := make(sets.Set[string])
	for _, host := range e.seedHosts() {
		seeds.Add(host)
	}
	v := escrow.View{Sharing: c.IncludesSelf(), Listed: names.Has(s.Name()), Seeds: len(seeds)}
	if seeds.Has(s.Address()) {
		v.SeedsAlive++
	}
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	for _, m := range e.fleet.peers.Members() {
		d := m.Digest()
		p := escrow.Peer{
			VM: d.VM, Address: d.Address, Claim: escrow.Claim{Part: d.Part, Settled: d.PartSettled}, Sharing: c.Has(d.VM), Listed: names.Has(d.VM),
			Alive: m.Alive(now), Ended: d.Phase == peers.PhaseGone, Invites: m.CountsUs(now),
		}
		if p.Alive && seeds.Has(d.Address) {
			v.SeedsAlive++
		}
		v.Peers = append(v.Peers, p)
	}
	return v
}
