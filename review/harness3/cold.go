//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"kumquatreel.example/kumquatreel/platform/stand"
)

// The warm-up of the service, and the bounds of the rule.
const (
	warmupRate      = 4.0
	warmupTime      = 3 * time.Second
	warmupOvershoot = 1.5
	warmupSlack     = 5
	beatInterval    = 1200 * time.Millisecond
	// coldLoad is how many requests a second each VM gets. Each server serves coldSlots at a time, each for coldWork.
	coldLoad, coldSlots = 60, 8
	coldWork            = 30 * time.Millisecond
	// A cold server crashes if it gets crashFactor times as many requests in a second as the rule allows.
	crashFactor = 2
	// restartTime is how long a server that has crashed is down.
	restartTime = 300 * time.Millisecond
)

// runCold lets one of the two servers of a service crash and start again under its id, cold, while clients send at a steady rate.
func runCold(b *bench) bool {
	f := newFleet(b)
	number := map[string]int{"a": 101, "b": 102}
	ends := make(map[string]func())
	for id, n := range number {
		s, end, err := stand.NewServer(fmt.Sprintf("%s.%d:%d", f.net, n, portServer), id, "single", "north", coldSlots, f.ledger)
		must(err)
		s.SetBehavior(stand.Behavior{ServiceTime: coldWork})
		f.servers[id], ends[id] = s, end
		b.onEnd(func() { ends[id]() })
		f.putServer(id, "ready")
	}
	f.config = map[string]any{
		"routes": []map[string]any{{
			"name": "book", "host": hostName, "prefix": "/book/", "kind": "unsafe", "timeout-ms": 2000, "target-latency-ms": 300, "service": "single",
			"max-attempts": 2,
		}},
		"services": []map[string]any{{
			"name": "single", "health-path": "/healthz", "max-connections": 100, "warmup-s": warmupTime.Seconds(), "warmup-per-s": warmupRate,
		}},
		"tenants": []map[string]any{{"name": "tailors", "api-keys": []string{keptKey}}},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 100000, "header-timeout-ms": 5000, "idle-timeout-ms": 30000},
	}
	f.publish("a warm-up rate")
	for i := range 6 {
		f.addVM(i, []string{"north", "south"}[i%2])
	}
	f.waitReady()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var answered, refused, lost atomic.Int64
	for _, v := range f.vms {
		// Each VM gets coldLoad requests a second.
		wg.Add(1)
		go func() {
			defer wg.Done()
			tick := time.NewTicker(time.Second / coldLoad)
			defer tick.Stop()
			for {
				select {
				case <-stop:
					return
				case <-tick.C:
					wg.Add(1)
					go func() {
						defer wg.Done()
						switch a := send(v, http.MethodPost, "/book/x", keptKey, time.Second); {
						case a.err == nil && a.status == http.StatusOK:
							answered.Add(1)
						case a.err == nil && (a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests):
							refused.Add(1)
						default:
							lost.Add(1)
							b.note("%s at %s: status %d, error %v, ran %d times", a.id, a.vm, a.status, a.err, len(f.ledger.Runs(a.id)))
						}
					}()
				}
			}
		}()
	}
	time.Sleep(contact + time.Second)
	var started time.Time
	if b.trouble {
		ends["a"]()
		b.note("server a crashes")
		time.Sleep(restartTime)
		s, end, err := stand.NewServer(fmt.Sprintf("%s.%d:%d", f.net, number["a"], portServer), "a", "single", "north", coldSlots, f.ledger)
		must(err)
		s.Restart()
		s.Restart()
		s.SetBehavior(stand.Behavior{ServiceTime: coldWork})
		f.servers["a"], ends["a"] = s, end
		started = time.Now()
		b.note("server a has started again and is cold")
	} else {
		started = time.Now()
	}
	allowed := warmupRate*warmupOvershoot + warmupSlack
	go func() {
		for b.trouble && time.Since(started) < warmupTime {
			if n := mostInSecond(f.ledger.Arrivals("a"), started, time.Now()); float64(n) > crashFactor*allowed {
				b.note("server a crashes: it has had %d requests in a second while it was cold", n)
				ends["a"]()
				return
			}
			time.Sleep(time.Millisecond)
		}
	}()
	for left := warmupTime; left > 0; left = warmupTime - time.Since(started) {
		if b.trouble {
			k, v := f.servers["a"].Entry("ready")
			v["warmup-left-ms"] = left.Milliseconds()
			_, err := f.store.Put(k, v)
			must(err)
			b.note("server a has published that it is cold for %v", left)
		}
		time.Sleep(min(beatInterval, left))
	}
	end := time.Now()
	close(stop)
	wg.Wait()
	for _, at := range f.ledger.Arrivals("a") {
		if b.trouble && at.After(started) && at.Before(end) {
			b.note("request reached the cold server %v after its start", at.Sub(started))
		}
	}
	most := 0
	if b.trouble {
		most = mostInSecond(f.ledger.Arrivals("a"), started, end)
	}
	b.note("answered %d, refused %d, lost %d", answered.Load(), refused.Load(), lost.Load())
	b.note("most requests in one second at the cold server: %d, allowed: %v", most, allowed)
	return float64(most) > allowed
}

// mostInSecond returns how many of the arrivals in a time lie in one second at most.
func mostInSecond(arrivals []time.Time, from, to time.Time) int {
	most := 0
	for i, first := range arrivals {
		n := 0
		for _, at := range arrivals[i:] {
			if first.After(from) && at.Before(to) && at.Sub(first) < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}
