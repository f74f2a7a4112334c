package link

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	readBufferBytes = 4 << 10
	// defaultIdleTimeout is the idle timeout of a server that announces none.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutFraction of the idle timeout is used, so that the server does not close the connection as a request is sent.
	idleTimeoutFraction = 0.8
	// maxStaleAnswers is how many answers to earlier requests are read before the connection is closed.
	maxStaleAnswers = 3
)

var (
	errStale     = errors.New("answers on the connection belong to other requests")
	errUntagged  = errors.New("answer on a reused connection has no request ID")
	errTooLarge  = errors.New("answer exceeds the size limit")
	errBusy      = errors.New("no free connection to the server")
	errRevoked   = errors.New("request was revoked before it was sent")
	errTruncated = errors.New("answer is truncated")
)

// conn is a connection that carries one request at a time.
type conn struct {
	net.Conn
	br          *bufio.Reader
	uses        int
	idleSince   time.Time
	idleTimeout time.Duration
}

func newConn(c net.Conn) *conn {
	return &conn{Conn: c, br: bufio.NewReaderSize(c, readBufferBytes), idleTimeout: defaultIdleTimeout}
}

// reusable reports whether an idle connection can carry a request: it is within its idle timeout, still open, and has
// received no bytes.
func (c *conn) reusable(now time.Time) bool {
	if now.Sub(c.idleSince) > time.Duration(idleTimeoutFraction*float64(c.idleTimeout)) || c.br.Buffered() > 0 {
		return false
	}
	tcp, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	wouldBlock := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		wouldBlock = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && wouldBlock
}

// exchange reads the answer to a request that has been written and skips answers to earlier ones. It also reports whether
// the connection can be reused.
func (c *conn) exchange(method, idHeader, id string, maxBytes int64) (*Answer, bool, error) {
	for range maxStaleAnswers {
		answer, closes, err := c.read(method, maxBytes)
		if err != nil {
			return nil, false, err
		}
		echoed := answer.Header.Get(idHeader)
		if echoed != "" && echoed != id {
			if closes {
				return nil, false, errStale
			}
			continue
		}
		if echoed == "" && c.uses > 0 && answer.Status < 300 {
			return nil, false, errUntagged
		}
		c.applyKeepAlive(answer.Header.Get("Keep-Alive"))
		return answer, !closes && echoed != "" && c.br.Buffered() == 0, nil
	}
	return nil, false, errStale
}

// read returns the next final answer on the connection, complete with its body, and whether the server closes the
// connection after it. Interim answers are skipped.
func (c *conn) read(method string, maxBytes int64) (*Answer, bool, error) {
	for {
		resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
		if err != nil {
			return nil, false, errors.Errorf("read answer: %w", err)
		}
		body, err := readBody(resp, maxBytes)
		if err := errors.Join(err, resp.Body.Close()); err != nil {
			return nil, false, err
		}
		if resp.StatusCode >= http.StatusOK || resp.StatusCode == http.StatusSwitchingProtocols {
			return &Answer{Status: resp.StatusCode, Header: resp.Header, Body: body}, resp.Close, nil
		}
	}
}

func readBody(resp *http.Response, maxBytes int64) ([]byte, error) {
	if resp.ContentLength > maxBytes {
		return nil, errTooLarge
	}
	if resp.ContentLength >= 0 {
		body := make([]byte, resp.ContentLength)
		if _, err := io.ReadFull(resp.Body, body); err != nil {
			return nil, errors.Errorf("%w: %w", errTruncated, err)
		}
		return body, nil
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBytes+1))
	if err != nil {
		return nil, errors.Errorf("%w: %w", errTruncated, err)
	}
	if int64(len(body)) > maxBytes {
		return nil, errTooLarge
	}
	return body, nil
}

func (c *conn) applyKeepAlive(keepAlive string) {
	for field := range strings.SplitSeq(keepAlive, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(field), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil && n >= 0 {
			c.idleTimeout = time.Duration(n) * time.Second
		}
	}
}
