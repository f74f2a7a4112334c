package netio_test

import (
	"context"
	"net"
	"testing"

	"kumquatreel.example/kumquatreel/internal/wire/netio"
)

// pipeNetwork is a network whose connections are in-memory pipes; it keeps the remote end of the last one.
type pipeNetwork struct{ remote net.Conn }

func (p *pipeNetwork) Listen(string) (net.Listener, error) { return nil, net.ErrClosed }

func (p *pipeNetwork) Dial(context.Context, string) (net.Conn, error) {
	local, remote := net.Pipe()
	p.remote = remote
	return local, nil
}

// TestWatchedTellsOfLostConnections guards against losses that are not reported, are reported twice, or were caused by this side.
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
			p := &pipeNetwork{}
			conn, err := netio.Watched{Network: p, OnLost: func() { lost++ }}.Dial(t.Context(), "anywhere")
			if err != nil {
				t.Fatal(err)
			}
			_ = p.remote.Close()
			c.use(conn)
			if lost != c.want {
				t.Errorf("%d losses reported, want %d", lost, c.want)
			}
		})
	}
}
