//go:build review

package main

import (
	"net/http"
	"sync"
	"time"
)

// The bounds of the site file that the cases use.
const (
	contact     = 4 * time.Second
	configApply = 3 * time.Second
	// margin is for the clocks and the scheduling of this machine; the check is later than the bound by it.
	margin = 100 * time.Millisecond
)

const (
	keptKey    = "key-of-tailors"
	revokedKey = "key-of-halls"
)

// newStaleFleet starts a fleet with one service, whose configuration gives keys to two teams.
func newStaleFleet(b *bench, vms int) *fleet {
	f := newFleet(b)
	f.addServer("a", "single", "north", 101, 4)
	f.addServer("b", "single", "south", 102, 4)
	f.config = map[string]any{
		"routes": []map[string]any{{
			"name": "one", "host": hostName, "prefix": "/one/", "kind": "safe", "timeout-ms": 2000, "target-latency-ms": 500, "service": "single",
			"max-attempts": 2,
		}},
		"services": []map[string]any{{"name": "single", "health-path": "/healthz", "max-connections": 60}},
		"tenants": []map[string]any{
			{"name": "tailors", "api-keys": []string{keptKey}}, {"name": "halls", "api-keys": []string{revokedKey}},
		},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 100000, "header-timeout-ms": 5000, "idle-timeout-ms": 30000},
	}
	f.publish("two keys")
	zones := []string{"north", "south", "east"}
	for i := range vms {
		f.addVM(i, zones[i%len(zones)])
	}
	f.waitReady()
	return f
}

// revoke publishes a configuration without the key of one team.
func (f *fleet) revoke() time.Time {
	f.config["tenants"] = []map[string]any{
		{"name": "tailors", "api-keys": []string{keptKey}}, {"name": "halls", "api-keys": []string{}},
	}
	return f.publish("the key of halls is withdrawn")
}

// checkRevoked sends requests with the withdrawn key to VMs from one instant to another, and returns how many ran.
func (f *fleet) checkRevoked(vms []*vm, from, to time.Time) int {
	time.Sleep(time.Until(from))
	f.b.note("requests with the withdrawn key begin, at %s", names(vms))
	var mu sync.Mutex
	var wg sync.WaitGroup
	broken := 0
	for _, v := range vms {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for ; time.Now().Before(to); time.Sleep(50 * time.Millisecond) {
				a := send(v, http.MethodGet, "/one/x", revokedKey, time.Second)
				runs := len(f.ledger.Runs(a.id))
				f.b.note("%s %s sent at %.3f: status %d, error %v, ran %d times", a.id, a.vm, a.sent.Sub(f.b.start).Seconds(), a.status, a.err, runs)
				if runs > 0 {
					mu.Lock()
					broken++
					mu.Unlock()
				}
			}
		}()
	}
	wg.Wait()
	return broken
}

// without returns the VMs that are not among others.
func without(vms, others []*vm) []*vm {
	var out []*vm
next:
	for _, v := range vms {
		for _, o := range others {
			if v == o {
				continue next
			}
		}
		out = append(out, v)
	}
	return out
}

// runCut cuts the VMs that watch the store from it, silently, and then withdraws a key. The others are in touch all the while.
func runCut(b *bench) bool {
	f := newStaleFleet(b, 9)
	time.Sleep(contact)
	f.publish("no change of keys")
	time.Sleep(400 * time.Millisecond)
	watchers := f.watchers()
	b.note("the store is watched by %s", names(watchers))
	if len(watchers) == 0 || len(watchers) > 3 {
		panic("it is not known which VMs watch the store")
	}
	if b.trouble {
		for _, v := range watchers {
			v.store.cut.Store(true)
		}
		b.note("cut from the store: %s", names(watchers))
	}
	time.Sleep(100 * time.Millisecond)
	acked := f.revoke()
	broken := f.checkRevoked(without(f.vms, watchers), acked.Add(configApply+margin), acked.Add(configApply+4*time.Second))
	f.noteLogs("DATA RACE", "panic", "fatal", "watching the store", "watch the store", "cannot be read", "configuration in force")
	b.note("requests with the withdrawn key that ran: %d", broken)
	return broken > 0
}
