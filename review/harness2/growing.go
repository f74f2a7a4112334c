//go:build review

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { scenarios["growing"] = growing }

const (
	// memoryBytes is the memory of a machine of the site: a process that exceeds it is killed, and started again after a short delay.
	memoryBytes  = 284 << 20
	restartDelay = 300 * time.Millisecond
	memoryPoll   = 20 * time.Millisecond
	// valueBytes is the most that a value in the store may hold.
	valueBytes = 1 << 20
	// routesMore is how many routes the configuration grows by at once.
	routesMore = 350
	growEach   = 2 * time.Second
	growRun    = 84 * time.Second
	// The rule: on a tenth of the machines, but two at least, processes end by themselves three times in the day.
	faultEnds, faultMachines = 3, 2
	growClients              = 6
	growPause                = 250 * time.Millisecond
	fewestAnswers            = 100
)

// growing lets the configuration grow by many routes, again and again, up to the size that the store takes.
func growing(b *bench) (string, error) {
	b.config = map[string]any{
		"services": []map[string]any{serviceConfig("inspector-desk", 0), serviceConfig("archive-feed", 0)},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants":  []map[string]any{{"name": "halls", "api-keys": []string{"k1"}, "priority": 1, "rate-per-s": 0, "burst": 0}},
	}
	routes := []map[string]any{checkRoute("inspector-desk")}
	b.config["routes"] = routes
	if _, err := b.publish(); err != nil {
		return "", err
	}
	work := func(string) time.Duration { return 20 * time.Millisecond }
	for i, service := range []string{"inspector-desk", "inspector-desk", "archive-feed", "archive-feed"} {
		if _, err := b.addReplica(i, fmt.Sprintf("%s-%d", service, i), service, []string{"north", "south"}[i%2], 4, work); err != nil {
			return "", err
		}
	}
	b.addVMs(3, "north", "south", "east")
	if err := b.startAll(); err != nil {
		return "", err
	}
	for _, v := range b.vms {
		v.settings["firstStart"] = false
	}
	time.Sleep(contact)
	end := time.Now().Add(growRun)
	var wg sync.WaitGroup
	killed := make([]int, len(b.vms))
	peak := make([]int64, len(b.vms))
	for i, v := range b.vms {
		wg.Go(func() { killed[i], peak[i] = b.boundMemory(v, end) })
	}
	var mu sync.Mutex
	byStatus := make(map[int]int)
	for i := range growClients {
		v := b.vms[i%len(b.vms)]
		wg.Go(func() {
			c := b.newCaller(v)
			defer c.close()
			for n := 0; time.Now().Before(end); n++ {
				a := c.send("GET", "/check/7", fmt.Sprintf("c%d-%d", i, n), "k1", "", checkBudget)
				mu.Lock()
				byStatus[a.status]++
				mu.Unlock()
				time.Sleep(growPause)
			}
		})
	}
	for full := false; b.trouble && time.Now().Add(growEach).Before(end); {
		time.Sleep(growEach)
		more := routes
		for range routesMore {
			r := checkRoute([]string{"inspector-desk", "archive-feed"}[len(more)%2])
			r["name"], r["prefix"] = fmt.Sprintf("r-%05d", len(more)), fmt.Sprintf("/more%05d/", len(more))
			more = append(more, r)
		}
		b.config["routes"] = more
		raw, err := json.Marshal(b.config)
		if err != nil {
			return "", err
		}
		if full = full || len(raw) > valueBytes; full {
			// No more routes have room: the operator changes those that are there.
			routes[0]["target-latency-ms"] = 250 + b.serial%2
			b.config["routes"] = routes
		} else {
			routes = more
		}
		if _, err := b.publish(); err != nil {
			return "", err
		}
		b.log("it has %d routes", len(routes))
	}
	wg.Wait()
	b.log("answers by status, 0 for none: %v; processes killed for their memory: %v; most bytes: %v", byStatus, killed, peak)
	if byStatus[http.StatusOK] < fewestAnswers {
		return "", errors.New("too few requests were answered")
	}
	often := 0
	for _, n := range killed {
		if n >= faultEnds {
			often++
		}
	}
	if often >= faultMachines {
		return fmt.Sprintf("Fault: on %d machines, processes ended %d times or more for their memory, with no disturbance: %v; %d requests had no answer",
			often, faultEnds, killed, byStatus[0]), nil
	}
	return "", nil
}

// boundMemory kills the process of a VM when it exceeds the memory of its machine, as the platform does, and starts it again. It returns how often
// it did, and the most bytes that were resident.
func (b *bench) boundMemory(v *vm, end time.Time) (killed int, peak int64) {
	for ; time.Now().Before(end); time.Sleep(memoryPoll) {
		n := residentBytes(v.cmd.Process.Pid)
		peak = max(peak, n)
		if n <= memoryBytes {
			continue
		}
		b.log("%s has %d bytes of memory, more than its machine: the platform kills it", v.name, n)
		v.kill()
		killed++
		time.Sleep(restartDelay)
		if err := b.start(v); err != nil {
			b.log("%s does not start: %v", v.name, err)
			return killed, peak
		}
	}
	return killed, peak
}

// residentBytes returns the resident memory of a process.
func residentBytes(pid int) int64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(raw)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			n, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")), 10, 64)
			return n << 10
		}
	}
	return 0
}
