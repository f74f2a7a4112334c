//go:build review

package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync/atomic"
	"time"
)

// The load and the disruption of lateSecondRefusal: requests come in bursts, one at each VM, of which the server of their service turns
// away one or two at first. Several times, for extraTime each, it sends a second copy of extraShare of its answers, late.
const (
	refusalBursts = 20.0
	refusalVMs    = 6
	refusalWork   = 6 * time.Millisecond
	refusalBudget = 1500 * time.Millisecond
	extraTime     = 5 * time.Second
	extraShare    = 0.04
	extraTimes    = 4
	extraPause    = 2 * time.Second
)

func init() { cases["late-second-refusal"] = lateSecondRefusal }

// lateSecondRefusal checks that requests that may run once run once, while servers that are full send some answers a second time, late.
func lateSecondRefusal(w *world, trouble bool) ([]string, error) {
	// Two services with one server each, one of which, half of the servers, is disturbed.
	desk, err := w.startServer(0, "desk-0", "desk", "north", 4, 1, refusalWork)
	if err != nil {
		return nil, err
	}
	shelf, err := w.startServer(1, "shelf-0", "shelf", "north", 4, 1, refusalWork)
	if err != nil {
		return nil, err
	}
	servers := []*server{desk, shelf}
	if err := w.put("op/config", map[string]any{
		"version": 3,
		"routes": []map[string]any{
			{
				"name": "book", "host": host, "prefix": "/book/", "kind": "unsafe", "timeout-ms": 1500, "target-latency-ms": 250, "priority": 1,
				"service": "desk", "max-attempts": 2,
			},
			{
				"name": "look", "host": host, "prefix": "/look/", "kind": "safe", "timeout-ms": 1500, "target-latency-ms": 250, "priority": 1,
				"service": "shelf", "max-attempts": 2,
			},
		},
		"services": []map[string]any{
			{"name": "desk", "health-path": "/healthz", "max-connections": 110, "warmup-s": 3.0, "warmup-per-s": 0.0},
			{"name": "shelf", "health-path": "/healthz", "max-connections": 110, "warmup-s": 3.0, "warmup-per-s": 0.0},
		},
		"tenants": []map[string]any{{"name": "tailors", "api-keys": []string{key}, "priority": 1}},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}); err != nil {
		return nil, err
	}
	if err := w.startVMs(slices.Repeat([]string{"north"}, refusalVMs)...); err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	if trouble {
		for i := range extraTimes {
			time.AfterFunc(extraPause+time.Duration(i)*(extraTime+extraPause), func() {
				w.record("server %s begins to send some answers twice", desk.id)
				desk.mu.Lock()
				desk.extraUntil, desk.extraShare = time.Now().Add(extraTime), extraShare
				desk.mu.Unlock()
			})
		}
	}
	var next atomic.Int64
	answers := w.load(refusalBursts, refusalVMs, time.Now().Add((extraTimes+1)*(extraTime+extraPause)-extraTime), func() answer {
		n := int(next.Add(1))
		if n%50 == 0 {
			w.send(n%refusalVMs, http.MethodGet, "/look/fold", nil, refusalBudget)
		}
		return w.send(n%refusalVMs, http.MethodPost, "/book/fold", []byte(`{"fold":"two-peak"}`), refusalBudget)
	})
	time.Sleep(refusalBudget)
	runs := executions(servers)
	statuses := make(map[int]int)
	var violations []string
	for _, a := range answers {
		statuses[a.status]++
		n := runs[a.id]
		if len(n) > 1 {
			violations = append(violations, fmt.Sprintf("TWICE: %s ran %d times: %v", a.id, len(n), n))
		}
		switch a.status {
		case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			if len(n) > 0 {
				violations = append(violations, fmt.Sprintf("REFUSED: %s got status %d and ran: %v", a.id, a.status, n))
			}
		}
	}
	w.record("statuses %v, answers sent twice %d", statuses, desk.extras)
	fmt.Println("statuses", statuses, "requests run", len(runs), "second answers", desk.extras)
	return violations, nil
}
