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
	"kumquatreel.example/kumquatreel/internal/base/status"
)

const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 16 << 10
	dialTimeout       = 2 * time.Second
)

// Network opens listeners and connections.
type Network interface {
	Listen(address string) (net.Listener, error)
	Dial(ctx context.Context, address string) (net.Conn, error)
}

// TCP is the network of the operating system.
type TCP struct{}

// Listen opens a TCP listener.
func (TCP) Listen(address string) (net.Listener, error) {
	return drain.Listen(context.Background(), address)
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

// Transport returns an HTTP transport over a network with at most conns connections per host, and a function that closes idle ones.
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

// Watched is a network that calls OnLost once for each dialled connection that the peer closes or that fails.
type Watched struct {
	Network
	OnLost func()
}

// Dial opens a connection whose loss is reported to OnLost.
func (w Watched) Dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := w.Network.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &watchedConn{Conn: conn, onLost: w.OnLost}, nil
}

type watchedConn struct {
	net.Conn
	onLost func()
	closed atomic.Bool
}

// Read reads from the connection and reports its loss, unless this side has closed it.
func (c *watchedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.notifyLoss(err)
	return n, err
}

// Write writes to the connection and reports its loss, unless this side has closed it.
func (c *watchedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.notifyLoss(err)
	return n, err
}

func (c *watchedConn) notifyLoss(err error) {
	if err != nil && !isTimeout(err) && !c.closed.Swap(true) {
		c.onLost()
	}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// Close closes the connection; its end is then not reported as a loss.
func (c *watchedConn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}

// Serve serves HTTP on an address. It returns the address that it listens on and a function that stops it: this waits for requests in
// progress until its context ends, and then returns an error.
func Serve(n Network, address string, h http.Handler) (string, func(context.Context) error, error) {
	l, err := n.Listen(address)
	if err != nil {
		return "", nil, err
	}
	s, closeNow := drain.Serve(l, nil,
		&http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes})
	stop := func(ctx context.Context) error {
		defer closeNow()
		if err := s.Drain(ctx); err != nil {
			return errors.Errorf("stop serving on %s: %w", address, err)
		}
		return nil
	}
	return l.Addr().String(), stop, nil
}

// ReadJSON decodes a body of at most limit bytes into v. It rejects unknown fields, and returns ErrTooLarge for a longer body.
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

// ErrTooLarge is returned for a body that is longer than its limit.
var ErrTooLarge = errors.New("body too large")

// WriteJSON writes an HTTP status and v as a JSON body.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// Post sends v as JSON and decodes a 200 response of at most limit bytes into reply. Any other status is a StatusError.
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

// Get decodes a 200 response of at most limit bytes into reply. Any other status is a StatusError.
func Get(ctx context.Context, c *http.Client, address, path string, reply any, limit int64) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return errors.Errorf("prepare %s: %w", path, err)
	}
	return do(c, req, reply, limit)
}

// StatusError is a response with a status other than 200.
type StatusError struct {
	status int
	body   []byte
}

// Error returns the text of the status, such as Not Found.
func (e *StatusError) Error() string { return "status " + http.StatusText(e.status) }

// Status returns the HTTP status.
func (e *StatusError) Status() int { return e.status }

// Body returns the body of the response.
func (e *StatusError) Body() []byte { return e.body }

func do(c *http.Client, req *http.Request, reply any, limit int64) error {
	resp, err := c.Do(req)
	if err != nil {
		return errors.Errorf("request %s: %w", req.URL.Path, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := status.CheckHead(resp); err != nil {
		return errors.Errorf("request %s: %w", req.URL.Path, err)
	}
	raw, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return errors.Errorf("read %s: %w", req.URL.Path, err)
	}
	if int64(len(raw)) > limit {
		return errors.Errorf("read %s: %w", req.URL.Path, ErrTooLarge)
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("request %s: %w", req.URL.Path, &StatusError{status: resp.StatusCode, body: raw})
	}
	if reply == nil {
		return nil
	}
	if err := json.Unmarshal(raw, reply); err != nil {
		return errors.Errorf("decode %s: %w", req.URL.Path, err)
	}
	return nil
}

// TraceConn returns a function and the request with a trace. The function reports whether the request got a connection, so that the
// peer may have received it.
func TraceConn(req *http.Request) (func() bool, *http.Request) {
	var connected atomic.Bool
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	return connected.Load, req.WithContext(ctx)
}
