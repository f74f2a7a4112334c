//go:build review

package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const maxQueue = 16

// run is the execution of a request by a server.
type run struct {
	id       string
	server   string
	start    int
	began    time.Time
	work     time.Duration
	finished bool
	spoiled  bool
}

// replica is a backend server. It runs slots requests at a time, queues a few more and drops a request when its connection closes.
type replica struct {
	b                   *bench
	id, service, zone   string
	address             string
	slots               int
	mu                  sync.Mutex
	work                func(id string) time.Duration
	slow                float64
	free                chan struct{}
	running, waiting    int
	born                int64
	starts              int
	coldUntil           time.Time
	srv                 *http.Server
	runs                []*run
	arrivals            []arrival
	refused, misaddress int
	// failOne, if above 0, makes the server run one of so many requests and then answer it with failStatus, which is a failure.
	failOne, failStatus int
	// spoilOne, if above 0, makes the server hand out one of so many answers spoiled: without its signature, and with other bytes.
	spoilOne int
	// overloaded, if not nil, is called once when a cold server has got more than crashAbove requests in a second. dropped counts the requests
	// whose connection ended while they ran.
	overloaded func()
	crashAbove int
	dropped    int
	crashes    int
}

// arrival is a request that reached a server and did not get 421.
type arrival struct {
	at   time.Time
	id   string
	cold bool
}

// addReplica starts a server and publishes its entry.
func (b *bench) addReplica(n int, id, service, zone string, slots int, work func(string) time.Duration) (*replica, error) {
	r := &replica{
		b: b, id: id, service: service, zone: zone, slots: slots, work: work, slow: 1, born: time.Now().UnixMilli(),
		address: fmt.Sprintf("%s:%d", b.host(hostServers+n), portServer),
	}
	if err := r.listen(); err != nil {
		return nil, err
	}
	b.atEnd(r.crash)
	return r, r.publish("ready")
}

func (r *replica) listen() error {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", r.address)
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: http.HandlerFunc(r.serve), ReadHeaderTimeout: 10 * time.Second}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.srv, r.starts = srv, r.starts+1
	r.running, r.waiting = 0, 0
	r.free = make(chan struct{}, r.slots)
	for range r.slots {
		r.free <- struct{}{}
	}
	go func() { _ = srv.Serve(l) }()
	return nil
}

// crash ends the server at once: its connections are closed.
func (r *replica) crash() {
	r.mu.Lock()
	srv := r.srv
	r.crashes++
	r.mu.Unlock()
	_ = srv.Close()
}

// crashed returns how often the server has crashed.
func (r *replica) crashed() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crashes
}

func (r *replica) publish(state string) error {
	r.mu.Lock()
	left := max(0, time.Until(r.coldUntil).Milliseconds())
	born := r.born
	r.mu.Unlock()
	_, err := r.b.store.Put("servers/"+r.id, map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": r.slots, "state": state,
		"warmup-left-ms": left, "sequence": 1, "born": born,
	})
	return err
}

func (r *replica) setSlow(x float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.slow = x
}

func signature(id, service string) string {
	sum := sha256.Sum256([]byte(id + "/" + service))
	return hex.EncodeToString(sum[:6])
}

func (r *replica) serve(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Instance-Id", r.id)
	r.mu.Lock()
	now := time.Now()
	cold := now.Before(r.coldUntil)
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,%d,%d", r.running, r.waiting, r.slots))
	if req.URL.Path == "/healthz" {
		if cold {
			w.Header().Set("X-Warmup-Remaining", strconv.FormatInt(r.coldUntil.Sub(now).Milliseconds(), 10))
		}
		r.mu.Unlock()
		return
	}
	w.Header().Set("X-Attempt-Id", id)
	if want := req.Header.Get("X-Expected-Instance"); want != "" && want != r.id {
		r.misaddress++
		r.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.arrivals = append(r.arrivals, arrival{now, id, cold})
	if cold && r.overloaded != nil && r.coldWithin(now) > r.crashAbove {
		go r.overloaded()
		r.overloaded = nil
	}
	full := r.waiting >= maxQueue
	if !full {
		r.waiting++
	}
	free, start := r.free, r.starts
	r.mu.Unlock()
	body, err := io.ReadAll(req.Body)
	left, _ := strconv.Atoi(req.Header.Get("X-Deadline-Remaining"))
	end := time.NewTimer(time.Duration(left) * time.Millisecond)
	defer end.Stop()
	if full || err != nil || id == "" {
		r.refuse(w, !full)
		return
	}
	select {
	case <-free:
	case <-end.C:
		r.refuse(w, true)
		return
	case <-req.Context().Done():
		r.refuse(w, true)
		return
	}
	r.mu.Lock()
	x := &run{id: id, server: r.id, start: start, began: time.Now(), work: time.Duration(r.slow * float64(r.work(id)))}
	r.runs = append(r.runs, x)
	r.waiting--
	r.running++
	r.mu.Unlock()
	r.b.log("%s runs %s %s of %d bytes for %v, %d ms left", r.id, id, req.Method, len(body), x.work.Round(time.Millisecond), left)
	status := http.StatusOK
	done := time.NewTimer(x.work)
	defer done.Stop()
	select {
	case <-done.C:
	case <-end.C:
		status = http.StatusGatewayTimeout
	case <-req.Context().Done():
		status = 0
	}
	r.mu.Lock()
	if status == http.StatusOK && r.failOne > 0 && len(r.runs)%r.failOne == 0 {
		status = r.failStatus
	}
	r.running--
	x.finished = status == http.StatusOK
	if status == 0 {
		r.dropped++
	}
	x.spoiled = status == http.StatusOK && r.spoilOne > 0 && len(r.runs)%r.spoilOne == 0
	r.mu.Unlock()
	free <- struct{}{}
	if status == 0 {
		r.b.log("%s drops %s after %v, its connection is closed", r.id, id, time.Since(x.began).Round(time.Millisecond))
		return
	}
	if x.spoiled {
		r.b.log("%s hands out a spoiled answer to %s: 200 without its signature", r.id, id)
		_, _ = w.Write([]byte("bytes that are no answer"))
		return
	}
	w.Header().Set("X-Response-Signature", signature(id, r.service))
	w.WriteHeader(status)
	_, _ = w.Write([]byte("0123456789abcdef"))
}

// coldWithin returns how many requests reached the server in the last second while it was cold. The caller holds the lock.
func (r *replica) coldWithin(now time.Time) (n int) {
	for i := len(r.arrivals) - 1; i >= 0 && now.Sub(r.arrivals[i].at) < time.Second; i-- {
		if r.arrivals[i].cold {
			n++
		}
	}
	return n
}

func (r *replica) refuse(w http.ResponseWriter, waited bool) {
	r.mu.Lock()
	r.refused++
	if waited {
		r.waiting--
	}
	r.mu.Unlock()
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// runOf returns the runs of a request.
func (r *replica) runsOf(id string) (out []*run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, x := range r.runs {
		if x.id == id {
			out = append(out, x)
		}
	}
	return out
}
