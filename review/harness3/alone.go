//go:build review

package main

import (
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The quota of the team, and the bounds of the rule.
const (
	quotaRate, quotaBurst      = 20.0, 20.0
	quotaWindow                = 5 * time.Second
	quotaOvershoot, quotaSlack = 0.25, 20.0
	// pressPerVM is how many requests a second the team sends to each VM.
	pressPerVM  = 30
	pressedTime = 12 * time.Second
)

// runAlone lets all machines lose power. Those that the seeds name stay down, the others start again; a minute later one team asks for more than its
// quota at all of them.
func runAlone(b *bench) bool {
	f := newFleet(b)
	f.addServer("a", "single", "north", 101, 16)
	f.addServer("b", "single", "south", 102, 16)
	f.config = map[string]any{
		"routes": []map[string]any{{
			"name": "one", "host": hostName, "prefix": "/one/", "kind": "safe", "timeout-ms": 2000, "target-latency-ms": 300, "service": "single",
			"max-attempts": 1,
		}},
		"services": []map[string]any{{"name": "single", "health-path": "/healthz", "max-connections": 400}},
		"tenants": []map[string]any{
			{"name": "tailors", "api-keys": []string{keptKey}, "rate-per-s": quotaRate, "burst": quotaBurst},
		},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 100000, "header-timeout-ms": 5000, "idle-timeout-ms": 30000},
	}
	f.publish("a quota")
	for i := range 9 {
		f.addVM(i, []string{"north", "south", "east"}[i%3])
	}
	f.waitReady()
	time.Sleep(contact)
	if b.trouble {
		for _, v := range f.vms {
			_ = v.process.Process.Signal(syscall.SIGKILL)
		}
		for _, v := range f.vms {
			<-v.exited
		}
		b.note("all machines have lost power; %s stay down", names(f.vms[:3]))
		f.vms = f.vms[3:]
		time.Sleep(time.Second)
		for _, v := range f.vms {
			f.writeSettings(v, false)
			f.startProcess(v)
		}
		f.waitReady()
	}
	time.Sleep(aloneTime)
	from := time.Now()
	b.note("the team asks for %d requests a second at each VM, its rate is %v", pressPerVM, quotaRate)
	var wg sync.WaitGroup
	var ok, refused, other atomic.Int64
	for _, v := range f.vms {
		wg.Add(1)
		go func() {
			defer wg.Done()
			tick := time.NewTicker(time.Second / pressPerVM)
			defer tick.Stop()
			for time.Since(from) < pressedTime {
				<-tick.C
				wg.Add(1)
				go func() {
					defer wg.Done()
					switch a := send(v, http.MethodGet, "/one/x", keptKey, time.Second); {
					case a.err == nil && a.status == http.StatusOK:
						ok.Add(1)
					case a.err == nil && a.status == http.StatusTooManyRequests:
						refused.Add(1)
					default:
						other.Add(1)
					}
				}()
			}
		}()
	}
	wg.Wait()
	f.noteLogs("part of fleet-wide limits has changed", "directory has changed")
	b.note("answered %d, refused with 429 %d, other %d", ok.Load(), refused.Load(), other.Load())
	most := 0
	starts := f.ledger.StartTimes("tailors")
	for i := range starts {
		n := 0
		for _, at := range starts[i:] {
			if at.Sub(starts[i]) < quotaWindow {
				n++
			}
		}
		most = max(most, n)
	}
	allowed := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOvershoot) + quotaSlack
	b.note("most requests of the team that ran in %v: %d, allowed: %v", quotaWindow, most, allowed)
	return float64(most) > allowed
}

// aloneTime is the time between the restart and the load.
const aloneTime = 63 * time.Second
