package edge

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"testing"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/base/worker"
	"kumquatreel.example/kumquatreel/internal/tier/gather"
	"kumquatreel.example/kumquatreel/internal/tier/header"
	"kumquatreel.example/kumquatreel/internal/tier/link"
	"kumquatreel.example/kumquatreel/internal/tier/roster"
	"kumquatreel.example/kumquatreel/internal/tier/table"
)

// closedAddress returns an address at which connections are refused.
func closedAddress(t *testing.T) string {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	return l.Addr().String()
}

// silentAddress returns an address at which connections neither open nor fail, like those to a host without power.
func silentAddress(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := (&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: name.(*syscall.SockaddrInet4).Port}).String()
	// The accept queue holds one connection more than the backlog. Once it is full, further SYN packets get no answer.
	for range 2 {
		c, err := (&net.Dialer{Timeout: 100 * time.Millisecond}).DialContext(t.Context(), "tcp", address)
		if err == nil {
			t.Cleanup(func() { _ = c.Close() })
		}
	}
	return address
}

// newTestEdge returns an Edge with only the components that run requests, and a request. There is one shard for each address,
// with one server at that address.
func newTestEdge(t *testing.T, addresses ...string) (*Edge, *request) {
	t.Helper()
	d := newTestDispatch(t)
	shards := make([]ident.Service, len(addresses))
	for i, address := range addresses {
		shards[i] = ident.Service([]byte{byte('a' + i)})
		d.roster.Update(start, roster.Entry{Server: ident.Server(shards[i]) + "-1", Service: shards[i], Address: address, Slots: 2, Started: 1})
	}
	d.table = table.New(table.Config{Routes: []table.RouteConfig{{
		Name: "search", Host: "h", Prefix: "/", Shards: shards, Kind: table.KindIdempotent, MinCoverage: 0.75, MaxAttempts: 2,
	}}})
	links, cleanup := link.New(header.Names{
		RequestID: "X-Id", Signature: "X-Signature", NotRun: "X-Not-Run", RemainingMs: "X-Left", ExpectedServer: "X-Server",
	})
	t.Cleanup(cleanup)
	now := time.Now()
	rq := &request{
		id: "r1", route: d.table.Match("h", "/"), method: http.MethodGet, head: []byte("GET / HTTP/1.1\r\nHost: h\r\n"), arrived: now,
		soft: now.Add(time.Second), hard: now.Add(2 * time.Second),
	}
	return &Edge{dispatch: d, links: links, workers: &worker.Pool{}}, rq
}

// All servers of a failure domain lose power: some refuse connections, others do not answer. A request that reached none of
// them must count as not run, so that the client may retry it.
func TestNothingSent(t *testing.T) {
	closed, silent := closedAddress(t), silentAddress(t)
	e, rq := newTestEdge(t, closed, closed, silent, silent)
	out := e.run(context.Background(), rq)
	if out.enough || out.reason != gather.ReasonUnreachable {
		t.Fatalf("reason %v, enough %v; want unreachable", out.reason, out.enough)
	}
	if out.ran {
		t.Error("request counts as run although no server was reached")
	}
}

