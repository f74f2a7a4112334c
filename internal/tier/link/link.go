package link

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/tier/gather"
	"kumquatreel.example/kumquatreel/internal/tier/header"
)

const (
	// dialLimit bounds the opening of a connection; a host without power does not answer at all.
	dialLimit = 300 * time.Millisecond
	// waitLimit is how long a request waits for one of the server's connections.
	waitLimit = 60 * time.Millisecond
	// ackLimit ends a connection on which sent bytes are not acknowledged.
	ackLimit = time.Second
	// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which the syscall package does not name.
	tcpUserTimeout = 18
	// answerMost bounds an answer in bytes; answers are held whole before they are passed on.
	answerMost = 16 << 20
	// writeAhead is the size of a body beyond which it is written while the answer is read.
	writeAhead = 16 << 10
)

// Call is one request to one server.
type Call struct {
	Target header.Target
	Method string
	// Head is the request line and the headers that do not depend on the server.
	Head []byte
	Body []byte
	// RequestID is returned in the answer.
	RequestID string
	// Deadline is when the server is to stop work.
	Deadline time.Time
	// MaxConnections is how many connections the VM may have to the server.
	MaxConnections int
	// Permit allows the call to be taken back until it is sent.
	Permit *Permit
}

// Answer is a server's whole answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Result is how a call ended; Answer is set if the server gave one.
type Result struct {
	Verdict gather.Verdict
	Answer  *Answer
	Err     error
	// Unresponsive says that the server could not be reached or did not answer in time.
	Unresponsive bool
	// Dialed says that a connection was opened for the call.
	Dialed bool
	// Revoked says that the call was taken back before it was sent.
	Revoked bool
}

// Transport holds the connections of a VM to all backend servers.
type Transport struct {
	names header.Names
	mu    sync.Mutex
	pools map[header.Target]*pool
}

type pool struct {
	target header.Target
	mu     sync.Mutex
	idle   []*conn
	open   int
	free   chan struct{}
	shut   bool
}

// New returns Links without connections and a function that closes the idle ones.
func New(names header.Names) (*Transport, func()) {
	l := &Transport{names: names, pools: make(map[header.Target]*pool)}
	return l, l.closeAll
}

// Do makes a call and returns when it has ended or ctx has.
func (l *Transport) Do(ctx context.Context, c Call) Result {
	p := l.pool(c.Target)
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	cn, dialed, err := p.get(ctx, c.MaxConnections)
	if err != nil {
		return Result{Verdict: gather.VerdictUnsent, Err: err, Unresponsive: !errors.Is(err, errBusy) && !errors.Is(err, context.Canceled), Dialed: dialed}
	}
	if !c.Permit.use() {
		p.put(cn, true)
		return Result{Verdict: gather.VerdictUnsent, Err: errTakenBack, Revoked: true, Dialed: dialed}
	}
	stop := context.AfterFunc(ctx, func() { _ = cn.SetDeadline(time.Unix(1, 0)) })
	answer, keep, sent, err := l.exchange(cn, c)
	keep = stop() && keep
	cn.uses++
	p.put(cn, keep)
	switch {
	case err != nil && !sent:
		return Result{Verdict: gather.VerdictUnsent, Err: err, Dialed: dialed}
	case err != nil:
		return Result{Verdict: gather.VerdictLost, Err: err, Unresponsive: errors.Is(err, syscall.ETIMEDOUT) || isTimeout(err), Dialed: dialed}
	}
	return Result{Verdict: l.judge(answer), Answer: answer, Dialed: dialed}
}

// Forget closes the idle connections of a server that is gone.
func (l *Transport) Forget(t header.Target) {
	l.mu.Lock()
	p := l.pools[t]
	delete(l.pools, t)
	l.mu.Unlock()
	if p != nil {
		p.close()
	}
}

// Retain forgets all servers but those given.
func (l *Transport) Retain(known func(ident.Server) bool) {
	l.mu.Lock()
	var gone []header.Target
	for t := range l.pools {
		if !known(t.Server) {
			gone = append(gone, t)
		}
	}
	l.mu.Unlock()
	for _, t := range gone {
		l.Forget(t)
	}
}

// OpenConnections returns how many connections there are.
func (l *Transport) OpenConnections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, p := range l.pools {
		p.mu.Lock()
		n += p.open
		p.mu.Unlock()
	}
	return n
}

