package link

import (
	"bufio"
	"bytes"
	"hash/maphash"
	"io"
	"math"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatreel.example/kumquatreel/internal/base/status"
)

const (
	readBufferBytes = 4 << 10
	// defaultIdleTimeout is the idle timeout of a server that announces none.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutFraction of the idle timeout is used, so that the server does not close the connection as a request is sent.
	idleTimeoutFraction = 0.8
	// maxHeadBytes bounds the status line and the headers of an answer.
	maxHeadBytes = 64 << 10
	// maxShownBytes is how much of a status line an error shows.
	maxShownBytes = 40
	// maxInterimAnswers is how many interim answers (1xx) may come before the final one.
	maxInterimAnswers = 8
	// maxStaleAnswers is how many answers to earlier requests are read before the connection is closed.
	maxStaleAnswers = 3
	// maxCarried bounds the requests that a connection remembers. One that has carried more which may be sent again is closed.
	maxCarried = 1024
)

var (
	errStale      = errors.New("answers on the connection belong to other requests")
	errUntagged   = errors.New("answer on a reused connection has no request ID")
	errUnsigned   = errors.New("answer has no signature")
	errSignatures = errors.New("answer has more than one signature")
	errEncoded    = errors.New("body of the answer is encoded")
	errTooLarge   = errors.New("answer exceeds the size limit")
	errBusy       = errors.New("no free connection to the server")
	errRevoked    = errors.New("request was revoked before it was sent")
	errTruncated  = errors.New("answer is truncated")
	errInterim    = errors.New("too many interim answers")
	errBodied     = errors.New("interim answer has a body")
	errUnasked    = errors.New("server sent bytes on a new connection before a request")
	errMemory     = errors.New("too many bytes of answers are held")
)

// conn is a connection that carries one request at a time.
type conn struct {
	net.Conn
	br     *bufio.Reader
	limit  *limitedReader
	memory *byteBudget
	uses   int
	opened time.Time
	// carried holds the requests that the connection has carried and that may be sent again.
	carried     []carried
	idleSince   time.Time
	idleTimeout time.Duration
}

// carried is a request that a connection has carried, until its deadline. It holds a hash of the request's ID, which may be long: two IDs with one
// hash only cost a new connection.
type carried struct {
	id    uint64
	until time.Time
}

var idSeed = maphash.MakeSeed()

func hashID(id string) uint64 { return maphash.String(idSeed, id) }

