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
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"kumquatreel.example/kumquatreel/internal/tier/gather"
	"kumquatreel.example/kumquatreel/internal/tier/header"
	"kumquatreel.example/kumquatreel/internal/tier/link"
)

// maxServerBytes bounds what an endlessServer sends on one connection if the client does not close it.
const maxServerBytes = 256 << 20

// endlessServer answers each request with a start and then sends a piece again and again until the client closes.
type endlessServer struct {
	*scriptedServer
	written atomic.Int64
	closed  chan struct{}
}

func newEndlessServer(t *testing.T, start, piece string) *endlessServer {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &endlessServer{scriptedServer: &scriptedServer{listener: l}, closed: make(chan struct{}, 1000)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.send(c, start, piece)
		}
	}()
	return s
}

func (s *endlessServer) send(c net.Conn, start, piece string) {
	defer func() { _ = c.Close(); s.closed <- struct{}{} }()
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	id := req.Header.Get("X-Id")
	if _, err := c.Write([]byte(strings.ReplaceAll(start, "{id}", id))); err != nil {
		return
	}
	block := []byte(strings.Repeat(piece, 1+(32<<10)/len(piece)))
	for sent := 0; sent < maxServerBytes; sent += len(block) {
		n, err := c.Write(block)
		s.written.Add(int64(n))
		if err != nil {
			return
		}
	}
}

// assertClosed checks that the client closes the connection of an ended call soon, instead of reading on.
func (s *endlessServer) assertClosed(t *testing.T) {
	t.Helper()
	select {
	case <-s.closed:
	case <-time.After(5 * time.Second):
		t.Errorf("the connection is still open after %d bytes", s.written.Load())
	}
}

const okHead = "HTTP/1.1 200 OK\r\nX-Id: {id}\r\nX-Signature: s\r\n"

