//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"kumquatreel.example/kumquatreel/platform/stand"
)

const (
	// namedLimit is the limit that the server names after it has started again, in requests a second. The rule allows limitFactor times as much in
	// limitWindow, and limitSlack requests.
	namedLimit  = 1.0
	limitFactor = 1.5
	limitSlack  = 5
	limitWindow = 4 * time.Second
	// awayTime is how long the store turns all calls away. The server crashes a little later, and is down for downTime.
	awayTime  = 4500 * time.Millisecond
	awayFirst = 100 * time.Millisecond
	downTime  = 500 * time.Millisecond
	// beatTime is the time between two calls of the server to the store, which it repeats until one is accepted.
	beatTime = 1200 * time.Millisecond
	// needyWork is how long the server works on a request, needyLoad how many requests a second each VM gets.
	needyWork  = 200 * time.Millisecond
	needySlots = 60
	needyLoad  = 50
)

// runForgotten lets a server start again while the store turns calls away, in need, so that it names a limit in all its answers.
func runForgotten(b *bench) bool {
	f := newFleet(b)
	address := fmt.Sprintf("%s.101:%d", f.net, portServer)
	s, end, err := stand.NewServer(address, "a", "single", "north", needySlots, f.ledger)
	must(err)
	s.SetBehavior(stand.Behavior{ServiceTime: needyWork})
	f.servers["a"] = s
	b.onEnd(func() { end() })
	f.putServer("a", "ready")
	f.config = map[string]any{
		"routes": []map[string]any{{
			"name": "one", "host": hostName, "prefix": "/one/", "kind": "safe", "timeout-ms": 2000, "target-latency-ms": 600, "service": "single",
			"max-attempts": 1,
		}},
		"services": []map[string]any{{"name": "single", "health-path": "/healthz", "max-connections": 200}},
		"tenants":  []map[string]any{{"name": "tailors", "api-keys": []string{keptKey}}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 100000, "header-timeout-ms": 5000, "idle-timeout-ms": 30000},
	}
	f.publish("one service")
	for i := range 3 {
		f.addVM(i, []string{"north", "south", "east"}[i])
	}
	f.waitReady()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	var answers []answer
	for _, v := range f.vms {
		wg.Add(1)
		go func() {
			defer wg.Done()
			tick := time.NewTicker(time.Second / needyLoad)
			defer tick.Stop()
			for {
				select {
				case <-stop:
					return
				case <-tick.C:
				}
				wg.Add(1)
				go func() {
					defer wg.Done()
					a := send(v, http.MethodGet, "/one/x", keptKey, time.Second)
					mu.Lock()
					defer mu.Unlock()
					answers = append(answers, a)
				}()
			}
		}()
	}
	time.Sleep(contact + time.Second)
	awayAt := time.Now()
	if b.trouble {
		f.store.Refuse(func(string) bool { return true })
		b.note("the store turns all calls away")
	}
	time.Sleep(awayFirst)
	end()
	b.note("server a crashes")
	time.Sleep(downTime)
	s, end, err = stand.NewServer(address, "a", "single", "north", needySlots, f.ledger)
	must(err)
	s.Restart()
	s.SetBehavior(stand.Behavior{ServiceTime: needyWork, Limit: namedLimit})
	f.servers["a"] = s
	named := time.Now()
	b.note("server a has started again and names a limit of %v a second", namedLimit)
	returned := !b.trouble
	for beat := named; time.Since(named) < 2*contact+limitWindow; beat = beat.Add(beatTime) {
		time.Sleep(time.Until(beat))
		if !returned && time.Since(awayAt) >= awayTime {
			returned = true
		}
		if returned {
			f.putServer("a", "ready")
			b.note("the entry of server a is in the store")
			break
		}
		b.note("the store does not take the entry of server a")
		if left := awayTime - time.Since(awayAt); left > 0 && left < beatTime {
			time.Sleep(left)
			f.store.Refuse(func(string) bool { return false })
			returned = true
			b.note("the store takes calls again")
		}
	}
	time.Sleep(time.Until(named.Add(2*contact + limitWindow)))
	close(stop)
	wg.Wait()
	return f.exceeds(named, answers)
}

// exceeds reports whether a server got more requests than its limit allows, from contact after it first named that.
func (f *fleet) exceeds(named time.Time, answers []answer) bool {
	told := make(map[string]time.Time)
	counts := make(map[int]int)
	for _, a := range answers {
		if a.sent.After(named) {
			counts[a.status]++
		}
		at := a.sent.Add(a.took)
		if first := told[a.vm]; a.status == http.StatusOK && a.sent.After(named) && (first.IsZero() || at.Before(first)) {
			told[a.vm] = at
		}
		f.b.write("%s sent to %s at %.3f: status %d after %v, error %v, ran %d times", a.id, a.vm, a.sent.Sub(f.b.start).Seconds(), a.status, a.took, a.err,
			len(f.ledger.Runs(a.id)))
	}
	for _, v := range f.vms {
		f.b.note("%s passed on an answer with the limit at %.3f", v.name, told[v.name].Sub(f.b.start).Seconds())
		if told[v.name].IsZero() || told[v.name].After(named.Add(contact-500*time.Millisecond)) {
			panic(v.name + " has not passed on such an answer in time")
		}
	}
	var arrivals []time.Time
	for _, at := range f.ledger.Arrivals("a") {
		if at.After(named.Add(contact)) {
			arrivals = append(arrivals, at)
			f.b.write("a request reached server a at %.3f", at.Sub(f.b.start).Seconds())
		}
	}
	most := 0
	for i, first := range arrivals {
		n := 0
		for _, at := range arrivals[i:] {
			if at.Sub(first) < limitWindow {
				n++
			}
		}
		most = max(most, n)
	}
	allowed := limitFactor*namedLimit*limitWindow.Seconds() + limitSlack
	f.b.note("clients got, by status, since the limit was named: %v", counts)
	f.b.note("most requests in %v at the server: %d, allowed: %v", limitWindow, most, allowed)
	return float64(most) > allowed
}
