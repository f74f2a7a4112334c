package link_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"kumquatreel.example/kumquatreel/internal/tier/gather"
	"kumquatreel.example/kumquatreel/internal/tier/header"
	"kumquatreel.example/kumquatreel/internal/tier/link"
)

var names = header.Names{
	RequestID: "X-Id", RemainingMs: "X-Left", ExpectedServer: "X-Expect", NotRun: "X-Not-Run", Signature: "X-Signature", Server: "X-Server",
}

// scriptedServer is a server that gives fixed answers to the requests on each connection; {id} stands for the request's ID.
type scriptedServer struct {
	listener net.Listener
	// answers are given to the requests on a connection in turn; one that ends with "!" also closes the connection, and one that ends with
	// "#" resets it.
	answers []string
	dials   chan struct{}
}

func newScriptedServer(t *testing.T, answers ...string) *scriptedServer {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	s := &scriptedServer{listener: l, answers: answers, dials: make(chan struct{}, 100)}
	t.Cleanup(func() { _ = l.Close() })
	go s.serve()
	return s
}

func (s *scriptedServer) serve() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.dials <- struct{}{}
		go s.serveConn(c)
	}
}

func (s *scriptedServer) serveConn(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for _, a := range s.answers {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		text, closes := strings.CutSuffix(a, "!")
		if rest, resets := strings.CutSuffix(a, "#"); resets {
			text, closes = rest, true
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		if _, err := c.Write([]byte(strings.ReplaceAll(text, "{id}", req.Header.Get("X-Id")))); err != nil || closes {
			return
		}
	}
	// Requests beyond the scripted answers are read and not answered.
	_, _ = r.ReadString(0)
}

func (s *scriptedServer) call(id string) link.Call {
	return link.Call{
		Target: header.Target{Server: "a", Address: s.listener.Addr().String()}, Method: http.MethodGet, RequestID: id,
		Head: []byte("GET /x HTTP/1.1\r\nHost: h\r\nX-Id: " + id + "\r\n"), Deadline: time.Now().Add(5 * time.Second), MaxConnections: 1,
		Permit: &link.Permit{},
	}
}

func ok(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: {id}\r\nX-Signature: s\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

func assertAnswered(t *testing.T, r link.Result, body string) {
	t.Helper()
	if r.Verdict != gather.VerdictAnswered {
		t.Fatalf("verdict is %v (%v), want an answer", r.Verdict, r.Err)
	}
	if string(r.Answer.Body) != body {
		t.Errorf("body is %q, want %q", r.Answer.Body, body)
	}
}

func assertVerdict(t *testing.T, r link.Result, want gather.Verdict) {
	t.Helper()
	if r.Verdict != want {
		t.Errorf("verdict is %v (%v), want %v", r.Verdict, r.Err, want)
	}
}

func assertDials(t *testing.T, s *scriptedServer, want int) {
	t.Helper()
	if got := len(s.dials); got != want {
		t.Errorf("%d connections were opened, want %d", got, want)
	}
}

func newTransport(t *testing.T) *link.Transport {
	t.Helper()
	tr, cleanup := link.New(names)
	t.Cleanup(cleanup)
	return tr
}

func TestAnswers(t *testing.T) {
	for _, c := range []struct {
		name   string
		answer string
		want   gather.Verdict
		body   string
	}{
		{"whole", ok("abc"), gather.VerdictAnswered, "abc"},
		{"in chunks", "HTTP/1.1 200 OK\r\nX-Id: {id}\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", gather.VerdictAnswered, "abc"},
		{"without a length, to the end of the connection", "HTTP/1.1 200 OK\r\nX-Id: {id}\r\nX-Signature: s\r\n\r\nabc!", gather.VerdictAnswered, "abc"},
		{"after an interim one", "HTTP/1.1 100 Continue\r\n\r\n" + ok("abc"), gather.VerdictAnswered, "abc"},
		{"after one to an earlier request", strings.ReplaceAll(ok("old"), "{id}", "r0") + ok("abc"), gather.VerdictAnswered, "abc"},
		{"cut short", "HTTP/1.1 200 OK\r\nX-Id: {id}\r\nX-Signature: s\r\nContent-Length: 9\r\n\r\nabc!", gather.VerdictLost, ""},
		{"cut short in chunks", "HTTP/1.1 200 OK\r\nX-Id: {id}\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n!", gather.VerdictLost, ""},
		{"that are no answer", "garbage\r\n\r\n!", gather.VerdictLost, ""},
		{"that never come", "!", gather.VerdictLost, ""},
		{"only to other requests", strings.Repeat(strings.ReplaceAll(ok("old"), "{id}", "r0"), 3), gather.VerdictLost, ""},
		{"without a signature", "HTTP/1.1 200 OK\r\nX-Id: {id}\r\nContent-Length: 0\r\n\r\n", gather.VerdictInvalid, ""},
		{"that fail with a signature", "HTTP/1.1 500 Oops\r\nX-Id: {id}\r\nX-Signature: s\r\nContent-Length: 0\r\n\r\n", gather.VerdictFailed, ""},
		{"that refuse", "HTTP/1.1 503 Full\r\nX-Id: {id}\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", gather.VerdictRefused, ""},
		{"of another server", "HTTP/1.1 421 Misdirected\r\nX-Id: {id}\r\nX-Server: b\r\nContent-Length: 0\r\n\r\n", gather.VerdictMisplaced, ""},
		{"of a server that may be another", "HTTP/1.1 421 Misdirected\r\nX-Id: {id}\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", gather.VerdictMisplaced, ""},
		{"that fail without a word", "HTTP/1.1 503 Down\r\nX-Id: {id}\r\nContent-Length: 0\r\n\r\n", gather.VerdictInvalid, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newScriptedServer(t, c.answer)
			r := newTransport(t).Do(context.Background(), s.call("r1"))
			assertVerdict(t, r, c.want)
			if c.want == gather.VerdictAnswered {
				assertAnswered(t, r, c.body)
			}
		})
	}
}

// A server runs a request and fails with 421, which other servers answer without running it: a request that may run once would be sent again.
func TestMisdirected(t *testing.T) {
	for _, headers := range []string{"X-Server: a\r\nX-Signature: s\r\n", "X-Server: a\r\n", "X-Signature: s\r\n", "X-Server:\r\nX-Not-Run:\r\n"} {
		s := newScriptedServer(t, "HTTP/1.1 421 Misdirected\r\nX-Id: {id}\r\n"+headers+"Content-Length: 0\r\n\r\n")
		if r := newTransport(t).Do(context.Background(), s.call("r1")); r.Verdict.NotRun() {
			t.Errorf("verdict on 421 with %q is %v, want one that leaves open whether the request ran", headers, r.Verdict)
		}
	}
}

func TestReuse(t *testing.T) {
	t.Run("of a connection after a whole answer", func(t *testing.T) {
		s, tr := newScriptedServer(t, ok("one"), ok("two")), newTransport(t)
		assertAnswered(t, tr.Do(context.Background(), s.call("r1")), "one")
		assertAnswered(t, tr.Do(context.Background(), s.call("r2")), "two")
		assertDials(t, s, 1)
	})
	for _, c := range []struct{ name, first string }{
		{"not after the server's word that it closes", "HTTP/1.1 200 OK\r\nX-Id: {id}\r\nX-Signature: s\r\nConnection: close\r\nContent-Length: 3\r\n\r\none"},
		{"not after bytes that nobody asked for", ok("one") + ok("extra")},
		{"not after an answer that does not say whose it is", "HTTP/1.1 200 OK\r\nX-Signature: s\r\nContent-Length: 3\r\n\r\none"},
		{"not when the server says that it closes idle ones at once", "HTTP/1.1 200 OK\r\nX-Id: {id}\r\nX-Signature: s\r\nKeep-Alive: timeout=0\r\nContent-Length: 3\r\n\r\none"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, tr := newScriptedServer(t, c.first, ok("never")), newTransport(t)
			assertAnswered(t, tr.Do(context.Background(), s.call("r1")), "one")
			tr.Do(context.Background(), s.call("r2"))
			assertDials(t, s, 2)
		})
	}
	// Bytes after an answer may look like a refusal of the next request, which then runs all the same.
	for _, status := range []string{"200 OK", "400 Bad", "408 Late", "421 Misdirected", "429 Busy", "500 Oops", "503 Full"} {
		t.Run("not of one whose answer on a used connection names nobody: "+status, func(t *testing.T) {
			untagged := "HTTP/1.1 " + status + "\r\nX-Signature: s\r\nX-Not-Run: 1\r\nContent-Length: 3\r\n\r\ntwo"
			s, tr := newScriptedServer(t, ok("one"), untagged+ok("own")), newTransport(t)
			assertAnswered(t, tr.Do(context.Background(), s.call("r1")), "one")
			assertVerdict(t, tr.Do(context.Background(), s.call("r2")), gather.VerdictLost)
		})
	}
}

