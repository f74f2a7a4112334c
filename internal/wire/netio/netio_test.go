package netio_test

import (
	"context"
	"net"
	"testing"

	"kumquatreel.example/kumquatreel/internal/wire/netio"
)

// pipes is a network whose connections end at a pipe.
type pipes struct{ far net.Conn }

func (p *pipes) Listen(string) (net.Listener, error) { return nil, net.ErrClosed }

func (p *pipes) Dial(context.Context, string) (net.Conn, error) {
	near, far := net.Pipe()
	p.far = far
	return near, nil
}

func TestWatchedTellsOfLostConnections(t *testing.T) {
	for name, c := range map[string]struct {
		use  func(net.Conn)
		want int
	}{
		"by a read":         {func(c net.Conn) { _, _ = c.Read(make([]byte, 1)) }, 1},
		"by a write":        {func(c net.Conn) { _, _ = c.Write([]byte("x")) }, 1},
		"once":              {func(c net.Conn) { _, _ = c.Write([]byte("x")); _, _ = c.Read(make([]byte, 1)) }, 1},
		"not of its own":    {func(c net.Conn) { _ = c.Close(); _, _ = c.Read(make([]byte, 1)) }, 0},
		"and not unused so": {func(net.Conn) {}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			lost := 0
			p := &pipes{}
			conn, err := netio.Watched{Network: p, OnLost: func() { lost++ }}.Dial(t.Context(), "anywhere")
			if err != nil {
				t.Fatal(err)
			}
			_ = p.far.Close()
			c.use(conn)
			if lost != c.want {
				t.Errorf("%d losses were told, want %d", lost, c.want)
			}
		})
	}
}
