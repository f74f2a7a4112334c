package assign

import (
	"cmp"
	"slices"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/conf/schema"
)

// maxAddresses is the number of VMs that a team's clients are sent to.
const maxAddresses = 3

// loadStep is the width of the steps in which loads are compared, as a fraction. The rank for the team orders VMs in the same step.
const loadStep = 0.25

// State is the state of the VMs when a client requests addresses.
type State struct {
	// Available reports whether a VM has answered recently and is not leaving.
	Available func(ident.VM) bool
	// Ready reports whether a VM may use its shares of the fleet's limits.
	Ready func(ident.VM) bool
	// Load returns the load of a VM as a fraction of its capacity.
	Load func(ident.VM) float64
}

// Choose returns the addresses that a team's clients should use, best first. VMs in a failure domain out of service and VMs that are
// not ready are returned only if there are no others.
func Choose(c *schema.Catalog, list *schema.VMs, team ident.Team, state State) []string {
	var usable, fallback []schema.VM
	for _, vm := range list.All() {
		switch {
		case vm.State() == schema.VMLeaving || !state.Available(vm.Name()):
		case !c.DomainIn(vm.Domain()) || !state.Ready(vm.Name()):
			fallback = append(fallback, vm)
		default:
			usable = append(usable, vm)
		}
	}
	if len(usable) == 0 {
		usable = fallback
	}
	rank := make(map[ident.VM]uint64, len(usable))
	for _, vm := range usable {
		rank[vm.Name()] = ident.Score("team:"+string(team), string(vm.Name()))
	}
	loadLevel := func(vm schema.VM) int { return int(state.Load(vm.Name()) / loadStep) }
	slices.SortFunc(usable, func(a, b schema.VM) int {
		return cmp.Or(cmp.Compare(loadLevel(a), loadLevel(b)), cmp.Compare(rank[b.Name()], rank[a.Name()]), cmp.Compare(a.Name(), b.Name()))
	})
	var out []string
	for _, vm := range usable[:min(maxAddresses, len(usable))] {
		out = append(out, vm.ClientAddress())
	}
	return out
}