// Answers from many shards are due at the same time under load. Each must reach its client within the target latency, which
// includes merging, writing, the round trip and the time that the client consumed before its request arrived.
func TestSetTimes(t *testing.T) {
	const target, initial = 40 * time.Millisecond, 250 * time.Millisecond
	e, rq := newTestEdge(t, "127.0.0.1:1")
	e.names = header.Names{RemainingMs: "X-Left"}
	e.dispatch.table = table.New(table.Config{Routes: []table.RouteConfig{{
		Name: "search", Host: "h", Prefix: "/", Shards: []ident.Service{"a"}, TargetLatency: target,
	}}})
	rq.route = e.dispatch.table.Match("h", "/")
	const near, far = 6 * time.Millisecond, 16 * time.Millisecond
	set := func(left, rtt time.Duration) {
		r := &http.Request{Header: http.Header{"X-Left": {strconv.FormatInt(left.Milliseconds(), 10)}}}
		rq.rtt = rtt
		e.setDeadlines(rq, r)
	}
	// The first request sets the estimate of the time budget with which clients start.
	set(initial, near)
	for _, c := range []struct {
		name      string
		left, rtt time.Duration
		want      time.Duration
	}{
		{"a caller that comes at once", initial, near, target - near - mergeTime},
		{"a caller that is far away", initial, far, target - far - mergeTime},
		{"a caller that is too far away for an answer in time", initial, 3 * target, target/2 - mergeTime},
		{"a caller that was sent here by the directory", initial - 15*time.Millisecond, near, target - 15*time.Millisecond - near - mergeTime},
		{"a caller that cannot be served in time any more", initial - 30*time.Millisecond, near, target - near - mergeTime},
		{"a caller with no time", 0, near, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			set(c.left, c.rtt)
			// The estimate of the initial budget decays slightly with each request.
			if got := rq.soft.Sub(rq.arrived); (got - c.want).Abs() > 100*time.Microsecond {
				t.Errorf("answer is due after %v, want %v", got, c.want)
			}
			if rq.hard.After(rq.arrived.Add(max(0, c.left-c.rtt))) {
				t.Error("request ends too late for its answer to reach the client in time")
			}
		})
	}
}

// All servers become so slow that every part is stopped before its answer arrives, although clients would still wait for
// the answer. The latency estimate must rise until parts are given enough time.
func TestAllSlow(t *testing.T) {
	const target, budget, part = 80 * time.Millisecond, 400 * time.Millisecond, 200 * time.Millisecond
	const requests, shards = 20, 20
	e, rq := newTestEdge(t, "127.0.0.1:1", "127.0.0.1:2")
	e.dispatch.table = table.New(table.Config{Routes: []table.RouteConfig{{
		Name: "search", Host: "h", Prefix: "/", Shards: []ident.Service{"a", "b"}, TargetLatency: target,
	}}})
	rq.route = e.dispatch.table.Match("h", "/")
	rq.soft, rq.hard = rq.arrived.Add(target), rq.arrived.Add(budget)
	answered := 0
	for range requests {
		typical, _ := e.dispatch.partLatency(rq.route)
		j := &job{edge: e, rq: rq, typical: typical, out: outcome{parts: make([]*link.Answer, 2)}}
		wait := j.expires().Sub(rq.arrived)
		answered = 0
		for range shards {
			res, took := link.Result{Verdict: gather.VerdictLost, Unresponsive: true}, wait
			if part <= wait {
				res, took = link.Result{Verdict: gather.VerdictAnswered}, part
				answered++
			}
			e.dispatch.end(start, rq.route, sending{target: header.Target{Server: "a-1"}}, res, header.Names{}, took)
		}
	}
	if answered < shards {
		t.Errorf("%d of %d parts arrive before they are stopped, want all", answered, shards)
	}
}

// A panic while a part is sent must cost that part alone: the request ends, counts as possibly run, and the process goes on.
func TestPanicInAttempt(t *testing.T) {
	e, rq := newTestEdge(t, closedAddress(t))
	e.links = nil
	out := e.run(context.Background(), rq)
	if out.enough || !out.ran {
		t.Errorf("enough %v, ran %v; want a request that failed and may have run", out.enough, out.ran)
	}
	if n := e.dispatch.balancer.InFlight("a-1"); n != 0 {
		t.Errorf("%d requests count as in flight after the panic", n)
	}
}

// A panic before or after the call costs that attempt alone, too: it counts as lost.
func TestPanicBesideCall(t *testing.T) {
	e, rq := newTestEdge(t, closedAddress(t))
	rq.route = nil
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	j := &job{edge: e, rq: rq, typical: typical, results: make(chan attemptResult, 1), attemptsCtx: ctx, out: outcome{parts: make([]*link.Answer, 2)}}
	j.running.Add(1)
	j.attempt(gather.Send{Service: "a", Server: "a-1"}, &link.Permit{})
	if r := <-j.results; r.res.Verdict != gather.VerdictLost {
		t.Errorf("verdict is %v, want lost", r.res.Verdict)
	}
}