// Guards against the late copy of a refusal that counts as the refusal of a second attempt, which runs: the ID of both is the same.
func TestSecondAttempt(t *testing.T) {
	refused := "HTTP/1.1 503 Full\r\nX-Id: {id}\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	t.Run("takes no connection of the first", func(t *testing.T) {
		s, tr := newScriptedServer(t, refused, refused+ok("never")), newTransport(t)
		for range 3 {
			assertVerdict(t, tr.Do(context.Background(), s.call("r1")), gather.VerdictRefused)
		}
		assertDials(t, s, 3)
	})
	t.Run("takes another idle connection", func(t *testing.T) {
		s, tr := newScriptedServer(t, ok("one"), ok("two"), ok("three")), newTransport(t)
		call := func(id string) link.Call {
			c := s.call(id)
			c.MaxConnections = 2
			return c
		}
		for _, id := range []string{"r1", "r1", "r2", "r2"} {
			if r := tr.Do(context.Background(), call(id)); r.Verdict != gather.VerdictAnswered {
				t.Fatalf("verdict is %v, want an answer", r.Verdict)
			}
		}
		assertDials(t, s, 2)
	})
	t.Run("may take it once the time of the first is over", func(t *testing.T) {
		s, tr := newScriptedServer(t, ok("one"), ok("two")), newTransport(t)
		first := s.call("r1")
		first.Deadline = time.Now().Add(200 * time.Millisecond)
		assertAnswered(t, tr.Do(context.Background(), first), "one")
		time.Sleep(time.Until(first.Deadline) + 5*time.Millisecond)
		assertAnswered(t, tr.Do(context.Background(), s.call("r1")), "two")
		assertDials(t, s, 1)
	})
	t.Run("of a request without an ID takes a new connection", func(t *testing.T) {
		untagged := "HTTP/1.1 400 No ID\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
		s, tr := newScriptedServer(t, untagged, untagged), newTransport(t)
		for range 2 {
			assertVerdict(t, tr.Do(context.Background(), s.call("")), gather.VerdictRefused)
		}
		assertDials(t, s, 2)
	})
}

