//go:build review

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// server is a backend server that follows the platform's page: it runs a number of requests at a time, queues a few more and turns
// the others away with status 503 and X-Not-Executed, and it echoes X-Attempt-Id in every answer.
type server struct {
	w       *world
	id      string
	service string
	zone    string
	slots   int
	queue   int
	work    time.Duration
	address string

	mu      sync.Mutex
	running int
	waiting int
	free    chan struct{}
	runs    []execution
	// extraUntil is the end of the time in which the server sends a second copy of an answer, late, for extraShare of its answers.
	extraUntil time.Time
	extraShare float64
	extras     int
	// limit, if not empty, is the Server-Limit that the server names in its answers. named is when it first did so. arrivals holds the
	// requests that the server has read.
	limit    string
	named    time.Time
	arrivals []arrival
	// coldUntil is the end of the server's cold start.
	coldUntil time.Time
	listener  net.Listener
	conns     map[net.Conn]bool
	stopped   bool
}

// arrival is a request that a server has read.
type arrival struct {
	id string
	at time.Time
}

// execution is one run of a request, at the time at which the server began to work on it. arrived is when it had read the request.
type execution struct {
	id               string
	arrived, started time.Time
}

// startServer starts a server and publishes its entry.
func (w *world) startServer(n int, id, service, zone string, slots, queue int, work time.Duration) (*server, error) {
	s, err := w.newServer(n, id, service, zone, slots, queue, work)
	if err != nil {
		return nil, err
	}
	return s, w.put("servers/"+id, s.entry("ready", 1))
}

// newServer starts a server without an entry.
func (w *world) newServer(n int, id, service, zone string, slots, queue int, work time.Duration) (*server, error) {
	l, err := w.listenServer(n)
	if err != nil {
		return nil, err
	}
	s := &server{
		w: w, id: id, service: service, zone: zone, slots: slots, queue: queue, work: work, address: l.Addr().String(),
		free: make(chan struct{}, slots), listener: l, conns: make(map[net.Conn]bool),
	}
	for range slots {
		s.free <- struct{}{}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s, nil
}

// crash ends a server: it answers nothing any more.
func (s *server) crash() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	for c := range s.conns {
		_ = c.Close()
	}
	s.w.record("server %s has ended", s.id)
}

func (s *server) entry(state string, sequence int) map[string]any {
	return map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots, "state": state,
		"warmup-left-ms": max(0, time.Until(s.coldUntil).Milliseconds()), "sequence": sequence, "born": 1700000000000,
	}
}

// serve answers the requests on one connection, one at a time.
func (s *server) serve(c net.Conn) {
	s.mu.Lock()
	s.conns[c] = true
	s.mu.Unlock()
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	br := bufio.NewReader(c)
	var extra []byte
	last := ""
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if extra != nil {
			// The second copy of the last answer comes late, where the next answer is expected.
			s.w.record("server %s sends its last answer on a connection, to %s, once more as %s comes", s.id, last, r.Header.Get("X-Attempt-Id"))
			if _, err := c.Write(extra); err != nil {
				return
			}
			extra = nil
		}
		s.mu.Lock()
		s.arrivals = append(s.arrivals, arrival{r.Header.Get("X-Attempt-Id"), time.Now()})
		s.mu.Unlock()
		out, status := s.answer(r, len(body))
		if _, err := c.Write(out); err != nil {
			return
		}
		s.w.record("server %s answers %s with %d", s.id, r.Header.Get("X-Attempt-Id"), status)
		if s.spoils() {
			extra = out
		}
		last = r.Header.Get("X-Attempt-Id")
	}
}

// spoils reports whether the server will send a second copy of an answer.
func (s *server) spoils() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !time.Now().Before(s.extraUntil) || rand.Float64() >= s.extraShare {
		return false
	}
	s.extras++
	return true
}

// answer runs a request if there is room, and returns the bytes of the answer and its status.
func (s *server) answer(r *http.Request, bodyBytes int) ([]byte, int) {
	arrived := time.Now()
	id := r.Header.Get("X-Attempt-Id")
	head := "X-Attempt-Id: " + id + "\r\nX-Instance-Id: " + s.id + "\r\n"
	if want := r.Header.Get("X-Expected-Instance"); want != "" && want != s.id {
		return response(http.StatusMisdirectedRequest, head, nil), http.StatusMisdirectedRequest
	}
	s.mu.Lock()
	if s.limit != "" {
		if s.named.IsZero() {
			s.named = time.Now()
			s.w.record("server %s names its limit %s for the first time", s.id, s.limit)
		}
		head += "Server-Limit: " + s.limit + "\r\n"
	}
	s.mu.Unlock()
	if !s.acquire() {
		return response(http.StatusServiceUnavailable, head+"X-Not-Executed: 1\r\n", nil), http.StatusServiceUnavailable
	}
	s.mu.Lock()
	s.runs = append(s.runs, execution{id, arrived, time.Now()})
	s.mu.Unlock()
	s.w.record("server %s runs %s (%d bytes)", s.id, id, bodyBytes)
	time.Sleep(s.work)
	s.mu.Lock()
	s.running--
	s.mu.Unlock()
	s.free <- struct{}{}
	return response(http.StatusOK, head+"X-Response-Signature: "+id+"."+s.id+"\r\n", []byte("done by "+s.id)), http.StatusOK
}

// acquire waits for a slot, or returns false if the queue is full.
func (s *server) acquire() bool {
	s.mu.Lock()
	if s.running >= s.slots && s.waiting >= s.queue {
		s.mu.Unlock()
		return false
	}
	s.waiting++
	s.mu.Unlock()
	<-s.free
	s.mu.Lock()
	s.waiting--
	s.running++
	s.mu.Unlock()
	return true
}

func response(status int, head string, body []byte) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n", status, http.StatusText(status), head, len(body))
	b.Write(body)
	return b.Bytes()
}

// executions returns the runs of all servers by the id of the request.
func executions(servers []*server) map[string][]string {
	out := make(map[string][]string)
	for _, s := range servers {
		s.mu.Lock()
		for _, e := range s.runs {
			out[e.id] = append(out[e.id], fmt.Sprintf("%s at %.3f", s.id, e.started.Sub(s.w.began).Seconds()))
		}
		s.mu.Unlock()
	}
	return out
}
