package server

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// limitedListener counts connections, delays the first read of each new one by Model.ConnectCost, and closes those
// above Model.Connections.
type limitedListener struct {
	net.Listener
	server *Server
}

// Accept returns the next connection that is within the connection limit.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, errors.Errorf("accept: %w", err)
		}
		if c, ok := l.server.admit(conn); ok {
			return c, nil
		}
		_ = conn.Close()
	}
}

func (s *Server) admit(conn net.Conn) (net.Conn, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().Before(s.downUntil) {
		return nil, false
	}
	if s.conns >= s.model.Connections {
		s.record.OverConnections++
		return nil, false
	}
	s.conns++
	s.record.Connections++
	s.record.MaxConnections = max(s.record.MaxConnections, s.conns)
	c := &trackedConn{Conn: conn, server: s, readyAt: time.Now().Add(s.model.ConnectCost)}
	s.openConns[c] = struct{}{}
	return c, true
}

// trackedConn is an accepted connection; closing it lowers the server's connection count.
type trackedConn struct {
	net.Conn
	server  *Server
	readyAt time.Time
	once    sync.Once
}

// Read blocks until the connection cost has elapsed, then reads.
func (c *trackedConn) Read(b []byte) (int, error) {
	if d := time.Until(c.readyAt); d > 0 {
		time.Sleep(d)
	}
	return c.Conn.Read(b)
}

// Close closes the connection and lowers the server's connection count.
func (c *trackedConn) Close() error {
	c.once.Do(func() {
		// A restart closes connections with the lock held, so the count is lowered in another goroutine.
		go func() {
			c.server.mu.Lock()
			defer c.server.mu.Unlock()
			c.server.conns--
			delete(c.server.openConns, c)
		}()
	})
	return c.Conn.Close()
}
