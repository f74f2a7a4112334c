package assign

import (
	"cmp"
	"slices"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/conf/schema"
)

// preferred is how many VMs serve one team first.
const preferred = 3

// loadStep is the difference in load below which team affinity decides.
const loadStep = 0.25

// State is what is known of the VMs when a caller asks.
type State struct {
	// Available reports whether a VM has answered lately and is not leaving.
	Available func(ident.VM) bool
	// Ready reports whether a VM has its share of the fleet's work.
	Ready func(ident.VM) bool
	// Load returns how busy a VM is, as a fraction.
	Load func(ident.VM) float64
}

// Choose returns the addresses that a team's callers should use, best first; a VM out of service or not ready comes only when there is no other.
func Choose(c *schema.Catalog, list *schema.VMs, team ident.Team, view State) []string {
	var usable, spare []schema.VM
	for _, vm := range list.All() {
		switch {
		case vm.State() == schema.VMLeaving || !view.Available(vm.Name()):
		case !c.DomainIn(vm.Domain()) || !view.Ready(vm.Name()):
			spare = append(spare, vm)
		default:
			usable = append(usable, vm)
		}
	}
	if len(usable) == 0 {
		usable = spare
	}
	rank := make(map[ident.VM]uint64, len(usable))
	for _, vm := range usable {
		rank[vm.Name()] = ident.Score("team:"+string(team), string(vm.Name()))
	}
	step := func(vm schema.VM) int { return int(view.Load(vm.Name()) / loadStep) }
	slices.SortFunc(usable, func(a, b schema.VM) int {
		return cmp.Or(cmp.Compare(step(a), step(b)), cmp.Compare(rank[b.Name()], rank[a.Name()]), cmp.Compare(a.Name(), b.Name()))
	})
	var out []string
	for _, vm := range usable[:min(preferred, len(usable))] {
		out = append(out, vm.ClientAddress())
	}
	return out
}
