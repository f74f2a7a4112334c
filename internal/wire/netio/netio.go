package netio

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatreel.example/kumquatreel/internal/base/drain"
)

const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 2 * time.Minute
	maxHeader     = 16 << 10
	dialTimeout   = 2 * time.Second
)

// Network opens listeners and connections.
type Network interface {
	Listen(address string) (net.Listener, error)
	Dial(ctx context.Context, address string) (net.Conn, error)
}

// TCP is the machine's own network.
type TCP struct{}

// Listen opens a TCP listener.
func (TCP) Listen(address string) (net.Listener, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, errors.Errorf("listen on %s: %w", address, err)
	}
	return l, nil
}

// Dial opens a TCP connection.
func (TCP) Dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Errorf("dial %s: %w", address, err)
	}
	return conn, nil
}

// Transport returns an HTTP transport over a network with at most conns connections to a host, and a function that closes its idle ones.
func Transport(n Network, conns int) (*http.Transport, func()) {
	t := &http.Transport{
		DialContext:         func(ctx context.Context, _, address string) (net.Conn, error) { return n.Dial(ctx, address) },
		MaxConnsPerHost:     conns,
		MaxIdleConnsPerHost: conns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	return t, t.CloseIdleConnections
}

// Watched is a network that tells when the other end of one of its connections closes it.
type Watched struct {
	Network
	OnLost func()
}

// Dial opens a connection that is watched.
func (w Watched) Dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := w.Network.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &watchedConn{Conn: conn, lost: w.OnLost}, nil
}

type watchedConn struct {
	net.Conn
	lost   func()
	closed atomic.Bool
}

// Read reports an end that this side did not cause.
func (c *watchedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.check(err)
	return n, err
}

// Write reports an end that this side did not cause.
func (c *watchedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.check(err)
	return n, err
}

func (c *watchedConn) check(err error) {
	if err != nil && !isTimeout(err) && !c.closed.Swap(true) {
		c.lost()
	}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// Close closes the connection from this side.
func (c *watchedConn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}

// Serve serves HTTP on an address until the returned function is called, which waits for requests in progress as long as its context lasts.
func Serve(n Network, address string, h http.Handler) (string, func(context.Context) error, error) {
	l, err := n.Listen(address)
	if err != nil {
		return "", nil, err
	}
	s, cut := drain.Serve(l, nil, &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader})
	stop := func(ctx context.Context) error {
		defer cut()
		if err := s.Drain(ctx); err != nil {
			return errors.Errorf("stop serving on %s: %w", address, err)
		}
		return nil
	}
	return l.Addr().String(), stop, nil
}

// ReadJSON fills v from a body of at most limit bytes and refuses unknown fields.
func ReadJSON(r io.Reader, limit int64, v any) error {
	raw, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return errors.Errorf("read body: %w", err)
	}
	if int64(len(raw)) > limit {
		return errors.Errorf("read body: %w", ErrTooLarge)
	}
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return errors.Errorf("decode body: %w", err)
	}
	if dec.More() {
		return errors.New("decode body: text after the first value")
	}
	return nil
}

// ErrTooLarge tells that a body is longer than its limit.
var ErrTooLarge = errors.New("body too large")

// WriteJSON writes v with a status.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// Post sends v as JSON and fills reply from a 200 answer of at most limit bytes.
func Post(ctx context.Context, c *http.Client, address, path string, v, reply any, limit int64) error {
	raw, err := json.Marshal(v)
	if err != nil {
		return errors.Errorf("encode %s: %w", path, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(raw))
	if err != nil {
		return errors.Errorf("prepare %s: %w", path, err)
	}
	req.Header.Set("Content-Type", "application/json")
	return do(c, req, reply, limit)
}

// Get fills reply from a 200 answer of at most limit bytes.
func Get(ctx context.Context, c *http.Client, address, path string, reply any, limit int64) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return errors.Errorf("prepare %s: %w", path, err)
	}
	return do(c, req, reply, limit)
}

// StatusError is an answer with a status other than 200.
type StatusError struct {
	status int
	body   []byte
}

// Error returns the status in words.
func (e *StatusError) Error() string { return "status " + http.StatusText(e.status) }

// Status returns the HTTP status.
func (e *StatusError) Status() int { return e.status }

// Body returns the answer's body.
func (e *StatusError) Body() []byte { return e.body }

func do(c *http.Client, req *http.Request, reply any, limit int64) error {
	resp, err := c.Do(req)
	if err != nil {
		return errors.Errorf("ask %s: %w", req.URL.Path, err)
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return errors.Errorf("read %s: %w", req.URL.Path, err)
	}
	if int64(len(raw)) > limit {
		return errors.Errorf("read %s: %w", req.URL.Path, ErrTooLarge)
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("ask %s: %w", req.URL.Path, &StatusError{status: resp.StatusCode, body: raw})
	}
	if reply == nil {
		return nil
	}
	if err := json.Unmarshal(raw, reply); err != nil {
		return errors.Errorf("decode %s: %w", req.URL.Path, err)
	}
	return nil
}

// TraceConn returns a request and a function that reports whether a connection was found for it, so that the peer may have seen it.
func TraceConn(req *http.Request) (func() bool, *http.Request) {
	var connected atomic.Bool
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	return connected.Load, req.WithContext(ctx)
}
