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

func init() { scenarios["refused"] = refused }

const (
	// One of two requests at two of five servers fails for 9 s.
	greyServers = 5
	greyOne     = 2
	greyFailing = 2
	greyFor     = 9 * time.Second
	bookClients = 8
	bookRetries = 1
)

// refused lets a server fail part of the requests that it has run, with status 503 and without saying that it has not run them.
func refused(b *bench) (string, error) {
	b.config = map[string]any{
		"routes": []map[string]any{{
			"name": "book", "host": hostName, "prefix": "/book/", "kind": "unsafe", "timeout-ms": checkBudget.Milliseconds(),
			"target-latency-ms": 250, "priority": 2, "service": "inspector-desk", "max-attempts": 2, "allow-anonymous": false,
		}},
		"services": []map[string]any{serviceConfig("inspector-desk", 0)},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants":  []map[string]any{{"name": "halls", "api-keys": []string{"k1"}, "priority": 1, "rate-per-s": 0, "burst": 0}},
	}
	if _, err := b.publish(); err != nil {
		return "", err
	}
	work := func(string) time.Duration { return 60 * time.Millisecond }
	var replicas []*replica
	for i := range greyServers {
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
		for _, r := range replicas[:greyFailing] {
			r.setFailing(greyOne)
			b.log("%s fails one of %d requests that it runs, with status 503", r.id, greyOne)
			time.AfterFunc(greyFor, func() { r.setFailing(0) })
		}
	}
	end := time.Now().Add(10 * time.Second)
	var mu sync.Mutex
	var all []attempt
	twice := 0
	var wg sync.WaitGroup
	for i := range bookClients {
		v := b.vms[i%len(b.vms)]
		wg.Go(func() {
			c := b.newCaller(v)
			defer c.close()
			for n := 0; time.Now().Before(end); n++ {
				ran := 0
				// A client sends a request that may run once again only after the promise that it has not run, on a new connection.
				for try := range 1 + bookRetries {
					a := c.send("POST", "/book/7", fmt.Sprintf("c%d-%d.%d", i, n, try), "k1", strings.Repeat("b", 300), checkBudget)
					mu.Lock()
					all = append(all, a)
					mu.Unlock()
					if ranAt(replicas, a.id) {
						ran++
					}
					if a.status != http.StatusServiceUnavailable {
						break
					}
					c.close()
				}
				if ran > 1 {
					mu.Lock()
					twice++
					mu.Unlock()
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	broken, answered := 0, 0
	for _, a := range all {
		if a.status == http.StatusOK {
			answered++
		}
		if promises(a.status) && ranAt(replicas, a.id) {
			b.log("%s was answered %d, which promises that it has not run, and has run", a.id, a.status)
			broken++
		}
	}
	b.log("%d requests, %d answered with success, %d told not to have run though they had, %d pieces of work done twice", len(all), answered, broken, twice)
	if answered == 0 {
		return "", errors.New("no request was answered")
	}
	if broken > 0 {
		return fmt.Sprintf("REFUSED: %d requests that have run were answered 503; %d pieces of work were done twice", broken, twice), nil
	}
	return "", nil
}

// promises reports whether a status promises that the request has not run.
func promises(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

func (r *replica) setFailing(one int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failOne, r.failStatus = one, http.StatusServiceUnavailable
}