// Guards against connections that hold as much memory as the IDs of the requests that they have carried are long.
func TestLongIDs(t *testing.T) {
	const requests, idBytes, mostBytes = 900, 15_000, 2 << 20
	s, tr := newScriptedServer(t, slices.Repeat([]string{ok("own")}, requests)...), newTransport(t)
	before := heapBytes()
	for i := range requests {
		assertAnswered(t, tr.Do(context.Background(), s.call(fmt.Sprintf("%0*d", idBytes, i))), "own")
	}
	if held := heapBytes() - before; held > mostBytes {
		t.Errorf("a connection holds %d bytes after %d requests, want at most %d", held, requests, mostBytes)
	}
	assertDials(t, s, 1)
}

// heapBytes returns the bytes on the heap that are in use.
func heapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

func TestUnreachable(t *testing.T) {
	t.Run("server gets nothing, and the result says so", func(t *testing.T) {
		s := newScriptedServer(t)
		call := s.call("r1")
		_ = s.listener.Close()
		r := newTransport(t).Do(context.Background(), call)
		assertVerdict(t, r, gather.VerdictUnsent)
		if !r.Unresponsive {
			t.Error("the result does not report an unresponsive server")
		}
	})
	t.Run("by lack of a free connection is no fault of the server", func(t *testing.T) {
		s, tr := newScriptedServer(t, "HTTP/1.1 100 Continue\r\n\r\n"), newTransport(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go tr.Do(ctx, s.call("r1"))
		<-s.dials
		r := tr.Do(context.Background(), s.call("r2"))
		assertVerdict(t, r, gather.VerdictUnsent)
		if r.Unresponsive {
			t.Error("the result reports an unresponsive server")
		}
	})
}

func TestCancel(t *testing.T) {
	s, tr := newScriptedServer(t, "HTTP/1.1 100 Continue\r\n\r\n"), newTransport(t)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-s.dials
		cancel()
	}()
	r := tr.Do(ctx, s.call("r1"))
	t.Run("ends the call", func(t *testing.T) {
		if r.Verdict == gather.VerdictAnswered {
			t.Error("call was answered after it was cancelled")
		}
	})
	t.Run("closes the connection, so that the server stops work", func(t *testing.T) {
		if n := tr.OpenConnections(); n != 0 {
			t.Errorf("%d connections are open, want 0", n)
		}
	})
}

// Guards against sending a request that was revoked while its connection was being opened, and against revoking a request
// that was sent.
func TestPermit(t *testing.T) {
	t.Run("taken back before", func(t *testing.T) {
		s, tr := newScriptedServer(t, ok("one")), newTransport(t)
		c := s.call("r1")
		for range 2 {
			if !c.Permit.Revoke() {
				t.Error("a request that was not sent could not be revoked")
			}
		}
		r := tr.Do(context.Background(), c)
		assertVerdict(t, r, gather.VerdictUnsent)
		if !r.Revoked {
			t.Error("the result does not report that the request was revoked")
		}
		assertAnswered(t, tr.Do(context.Background(), s.call("r2")), "one")
	})
	t.Run("sent before", func(t *testing.T) {
		s, tr := newScriptedServer(t, ok("one")), newTransport(t)
		c := s.call("r1")
		assertAnswered(t, tr.Do(context.Background(), c), "one")
		if c.Permit.Revoke() {
			t.Error("a request that was sent could be revoked")
		}
	})
}
