//go:build review

package main

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"
)

func init() { scenarios["coldstart"] = coldstart }

const (
	// A cold server tolerates coldRate requests per second. What it gets in one second may be one and a half times that, and 5.
	coldRate  = 20
	coldBound = coldRate*3/2 + 5
	coldTime  = 3 * time.Second
	// It crashes above coldCrash requests in a second, twice what the rule allows.
	coldCrash = 2 * coldBound
	// The store turns all calls away for outage. The servers crash crashAfter it began, and start again after crashFor.
	outage     = 4500 * time.Millisecond
	crashAfter = 500 * time.Millisecond
	crashFor   = 2 * time.Second
	// A server that starts registers first, tries again with each heartbeat, and serves after bootTime.
	heartbeat   = 1200 * time.Millisecond
	bootTime    = 300 * time.Millisecond
	coldVMs     = 5
	coldClients = 30
	coldPace    = 100 * time.Millisecond
)

// coldstart lets the servers of a service crash and start again, cold, while the store is away: they can't register until it is back.
func coldstart(b *bench) (string, error) {
	b.config = map[string]any{
		"routes":   []map[string]any{checkRoute("inspector-desk")},
		"services": []map[string]any{serviceConfig("inspector-desk", coldRate)},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants":  []map[string]any{{"name": "halls", "api-keys": []string{"k1"}, "priority": 1, "rate-per-s": 0, "burst": 0}},
	}
	if _, err := b.publish(); err != nil {
		return "", err
	}
	work := func(string) time.Duration { return 10 * time.Millisecond }
	var replicas []*replica
	for i := range 2 {
		r, err := b.addReplica(i, fmt.Sprintf("inspector-%d", i), "inspector-desk", []string{"north", "south"}[i%2], 4, work)
		if err != nil {
			return "", err
		}
		replicas = append(replicas, r)
	}
	b.addVMs(coldVMs, "north", "south", "east")
	if err := b.startAll(); err != nil {
		return "", err
	}
	time.Sleep(contact)
	stop := make(chan struct{})
	sent := b.askAll(stop)
	time.Sleep(contact)
	back := time.Now()
	if b.trouble {
		back = back.Add(outage)
		b.log("the store turns all calls away for %v", outage)
		b.store.Refuse(func(string) bool { return true })
		time.AfterFunc(outage, func() {
			b.store.Refuse(nil)
			b.log("the store is back")
		})
	}
	time.Sleep(crashAfter)
	for _, r := range replicas {
		b.log("%s crashes", r.id)
		r.crash()
	}
	time.Sleep(crashFor)
	var wg, again sync.WaitGroup
	failed := make(chan error, len(replicas))
	for _, r := range replicas {
		r.crashIfOverloaded(&again, back)
		wg.Go(func() { failed <- r.startCold(back) })
	}
	wg.Wait()
	for range replicas {
		if err := <-failed; err != nil {
			return "", err
		}
	}
	time.Sleep(coldTime + time.Second)
	close(stop)
	again.Wait()
	times := sent()
	most, which := 0, ""
	for _, r := range replicas {
		n := r.mostCold(times)
		b.log("%s got up to %d requests in a second while it was cold, %d allowed; %d requests ended with their connections while they ran",
			r.id, n, coldBound, r.dropped)
		if n > most {
			most, which = n, r.id
		}
	}
	if most == 0 {
		return "", errors.New("no cold server got a request")
	}
	if most > coldBound {
		return fmt.Sprintf("FAILBACK: %s got %d requests in a second while it was cold, %d allowed", which, most, coldBound), nil
	}
	return "", nil
}

// crashIfOverloaded lets the server crash once more, and start again, when it gets far more than it tolerates while it is cold.
func (r *replica) crashIfOverloaded(wg *sync.WaitGroup, back time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashAbove = coldCrash
	wg.Add(1)
	over := sync.OnceFunc(wg.Done)
	r.overloaded = func() {
		defer over()
		r.b.log("%s crashes: more than %d requests in a second while it is cold", r.id, coldCrash)
		r.crash()
		time.Sleep(crashFor)
		if err := r.startCold(back); err != nil {
			r.b.log("%s does not start: %v", r.id, err)
		}
	}
	time.AfterFunc(coldTime+outage, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.overloaded != nil {
			r.overloaded = nil
			over()
		}
	})
}

// startCold starts a crashed server again under its id, cold. It returns when the server has said so in the store, which takes calls from back on.
func (r *replica) startCold(back time.Time) error {
	r.mu.Lock()
	r.born, r.coldUntil = time.Now().UnixMilli(), time.Now().Add(coldTime)
	r.mu.Unlock()
	r.b.log("%s starts again, cold for %v", r.id, coldTime)
	serving := make(chan error, 1)
	time.AfterFunc(bootTime, func() {
		serving <- r.listen()
		r.b.log("%s serves", r.id)
	})
	crashed := r.crashed()
	for ; r.crashed() == crashed && time.Now().Before(back); time.Sleep(heartbeat) {
		r.b.log("%s can't register, the store turns it away", r.id)
	}
	if r.crashed() > crashed {
		return <-serving
	}
	if err := r.publish("ready"); err != nil {
		return err
	}
	r.b.log("%s has registered", r.id)
	return <-serving
}

// askAll lets clients send requests at a steady pace until stop is closed. The function that it returns then returns when each was sent, by id.
func (b *bench) askAll(stop chan struct{}) func() map[string]time.Time {
	var mu sync.Mutex
	var wg sync.WaitGroup
	sent, byStatus := make(map[string]time.Time), make(map[int]int)
	for i := range coldClients {
		wg.Go(func() {
			c := b.newCaller(b.vms[i%len(b.vms)])
			defer c.close()
			next := time.Now().Add(coldPace * time.Duration(i) / coldClients)
			for n := 0; ; n++ {
				next = next.Add(coldPace)
				select {
				case <-stop:
					return
				case <-time.After(time.Until(next)):
				}
				a := c.send("GET", "/check/1", fmt.Sprintf("c%d-%d", i, n), "k1", "", checkBudget)
				mu.Lock()
				sent[a.id] = a.sent
				byStatus[a.status]++
				mu.Unlock()
				if late := time.Since(next); late > 0 {
					next = next.Add(late.Truncate(coldPace))
				}
			}
		})
	}
	return func() map[string]time.Time {
		wg.Wait()
		b.log("answers by status: %v", byStatus)
		return sent
	}
}

// mostCold returns the most requests that were sent and reached the server in one second while it was cold.
func (r *replica) mostCold(sent map[string]time.Time) (most int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var cold []arrival
	for _, a := range r.arrivals {
		if a.cold {
			cold = append(cold, a)
		}
	}
	slices.SortFunc(cold, func(a, b arrival) int { return a.at.Compare(b.at) })
	for _, first := range cold {
		// The second begins when the request was sent.
		from, n := sent[first.id], 0
		for _, a := range cold {
			if s, ok := sent[a.id]; ok && !s.Before(from) && !a.at.Before(from) && a.at.Before(from.Add(time.Second)) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}
