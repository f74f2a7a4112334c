//go:build review

package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { scenarios["unsigned"] = unsigned }

const (
	// Three of five servers, 0.6 of them, spoil one of 25 answers, 0.04 of them, for 5 s.
	spoilServers = 5
	spoiling     = 3
	spoilOne     = 25
	spoilFor     = 5 * time.Second
	signClients  = 12
)

// unsigned lets servers spoil some answers: these lack the signature and hold other bytes.
func unsigned(b *bench) (string, error) {
	route := checkRoute("inspector-desk")
	book := checkRoute("inspector-desk")
	book["name"], book["prefix"], book["kind"] = "book", "/book/", "unsafe"
	b.config = map[string]any{
		"routes":   []map[string]any{route, book},
		"services": []map[string]any{serviceConfig("inspector-desk", 0)},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants":  []map[string]any{{"name": "halls", "api-keys": []string{"k1"}, "priority": 1, "rate-per-s": 0, "burst": 0}},
	}
	if _, err := b.publish(); err != nil {
		return "", err
	}
	work := func(string) time.Duration { return 60 * time.Millisecond }
	var replicas []*replica
	for i := range spoilServers {
		r, err := b.addReplica(i, fmt.Sprintf("inspector-%d", i), "inspector-desk", []string{"north", "south"}[i%2], 4, work)
		if err != nil {
			return "", err
		}
		replicas = append(replicas, r)
	}
	b.addVMs(3, "north", "south", "east")
	if err := b.startAll(); err != nil {
		return "", err
	}
	time.Sleep(contact)
	if b.trouble {
		b.log("%d of %d servers spoil one of %d answers", spoiling, spoilServers, spoilOne)
		for _, r := range replicas[:spoiling] {
			r.setSpoiling(spoilOne)
			time.AfterFunc(spoilFor, func() { r.setSpoiling(0) })
		}
	}
	end := time.Now().Add(7 * time.Second)
	var mu sync.Mutex
	var all []attempt
	var wg sync.WaitGroup
	for i := range signClients {
		v := b.vms[i%len(b.vms)]
		wg.Go(func() {
			c := b.newCaller(v)
			defer c.close()
			for n := 0; time.Now().Before(end); n++ {
				method, path, body := "GET", "/check/7", ""
				if i%2 == 0 {
					method, path, body = "POST", "/book/7", strings.Repeat("b", 300)
				}
				a := c.send(method, path, fmt.Sprintf("c%d-%d", i, n), "k1", body, checkBudget)
				mu.Lock()
				all = append(all, a)
				mu.Unlock()
				time.Sleep(40 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	broken, answered := 0, 0
	byStatus := make(map[int]int)
	for _, a := range all {
		byStatus[a.status]++
		if a.err != nil || a.status < http.StatusOK || a.status >= http.StatusMultipleChoices {
			continue
		}
		if signed := a.header.Get("X-Response-Signature"); signed == signature(a.id, "inspector-desk") {
			answered++
			continue
		}
		b.log("%s got a success %d without the server's signature", a.id, a.status)
		broken++
	}
	b.log("%d requests, answers by status %v, %d signed successes, %d successes without a signature", len(all), byStatus, answered, broken)
	if answered == 0 {
		return "", errors.New("no request was answered")
	}
	if broken > 0 {
		return fmt.Sprintf("MIXED: %d successes (2xx) without the server's signature reached clients", broken), nil
	}
	return "", nil
}

func (r *replica) setSpoiling(one int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.spoilOne = one
}
