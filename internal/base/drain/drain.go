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
	// pollInterval is the time between checks whether a draining server has requests in progress.
	pollInterval = 5 * time.Millisecond
	// maxAcceptWait bounds the wait for connections that are open but not yet accepted; closing the listener resets them.
	maxAcceptWait = 250 * time.Millisecond
	// acceptPollInterval is the time between checks for such connections.
	acceptPollInterval = time.Millisecond
	// handshakeWait is how long a connection whose opening has begun may take to be open, after which the listener is closed.
	handshakeWait = 25 * time.Millisecond
	// firstRequestTimeout is how long after its acceptance a connection may still send its first request; clients give up sooner.
	firstRequestTimeout = time.Second
)

// Server serves HTTP on one listener.
type Server struct {
	http     *http.Server
	listener net.Listener
	// socket is the listener's socket, nil if the listener gives no access to one.
	socket syscall.Conn
	// stopped is closed when no more connections are accepted; err, set before, is the reason.
	stopped chan struct{}
	err     error

	mu    sync.Mutex
	conns map[net.Conn]connState
}

// connState is the state of an open connection and when it was entered.
type connState struct {
	http.ConnState
	since time.Time
}

// Listen opens a TCP listener that can be sealed, which one of Multipath TCP can't.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	var lc net.ListenConfig
	lc.SetMultipathTCP(false)
	l, err := lc.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Errorf("listen at %s: %w", address, err)
	}
	return l, nil
}

// Serve starts to serve on a listener, wrapped by wrap if that is not nil. It returns the server and a function that closes it at
// once, which aborts requests in progress. It calls srv.ConnState after its own.
func Serve(l net.Listener, wrap func(net.Listener) net.Listener, srv *http.Server) (*Server, func()) {
	s := &Server{http: srv, listener: l, stopped: make(chan struct{}), conns: make(map[net.Conn]connState)}
	if socket, ok := l.(syscall.Conn); ok {
		s.socket = socket
	}
	if wrap != nil {
		s.listener = wrap(l)
	}
	next := srv.ConnState
	srv.ConnState = func(c net.Conn, st http.ConnState) {
		s.recordState(c, st)
		if next != nil {
			next(c, st)
		}
	}
	go func() {
		s.err = srv.Serve(s.listener)
		close(s.stopped)
	}()
	return s, func() { _ = srv.Close() }
}

// Stopped returns a channel that is closed when the server accepts no more connections.
func (s *Server) Stopped() <-chan struct{} { return s.stopped }

// Err returns the error for which the server accepts no more connections. It may be called only after Stopped is closed.
func (s *Server) Err() error { return s.err }

// Drain stops accepting connections, closes idle ones and returns when all requests on the others have been answered. It returns an
// error if ctx ends first.
func (s *Server) Drain(ctx context.Context) error {
	quiet := time.Duration(0)
	if s.seal() {
		quiet = handshakeWait
	}
	s.awaitAccepted(ctx, quiet)
	if err := s.listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return errors.Errorf("close listener: %w", err)
	}
	// Once Serve has returned, conns contains all accepted connections.
	<-s.stopped
	s.http.SetKeepAlivesEnabled(false)
	for s.busy(time.Now()) {
		if !clock.Sleep(ctx, pollInterval) {
			return errors.Errorf("drain with requests in progress: %w", ctx.Err())
		}
	}
	return nil
}

// awaitAccepted waits until no connection has waited to be accepted for a time.
func (s *Server) awaitAccepted(ctx context.Context, quiet time.Duration) {
	last := time.Now()
	for now, end := last, last.Add(maxAcceptWait); now.Before(end); now = time.Now() {
		if s.hasUnaccepted() {
			last = now
		} else if now.Sub(last) >= quiet {
			return
		}
		if !clock.Sleep(ctx, acceptPollInterval) {
			return
		}
	}
}

// busy reports whether a connection has a request in progress or is still within the time for its first one.
func (s *Server) busy(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, st := range s.conns {
		switch st.ConnState {
		case http.StateActive:
			return true
		case http.StateNew:
			if now.Sub(st.since) < firstRequestTimeout {
				return true
			}
		case http.StateIdle, http.StateHijacked, http.StateClosed:
		}
	}
	return false
}

// hasUnaccepted reports whether open connections wait to be accepted.
func (s *Server) hasUnaccepted() bool {
	if s.socket == nil {
		return false
	}
	raw, err := s.socket.SyscallConn()
	if err != nil {
		// The listener is already closed.
		return false
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		n, err = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	})
	return err == nil && n > 0
}

func (s *Server) recordState(c net.Conn, st http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if st == http.StateClosed || st == http.StateHijacked {
		delete(s.conns, c)
		return
	}
	s.conns[c] = connState{st, time.Now()}
}