var endless = map[string]struct {
	start, piece string
	maxBytes     int64
}{
	"status line":         {"HTTP/1.1 200 ", "x", 8 << 20},
	"header line":         {okHead + "X-Long: ", "x", 8 << 20},
	"header lines":        {okHead, "X-More: 1\r\n", 8 << 20},
	"interim answers":     {"", "HTTP/1.1 103 Early Hints\r\n\r\n", 8 << 20},
	"bytes that are none": {"", "\x00\xff", 8 << 20},
	"body without length": {okHead + "\r\n", "x", 32 << 20},
	"body in chunks":      {okHead + "Transfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("x", 0x1000) + "\r\n", 32 << 20},
	"chunk extension":     {okHead + "Transfer-Encoding: chunked\r\n\r\n1;", "x", 8 << 20},
	"trailers":            {okHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: 1\r\n", 8 << 20},
	"announced length":    {okHead + "Content-Length: 99999999999\r\n\r\n", "x", 8 << 20},
	"answers of others":   {"", "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 1\r\n\r\nx", 8 << 20},
}

// A server sends bytes that are no answer until the client closes the connection. The call must end long before its deadline and
// without an answer, after few bytes, and the connection must be closed.
func TestEndless(t *testing.T) {
	for name, tc := range endless {
		t.Run(name, func(t *testing.T) {
			s := newEndlessServer(t, tc.start, tc.piece)
			c := s.call("r1")
			c.Deadline = time.Now().Add(30 * time.Second)
			began := time.Now()
			r := newTransport(t).Do(t.Context(), c)
			assertVerdict(t, r, gather.VerdictLost)
			if took := time.Since(began); took > 10*time.Second {
				t.Errorf("took %v, want an end before the deadline", took)
			}
			s.assertClosed(t)
			// The kernel's buffers take a few megabytes beyond what was read.
			if n := s.written.Load(); n > tc.maxBytes {
				t.Errorf("%d bytes were taken, want at most %d", n, tc.maxBytes)
			}
		})
	}
}

// doConnected makes a call, again if its connection could not be opened in time: 200 connections at once can take a busy machine longer.
func doConnected(t *testing.T, tr *link.Transport, c link.Call) link.Result {
	t.Helper()
	var r link.Result
	for range 20 {
		c.Permit = &link.Permit{}
		if r = tr.Do(t.Context(), c); r.Verdict != gather.VerdictUnsent {
			break
		}
	}
	return r
}

// Bytes without end come on 200 connections at once. The heap must stay far below the memory of a small VM.
func TestEndlessMemory(t *testing.T) {
	const connections, maxHeap = 200, 128 << 20
	for _, name := range []string{"header line", "body without length", "body in chunks"} {
		t.Run(name, func(t *testing.T) {
			tr := newTransport(t)
			s := newEndlessServer(t, endless[name].start, endless[name].piece)
			runtime.GC()
			var wg sync.WaitGroup
			for range connections {
				c := s.call("r1")
				c.MaxConnections = connections
				c.Deadline = time.Now().Add(10 * time.Second)
				wg.Go(func() { assertVerdict(t, doConnected(t, tr, c), gather.VerdictLost) })
			}
			ended := make(chan struct{})
			go func() { wg.Wait(); close(ended) }()
			var peak uint64
			for running := true; running; {
				select {
				case <-ended:
					running = false
				case <-time.After(5 * time.Millisecond):
				}
				var m runtime.MemStats
				runtime.ReadMemStats(&m)
				peak = max(peak, m.HeapInuse)
			}
			if peak > maxHeap {
				t.Errorf("the heap grew to %d MB, want at most %d MB", peak>>20, maxHeap>>20)
			}
			if n := tr.OpenConnections(); n != 0 {
				t.Errorf("%d connections are still open", n)
			}
		})
	}
}

// A server announces a long answer and sends nothing. No memory may be taken for bytes that have not arrived.
func TestAnnouncedLength(t *testing.T) {
	tr := newTransport(t)
	s := newScriptedServer(t, okHead+"Content-Length: 16000000\r\n\r\nx")
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	var wg sync.WaitGroup
	for range 50 {
		wg.Go(func() {
			c := link.Call{
				Target: header.Target{Server: "a", Address: s.listener.Addr().String()}, Method: http.MethodGet, RequestID: "r1",
				Head: []byte("GET /x HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\n"), Deadline: time.Now().Add(300 * time.Millisecond),
				MaxConnections: 50, Permit: &link.Permit{},
			}
			assertVerdict(t, tr.Do(t.Context(), c), gather.VerdictLost)
		})
	}
	wg.Wait()
	runtime.ReadMemStats(&after)
	if grown := after.TotalAlloc - before.TotalAlloc; grown > 100<<20 {
		t.Errorf("%d MB were allocated for answers that did not come", grown>>20)
	}
}

// Complete answers are held until they are released. Guards against a bound for each answer only.
func TestHeldMemory(t *testing.T) {
	const bodyBytes, calls = 4 << 20, 12
	s, tr := newScriptedServer(t, slices.Repeat([]string{ok(strings.Repeat("x", bodyBytes))}, calls)...), newTransport(t)
	var held []*link.Answer
	for i := range calls {
		c := s.call(fmt.Sprintf("r%d", i))
		c.MaxConnections = calls
		r := tr.Do(t.Context(), c)
		if r.Answer == nil {
			assertVerdict(t, r, gather.VerdictLost)
			continue
		}
		held = append(held, r.Answer)
	}
	if n := len(held) * bodyBytes; n < 16<<20 || n > 32<<20 {
		t.Errorf("%d bytes are held, want 16 to 32 MB", n)
	}
	for _, a := range held {
		a.Release()
		a.Release()
	}
	if n := tr.HeldBytes(); n != 0 {
		t.Errorf("%d bytes count as held after the release, want none", n)
	}
	r := tr.Do(t.Context(), s.call("last"))
	assertVerdict(t, r, gather.VerdictAnswered)
	r.Answer.Release()
}

// A server does not read the large bodies of requests. No second copy of a body may be held beside it.
func TestBodyMemory(t *testing.T) {
	const calls, bodyBytes = 20, 4 << 20
	s, tr := newScriptedServer(t, "HTTP/1.1 100 Continue\r\n\r\n"), newTransport(t)
	body := [][]byte{make([]byte, bodyBytes)}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	var wg sync.WaitGroup
	for i := range calls {
		c := s.call(fmt.Sprintf("r%d", i))
		c.Body, c.MaxConnections, c.Deadline = body, calls, time.Now().Add(300*time.Millisecond)
		c.Head = fmt.Appendf(c.Head, "Content-Length: %d\r\n", bodyBytes)
		wg.Go(func() { assertVerdict(t, tr.Do(t.Context(), c), gather.VerdictLost) })
	}
	wg.Wait()
	runtime.ReadMemStats(&after)
	if grown := after.TotalAlloc - before.TotalAlloc; grown > calls*bodyBytes/4 {
		t.Errorf("%d bytes were allocated beside bodies of %d bytes", grown, calls*bodyBytes)
	}
}
