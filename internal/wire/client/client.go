package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatreel.example/kumquatreel/internal/base/fault"
	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/base/status"
	"kumquatreel.example/kumquatreel/internal/wire/netio"
	"kumquatreel.example/kumquatreel/internal/wire/public"
)

const (
	maxAnswerBytes = 64 << 20
	maxConnsPerVM  = 256
	maxAttempts    = 4
)

// Client sends requests on behalf of one team. It is safe for concurrent use.
type Client struct {
	http  *http.Client
	seeds []string
	team  ident.Team
	key   string

	mu        sync.Mutex
	addresses []string
	expiresAt time.Time
}

// New returns a client that requests the directory from the seed addresses, and a function that closes its idle connections.
func New(n netio.Network, seeds []string, team ident.Team, key string) (*Client, func()) {
	t, closeIdle := netio.Transport(n, maxConnsPerVM)
	return &Client{http: &http.Client{Transport: t}, seeds: seeds, team: team, key: key}, closeIdle
}

// Error is an error response of the system, or a transport error that left the client without a response.
type Error struct {
	failure public.Failure
}

// Error returns the code and the message.
func (e *Error) Error() string { return e.failure.Code.String() + ": " + e.failure.Message }

// Code returns the stable code of the error.
func (e *Error) Code() fault.Code { return e.failure.Code }

// NotRun reports whether the request certainly did not run.
func (e *Error) NotRun() bool { return e.failure.NotRun }

// Query sends a request. It retries at other addresses while the request certainly did not run and the error is retryable, with at
// most maxAttempts attempts in all.
func (c *Client) Query(ctx context.Context, q public.Query) (*public.Answer, error) {
	var last error
	for attempt := range maxAttempts {
		address, err := c.address(ctx, attempt)
		if err != nil {
			return nil, err
		}
		answer, err := c.QueryAt(ctx, address, q)
		if err == nil {
			return answer, nil
		}
		last = err
		var e *Error
		if !errors.As(err, &e) || !e.NotRun() || !retryable(e.Code()) {
			return nil, err
		}
		if e.Code() != fault.CodeOverloaded {
			c.invalidate()
		}
	}
	return nil, last
}

// retryable reports whether another VM may accept a request that failed with this code.
func retryable(code fault.Code) bool {
	switch code {
	case fault.CodeUnavailable, fault.CodeStale, fault.CodeLeaving, fault.CodeOverloaded, fault.CodeNotOwner:
		return true
	default:
		return false
	}
}

// QueryAt sends a request to one address without retries.
func (c *Client) QueryAt(ctx context.Context, address string, q public.Query) (*public.Answer, error) {
	var answer public.Answer
	if err := c.post(ctx, address, public.PathQuery, q, &answer); err != nil {
		return nil, err
	}
	return &answer, nil
}

// Tickets returns tickets for requests that may run only once.
func (c *Client) Tickets(ctx context.Context, count int) (*public.Tickets, error) {
	address, err := c.address(ctx, 0)
	if err != nil {
		return nil, err
	}
	var t public.Tickets
	if err := c.post(ctx, address, public.PathTickets, public.TicketsRequest{Count: count}, &t); err != nil {
		return nil, err
	}
	return &t, nil
}

// Directory requests the directory from the seeds in turn, bypassing the cache.
func (c *Client) Directory(ctx context.Context) (*public.Directory, error) {
	var last error
	for _, seed := range c.seeds {
		var d public.Directory
		err := netio.Get(ctx, c.http, seed, public.PathDirectory+"?team="+string(c.team), &d, maxAnswerBytes)
		if err == nil {
			return &d, nil
		}
		last = err
	}
	return nil, errors.Errorf("directory: %w", last)
}

func (c *Client) address(ctx context.Context, attempt int) (string, error) {
	if addresses := c.cachedAddresses(); len(addresses) > 0 {
		return addresses[attempt%len(addresses)], nil
	}
	d, err := c.Directory(ctx)
	if err != nil {
		return "", err
	}
	if len(d.Addresses) == 0 {
		return "", errors.New("the directory lists no address")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addresses = d.Addresses
	c.expiresAt = time.Now().Add(time.Duration(d.TTLMillis) * time.Millisecond)
	return c.addresses[attempt%len(c.addresses)], nil
}

// cachedAddresses returns the addresses of the last directory answer, or nil once it has expired.
func (c *Client) cachedAddresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().After(c.expiresAt) {
		return nil
	}
	return c.addresses
}

func (c *Client) invalidate() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expiresAt = time.Time{}
}

func (c *Client) post(ctx context.Context, address, path string, v, reply any) error {
	raw, err := json.Marshal(v)
	if err != nil {
		return errors.Errorf("encode request: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(raw))
	if err != nil {
		return errors.Errorf("prepare request: %w", err)
	}
	if c.key != "" {
		req.Header.Set("Authorization", "Bearer "+c.key)
	}
	connected, req := netio.TraceConn(req)
	resp, err := c.http.Do(req)
	if err != nil {
		return transportError(connected(), err)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := status.CheckHead(resp); err != nil {
		return transportError(true, err)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return transportError(true, err)
	}
	if resp.StatusCode == http.StatusOK {
		if err := json.Unmarshal(body, reply); err != nil {
			return errors.Errorf("decode answer: %w", err)
		}
		return nil
	}
	var f public.Failure
	if err := json.Unmarshal(body, &f); err != nil {
		return errors.Errorf("status %d without an error body: %w", resp.StatusCode, err)
	}
	return &Error{failure: f}
}

func transportError(sent bool, err error) error {
	f := public.Failure{Code: fault.CodeUnavailable, Message: err.Error(), NotRun: !sent}
	if sent {
		f.Code = fault.CodeOutcomeUnknown
	}
	return &Error{failure: f}
}