func newConn(c net.Conn, memory *byteBudget) *conn {
	limit := &limitedReader{r: c}
	return &conn{
		Conn: c, br: bufio.NewReaderSize(limit, readBufferBytes), limit: limit, memory: memory, opened: time.Now(), idleTimeout: defaultIdleTimeout,
	}
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

// mayCarry reports whether the answer to a request can be told from late copies of all answers before it on the connection. It cannot if an
// earlier attempt at the same request was made on the connection, or if the request has no ID.
func (c *conn) mayCarry(now time.Time, id string) bool {
	if c.uses == 0 {
		return true
	}
	c.carried = slices.DeleteFunc(c.carried, func(r carried) bool { return now.After(r.until) })
	hash := hashID(id)
	return id != "" && !slices.ContainsFunc(c.carried, func(r carried) bool { return r.id == hash })
}

// recordUse records that the connection has carried a request, and reports whether it may carry further ones.
func (c *conn) recordUse(id string, until time.Time) bool {
	c.uses++
	c.carried = append(c.carried, carried{hashID(id), until})
	return len(c.carried) < maxCarried
}

// awaitReset waits for a time and returns an error if the server closes or resets the connection, or sends bytes that nobody asked for.
func (c *conn) awaitReset(d time.Duration) error {
	c.limit.left = maxHeadBytes
	if err := c.SetReadDeadline(time.Now().Add(d)); err != nil {
		return errors.Errorf("wait on a new connection: %w", err)
	}
	_, err := c.br.Peek(1)
	switch {
	case err == nil:
		return errUnasked
	case isTimeout(err):
		return nil
	}
	return errors.Errorf("server ended a new connection: %w", err)
}

// exchange reads the answer to a request that has been written and skips answers to earlier ones. It also reports whether
// the connection can be reused. An answer without an ID is accepted only to the first request on a connection: whatever its status, it may
// be left over from an earlier one.
func (c *conn) exchange(method, idHeader, id string, maxBytes int64) (*Answer, bool, error) {
	for range maxStaleAnswers {
		answer, closes, err := c.read(method, maxBytes)
		if err != nil {
			return nil, false, err
		}
		echoed := answer.Header.Get(idHeader)
		if echoed != "" && echoed != id {
			answer.Release()
			if closes {
				return nil, false, errStale
			}
			continue
		}
		if echoed == "" && c.uses > 0 {
			answer.Release()
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
	for range maxInterimAnswers {
		c.limit.left = maxHeadBytes
		buffered := c.br.Buffered()
		if err := c.checkStatus(); err != nil {
			return nil, false, err
		}
		resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
		if err != nil {
			return nil, false, errors.Errorf("read answer: %w", err)
		}
		if err := status.CheckHead(resp); err != nil {
			return nil, false, errors.Errorf("read answer: %w", err)
		}
		if status.Interim(resp.StatusCode) {
			if hasBody(resp) {
				return nil, false, errors.Errorf("status line %q: %w", resp.Proto+" "+resp.Status, errBodied)
			}
			continue
		}
		head := maxHeadBytes - c.limit.left + int64(buffered-c.br.Buffered())
		c.limit.left = math.MaxInt64
		body, err := c.readBody(resp, head, maxBytes)
		if err != nil {
			// Close would read the rest of the body, which may have no end. The caller closes the connection.
			return nil, false, err
		}
		answer := &Answer{Status: resp.StatusCode, Header: resp.Header, Body: body, memory: holding{budget: c.memory}}
		answer.memory.bytes.Store(head + int64(len(body)))
		if err := resp.Body.Close(); err != nil {
			answer.Release()
			return nil, false, errors.Errorf("close answer: %w", err)
		}
		return answer, resp.Close, nil
	}
	return nil, false, errInterim
}

// checkStatus returns an error unless the next bytes begin an answer with a valid status. It takes no more of a line than it has to.
func (c *conn) checkStatus() error {
	for n := 1; ; n++ {
		line, err := c.br.Peek(n)
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return errors.Errorf("read answer: %w", err)
		}
		if n == status.LineBytes || line[n-1] == '\n' {
			rest, _ := c.br.Peek(min(c.br.Buffered(), maxShownBytes))
			if end := bytes.IndexByte(rest, '\n'); end >= 0 {
				rest = rest[:end+1]
			}
			_, err := status.Parse(rest)
			return err
		}
	}
}

func hasBody(interim *http.Response) bool {
	length := interim.Header.Get("Content-Length")
	return length != "" && length != "0" || interim.Header.Get("Transfer-Encoding") != "" || len(interim.TransferEncoding) > 0
}

// readBody returns the complete body of an answer, whose head has the given size. Memory is taken as the bytes arrive, whatever length is
// announced. Unless an error is returned, head and body stay held.
func (c *conn) readBody(resp *http.Response, head, maxBytes int64) (body []byte, err error) {
	if resp.ContentLength > maxBytes {
		return nil, errTooLarge
	}
	var pieces [][]byte
	total := int64(0)
	allowed := c.memory.take(head)
	defer func() {
		if err != nil {
			c.memory.drop(head + total)
		} else {
			c.memory.complete(head + total)
		}
	}()
	size := int64(minPieceBytes)
	if resp.ContentLength >= 0 {
		size = min(resp.ContentLength, maxPieceBytes)
	}
	for {
		piece := make([]byte, size)
		n, err := Fill(resp.Body, piece)
		pieces = append(pieces, piece[:n])
		total += int64(n)
		allowed = c.memory.take(int64(n)) && allowed
		switch {
		case total > maxBytes:
			return nil, errTooLarge
		case !allowed:
			return nil, errMemory
		case errors.Is(err, io.EOF) || err == nil && total == resp.ContentLength:
			return join(pieces), nil
		case err != nil:
			return nil, errors.Errorf("%w: %w", errTruncated, err)
		}
		size = min(2*size, maxPieceBytes)
	}
}

// Fill reads until p is full. Unlike io.ReadFull, it returns the reader's own error, which tells an end from a truncation.
func Fill(r io.Reader, p []byte) (n int, err error) {
	for n < len(p) && err == nil {
		var m int
		m, err = r.Read(p[n:])
		n += m
	}
	return n, err
}

func join(pieces [][]byte) []byte {
	if len(pieces) == 1 {
		return pieces[0]
	}
	return slices.Concat(pieces...)
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
