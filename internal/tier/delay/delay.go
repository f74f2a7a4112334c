package delay

import (
	"context"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// NewListener returns a listener whose TCP connections ConnContext recognizes, even if another listener wraps them.
func NewListener(l net.Listener) net.Listener { return listener{l} }

type listener struct{ net.Listener }

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err //nolint:wrapcheck // net/http tries again after some.
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		return conn{tcp}, nil
	}
	return c, nil
}

type conn struct{ *net.TCPConn }

// RemoteAddr returns the client's address with the connection attached to it, since wrappers of a connection expose only the methods
// of net.Conn.
func (c conn) RemoteAddr() net.Addr { return address{c.TCPConn.RemoteAddr(), c.TCPConn} }

type address struct {
	net.Addr
	conn *net.TCPConn
}

type connKey struct{}

// ConnContext adds the connection to the context of its requests. It is used as the ConnContext of an http.Server.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	if a, ok := c.RemoteAddr().(address); ok {
		return context.WithValue(ctx, connKey{}, a.conn)
	}
	return ctx
}

// RTT returns the kernel's estimate of the round-trip time to the client of a request, given the request's context. It returns false
// if the connection is not from NewListener, has been closed or has not been measured yet.
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
		// The connection has been closed, or the kernel has not measured it yet.
		return 0, false
	}
	return time.Duration(info.Rtt) * time.Microsecond, true
}