func (l *Transport) exchange(cn *conn, c Call) (answer *Answer, keep, sent bool, err error) {
	head := l.head(c)
	wrote := make(chan error, 1)
	if len(c.Body) > writeAhead {
		go func() {
			buffers := net.Buffers{head, c.Body}
			_, err := buffers.WriteTo(cn.Conn)
			wrote <- err
		}()
	} else {
		n, err := cn.Write(append(head, c.Body...))
		if err != nil {
			return nil, false, n > 0, errors.Errorf("send request: %w", err)
		}
		wrote <- nil
	}
	answer, keep, err = cn.exchange(c.Method, l.names.RequestID, c.RequestID, answerMost)
	select {
	case werr := <-wrote:
		keep = keep && werr == nil
	default:
		// The server has answered before it read the whole body; the rest must not be taken for a request.
		keep = false
	}
	return answer, keep, true, err
}

func (l *Transport) head(c Call) []byte {
	b := make([]byte, 0, len(c.Head)+160+len(c.Body))
	b = append(b, c.Head...)
	b = append(b, l.names.RemainingMs...)
	b = append(b, ": "...)
	b = strconv.AppendInt(b, max(1, time.Until(c.Deadline).Milliseconds()), 10)
	b = append(b, "\r\n"...)
	b = append(b, l.names.ExpectedServer...)
	b = append(b, ": "...)
	b = append(b, c.Target.Server...)
	return append(b, "\r\n\r\n"...)
}

func (l *Transport) judge(a *Answer) gather.Verdict {
	switch {
	case a.Status == http.StatusMisdirectedRequest:
		return gather.VerdictMisplaced
	case a.Header.Get(l.names.NotRun) != "":
		return gather.VerdictRefused
	case a.Status >= 200 && a.Status < 300 && a.Header.Get(l.names.Signature) != "":
		return gather.VerdictAnswered
	}
	return gather.VerdictFailed
}

func (l *Transport) pool(t header.Target) *pool {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.pools[t]
	if p == nil {
		p = &pool{target: t, free: make(chan struct{}, 1)}
		l.pools[t] = p
	}
	return p
}

func (l *Transport) closeAll() { l.Retain(func(ident.Server) bool { return false }) }

// get returns an idle connection, or opens one, or waits for one when there are as many as there may be.
func (p *pool) get(ctx context.Context, most int) (*conn, bool, error) {
	deadline := time.Now().Add(waitLimit)
	for {
		cn, mayDial := p.take(time.Now(), most)
		if cn != nil {
			return cn, false, nil
		}
		if mayDial {
			cn, err := p.dial(ctx)
			return cn, true, err
		}
		wait := time.NewTimer(time.Until(deadline))
		select {
		case <-p.free:
			wait.Stop()
		case <-wait.C:
			return nil, false, errBusy
		case <-ctx.Done():
			wait.Stop()
			return nil, false, errors.Errorf("wait for a connection: %w", ctx.Err())
		}
	}
}

func (p *pool) take(now time.Time, most int) (cn *conn, mayDial bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		cn = p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if cn.reusable(now) {
			return cn, false
		}
		p.open--
		_ = cn.Close()
	}
	if p.open < max(1, most) {
		p.open++
		return nil, true
	}
	return nil, false
}

func (p *pool) dial(ctx context.Context) (*conn, error) {
	d := net.Dialer{Timeout: dialLimit, KeepAlive: -1, Control: setAckLimit}
	c, err := d.DialContext(ctx, "tcp", p.target.Address)
	if err != nil {
		p.release()
		return nil, errors.Errorf("connect to server %s: %w", p.target.Server, err)
	}
	return newConn(c), nil
}

func (p *pool) put(cn *conn, keep bool) {
	if !keep {
		_ = cn.Close()
		p.release()
		return
	}
	_ = cn.SetDeadline(time.Time{})
	cn.idleSince = time.Now()
	p.mu.Lock()
	shut := p.shut
	if !shut {
		p.idle = append(p.idle, cn)
	}
	p.mu.Unlock()
	if shut {
		_ = cn.Close()
	}
	p.wake()
}

func (p *pool) release() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
	p.wake()
}

func (p *pool) wake() {
	select {
	case p.free <- struct{}{}:
	default:
	}
}

func (p *pool) close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.shut = nil, true
	p.open -= len(idle)
	p.mu.Unlock()
	for _, cn := range idle {
		_ = cn.Close()
	}
}

func setAckLimit(_, _ string, raw syscall.RawConn) error {
	var err error
	cerr := raw.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(ackLimit.Milliseconds()))
	})
	if err := errors.Join(cerr, err); err != nil {
		return errors.Errorf("limit unacknowledged bytes: %w", err)
	}
	return nil
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}
