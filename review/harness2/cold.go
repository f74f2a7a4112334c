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

func init() { scenarios["cold-start"] = coldStart }

const (
	coldRate     = 6.0
	coldFor      = 3 * time.Second
	warmOver     = 1.5
	warmSlack    = 5
	crashFor     = 2 * time.Second
	storeDownFor = 4500 * time.Millisecond
	coldRounds   = 2
	// A cold server crashes at a rate well above the one that it names: twice the bound in one second.
	coldBreaks  = 28
	coldClients = 16
	coldPause   = 200 * time.Millisecond
)

// coldStart lets a server crash and start again under its id, cold, while clients send.
func coldStart(b *bench) (string, error) {
	b.config = map[string]any{
		"routes":   []map[string]any{coldRoute()},
		"services": []map[string]any{serviceConfig("inspector-desk", coldRate)},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants":  []map[string]any{{"name": "halls", "api-keys": []string{"k1"}, "priority": 1, "rate-per-s": 0, "burst": 0}},
	}
	if _, err := b.publish(); err != nil {
		return "", err
	}
	work := func(string) time.Duration { return 30 * time.Millisecond }
	var replicas []*replica
	for i := range 2 {
		r, err := b.addReplica(i, fmt.Sprintf("desk-%d", i), "inspector-desk", []string{"north", "south"}[i%2], 4, work)
		if err != nil {
			return "", err
		}
		replicas = append(replicas, r)
	}
	b.addVMs(4, "north", "south")
	if err := b.startAll(); err != nil {
		return "", err
	}
	time.Sleep(contact + 500*time.Millisecond)
	end := time.Now().Add(20 * time.Second)
	var mu sync.Mutex
	byStatus := make(map[int]int)
	var wg sync.WaitGroup
	for i := range coldClients {
		v := b.vms[i%len(b.vms)]
		wg.Go(func() {
			c := b.newCaller(v)
			defer c.close()
			time.Sleep(time.Duration(i) * coldPause / coldClients)
			for n := 0; time.Now().Before(end); n++ {
				began := time.Now()
				a := c.send("POST", "/check/7", fmt.Sprintf("c%d-%d", i, n), "k1", strings.Repeat("b", 300), checkBudget)
				mu.Lock()
				byStatus[a.status]++
				mu.Unlock()
				time.Sleep(coldPause - time.Since(began))
			}
		})
	}
	r := replicas[0]
	r.mu.Lock()
	r.coldLimit = coldBreaks
	r.mu.Unlock()
	for range coldRounds {
		time.Sleep(2 * time.Second)
		if b.trouble {
			if err := b.crashWhileDown(r); err != nil {
				return "", err
			}
		}
		time.Sleep(3 * time.Second)
	}
	wg.Wait()
	if byStatus[http.StatusOK] == 0 {
		return "", errors.New("no request was answered")
	}
	b.log("answers by status, 0 for none: %v; crashes for the load while cold: %d; requests lost in them: %d", byStatus, r.broke, r.unfinished())
	most := r.mostCold()
	bound := coldRate*warmOver + warmSlack
	b.log("most requests to a cold server in a second: %d, bound %.0f", most, bound)
	if float64(most) > bound {
		return fmt.Sprintf("FAILBACK: the cold server %s got %d requests in one second, %.0f are the bound; it crashed %d times for it", r.id, most, bound, r.broke), nil
	}
	return "", nil
}

// coldRoute is the route of requests that may run once.
func coldRoute() map[string]any {
	r := checkRoute("inspector-desk")
	r["kind"] = "unsafe"
	return r
}

// crashWhileDown turns all calls of the store away for a time in which the server crashes and starts again under its id. The server publishes its
// entry as soon as the store serves it.
func (b *bench) crashWhileDown(r *replica) error {
	back := time.Now().Add(storeDownFor)
	b.log("the store is down")
	b.store.Refuse(func(string) bool { return true })
	time.Sleep(200 * time.Millisecond)
	b.log("%s crashes", r.id)
	r.crash()
	time.Sleep(crashFor)
	r.mu.Lock()
	r.born, r.coldUntil = time.Now().UnixMilli(), time.Now().Add(coldFor)
	r.mu.Unlock()
	if err := r.listen(); err != nil {
		return err
	}
	b.log("%s has started again under its id, cold for %v", r.id, coldFor)
	time.Sleep(time.Until(back))
	b.store.Refuse(nil)
	b.log("the store is back")
	return r.publish("ready")
}

// mostCold returns the most requests that reached the server in one second in which it was cold all the while.
func (r *replica) mostCold() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	most := 0
	for i, a := range r.arrivals {
		n := 0
		for _, later := range r.arrivals[i:] {
			if !later.cold || later.at.Sub(a.at) > time.Second {
				break
			}
			n++
		}
		most = max(most, n)
	}
	return most
}

// breaks reports whether the requests of the last second are too many for a cold server. The caller holds the lock.
func (r *replica) breaks(now time.Time) bool {
	if r.coldLimit <= 0 || !now.Before(r.coldUntil) {
		return false
	}
	n := 0
	for i := len(r.arrivals) - 1; i >= 0 && r.arrivals[i].cold && now.Sub(r.arrivals[i].at) < time.Second; i-- {
		n++
	}
	return n > r.coldLimit
}

// breakDown crashes the server for its load, and starts it again, cold, after a while.
func (r *replica) breakDown() {
	r.b.log("%s crashes: it is cold, and got more than %d requests in a second", r.id, r.coldLimit)
	r.crash()
	time.Sleep(crashFor)
	r.mu.Lock()
	r.born, r.coldUntil, r.down = time.Now().UnixMilli(), time.Now().Add(coldFor), false
	r.mu.Unlock()
	if err := r.publish("ready"); err != nil {
		return
	}
	_ = r.listen()
}

// unfinished returns how many requests the server was running when it crashed.
func (r *replica) unfinished() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, x := range r.runs {
		if !x.finished {
			n++
		}
	}
	return n
}
