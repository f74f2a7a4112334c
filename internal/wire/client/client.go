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
	"kumquatreel.example/kumquatreel/internal/wire/netio"
	"kumquatreel.example/kumquatreel/internal/wire/public"
)

const (
	maxAnswer   = 64 << 20
	connsByVM   = 256
	maxAttempts = 4
)

// Client is a caller of one team; it may be used by several goroutines at once.
type Client struct {
	http  *http.Client
	seeds []string
	team  ident.Team
	key   string

	mu        sync.Mutex
	addresses []string
	until     time.Time
}

// New returns a client that asks the seeds for the directory, and a function that closes its connections.
func New(n netio.Network, seeds []string, team ident.Team, key string) (*Client, func()) {
	t, closeIdle := netio.Transport(n, connsByVM)
	return &Client{http: &http.Client{Transport: t}, seeds: seeds, team: team, key: key}, closeIdle
}

// Error is a refusal or failure that the system answered with, or the loss of its answer.
type Error struct {
	failure public.Failure
}

// Error returns the code and the message.
func (e *Error) Error() string { return e.failure.Code.String() + ": " + e.failure.Message }

// Code returns the stable code.
func (e *Error) Code() fault.Code { return e.failure.Code }

// NotRun reports whether the request certainly did not run.
func (e *Error) NotRun() bool { return e.failure.NotRun }

// Query sends a request and repeats it elsewhere while it certainly did not run and the failure may pass.
func (c *Client) Query(ctx context.Context, q public.Query) (*public.Answer, error) {
	var last error
	for try := range maxAttempts {
		address, err := c.address(ctx, try)
		if err != nil {
			return nil, err
		}
		answer, err := c.QueryAt(ctx, address, q)
		if err == nil {
			return answer, nil
		}
		last = err
		var e *Error
		if !errors.As(err, &e) || !e.NotRun() || !passing(e.Code()) {
			return nil, err
		}
		if e.Code() != fault.CodeOverloaded {
			c.forget()
		}
	}
	return nil, last
}

// passing reports whether another VM may do what one refused.
func passing(code fault.Code) bool {
	switch code {
	case fault.CodeUnavailable, fault.CodeStale, fault.CodeLeaving, fault.CodeOverloaded, fault.CodeNotOwner:
		return true
	default:
		return false
	}
}

// QueryAt sends a request to one address, once.
func (c *Client) QueryAt(ctx context.Context, address string, q public.Query) (*public.Answer, error) {
	var answer public.Answer
	if err := c.post(ctx, address, public.PathQuery, q, &answer); err != nil {
		return nil, err
	}
	return &answer, nil
}

// Tickets returns tickets for requests that may run once.
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

// Directory asks for the addresses to use, whether or not an earlier answer may still be kept.
func (c *Client) Directory(ctx context.Context) (*public.Directory, error) {
	var last error
	for _, seed := range c.seeds {
		var d public.Directory
		err := netio.Get(ctx, c.http, seed, public.PathDirectory+"?team="+string(c.team), &d, maxAnswer)
		if err == nil {
			return &d, nil
		}
		last = err
	}
	return nil, errors.Errorf("directory: %w", last)
}

func (c *Client) address(ctx context.Context, try int) (string, error) {
	if addresses := c.kept(); len(addresses) > 0 {
		return addresses[try%len(addresses)], nil
	}
	d, err := c.Directory(ctx)
	if err != nil {
		return "", err
	}
	if len(d.Addresses) == 0 {
		return "", errors.New("the directory names no address")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addresses = d.Addresses
	c.until = time.Now().Add(time.Duration(d.TTLMillis) * time.Millisecond)
	return c.addresses[try%len(c.addresses)], nil
}

// kept returns the addresses of an earlier answer while they may be kept.
func (c *Client) kept() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().After(c.until) {
		return nil
	}
	return c.addresses
}

func (c *Client) forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.until = time.Time{}
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
	sent, req := netio.TraceConn(req)
	resp, err := c.http.Do(req)
	if err != nil {
		return lost(sent(), err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return lost(true, err)
	}
	if resp.StatusCode == http.StatusOK {
		if err := json.Unmarshal(body, reply); err != nil {
			return errors.Errorf("decode answer: %w", err)
		}
		return nil
	}
	var f public.Failure
	if err := json.Unmarshal(body, &f); err != nil {
		return errors.Errorf("status %d without a reason: %w", resp.StatusCode, err)
	}
	return &Error{failure: f}
}

func lost(sent bool, err error) error {
	f := public.Failure{Code: fault.CodeUnavailable, Message: err.Error(), NotRun: !sent}
	if sent {
		f.Code = fault.CodeOutcomeUnknown
	}
	return &Error{failure: f}
}
