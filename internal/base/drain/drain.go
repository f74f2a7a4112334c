package drain

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"kumquatreel.example/kumquatreel/internal/base/clock"
)

const (
	// poll is how often a draining server looks whether it is done.
	poll = 5 * time.Millisecond
	// queueWait bounds the wait for connections that have been opened but not accepted, which closing the listener resets.
	queueWait = 250 * time.Millisecond
	// queuePause is the time between two looks at them.
	queuePause = time.Millisecond
	// firstRequest is how long a connection may wait with its first request after it was accepted; callers give up sooner.
	firstRequest = time.Second
)

// Server serves HTTP on one listener.
type Server struct {
	http     *http.Server
	listener net.Listener
	// queue is the listener's socket, nil when it is none of the system's.
	queue syscall.Conn
	// stopped is closed when no more connections are accepted; err is why, and set before.
	stopped chan struct{}
	err     error

	mu    sync.Mutex
	conns map[net.Conn]state
}

// state is what is known of an open connection.
type state struct {
	http.ConnState
	since time.Time
}

// Serve starts to serve on a listener, as wrapped by a function if that is not nil, and returns a function that ends it at once,
// cutting requests. It takes over the ConnState of srv.
func Serve(l net.Listener, wrap func(net.Listener) net.Listener, srv *http.Server) (*Server, func()) {
	s := &Server{http: srv, listener: l, stopped: make(chan struct{}), conns: make(map[net.Conn]state)}
	if queue, ok := l.(syscall.Conn); ok {
		s.queue = queue
	}
	if wrap != nil {
		s.listener = wrap(l)
	}
	srv.ConnState = s.note
	go func() {
		s.err = srv.Serve(s.listener)
		close(s.stopped)
	}()
	return s, func() { _ = srv.Close() }
}

// Stopped is closed when the server accepts no more connections.
func (s *Server) Stopped() <-chan struct{} { return s.stopped }

// Err returns why the server accepts no more connections; it may be called once Stopped is closed.
func (s *Server) Err() error { return s.err }

// Drain accepts no more connections, closes idle ones and returns when all requests on the others have been answered. It
// returns an error when ctx ends first.
func (s *Server) Drain(ctx context.Context) error {
	for end := time.Now().Add(queueWait); s.waiting() && time.Now().Before(end); {
		if !clock.Sleep(ctx, queuePause) {
			break
		}
	}
	if err := s.listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return errors.Errorf("close listener: %w", err)
	}
	// Only then all connections that were accepted are known.
	<-s.stopped
	s.http.SetKeepAlivesEnabled(false)
	for s.busy(time.Now()) {
		if !clock.Sleep(ctx, poll) {
			return errors.Errorf("drain with requests in progress: %w", ctx.Err())
		}
	}
	return nil
}

// busy reports whether a connection has a request in progress or may still send its first one.
func (s *Server) busy(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, st := range s.conns {
		switch st.ConnState {
		case http.StateActive:
			return true
		case http.StateNew:
			if now.Sub(st.since) < firstRequest {
				return true
			}
		case http.StateIdle, http.StateHijacked, http.StateClosed:
		}
	}
	return false
}

// waiting reports whether connections wait to be accepted.
func (s *Server) waiting() bool {
	if s.queue == nil {
		return false
	}
	raw, err := s.queue.SyscallConn()
	if err != nil {
		// The listener has been closed before.
		return false
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		n, err = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	})
	return err == nil && n > 0
}

func (s *Server) note(c net.Conn, st http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if st == http.StateClosed || st == http.StateHijacked {
		delete(s.conns, c)
		return
	}
	s.conns[c] = state{st, time.Now()}
}
