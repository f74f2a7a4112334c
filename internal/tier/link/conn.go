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
	readBuffer = 4 << 10
	// idleDefault is how long a connection lies idle when its server names no time.
	idleDefault = 4 * time.Second
	// idleShare of the time that a server names is used, so that it does not close as a request is sent.
	idleShare = 0.8
	// staleMost bounds the answers to earlier requests that are passed over on one connection.
	staleMost = 3
)

var (
	errStale     = errors.New("answers on the connection belong to other requests")
	errUntagged  = errors.New("an answer on a used connection does not say which request it belongs to")
	errTooLarge  = errors.New("the answer is too large")
	errBusy      = errors.New("no connection is free")
	errTakenBack = errors.New("the request was taken back before it was sent")
	errTruncated = errors.New("the answer ended early")
)

// conn is a connection that is used by one request at a time.
type conn struct {
	net.Conn
	br        *bufio.Reader
	uses      int
	idleSince time.Time
	idleLimit time.Duration
}

func newConn(c net.Conn) *conn {
	return &conn{Conn: c, br: bufio.NewReaderSize(c, readBuffer), idleLimit: idleDefault}
}

// reusable reports whether an idle connection can take a request: it is not old, still open, and no bytes have come on it.
func (c *conn) reusable(now time.Time) bool {
	if now.Sub(c.idleSince) > time.Duration(idleShare*float64(c.idleLimit)) || c.br.Buffered() > 0 {
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
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// exchange reads the answer to a request that has been written, passing over answers to earlier ones.
func (c *conn) exchange(method, idHeader, id string, most int64) (*Answer, bool, error) {
	for range staleMost {
		answer, closes, err := c.read(method, most)
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
		c.noteKeepAlive(answer.Header.Get("Keep-Alive"))
		return answer, !closes && echoed != "" && c.br.Buffered() == 0, nil
	}
	return nil, false, errStale
}

// read returns the next final answer on the connection whole, and whether the connection ends with it.
func (c *conn) read(method string, most int64) (*Answer, bool, error) {
	for {
		resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
		if err != nil {
			return nil, false, errors.Errorf("read answer: %w", err)
		}
		body, err := readBody(resp, most)
		if err := errors.Join(err, resp.Body.Close()); err != nil {
			return nil, false, err
		}
		if resp.StatusCode >= http.StatusOK || resp.StatusCode == http.StatusSwitchingProtocols {
			return &Answer{Status: resp.StatusCode, Header: resp.Header, Body: body}, resp.Close, nil
		}
	}
}

func readBody(resp *http.Response, most int64) ([]byte, error) {
	if resp.ContentLength > most {
		return nil, errTooLarge
	}
	if resp.ContentLength >= 0 {
		body := make([]byte, resp.ContentLength)
		if _, err := io.ReadFull(resp.Body, body); err != nil {
			return nil, errors.Errorf("%w: %w", errTruncated, err)
		}
		return body, nil
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, most+1))
	if err != nil {
		return nil, errors.Errorf("%w: %w", errTruncated, err)
	}
	if int64(len(body)) > most {
		return nil, errTooLarge
	}
	return body, nil
}

func (c *conn) noteKeepAlive(text string) {
	for field := range strings.SplitSeq(text, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(field), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil && n >= 0 {
			c.idleLimit = time.Duration(n) * time.Second
		}
	}
}
