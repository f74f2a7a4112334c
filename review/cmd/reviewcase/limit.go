//go:build review

package main

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

const (
	// limitNamed is the rate that the server names, limitWindow the time over which the rule counts, limitContact is contact-ms, and
	// limitHeard the time after which a VM must heed what it has passed on.
	limitNamed   = 1.0
	limitWindow  = 4 * time.Second
	limitContact = 4 * time.Second
	limitHeard   = 500 * time.Millisecond
	limitWork    = 200 * time.Millisecond
	limitBudget  = 1500 * time.Millisecond
	limitVMs     = 3
	limitLoad    = 140.0
	// After limitBefore the route goes to another service for limitMoved, then back, and the load goes on for limitAfter.
	limitBefore = 8 * time.Second
	limitMoved  = 40 * time.Second
	limitAfter  = 8 * time.Second
)

func init() { cases["limit-after-move"] = limitAfterMove }

// limitAfterMove checks that a server which names a limit gets no more than it takes, when the route has gone to another service for a while
// and comes back.
func limitAfterMove(w *world, trouble bool) ([]string, error) {
	s, err := w.startServer(0, "desk-0", "desk", "north", 16, 16, limitWork)
	if err != nil {
		return nil, err
	}
	s.limit = strconv.FormatFloat(limitNamed, 'f', -1, 64)
	if _, err := w.startServer(1, "desk-1", "desk", "south", 32, 16, limitWork); err != nil {
		return nil, err
	}
	for i, zone := range []string{"north", "south"} {
		if _, err := w.startServer(2+i, "shelf-"+zone, "shelf", zone, 32, 16, limitWork); err != nil {
			return nil, err
		}
	}
	config := func(version int, service string) map[string]any {
		return map[string]any{
			"version": version,
			"routes": []map[string]any{{
				"name": "look", "host": host, "prefix": "/look/", "kind": "safe", "timeout-ms": 1500, "target-latency-ms": 800, "priority": 1,
				"service": service, "max-attempts": 2,
			}},
			"services": []map[string]any{
				{"name": "desk", "health-path": "/healthz", "max-connections": 110, "warmup-s": 3.0, "warmup-per-s": 0.0},
				{"name": "shelf", "health-path": "/healthz", "max-connections": 110, "warmup-s": 3.0, "warmup-per-s": 0.0},
			},
			"tenants": []map[string]any{{"name": "tailors", "api-keys": []string{key}, "priority": 1}},
			"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		}
	}
	if err := w.put("op/config", config(3, "desk")); err != nil {
		return nil, err
	}
	if err := w.startVMs("north", "north", "south"); err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	began := time.Now()
	if trouble {
		time.AfterFunc(limitBefore, func() { _ = w.put("op/config", config(5, "shelf")) })
		time.AfterFunc(limitBefore+limitMoved, func() { _ = w.put("op/config", config(8, "desk")) })
	}
	var next atomic.Int64
	answers := w.load(limitLoad, 1, began.Add(limitBefore+limitMoved+limitAfter), func() answer {
		return w.send(int(next.Add(1))%limitVMs, http.MethodGet, "/look/fold", nil, limitBudget)
	})
	return checkLimit(w, s, answers)
}

// checkLimit returns the times in which a server got more requests than its limit allows, from VMs that had passed on an answer with it.
func checkLimit(w *world, s *server, answers []answer) ([]string, error) {
	statuses := make(map[int]int)
	heard := make(map[int]time.Time)
	vms := make(map[string]int)
	for _, a := range answers {
		statuses[a.status]++
		vms[a.id] = a.vm
		if at := a.sent.Add(a.took); a.body == "done by "+s.id && (heard[a.vm].IsZero() || at.Before(heard[a.vm])) {
			heard[a.vm] = at
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.named.IsZero() || len(heard) == 0 {
		return nil, errors.New("no VM has passed on an answer with the limit")
	}
	var counted []time.Time
	for _, a := range s.arrivals {
		if at := heard[vms[a.id]]; !at.IsZero() && a.at.Sub(at) >= limitHeard && a.at.Sub(s.named) >= limitContact {
			counted = append(counted, a.at)
		}
	}
	allowed := 1.5*limitNamed*limitWindow.Seconds() + 5
	most := 0
	var violations []string
	for i, from := range counted {
		n := 0
		for _, at := range counted[i:] {
			if at.Sub(from) < limitWindow {
				n++
			}
		}
		most = max(most, n)
		if float64(n) > allowed {
			violations = append(violations, fmt.Sprintf("LIMIT: %d requests reached %s in 4 s from %.3f, allowed %v", n, s.id,
				from.Sub(w.began).Seconds(), allowed))
		}
	}
	w.record("statuses %v, requests to the server %d, counted %d, most in 4 s %d", statuses, len(s.arrivals), len(counted), most)
	fmt.Println("statuses", statuses, "requests to the server", len(s.arrivals), "counted", len(counted), "most in 4 s", most, "allowed", allowed)
	return violations, nil
}
