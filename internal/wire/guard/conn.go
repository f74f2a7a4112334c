package guard

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"kumquatreel.example/kumquatreel/internal/limit/hold"
)

const (
	// lineBytes is what a line of a head takes beside its bytes once it is parsed, byteCopies how often its bytes are held, earlyCopies how often if
	// its lines aren't known.
	lineBytes, byteCopies, earlyCopies = 128, 2, 16
	// lastWriteTimeout bounds the refusal of a head.
	lastWriteTimeout = 100 * time.Millisecond
	tooLarge         = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	noRoom           = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 0.100\r\nContent-Length: 0\r\n\r\n"
)

// past is a deadline that is over.
var past = time.Unix(1, 0)

// Conn is a connection of a client.
type Conn struct {
	net.Conn
	keeper *Keeper
	id     hold.ID
	head   func() HeadLimits
	stage  atomic.Int64
	closed sync.Once

	mu sync.Mutex
	// stopped says that nothing more is read.
	stopped bool
	// inHead says that what arrives is the head of a request. early says that a request has arrived, or may have, together with the one before: from
	// then on it isn't known where a head begins, so lines aren't counted.
	inHead, early bool
	started       bool
	limits        HeadLimits
	line          int
	lines, bytes  int
	// endsCR says that the line that has begun ends with a carriage return so far, begun that a line wasn't empty.
	endsCR, begun bool
	// complete says that the handler has the request.
	complete bool
	// after counts the bytes that arrived after the head.
	after int64
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	if c.stopped {
		c.mu.Unlock()
		return 0, os.ErrDeadlineExceeded
	}
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	if n > 0 {
		if answer := c.count(p[:n]); answer != "" {
			c.mu.Lock()
			if c.complete {
				// The byte belongs to the next request; the one that has arrived may run.
				c.mu.Unlock()
				return n, err //nolint:wrapcheck // As below.
			}
			c.stopped = true
			c.mu.Unlock()
			_ = c.SetWriteDeadline(time.Now().Add(lastWriteTimeout))
			_, _ = c.Write([]byte(answer))
			return 0, os.ErrDeadlineExceeded
		}
	}
	return n, err //nolint:wrapcheck // net/http compares the errors of a connection.
}

// count counts what arrived and returns the refusal if it isn't within the limits or has no room.
func (c *Conn) count(p []byte) (refusal string) {
	c.mu.Lock()
	if !c.inHead && c.started {
		c.after += int64(len(p))
		c.mu.Unlock()
		return ""
	}
	first := !c.started
	if first {
		c.limits = c.head()
	}
	c.started, c.inHead = true, true
	cost, within := c.countHead(p)
	c.mu.Unlock()
	if first {
		c.keeper.enter(c, hold.StageHead)
	}
	if !within {
		c.keeper.onClose(CauseHead)
		return tooLarge
	}
	if !c.keeper.grow(c, cost) {
		c.keeper.onClose(CauseFull)
		return noRoom
	}
	return ""
}

// countHead counts bytes of a head. It returns what they take, and whether the head is within its limits. The caller holds the lock.
func (c *Conn) countHead(p []byte) (cost int64, within bool) {
	if c.early {
		c.bytes += len(p)
		return earlyCopies * int64(len(p)), true
	}
	lines, size := c.lines, 0
	for c.inHead && size < len(p) {
		end := bytes.IndexByte(p[size:], '\n')
		if end < 0 {
			c.line += len(p) - size
			c.endsCR = p[len(p)-1] == '\r'
			size = len(p)
			break
		}
		line := p[size : size+end]
		size += end + 1
		c.lines++
		length := c.line + len(line)
		if len(line) > 0 && line[len(line)-1] == '\r' || len(line) == 0 && c.line > 0 && c.endsCR {
			length--
		}
		c.line = 0
		c.begun = c.begun || length > 0
		if length == 0 && c.begun {
			c.inHead = false
			c.after = int64(len(p) - size)
		}
	}
	c.bytes += size
	return byteCopies*int64(size) + lineBytes*int64(c.lines-lines), c.lines <= c.limits.Lines && c.bytes <= c.limits.Bytes
}

// Complete says that the head of a request has been read. length is that of its body, below 0 if it isn't known.
func (c *Conn) Complete(length int64) {
	c.mu.Lock()
	c.inHead, c.started, c.complete = false, true, true
	// A body of unknown length may be followed by a request.
	c.early = c.early || length < 0
	c.after -= max(0, length)
	c.mu.Unlock()
}

// Enter says that the request enters a stage.
func (c *Conn) Enter(s hold.Stage) { c.keeper.enter(c, s) }

// Grow asks for room for n more bytes that the request holds.
func (c *Conn) Grow(n int64) bool {
	if !c.Evicted() && c.keeper.grow(c, n) {
		return true
	}
	c.keeper.onClose(CauseFull)
	return false
}

// Evicted reports whether the connection has given way to others.
func (c *Conn) Evicted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stopped
}

// idle says that the request has been answered.
func (c *Conn) idle() {
	c.mu.Lock()
	c.early = c.early || c.after > 0
	c.begun, c.complete = false, false
	c.inHead, c.started, c.line, c.lines, c.bytes, c.after = false, false, 0, 0, 0, 0
	c.mu.Unlock()
	c.keeper.enter(c, hold.StageIdle)
}

// evict ends the connection. A body that arrives is still refused with an answer.
func (c *Conn) evict() {
	if hold.Stage(c.stage.Load()) != hold.StageBody {
		_ = c.Conn.Close()
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
	_ = c.Conn.SetReadDeadline(past)
}

// SetReadDeadline implements net.Conn. A connection that has given way reads nothing more.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		t = past
	}
	return c.Conn.SetReadDeadline(t) //nolint:wrapcheck // As Read.
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.closed.Do(func() { c.keeper.close(c) })
	return c.Conn.Close() //nolint:wrapcheck // As Read.
}

type connKey struct{}

// ConnContext adds the connection to the context of its requests.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	if g, ok := c.(*Conn); ok {
		return context.WithValue(ctx, connKey{}, g)
	}
	return ctx
}

// ConnState follows the states of connections. It is used as the ConnState of an http.Server.
func ConnState(c net.Conn, s http.ConnState) {
	if g, ok := c.(*Conn); ok && s == http.StateIdle {
		g.idle()
	}
}

// FromContext returns the connection of a request, or nil.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}
