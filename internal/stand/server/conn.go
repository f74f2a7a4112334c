package server

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// limited counts connections, lets each new one cost time and closes those above the limit.
type limited struct {
	net.Listener
	server *Server
}

// Accept waits for the next connection within the limit.
func (l *limited) Accept() (net.Conn, error) {
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
	c := &counted{Conn: conn, server: s, ready: time.Now().Add(s.model.ConnectCost)}
	s.open[c] = struct{}{}
	return c, true
}

// counted is a connection that frees its place when it closes.
type counted struct {
	net.Conn
	server *Server
	ready  time.Time
	once   sync.Once
}

// Read waits for the cost of the connection before the first byte.
func (c *counted) Read(b []byte) (int, error) {
	if d := time.Until(c.ready); d > 0 {
		time.Sleep(d)
	}
	return c.Conn.Read(b)
}

// Close frees the connection's place.
func (c *counted) Close() error {
	c.once.Do(func() {
		go func() {
			c.server.mu.Lock()
			defer c.server.mu.Unlock()
			c.server.conns--
			delete(c.server.open, c)
		}()
	})
	return c.Conn.Close()
}
