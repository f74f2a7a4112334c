package link_test

import (
	"context"
	"net"
	"testing"

	"kumquatreel.example/kumquatreel/internal/tier/gather"
)

// newResettingServer returns a server that resets each connection as it accepts it, as one does that has too many.
func newResettingServer(t *testing.T) *scriptedServer {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	}()
	return &scriptedServer{listener: l}
}

// A server with too many connections resets a new one. A request that may run only once must not be lost by that: it has not been sent.
func TestResetOnAccept(t *testing.T) {
	t.Run("leaves a request that may run once unsent", func(t *testing.T) {
		s := newResettingServer(t)
		for range 50 {
			c := s.call("r1")
			c.RunOnce = true
			r := newTransport(t).Do(context.Background(), c)
			assertVerdict(t, r, gather.VerdictUnsent)
			if r.Unresponsive {
				t.Error("the result reports an unresponsive server")
			}
		}
	})
	t.Run("does not concern connections that stay", func(t *testing.T) {
		s, tr := newScriptedServer(t, ok("one"), ok("two")), newTransport(t)
		for _, body := range []string{"one", "two"} {
			c := s.call("request " + body)
			c.RunOnce = true
			assertAnswered(t, tr.Do(context.Background(), c), body)
		}
		assertDials(t, s, 1)
	})
}
