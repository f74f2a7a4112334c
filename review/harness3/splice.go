//go:build review

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"kumquatreel.example/kumquatreel/platform/stand"
)

const (
	// The trouble of the site file: spoiledPart of the answers of numFaulty of numServers servers, for spoilTime, again and again.
	numServers, numFaulty = 10, 6
	spoiledPart           = 0.04
	spoilTime             = 5 * time.Second
	spoilRounds           = 5
	manySpoilRounds       = 15
	betweenSpoil          = time.Second
	// bookLoad is how many requests a second each VM gets, fullLoad as many as leave the servers without room. One in failEach fails at the service
	// with a status of its own, 500.
	bookLoad = 60
	fullLoad = 200
	failEach = 4
	bookWork = 8 * time.Millisecond
	// A server without room: it runs fewSlots requests at a time, each for longWork, and shortQueue more wait.
	fewSlots, shortQueue = 2, 2
	longWork             = 30 * time.Millisecond
)

// rawServer is a backend server that writes its answers itself. In trouble, some answers are followed by a second copy that breaks off and arrives late,
// where the next answer on the connection is expected.
type rawServer struct {
	b    *bench
	id   string
	work time.Duration
	// slots holds a token for each request that may run, and room one for each that may run or wait.
	slots, room chan struct{}

	mu      sync.Mutex
	rand    *rand.Rand
	spoils  bool
	spoiled int
	refused int
	// gave holds what the server answered to each request that it ran, and runs how often it ran it.
	gave map[string]given
	runs map[string]int
}

type given struct {
	status int
	body   string
}

// startRawServer starts a server and publishes it.
func (f *fleet) startRawServer(id, zone string, number, slots, queue int, work time.Duration) *rawServer {
	s := &rawServer{
		b: f.b, id: id, work: work, slots: make(chan struct{}, slots), room: make(chan struct{}, slots+queue),
		rand: rand.New(rand.NewSource(int64(number))), gave: make(map[string]given), runs: make(map[string]int),
	}
	address := fmt.Sprintf("%s.%d:%d", f.net, number, portServer)
	l, err := net.Listen("tcp", address)
	must(err)
	f.b.onEnd(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	_, err = f.store.Put("servers/"+id, map[string]any{
		"service": "single", "address": address, "zone": zone, "version": "v1", "slots": slots, "state": "ready", "warmup-left-ms": 0, "sequence": 1,
		"born": 1,
	})
	must(err)
	return s
}

// startRawServers starts numServers servers.
func (f *fleet) startRawServers(slots, queue int, work time.Duration) []*rawServer {
	var out []*rawServer
	for i := range numServers {
		out = append(out, f.startRawServer(fmt.Sprintf("s%d", i), []string{"north", "south", "east"}[i%3], 101+i, slots, queue, work))
	}
	return out
}

func (s *rawServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	var late []byte
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		id := req.Header.Get("X-Attempt-Id")
		var answer []byte
		select {
		case s.room <- struct{}{}:
			s.slots <- struct{}{}
			answer = s.run(id, req.URL.Path)
			<-s.slots
			<-s.room
		default:
			answer = s.refuse(id)
		}
		if len(late) > 0 {
			s.b.write("server %s sends %q, then its answer to %s: %q", s.id, late, id, answer)
		}
		if _, err := c.Write(append(late, answer...)); err != nil {
			return
		}
		late = s.secondCopy(answer)
	}
}

// run runs a request and returns the answer.
func (s *rawServer) run(id, path string) []byte {
	g := given{status: http.StatusOK, body: "booked " + id + "\n"}
	if strings.HasSuffix(path, "/full") {
		g = given{status: http.StatusInternalServerError, body: "not booked " + id + "\n"}
	}
	s.mu.Lock()
	s.gave[id] = g
	s.runs[id]++
	s.mu.Unlock()
	time.Sleep(s.work)
	return s.answer(g, id, "X-Response-Signature: "+stand.Signature(id, "single"))
}

// refuse returns the answer to a request for which there is no room.
func (s *rawServer) refuse(id string) []byte {
	s.mu.Lock()
	s.refused++
	s.mu.Unlock()
	return s.answer(given{http.StatusServiceUnavailable, "full\n"}, id, "X-Not-Executed: 1")
}

// answer returns the bytes of an answer. Its headers are in no particular order.
func (s *rawServer) answer(g given, id, field string) []byte {
	fields := []string{
		field, "X-Attempt-Id: " + id, fmt.Sprintf("Content-Length: %d", len(g.body)), "Content-Type: text/plain; charset=utf-8",
		"Date: " + time.Now().UTC().Format(http.TimeFormat), "Cache-Control: no-store, max-age=0",
	}
	s.mu.Lock()
	s.rand.Shuffle(len(fields), func(i, j int) { fields[i], fields[j] = fields[j], fields[i] })
	s.mu.Unlock()
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%s\r\n\r\n%s", g.status, http.StatusText(g.status), strings.Join(fields, "\r\n"), g.body)
}

// secondCopy returns what the server still sends of a second copy of an answer: mostly nothing, in trouble the bytes before any one of it.
func (s *rawServer) secondCopy(answer []byte) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.spoils || s.rand.Float64() >= spoiledPart {
		return nil
	}
	s.spoiled++
	return bytes.Clone(answer[:1+s.rand.Intn(len(answer)-1)])
}

func (s *rawServer) setSpoils(spoils bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spoils = spoils
}

// answerTo returns what the server answered to a request that it ran.
func (s *rawServer) answerTo(id string) (given, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g, ok := s.gave[id]
	return g, ok
}

