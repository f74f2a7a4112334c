//go:build review

package main

import (
	"net/http"
	"sync"
	"time"
)

const (
	// The quota of the team whose entry in the configuration is taken out by mistake and put back.
	smallRate, largeBurst = 5.0, 100.0
	// fillTime is how long the team is quiet before.
	fillTime = 22 * time.Second
	// outTime is how long a configuration without the team is in force.
	outTime = 600 * time.Millisecond
)

// runRollback lets a team use its burst while the operator publishes a configuration without the team and takes that back.
func runRollback(b *bench) bool {
	f := newFleet(b)
	f.addServer("a", "single", "north", 101, 16)
	f.addServer("b", "single", "south", 102, 16)
	other := map[string]any{"name": "halls", "api-keys": []string{revokedKey}}
	team := map[string]any{"name": "tailors", "api-keys": []string{keptKey}, "rate-per-s": smallRate, "burst": largeBurst}
	f.config = map[string]any{
		"routes": []map[string]any{{
			"name": "one", "host": hostName, "prefix": "/one/", "kind": "safe", "timeout-ms": 2000, "target-latency-ms": 300, "service": "single",
			"max-attempts": 1,
		}},
		"services": []map[string]any{{"name": "single", "health-path": "/healthz", "max-connections": 200}},
		"tenants":  []map[string]any{team, other},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 100000, "header-timeout-ms": 5000, "idle-timeout-ms": 30000},
	}
	f.publish("a quota")
	for i := range 3 {
		f.addVM(i, []string{"north", "south", "east"}[i%3])
	}
	f.waitReady()
	time.Sleep(fillTime)
	from := time.Now()
	var wg sync.WaitGroup
	counts := make(map[int]int)
	var mu sync.Mutex
	for _, v := range f.vms {
		wg.Add(1)
		go func() {
			defer wg.Done()
			tick := time.NewTicker(time.Second / 100)
			defer tick.Stop()
			for time.Since(from) < 7*time.Second {
				<-tick.C
				wg.Add(1)
				go func() {
					defer wg.Done()
					a := send(v, http.MethodGet, "/one/x", keptKey, time.Second)
					mu.Lock()
					counts[a.status]++
					mu.Unlock()
				}()
			}
		}()
	}
	time.Sleep(time.Second)
	if b.trouble {
		f.config["tenants"] = []map[string]any{other}
		f.publish("the team is left out")
		time.Sleep(outTime)
		f.config["tenants"] = []map[string]any{team, other}
		f.publish("the team is back")
	}
	wg.Wait()
	b.note("answers by status: %v", counts)
	starts := f.ledger.StartTimes("tailors")
	most := 0
	for i := range starts {
		n := 0
		for _, at := range starts[i:] {
			if at.Sub(starts[i]) < quotaWindow {
				n++
			}
		}
		most = max(most, n)
	}
	allowed := (smallRate*quotaWindow.Seconds()+largeBurst)*(1+quotaOvershoot) + quotaSlack
	b.note("most requests of the team that ran in %v: %d, allowed: %v", quotaWindow, most, allowed)
	return float64(most) > allowed
}
