package link

import (
	"net"
	"runtime"
	"testing"
	"time"

	"kumquatreel.example/kumquatreel/internal/tier/header"
)

// Two calls wait for a connection, and two connections become free before either call has run. Both calls must get one.
func TestTwoWaiters(t *testing.T) {
	// With one processor, neither call runs between the two returns.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	for range 20 {
		p := &pool{target: header.Target{Server: "a"}, memory: &byteBudget{}, freed: make(chan struct{}, 1), open: 2}
		errs := make(chan error, 2)
		for range 2 {
			go func() {
				_, _, err := p.get(t.Context(), "r1", 2, time.Now().Add(time.Hour))
				errs <- err
			}()
		}
		time.Sleep(5 * time.Millisecond)
		for range 2 {
			client, server := net.Pipe()
			t.Cleanup(func() { _ = server.Close() })
			p.put(newConn(client, p.memory), true)
		}
		for range 2 {
			if err := <-errs; err != nil {
				t.Fatalf("a call got no connection, though two became free: %v", err)
			}
		}
	}
}

// A connection that is returned after its server has been removed is closed and no longer counts as open.
func TestPutAfterClose(t *testing.T) {
	p := &pool{target: header.Target{Server: "a"}, memory: &byteBudget{}, freed: make(chan struct{}, 1), open: 1}
	client, server := net.Pipe()
	defer func() { _ = server.Close() }()
	p.close()
	p.put(newConn(client, p.memory), true)
	if p.open != 0 {
		t.Errorf("%d connections count as open, want none", p.open)
	}
	if _, err := client.Write([]byte("x")); err == nil {
		t.Error("the connection is still open")
	}
}