// runSplice sends requests that may run once to servers some of which spoil some of their answers, and compares what the clients get with what the
// servers answered.
func runSplice(b *bench) bool {
	f := newFleet(b)
	servers := f.startRawServers(16, 16, bookWork)
	counts := make(map[int]int)
	wrong := 0
	for _, a := range f.book(servers, bookLoad, spoilRounds) {
		counts[a.status]++
		f.writeRequest(a, servers)
		if why := isMixed(a, servers); why != "" {
			wrong++
			b.note("MIXED: %s at %s: %s", a.id, a.vm, why)
		}
	}
	noteCounts(b, counts, servers)
	b.note("answers that broke the rule: %d", wrong)
	return wrong > 0
}

// runPromise does the same with servers that have too little room, and checks that no request that ran is answered as one that has not run.
func runPromise(b *bench) bool {
	f := newFleet(b)
	servers := f.startRawServers(fewSlots, shortQueue, longWork)
	counts := make(map[int]int)
	twice, broken := 0, 0
	for _, a := range f.book(servers, fullLoad, manySpoilRounds) {
		counts[a.status]++
		f.writeRequest(a, servers)
		runs, where := 0, ""
		for _, s := range servers {
			if n := s.runs[a.id]; n > 0 {
				runs, where = runs+n, where+" "+s.id
			}
		}
		if runs > 1 {
			twice++
			b.note("TWICE: %s at %s ran %d times, at servers%s; the client got status %d, error %v", a.id, a.vm, runs, where, a.status, a.err)
		}
		if runs > 0 && (a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests) {
			broken++
			b.note("REFUSED: %s at %s ran at server%s, and the client got status %d", a.id, a.vm, where, a.status)
		}
	}
	noteCounts(b, counts, servers)
	b.note("requests that ran twice: %d, requests that ran and were refused: %d", twice, broken)
	return broken > 0
}

// writeRequest adds a request to the record.
func (f *fleet) writeRequest(a answer, servers []*rawServer) {
	ran := "it did not run"
	for _, s := range servers {
		if n := s.runs[a.id]; n > 0 {
			ran = fmt.Sprintf("it ran %d times at server %s, which answered %d", n, s.id, s.gave[a.id].status)
		}
	}
	f.b.write("%s sent to %s at %.3f: status %d after %v, error %v; %s", a.id, a.vm, a.sent.Sub(f.b.start).Seconds(), a.status, a.took, a.err, ran)
}

// noteCounts adds to the record what clients got and what servers did.
func noteCounts(b *bench, counts map[int]int, servers []*rawServer) {
	ran, refused, spoiled := 0, 0, 0
	for _, s := range servers {
		ran, refused, spoiled = ran+len(s.gave), refused+s.refused, spoiled+s.spoiled
	}
	b.note("clients got, by status: %v; servers ran %d requests, refused %d, and began a second copy of %d answers", counts, ran, refused, spoiled)
}

// book sends requests that may run once to the VMs while some servers spoil some of their answers, and returns what the clients got.
func (f *fleet) book(servers []*rawServer, load, rounds int) []answer {
	f.config = map[string]any{
		"routes": []map[string]any{{
			"name": "book", "host": hostName, "prefix": "/book/", "kind": "unsafe", "timeout-ms": 2000, "target-latency-ms": 300, "service": "single",
			"max-attempts": 2,
		}},
		"services": []map[string]any{{"name": "single", "health-path": "/healthz", "max-connections": 100}},
		"tenants":  []map[string]any{{"name": "tailors", "api-keys": []string{keptKey}}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 100000, "header-timeout-ms": 5000, "idle-timeout-ms": 30000},
	}
	f.publish("one service")
	for i := range 6 {
		f.addVM(i, []string{"north", "south", "east"}[i%3])
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
			tick := time.NewTicker(time.Second / time.Duration(load))
			defer tick.Stop()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-tick.C:
				}
				path := "/book/x"
				if i%failEach == 0 {
					path = "/book/full"
				}
				wg.Add(1)
				go func() {
					defer wg.Done()
					a := send(v, http.MethodPost, path, keptKey, time.Second)
					mu.Lock()
					defer mu.Unlock()
					answers = append(answers, a)
				}()
			}
		}()
	}
	for range rounds {
		time.Sleep(betweenSpoil)
		for _, s := range servers[:numFaulty] {
			s.setSpoils(f.b.trouble)
		}
		time.Sleep(spoilTime)
		for _, s := range servers[:numFaulty] {
			s.setSpoils(false)
		}
	}
	time.Sleep(betweenSpoil)
	close(stop)
	wg.Wait()
	return answers
}

// isMixed returns how an answer breaks the rule, or nothing.
func isMixed(a answer, servers []*rawServer) string {
	if a.err != nil {
		return ""
	}
	for _, s := range servers {
		g, ok := s.answerTo(a.id)
		switch {
		case !ok:
		case a.status < 300 && g.status >= 300:
			return fmt.Sprintf("the client got success %d, server %s had answered with failure %d; body %q", a.status, s.id, g.status, a.body)
		case a.status < 300 && string(a.body) != g.body:
			return fmt.Sprintf("the client got a success with body %q, server %s had answered with %q", a.body, s.id, g.body)
		case a.status >= 300 && a.signature != "" && a.status != g.status:
			return fmt.Sprintf("the client got failure %d with the signature, server %s had answered with %d; body %q", a.status, s.id, g.status, a.body)
		}
	}
	if a.status < 300 && a.signature == "" {
		return fmt.Sprintf("the client got success %d without a signature", a.status)
	}
	return ""
}
