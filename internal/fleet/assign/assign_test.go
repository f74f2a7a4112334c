package assign_test

import (
	"slices"
	"testing"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/conf/schema"
	"kumquatreel.example/kumquatreel/internal/fleet/assign"
	"kumquatreel.example/kumquatreel/internal/stand/sample"
)

// choose returns the addresses for team0 after a change to the documents.
func choose(t *testing.T, change func(*schema.Text, *schema.VMListText), state assign.State) []string {
	t.Helper()
	d := sample.Registry(9000)
	doc, list := d.Document(), d.List()
	change(&doc, &list)
	c, err := schema.Parse(1, []byte(sample.Text(doc)))
	if err != nil {
		t.Fatal(err)
	}
	vms, err := schema.ParseVMs(1, []byte(sample.Text(list)))
	if err != nil {
		t.Fatal(err)
	}
	return assign.Choose(c, vms, "team0", state)
}

func noChange(*schema.Text, *schema.VMListText) {}

var allAvailable = assign.State{
	Available: func(ident.VM) bool { return true },
	Ready:     func(ident.VM) bool { return true },
	Load:      func(ident.VM) float64 { return 0 },
}

func assertLacks(t *testing.T, addresses []string, address string) {
	t.Helper()
	if len(addresses) != 3 || slices.Contains(addresses, address) {
		t.Errorf("addresses are %v, want 3 without %s", addresses, address)
	}
}

func TestChoose(t *testing.T) {
	first := choose(t, noChange, allAvailable)[0]
	t.Run("a team gets the same addresses", func(t *testing.T) {
		if again := choose(t, noChange, allAvailable)[0]; again != first {
			t.Errorf("first address was %s, then %s for the same team", first, again)
		}
	})
	t.Run("without leaving VMs", func(t *testing.T) {
		assertLacks(t, choose(t, func(_ *schema.Text, l *schema.VMListText) {
			for i := range l.VMs {
				if l.VMs[i].Client == first {
					l.VMs[i].State = schema.VMLeaving
				}
			}
		}, allAvailable), first)
	})
	t.Run("without VMs of a domain that is out", func(t *testing.T) {
		assertLacks(t, choose(t, func(d *schema.Text, l *schema.VMListText) {
			for _, vm := range l.VMs {
				if vm.Client == first {
					d.Domains[vm.Domain] = schema.DomainOut
				}
			}
		}, allAvailable), first)
	})
	t.Run("without VMs that are not ready", func(t *testing.T) {
		notReady := allAvailable
		notReady.Ready = func(vm ident.VM) bool { return vmName(first) != vm }
		assertLacks(t, choose(t, noChange, notReady), first)
	})
	t.Run("without busy VMs while there are idle ones", func(t *testing.T) {
		busy := allAvailable
		busy.Load = func(vm ident.VM) float64 {
			if vmName(first) == vm {
				return 0.9
			}
			return 0
		}
		assertLacks(t, choose(t, noChange, busy), first)
	})
}

// vmName returns the VM with the given client address.
func vmName(client string) ident.VM {
	for _, v := range sample.Registry(9000).List().VMs {
		if v.Client == client {
			return v.Name
		}
	}
	return ""
}
