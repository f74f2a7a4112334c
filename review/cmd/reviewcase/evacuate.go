//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	evacuateRate   = 60.0
	evacuateWork   = 10 * time.Millisecond
	evacuateBudget = 1500 * time.Millisecond
	// evacuateBound is the bound evacuation-ms, contactTime is contact-ms.
	evacuateBound = 5 * time.Second
	contactTime   = 4 * time.Second
	// storeAway is how long the store is away, copyAge the age of the copy that it comes back from.
	storeAway = 2 * time.Second
	copyAge   = 5 * time.Second
	// operatorPause is the time between two tries of the operator to write.
	operatorPause = 100 * time.Millisecond
)

func init() { cases["evacuate-after-copy"] = evacuateAfterCopy }

// evacuateAfterCopy checks that a zone gets no requests after evacuation-ms, while the store has come back from a copy just before the
// operator took the zone out of service, which it had been in before.
func evacuateAfterCopy(w *world, trouble bool) ([]string, error) {
	var servers []*server
	for i, zone := range []string{"north", "north", "south", "south"} {
		s, err := w.startServer(i, fmt.Sprintf("desk-%d-%s", i, zone), "desk", zone, 4, 16, evacuateWork)
		if err != nil {
			return nil, err
		}
		servers = append(servers, s)
	}
	config := func(version int) map[string]any {
		return map[string]any{
			"version": version,
			"routes": []map[string]any{{
				"name": "look", "host": host, "prefix": "/look/", "kind": "safe", "timeout-ms": 1500, "target-latency-ms": 250, "priority": 1,
				"service": "desk", "max-attempts": 2,
			}},
			"services": []map[string]any{{"name": "desk", "health-path": "/healthz", "max-connections": 110, "warmup-s": 3.0, "warmup-per-s": 0.0}},
			"tenants":  []map[string]any{{"name": "tailors", "api-keys": []string{key}, "priority": 1}},
			"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		}
	}
	if err := w.put("op/config", config(3)); err != nil {
		return nil, err
	}
	if err := w.startVMs("north", "north", "south"); err != nil {
		return nil, err
	}
	done := make(chan []answer)
	var stop atomic.Bool
	go func() {
		var all []answer
		for !stop.Load() {
			all = append(all, w.load(evacuateRate, 1, time.Now().Add(time.Second), func() answer {
				return w.send(rand.IntN(3), http.MethodGet, "/look/fold", nil, evacuateBudget)
			})...)
		}
		done <- all
	}()
	time.Sleep(2 * time.Second)
	// The zone is taken out of service and back once, in calm.
	if err := w.put("op/evacuate/north", map[string]any{}); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	w.store.Remove("op/evacuate/north")
	w.record("store acknowledges the removal of op/evacuate/north")
	time.Sleep(contactTime)

	saved := w.store.Copy()
	time.Sleep(copyAge - storeAway)
	if err := w.put("op/config", config(5)); err != nil {
		return nil, err
	}
	var away atomic.Bool
	if trouble {
		away.Store(true)
		w.store.Refuse(func(string) bool { return away.Load() })
		w.record("store is away")
		time.AfterFunc(storeAway, func() {
			w.store.Restore(saved)
			away.Store(false)
			w.record("store is back from a copy that is %v old", copyAge)
		})
	}
	// The operator wants the zone out of service from half of the store's absence on, and tries until the store acknowledges that.
	time.Sleep(storeAway / 2)
	for away.Load() {
		time.Sleep(operatorPause)
	}
	if err := w.put("op/evacuate/north", map[string]any{}); err != nil {
		return nil, err
	}
	acknowledged := time.Now()
	if trouble {
		// What the store has lost is written again.
		if err := w.put("op/config", config(5)); err != nil {
			return nil, err
		}
	}
	time.Sleep(evacuateBound + 5*time.Second)
	stop.Store(true)
	answers := <-done
	statuses := make(map[int]int)
	for _, a := range answers {
		statuses[a.status]++
	}
	var violations []string
	last := time.Duration(0)
	early := 0
	for _, s := range servers {
		s.mu.Lock()
		for _, e := range s.runs {
			after := e.arrived.Sub(acknowledged)
			if s.zone != "north" || after < 0 {
				continue
			}
			last = max(last, after)
			if after <= evacuateBound {
				early++
				continue
			}
			violations = append(violations, fmt.Sprintf("EVAC: %s reached %s %.3f s after the evacuation was acknowledged", e.id, s.id, after.Seconds()))
		}
		s.mu.Unlock()
	}
	w.record("statuses %v, last request in the zone %v after the acknowledgement", statuses, last)
	fmt.Println("statuses", statuses, "in the zone before the bound", early, "last after", last)
	return violations, nil
}
