package delay

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// NewListener returns a listener whose connections can be measured, also when other packages wrap them.
func NewListener(l net.Listener) net.Listener { return listener{l} }

type listener struct{ net.Listener }

// Accept waits for the next connection.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, errors.Errorf("accept: %w", err)
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		return conn{tcp}, nil
	}
	return c, nil
}

type conn struct{ *net.TCPConn }

// RemoteAddr returns the caller's address together with the connection: wrappers hide all methods but those of net.Conn.
func (c conn) RemoteAddr() net.Addr { return address{c.TCPConn.RemoteAddr(), c.TCPConn} }

type address struct {
	net.Addr
	conn *net.TCPConn
}

type connKey struct{}

// ConnContext is the ConnContext of an http.Server.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	if a, ok := c.RemoteAddr().(address); ok {
		return context.WithValue(ctx, connKey{}, a.conn)
	}
	return ctx
}

// RTT returns the time that bytes take to the caller of a request and back, given the request's context, and false when
// nothing is known of it yet.
func RTT(ctx context.Context) (time.Duration, bool) {
	tcp, ok := ctx.Value(connKey{}).(*net.TCPConn)
	if !ok {
		return 0, false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0, false
	}
	var info *unix.TCPInfo
	cerr := raw.Control(func(fd uintptr) {
		info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if cerr != nil || err != nil || info.Rtt == 0 {
		// The connection has been closed meanwhile, or the kernel has not measured it.
		return 0, false
	}
	return time.Duration(info.Rtt) * time.Microsecond, true
}
