package guard_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"kumquatreel.example/kumquatreel/internal/limit/hold"
	"kumquatreel.example/kumquatreel/internal/tier/delay"
	"kumquatreel.example/kumquatreel/internal/wire/guard"
)

const maxLines, maxBytes = 8, 2048

// newServer returns the address of a server that answers with the body of a request.
func newServer(t *testing.T, limits hold.Limits) (string, *guard.Keeper) {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	k := guard.NewKeeper(limits, func(guard.Cause) {})
	handler := func(w http.ResponseWriter, r *http.Request) {
		guard.FromContext(r.Context()).Complete(r.ContentLength)
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(body)
	}
	srv := &http.Server{
		Handler: http.HandlerFunc(handler), ConnContext: guard.ConnContext, ConnState: guard.ConnState, ReadHeaderTimeout: time.Second,
	}
	t.Cleanup(func() { _ = srv.Close() })
	go func() {
		_ = srv.Serve(k.Listener(l, 0, func() guard.HeadLimits { return guard.HeadLimits{Lines: maxLines, Bytes: maxBytes} }))
	}()
	return l.Addr().String(), k
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	return c
}

// assertStatuses sends a text in pieces of n bytes and checks the statuses of the answers.
func assertStatuses(t *testing.T, address, text string, n int, want ...int) {
	t.Helper()
	c := dial(t, address)
	go func() {
		for len(text) > 0 {
			m := min(n, len(text))
			if _, err := io.WriteString(c, text[:m]); err != nil {
				return
			}
			text = text[m:]
		}
	}()
	br := bufio.NewReader(c)
	for i, status := range want {
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			t.Fatalf("answer %d: %v", i, err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode != status {
			t.Errorf("answer %d has status %d, want %d", i, resp.StatusCode, status)
		}
	}
}

// TestHeads guards against heads that take far more than their bytes, and against bodies that are taken for heads.
func TestHeads(t *testing.T) {
	head := func(lines int, line, end string) string {
		return "POST / HTTP/1.1" + end + "Host: a" + end + "Content-Length: 60" + end + strings.Repeat(line+end, lines) + end
	}
	body := strings.Repeat("b\n\n", 20)
	limits := hold.Limits{Bytes: 1 << 20, Conns: []int{9}}
	for _, n := range []int{1, 7, 1 << 20} {
		for _, end := range []string{"\r\n", "\n"} {
			t.Run(fmt.Sprintf("pieces of %d, lines that end with %q", n, end), func(t *testing.T) {
				address, _ := newServer(t, limits)
				legal := head(4, "a: b", end) + body
				assertStatuses(t, address, legal, n, 200)
				assertStatuses(t, address, legal+legal+legal+legal, n, 200, 200, 200, 200)
				assertStatuses(t, address, head(9, "a:", end), n, 431)
				assertStatuses(t, address, head(1, "a: "+strings.Repeat("c", maxBytes), end), n, 431)
			})
		}
	}
	t.Run("empty lines", func(t *testing.T) {
		address, _ := newServer(t, limits)
		c := dial(t, address)
		for range 100 {
			if _, err := io.WriteString(c, "\r\n"); err != nil {
				break
			}
		}
		if _, err := io.ReadAll(c); err != nil && strings.Contains(err.Error(), "timeout") {
			t.Error("the connection stays open")
		}
	})
	t.Run("a chunked body", func(t *testing.T) {
		address, _ := newServer(t, limits)
		chunked := "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\n\n\r\n", 50) + "0\r\n\r\n"
		assertStatuses(t, address, chunked+chunked, 5, 200, 200)
	})
}

// TestRoom guards against clients that keep others out by staying connected.
func TestRoom(t *testing.T) {
	address, k := newServer(t, hold.Limits{Bytes: 1 << 20, Conns: []int{4}})
	for range 40 {
		_, _ = io.WriteString(dial(t, address), "POST / HTTP/1.1\r\nHost: a\r\n")
	}
	assertStatuses(t, address, "GET / HTTP/1.1\r\nHost: a\r\n\r\n", 99, 200)
	for _, s := range hold.StageValues() {
		if _, conns := k.Held(s); conns > 4 {
			t.Errorf("%s: %d connections, want at most 4", s, conns)
		}
	}
}

// Guards against lines that look like the end of a head to the listener and not to net/http, after which nothing would be counted.
func TestHeadEnds(t *testing.T) {
	const start = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n"
	lines := strings.Repeat("a: b\r\n", maxLines-4)
	for name, texts := range map[string][]string{
		"a line of one space, in two pieces":  {start + "a: b\r\n ", "\n" + lines},
		"empty lines before the next request": {start + "\r\n", "\r\n\r\n" + start + lines},
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := newServer(t, hold.Limits{Bytes: 1 << 20, Conns: []int{9}})
			c := dial(t, address)
			for _, text := range texts {
				_, _ = io.WriteString(c, text)
				time.Sleep(50 * time.Millisecond)
			}
			if answers, _ := io.ReadAll(c); !strings.Contains(string(answers), " 431 ") {
				t.Errorf("answers are %q, want a refusal", answers)
			}
		})
	}
}

// flaky is a listener whose first Accept fails for want of descriptors.
type flaky struct {
	net.Listener
	failed bool
}

// Accept implements net.Listener.
func (f *flaky) Accept() (net.Conn, error) {
	if !f.failed {
		f.failed = true
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return f.Listener.Accept()
}

// Guards against a listener that ends for good because descriptors ran out once.
func TestAcceptAgain(t *testing.T) {
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	k := guard.NewKeeper(hold.Limits{Bytes: 1 << 20, Conns: []int{4}}, func(guard.Cause) {})
	srv := &http.Server{Handler: http.NotFoundHandler(), ConnContext: guard.ConnContext, ConnState: guard.ConnState, ReadHeaderTimeout: time.Second}
	t.Cleanup(func() { _ = srv.Close() })
	go func() {
		_ = srv.Serve(k.Listener(delay.NewListener(&flaky{Listener: l}), 0, func() guard.HeadLimits {
			return guard.HeadLimits{Lines: maxLines, Bytes: maxBytes}
		}))
	}()
	assertStatuses(t, l.Addr().String(), "GET / HTTP/1.1\r\nHost: a\r\n\r\n", 99, 404)
}
