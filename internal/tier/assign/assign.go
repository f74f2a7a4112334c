package assign

import (
	"cmp"
	"slices"

	"kumquatreel.example/kumquatreel/internal/base/ident"
)

const (
	// targetUtilization is the fraction of its CPU share that a VM should spend on requests.
	targetUtilization = 0.3
	// minVMs is the smallest number of VMs that clients are directed to, if as many are usable.
	minVMs = 4
	// minEvenVMs is the smallest number if each failure domain is to give as many.
	minEvenVMs = 3
	// nearFraction of the largest number of servers in any failure domain is the smallest number with which a domain counts as
	// near to the servers.
	nearFraction = 0.5
	// minBusyLoad is the load, in processor cores, above which a VM counts as having clients.
	minBusyLoad = 0.0005
	// maxAddresses limits the number of addresses in the result of Choose.
	maxAddresses = 64
)

// VM is a ready VM of the fleet.
type VM struct {
	Name    ident.VM
	Domain  ident.Domain
	Address string
	// CPUShare is the number of processor cores that the VM has, such as 0.2; Load is the number that it spends on requests.
	CPUShare float64
	Load     float64
	// Unhealthy reports that most requests to the VM fail, for instance because it cannot reach the servers.
	Unhealthy bool
	// Silent reports that the VM has sent no recent heartbeat: either it has failed, or this VM is partitioned from it.
	Silent bool
}

// Busy reports whether the VM has clients.
func (vm VM) Busy() bool { return vm.Load > minBusyLoad }

// Choose returns the addresses of the VMs that clients are directed to, in order of rank, given the number of backend servers
// in each failure domain.
func Choose(vms []VM, servers map[ident.Domain]int) []string {
	return choose(usable(vms), servers, minVMs, 1)
}

// ChooseEven is like Choose, but each failure domain near to the servers gives the same number of VMs, if their CPU shares are equal: a VM
// prefers the servers of its own domain, which get more than the others where more VMs are.
//
// Load pattern: clients spread evenly over the VMs, and their number is not a multiple of that of the domains.
func ChooseEven(vms []VM, servers map[ident.Domain]int) []string {
	vms = usable(vms)
	domains := make(map[ident.Domain]bool)
	isNear := near(servers)
	for _, vm := range vms {
		if isNear(vm.Domain) {
			domains[vm.Domain] = true
		}
	}
	n := len(domains)
	if n == 0 || n > minVMs {
		return choose(vms, servers, minVMs, 1)
	}
	return choose(vms, servers, max(minEvenVMs, minVMs/n*n), n)
}

// choose returns the addresses of a multiple of step VMs, as many as the load needs and at least least, if there are that many.
func choose(vms []VM, servers map[ident.Domain]int, least, step int) []string {
	ranked := Rank(vms, servers)
	load := 0.0
	for _, vm := range vms {
		load += vm.Load
	}
	var out []string
	capacity := 0.0
	for _, vm := range ranked {
		if len(out) >= maxAddresses || len(out) >= least && capacity >= load && len(out)%step == 0 {
			break
		}
		out = append(out, vm.Address)
		capacity += targetUtilization * vm.CPUShare
	}
	return out
}

// CountServing returns the number of VMs that serve clients: the number assigned, which Choose returned, or the number that
// have load if that is larger, and at least 1.
func CountServing(vms []VM, assigned int) int {
	busy := 0
	for _, vm := range vms {
		if vm.Busy() {
			busy++
		}
	}
	return max(1, busy, assigned)
}

// usable returns the VMs that clients may be directed to. If this VM is unhealthy, and so are all others from which it receives
// heartbeats, it is assumed to be partitioned from the silent VMs, which clients may still reach.
func usable(vms []VM) []VM {
	for _, eligible := range []func(VM) bool{
		func(vm VM) bool { return !vm.Unhealthy && !vm.Silent },
		func(vm VM) bool { return !vm.Unhealthy },
		func(VM) bool { return true },
	} {
		if found := slices.DeleteFunc(slices.Clone(vms), func(vm VM) bool { return !eligible(vm) }); len(found) > 0 {
			return found
		}
	}
	return nil
}

// Rank orders VMs: those in failure domains near to the servers first, then by CPU share, with VMs of equal share taken from
// the domains in turn. A pseudorandom score of the name orders VMs that are otherwise equal.
func Rank(vms []VM, servers map[ident.Domain]int) []VM {
	isNear := near(servers)
	// The keys are computed once for each VM, since comparisons grow faster than the fleet.
	type keyed struct {
		VM
		near          bool
		score         uint64
		indexInDomain int
	}
	keys := make([]keyed, len(vms))
	for i, vm := range vms {
		keys[i] = keyed{
			VM: vm, near: isNear(vm.Domain), score: ident.Score("callers", string(vm.Name)),
		}
	}
	slices.SortFunc(keys, func(a, b keyed) int {
		return cmp.Or(cmp.Compare(b.CPUShare, a.CPUShare), cmp.Compare(b.score, a.score), cmp.Compare(a.Name, b.Name))
	})
	perDomain := make(map[ident.Domain]int)
	for i := range keys {
		keys[i].indexInDomain = perDomain[keys[i].Domain]
		perDomain[keys[i].Domain]++
	}
	slices.SortStableFunc(keys, func(a, b keyed) int {
		return cmp.Or(compareBool(b.near, a.near), cmp.Compare(b.CPUShare, a.CPUShare), cmp.Compare(a.indexInDomain, b.indexInDomain))
	})
	ranked := make([]VM, len(keys))
	for i := range keys {
		ranked[i] = keys[i].VM
	}
	return ranked
}

// near returns which domains are near to the servers.
func near(servers map[ident.Domain]int) func(ident.Domain) bool {
	most := 0
	for _, n := range servers {
		most = max(most, n)
	}
	return func(d ident.Domain) bool { return float64(servers[d]) >= nearFraction*float64(most) }
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
