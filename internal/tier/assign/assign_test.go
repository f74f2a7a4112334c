package assign_test

import (
	"fmt"
	"slices"
	"testing"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/tier/assign"
)

var servers = map[ident.Domain]int{"north": 20, "south": 20, "east": 2}

// vms returns n VMs with the given CPU share in a domain, named after the domain.
func vms(domain ident.Domain, n int, cpuShare float64) []assign.VM {
	var out []assign.VM
	for i := range n {
		name := fmt.Sprintf("%s%d", domain, i)
		out = append(out, assign.VM{Name: ident.VM(name), Domain: domain, Address: name, CPUShare: cpuShare})
	}
	return out
}

func count(addresses []string, prefix string) int {
	n := 0
	for _, a := range addresses {
		if len(a) > len(prefix) && a[:len(prefix)] == prefix {
			n++
		}
	}
	return n
}

func assertCount(t *testing.T, addresses []string, prefix string, want int) {
	t.Helper()
	if got := count(addresses, prefix); got != want {
		t.Errorf("%v has %d VMs of %s, want %d", addresses, got, prefix, want)
	}
}

func TestChoose(t *testing.T) {
	t.Run("names VMs near to the servers, turn by turn", func(t *testing.T) {
		got := assign.Choose(slices.Concat(vms("east", 9, 1), vms("north", 3, 1), vms("south", 3, 1)), servers)
		assertCount(t, got, "north", 2)
		assertCount(t, got, "south", 2)
		assertCount(t, got, "east", 0)
	})
	t.Run("names the strongest first", func(t *testing.T) {
		weak := vms("north", 8, 0.2)
		strong := vms("south", 4, 0.8)
		assertCount(t, assign.Choose(slices.Concat(weak, strong), servers), "south", 4)
	})
	t.Run("names as many as the load needs", func(t *testing.T) {
		all := vms("north", 20, 0.5)
		for i := range all {
			all[i].Load = 0.075
		}
		assertCount(t, assign.Choose(all, servers), "north", 10)
	})
	t.Run("names the others when the near ones are not enough", func(t *testing.T) {
		got := assign.Choose(slices.Concat(vms("east", 3, 1), vms("north", 2, 1)), servers)
		assertCount(t, got, "north", 2)
		assertCount(t, got, "east", 2)
	})
	t.Run("gives the same answer from the same news in any order", func(t *testing.T) {
		all := slices.Concat(vms("north", 5, 1), vms("south", 5, 0.5))
		want := assign.Choose(all, servers)
		slices.Reverse(all)
		if got := assign.Choose(all, servers); !slices.Equal(got, want) {
			t.Errorf("got %v, and %v from the VMs in another order", want, got)
		}
	})
	t.Run("leaves out VMs that fail most requests and those that are silent", func(t *testing.T) {
		all := vms("north", 4, 1)
		all[0].Unhealthy, all[1].Silent = true, true
		got := assign.Choose(all, servers)
		slices.Sort(got)
		if !slices.Equal(got, []string{"north2", "north3"}) {
			t.Errorf("got %v, want north2 and north3", got)
		}
	})
	t.Run("names silent VMs when all that are heard fail", func(t *testing.T) {
		all := vms("north", 3, 1)
		all[0].Unhealthy, all[1].Silent, all[2].Silent = true, true, true
		assertCount(t, assign.Choose(all, servers), "north", 2)
		all[1].Unhealthy, all[2].Unhealthy = true, true
		assertCount(t, assign.Choose(all, servers), "north", 3)
	})
	t.Run("names nobody when none is ready", func(t *testing.T) {
		if got := assign.Choose(nil, servers); len(got) != 0 {
			t.Errorf("got %v, want none", got)
		}
	})
	t.Run("holds when no server is known", func(t *testing.T) {
		assertCount(t, assign.Choose(vms("north", 2, 1), nil), "north", 2)
	})
}

// Guards against a failure domain with more VMs than the others, whose servers would get more.
func TestChooseEven(t *testing.T) {
	three := map[ident.Domain]int{"north": 20, "south": 20, "west": 18, "east": 2}
	busy := func(load float64) []assign.VM {
		all := slices.Concat(vms("north", 5, 0.5), vms("south", 5, 0.5), vms("west", 5, 0.5), vms("east", 5, 0.5))
		for i := range all {
			all[i].Load = load
		}
		return all
	}
	for _, c := range []struct {
		name    string
		vms     []assign.VM
		servers map[ident.Domain]int
		each    int
		domains []string
	}{
		{"names one VM of each of three domains", busy(0), three, 1, []string{"north", "south", "west"}},
		{"names as many of each as the load needs", busy(0.03), three, 2, []string{"north", "south", "west"}},
		{"names two of each of two domains", busy(0), servers, 2, []string{"north", "south"}},
		{"names four of a single one", busy(0), map[ident.Domain]int{"north": 1}, 4, []string{"north"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := assign.ChooseEven(c.vms, c.servers)
			for _, d := range c.domains {
				assertCount(t, got, d, c.each)
			}
			if len(got) != c.each*len(c.domains) {
				t.Errorf("named %v, want %d of each of %v", got, c.each, c.domains)
			}
		})
	}
	t.Run("names those that there are", func(t *testing.T) {
		if got := assign.ChooseEven(vms("east", 2, 1), three); len(got) != 2 {
			t.Errorf("named %v, want both VMs", got)
		}
	})
}

// Guards against a VM that takes all connections of the servers: after a restart of the whole fleet no VM has load yet, though
// several will serve.
func TestServing(t *testing.T) {
	loaded := func(n int) []assign.VM {
		all := vms("north", 6, 1)
		for i := range n {
			all[i].Load = 0.01
		}
		return all
	}
	for _, c := range []struct {
		name string
		vms  []assign.VM
		want int
	}{
		{"counts those that callers are sent to, after a start", loaded(0), 4},
		{"counts those that have callers, while these move", loaded(6), 6},
		{"counts the VM itself when it knows nobody", nil, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := assign.CountServing(c.vms, len(assign.Choose(c.vms, servers))); got != c.want {
				t.Errorf("counted %d VMs, want %d", got, c.want)
			}
		})
	}
}
