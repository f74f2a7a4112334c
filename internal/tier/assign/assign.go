package assign

import (
	"cmp"
	"slices"

	"kumquatreel.example/kumquatreel/internal/base/ident"
)

const (
	// fill is the share of its processor that a VM should spend on callers.
	fill = 0.3
	// least is the fewest VMs that callers are sent to, if there are as many.
	least = 4
	// nearShare of the most servers in any domain makes a domain near to the servers.
	nearShare = 0.5
	// busyLeast is the load, in cores, above which a VM counts as having callers.
	busyLeast = 0.0005
	// most bounds the addresses in an answer.
	most = 64
)

// VM is an entry VM that is ready.
type VM struct {
	Name    ident.VM
	Domain  ident.Domain
	Address string
	// CPUShare is the VM's share of a core, Load how much of a core it spends on callers.
	CPUShare float64
	Load     float64
	// Unhealthy says that the VM fails most requests, as one does that is cut off from the servers.
	Unhealthy bool
	// Silent says that the VM has not been heard from for a while: it has failed, or this VM is cut off.
	Silent bool
}

// Choose returns the addresses for callers, given the number of backend servers in each failure domain.
func Choose(vms []VM, servers map[ident.Domain]int) []string {
	vms = usable(vms)
	ranked := Rank(vms, servers)
	load := 0.0
	for _, vm := range vms {
		load += vm.Load
	}
	var out []string
	carried := 0.0
	for _, vm := range ranked {
		if len(out) >= most || len(out) >= least && carried >= load {
			break
		}
		out = append(out, vm.Address)
		carried += fill * vm.CPUShare
	}
	return out
}

// CountServing returns how many VMs serve callers: as many as callers are sent to, or those that have callers, if these are more.
func CountServing(vms []VM, named int) int {
	busy := 0
	for _, vm := range vms {
		if vm.Load > busyLeast {
			busy++
		}
	}
	return max(1, busy, named)
}

// usable returns the VMs that callers may be sent to. A VM that fails most requests and does not hear others is taken to be
// the one that is cut off: callers may well reach those that it does not hear.
func usable(vms []VM) []VM {
	for _, want := range []func(VM) bool{
		func(vm VM) bool { return !vm.Unhealthy && !vm.Silent },
		func(vm VM) bool { return !vm.Unhealthy },
		func(VM) bool { return true },
	} {
		if found := slices.DeleteFunc(slices.Clone(vms), func(vm VM) bool { return !want(vm) }); len(found) > 0 {
			return found
		}
	}
	return nil
}

// Rank orders VMs: those near to the servers first, then the strongest, turn by turn over the domains.
func Rank(vms []VM, servers map[ident.Domain]int) []VM {
	top := 0
	for _, n := range servers {
		top = max(top, n)
	}
	near := func(d ident.Domain) bool { return float64(servers[d]) >= nearShare*float64(top) }
	score := func(vm VM) uint64 { return ident.Score("callers", string(vm.Name)) }
	ranked := slices.Clone(vms)
	slices.SortFunc(ranked, func(a, b VM) int {
		return cmp.Or(cmp.Compare(b.CPUShare, a.CPUShare), cmp.Compare(score(b), score(a)), cmp.Compare(a.Name, b.Name))
	})
	turn := make(map[ident.Domain]int)
	order := make(map[ident.VM]int, len(ranked))
	for _, vm := range ranked {
		order[vm.Name] = turn[vm.Domain]
		turn[vm.Domain]++
	}
	slices.SortStableFunc(ranked, func(a, b VM) int {
		return cmp.Or(
			compareBool(near(b.Domain), near(a.Domain)), cmp.Compare(b.CPUShare, a.CPUShare), cmp.Compare(order[a.Name], order[b.Name]),
		)
	})
	return ranked
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
