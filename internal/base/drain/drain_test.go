package drain_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/drain"
)

// testTimeout bounds the wait for events that should happen immediately.
const testTimeout = 10 * time.Second

// rig is a server whose requests complete when the test allows it.
type rig struct {
	t       *testing.T
	server  *drain.Server
	address string
	// started receives a value when a request starts; the request completes after it has received one from finish.
	started, finish chan struct{}
	drained         chan error
}

// slowListener delays each accept, as happens on a busy VM.
type slowListener struct{ net.Listener }

func (l slowListener) Accept() (net.Conn, error) {
	time.Sleep(5 * time.Millisecond)
	return l.Listener.Accept()
}

func newRig(t *testing.T) *rig {
	t.Helper()
	return newRigOn(t, nil)
}

// newRigOn returns a rig whose listener is wrapped by a function.
func newRigOn(t *testing.T, wrap func(net.Listener) net.Listener) *rig {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, address: l.Addr().String(), started: make(chan struct{}, 9), finish: make(chan struct{}, 9), drained: make(chan error, 1)}
	handler := func(w http.ResponseWriter, _ *http.Request) {
		r.started <- struct{}{}
		<-r.finish
		_, _ = io.WriteString(w, "whole")
	}
	s, closeNow := drain.Serve(l, wrap, &http.Server{Handler: http.HandlerFunc(handler), ReadHeaderTimeout: testTimeout})
	t.Cleanup(closeNow)
	r.server = s
	return r
}

func (r *rig) dial() net.Conn {
	r.t.Helper()
	c, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", r.address)
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { _ = c.Close() })
	if err := c.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		r.t.Fatal(err)
	}
	return c
}

func (r *rig) send(c net.Conn) {
	r.t.Helper()
	if _, err := fmt.Fprintf(c, "GET /x HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
		r.t.Fatal(err)
	}
}

// accepted waits until the server has accepted all connections opened so far, by completing a request on one more connection.
func (r *rig) accepted() {
	r.t.Helper()
	r.finish <- struct{}{}
	c := r.dial()
	r.send(c)
	<-r.started
	r.assertAnswered(c)
}

func (r *rig) drain(ctx context.Context) {
	go func() { r.drained <- r.server.Drain(ctx) }()
	<-r.server.Stopped()
}

// assertWaits checks that Drain has not returned after 50 ms, within which a server that does not wait returns.
func (r *rig) assertWaits() {
	r.t.Helper()
	time.Sleep(50 * time.Millisecond)
	if len(r.drained) > 0 {
		r.t.Error("Drain returned before all connections were served")
	}
}

func (r *rig) assertAnswered(c net.Conn) {
	r.t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		r.t.Errorf("read answer: %v", err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if body, err := io.ReadAll(resp.Body); err != nil || string(body) != "whole" {
		r.t.Errorf("got body %q (%v), want whole", body, err)
	}
}

func (r *rig) assertDrained(want bool) {
	r.t.Helper()
	select {
	case err := <-r.drained:
		if (err == nil) != want {
			r.t.Errorf("Drain returned %v, want success: %t", err, want)
		}
	case <-time.After(testTimeout):
		r.t.Error("Drain did not return")
	}
}

// TestDrain guards against requests that are dropped at shutdown: on connections that are opened, accepted or in use when it starts.
func TestDrain(t *testing.T) {
	t.Run("answers the first request of a connection that was accepted before", func(t *testing.T) {
		r := newRig(t)
		c := r.dial()
		r.accepted()
		r.drain(context.Background())
		r.assertWaits()
		r.send(c)
		r.finish <- struct{}{}
		r.assertAnswered(c)
		r.assertDrained(true)
	})
	t.Run("answers on connections that were opened but not accepted", func(t *testing.T) {
		const clients = 3
		r := newRigOn(t, func(l net.Listener) net.Listener { return slowListener{l} })
		var conns []net.Conn
		for range clients {
			conns = append(conns, r.dial())
		}
		r.drain(context.Background())
		for _, c := range conns {
			r.finish <- struct{}{}
			r.send(c)
			r.assertAnswered(c)
		}
		r.assertDrained(true)
	})
	t.Run("waits for a request in progress", func(t *testing.T) {
		r := newRig(t)
		c := r.dial()
		r.send(c)
		<-r.started
		r.drain(context.Background())
		r.assertWaits()
		r.finish <- struct{}{}
		r.assertAnswered(c)
		r.assertDrained(true)
	})
	t.Run("does not wait for idle connections, nor long for ones without a request", func(t *testing.T) {
		r := newRig(t)
		r.dial()
		r.accepted()
		r.drain(context.Background())
		r.assertDrained(true)
	})
	t.Run("refuses connections", func(t *testing.T) {
		r := newRig(t)
		r.drain(context.Background())
		r.assertDrained(true)
		if c, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", r.address); err == nil {
			_ = c.Close()
			t.Error("a connection was accepted")
		}
	})
	t.Run("says when its time ends before the requests do", func(t *testing.T) {
		r := newRig(t)
		r.send(r.dial())
		<-r.started
		ctx, cancel := context.WithCancel(context.Background())
		r.drain(ctx)
		cancel()
		r.assertDrained(false)
		r.finish <- struct{}{}
	})
}

// TestDrainUnderLoad guards against connections that the kernel accepts as the listener closes: their requests end with a reset.
func TestDrainUnderLoad(t *testing.T) {
	const rounds, clients, dialTimeout = 40, 16, 50 * time.Millisecond
	var sent, lost atomic.Int64
	for range rounds {
		l, err := drain.Listen(context.Background(), "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		handler := func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") }
		s, closeNow := drain.Serve(l, nil, &http.Server{Handler: http.HandlerFunc(handler), ReadHeaderTimeout: testTimeout})
		var wg sync.WaitGroup
		for range clients {
			wg.Go(func() {
				for {
					c, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(context.Background(), "tcp", l.Addr().String())
					if err != nil {
						return
					}
					sent.Add(1)
					_, err = fmt.Fprintf(c, "GET /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
					if answer, readErr := io.ReadAll(c); err != nil || readErr != nil || !strings.HasSuffix(string(answer), "whole") {
						lost.Add(1)
					}
					_ = c.Close()
				}
			})
		}
		time.Sleep(5 * time.Millisecond)
		if err := s.Drain(context.Background()); err != nil {
			t.Error(err)
		}
		wg.Wait()
		closeNow()
	}
	if lost.Load() > 0 {
		t.Errorf("%d of %d requests on open connections were not answered", lost.Load(), sent.Load())
	}
}
