//go:build review

package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

func init() { scenarios["one-way"] = oneWay }

// cutFor is the length of a cut.
const cutFor = 5500 * time.Millisecond

// oneWay cuts what one VM sends to the other VMs, while it reaches the store and hears the others, and lets the operator move a route and withdraw
// a key meanwhile.
func oneWay(b *bench) (string, error) {
	b.config = map[string]any{
		"routes":   []map[string]any{checkRoute("inspector-desk")},
		"services": []map[string]any{serviceConfig("inspector-desk", 0), serviceConfig("archive-feed", 0)},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants":  []map[string]any{{"name": "halls", "api-keys": []string{"k1", "k2"}, "priority": 1, "rate-per-s": 0, "burst": 0}},
	}
	if _, err := b.publish(); err != nil {
		return "", err
	}
	work := func(string) time.Duration { return 20 * time.Millisecond }
	replicas := make(map[string][]*replica)
	for i, service := range []string{"inspector-desk", "inspector-desk", "archive-feed", "archive-feed"} {
		r, err := b.addReplica(i, fmt.Sprintf("%s-%d", service, i), service, []string{"north", "south"}[i%2], 4, work)
		if err != nil {
			return "", err
		}
		replicas[service] = append(replicas[service], r)
	}
	b.addVMs(5, "north", "south", "east")
	m, err := b.newMesh()
	if err != nil {
		return "", err
	}
	if err := b.startAll(); err != nil {
		return "", err
	}
	time.Sleep(contact + 2*time.Second)
	others := b.nonWatchers()
	if len(others) == 0 {
		return "", errors.New("all VMs watch the store")
	}
	n := others[0]
	v := b.vms[n]
	if b.trouble {
		b.log("what %s sends to the other VMs is cut for %v; it hears them, and reaches the store", v.name, cutFor)
		m.cutFrom(n, true)
		time.AfterFunc(cutFor, func() {
			b.log("the cut has ended")
			m.cutFrom(n, false)
		})
	}
	time.Sleep(200 * time.Millisecond)
	b.config["routes"] = []map[string]any{checkRoute("archive-feed")}
	b.config["tenants"] = []map[string]any{{"name": "halls", "api-keys": []string{"k1"}, "priority": 1, "rate-per-s": 0, "burst": 0}}
	acked, err := b.publish()
	if err != nil {
		return "", err
	}
	stale := map[string]int{}
	asked, c := 0, b.newCaller(v)
	defer c.close()
	for i := 0; time.Since(acked) < 9*time.Second; i++ {
		a := c.send("GET", "/check/1", fmt.Sprintf("moved-%d", i), "k1", "", checkBudget)
		old := c.send("GET", "/check/1", fmt.Sprintf("dropped-%d", i), "k2", "", checkBudget)
		asked++
		if late := a.sent.Sub(acked); late > configApply && ranAt(replicas["inspector-desk"], a.id) {
			b.log("stale: %s, sent %v after the acknowledgement, was run by the old service", a.id, late.Round(time.Millisecond))
			stale["run by the old service"]++
		}
		if late := old.sent.Sub(acked); late > configApply && old.status == http.StatusOK {
			b.log("stale: %s, sent %v after the acknowledgement, was run with the dropped key", old.id, late.Round(time.Millisecond))
			stale["run with the dropped key"]++
		}
		time.Sleep(200 * time.Millisecond)
	}
	if !v.ready() || asked == 0 {
		return "", errors.New("the VM does not serve")
	}
	last := c.send("GET", "/check/1", "last", "k1", "", checkBudget)
	if !ranAt(replicas["archive-feed"], last.id) {
		return "", errors.New("the new configuration is not in force in the end")
	}
	if len(stale) > 0 {
		return fmt.Sprintf("CONFIG: requests sent to %s later than %v after the acknowledgement: %v", v.name, configApply, stale), nil
	}
	return "", nil
}
