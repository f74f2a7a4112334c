//go:build review

package main

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

func init() { scenarios["silent"] = silent }

const (
	// keepAlive is when a VM notices a silent connection to the store by probes: after one second without a byte, and two probes of one second.
	keepAlive = 3 * time.Second
	// storm is how often the operator changes the configuration.
	stormGap     = 330 * time.Millisecond
	stormChanges = 12
	silentVMs    = 9
	// Requests are sent from askAfter to askUntil after the acknowledgement.
	askAfter, askUntil = 2500 * time.Millisecond, 8 * time.Second
)

// silent lets all open connections between VMs and to the store go silent while the operator changes the configuration.
func silent(b *bench) (string, error) {
	keys := []string{"k0"}
	set := func(service string, timeout int, keys []string) {
		r := checkRoute(service)
		r["timeout-ms"] = timeout
		b.config["routes"] = []map[string]any{r}
		b.config["tenants"] = []map[string]any{{"name": "halls", "api-keys": keys, "priority": 1, "rate-per-s": 0, "burst": 0}}
	}
	b.config["services"] = []map[string]any{serviceConfig("inspector-desk", 0), serviceConfig("archive-feed", 0)}
	b.config["limits"] = map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000}
	set("inspector-desk", 1500, append(keys, "dropped"))
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
	b.addVMs(silentVMs, "north", "south", "east")
	m, err := b.newMesh()
	if err != nil {
		return "", err
	}
	if err := m.relayStore(); err != nil {
		return "", err
	}
	if err := b.startAll(); err != nil {
		return "", err
	}
	time.Sleep(contact + 2*time.Second)
	b.log("VMs that do not watch the store: %v", b.nonWatchers())
	// Configurations come in quick succession; the last one moves the route and drops a key.
	for i := range stormChanges {
		set("inspector-desk", 1501+i, append(keys, "dropped"))
		if _, err := b.publish(); err != nil {
			return "", err
		}
		time.Sleep(stormGap)
	}
	silentAt := time.Now()
	if b.trouble {
		m.silence(keepAlive)
		b.log("all open connections between VMs and to the store are silent; new ones work")
	}
	time.Sleep(100 * time.Millisecond)
	set("archive-feed", 1500, keys)
	acked, err := b.publish()
	if err != nil {
		return "", err
	}
	time.Sleep(askAfter)
	var mu sync.Mutex
	stale := make(map[string]int)
	applied := make(map[string]time.Duration)
	var wg sync.WaitGroup
	for _, v := range b.vms {
		wg.Go(func() {
			c := b.newCaller(v)
			defer c.close()
			for i := 0; time.Since(acked) < askUntil; i++ {
				a := c.send("GET", "/check/1", fmt.Sprintf("moved-%s-%d", v.name, i), "k0", "", checkBudget)
				old := c.send("GET", "/check/1", fmt.Sprintf("dropped-%s-%d", v.name, i), "dropped", "", checkBudget)
				mu.Lock()
				if ranAt(replicas["archive-feed"], a.id) && applied[v.name] == 0 {
					applied[v.name] = a.sent.Sub(acked)
				}
				// A silence counts as a reset of the connections of all VMs, which are in touch again after the contact time.
				if bad := b.late(a, acked, silentAt) && ranAt(replicas["inspector-desk"], a.id); bad {
					b.log("stale: %s, sent %v after the acknowledgement and %v after the silence began, was run by the old service",
						a.id, ms(a.sent.Sub(acked)), ms(a.sent.Sub(silentAt)))
					stale["run by the old service at "+v.name]++
				}
				if bad := b.late(old, acked, silentAt) && old.status == http.StatusOK; bad {
					b.log("stale: %s, sent %v after the acknowledgement and %v after the silence began, was run with the dropped key",
						old.id, ms(old.sent.Sub(acked)), ms(old.sent.Sub(silentAt)))
					stale["run with the dropped key at "+v.name]++
				}
				mu.Unlock()
				time.Sleep(40 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	b.log("the new configuration was first seen in force after its acknowledgement at: %v", applied)
	if len(applied) < len(b.vms) {
		return "", errors.New("the new configuration is not in force everywhere in the end")
	}
	if len(stale) > 0 {
		var texts []string
		for what, n := range stale {
			texts = append(texts, fmt.Sprintf("%d %s", n, what))
		}
		slices.Sort(texts)
		return fmt.Sprintf("CONFIG: requests sent later than %v after the acknowledgement, to VMs in touch: %s", configApply, strings.Join(texts, ", ")), nil
	}
	return "", nil
}

// late reports whether a request was sent when its VM was in touch and the bound for a configuration had passed.
func (b *bench) late(a attempt, acked, silentAt time.Time) bool {
	return a.sent.Sub(acked) > configApply && (!b.trouble || a.sent.Sub(silentAt) > contact)
}
