package link

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/tier/gather"
	"kumquatreel.example/kumquatreel/internal/tier/header"
)

const (
	// dialTimeout bounds the opening of a connection, since a host without power does not answer at all.
	dialTimeout = 300 * time.Millisecond
	// maxConnWait is how long a request waits for a free connection to its server.
	maxConnWait = 60 * time.Millisecond
	// staleChoice is the wait for a connection after which a call asks again whether its server may receive it.
	staleChoice = 20 * time.Millisecond
	// resetMargin is added to the time that a connection took to open: a server with too many connections has reset it by then.
	resetMargin = time.Millisecond
	// ackTimeout is how long sent bytes may stay unacknowledged before the connection is closed.
	ackTimeout = time.Second
	// tcpUserTimeout is the socket option TCP_USER_TIMEOUT of Linux, which package syscall does not define.
	tcpUserTimeout = 18
	// maxAnswerBytes bounds the body of an answer, which is held in memory until it is complete.
	maxAnswerBytes = 16 << 20
	// maxSyncWriteBytes is the largest request body that is written before the answer is read; a larger one is written
	// while the answer is read.
	maxSyncWriteBytes = 16 << 10
)

// Call is one request to one backend server.
type Call struct {
	Target header.Target
	Method string
	// Head is the request line and the headers that do not depend on the server, each ended by CRLF.
	Head []byte
	// Body holds the pieces of the body.
	Body [][]byte
	// RequestID is the ID of the request, which the server returns in its answer.
	RequestID string
	// Deadline is when the call ends, and when the server is to stop work on it.
	Deadline time.Time
	// MaxConnections is how many connections the VM may have to the server; values below 1 count as 1.
	MaxConnections int
	// Permit allows the call to be revoked until it is sent. It must not be nil.
	Permit *Permit
	// RunOnce says that the request may run only once. It is not sent on a new connection before the server had time to reset that.
	RunOnce bool
	// Allowed reports whether the server may still receive the call. It is asked before a call is sent that has waited for its
	// connection. Nil allows it.
	Allowed func() bool
}

// Answer is the complete answer of a server. Its memory counts against that of all answers until Release is called.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte

	memory holding
}

// Release says that the answer is no longer used. It may be called more than once, and on nil.
func (a *Answer) Release() {
	if a != nil {
		a.memory.release()
	}
}

// Result is the outcome of a call. Answer is nil if no complete answer arrived; one that is invalid has an Err.
type Result struct {
	Verdict gather.Verdict
	Answer  *Answer
	Err     error
	// Unresponsive reports that the server could not be reached or did not answer in time.
	Unresponsive bool
	// Dialed reports that the call opened a connection or tried to.
	Dialed bool
	// Opened is when the connection was opened, zero if there was none.
	Opened time.Time
	// Revoked reports that the call was revoked before it was sent.
	Revoked bool
}

// Transport pools the connections of a VM to all backend servers. It is safe for concurrent use.
type Transport struct {
	names  header.Names
	memory byteBudget
	mu     sync.Mutex
	pools  map[header.Target]*pool
}

// pool holds the connections to one server.
type pool struct {
	target header.Target
	memory *byteBudget
	mu     sync.Mutex
	idle   []*conn
	// open counts the connections that are in use, idle or being opened.
	open int
	// freed is signalled when a connection is returned to the pool or closed.
	freed  chan struct{}
	closed bool
}

// New returns a Transport without connections, and a function that closes its idle connections.
func New(names header.Names) (*Transport, func()) {
	t := &Transport{names: names, pools: make(map[header.Target]*pool)}
	return t, t.closeAll
}

// Do makes a call and returns when it has ended or ctx is done. The answer, if any, must be released. If ctx ends the call, the connection is closed, so that the
// server can stop work.
func (t *Transport) Do(ctx context.Context, c Call) Result {
	p := t.pool(c.Target)
	began := time.Now()
	cn, dialed, err := p.get(ctx, c.RequestID, c.MaxConnections, c.Deadline)
	if err != nil {
		// A server that resets a connection as it opens answers, but has too many.
		unresponsive := !errors.Is(err, errBusy) && !errors.Is(err, context.Canceled) && !errors.Is(err, syscall.ECONNRESET)
		return Result{Verdict: gather.VerdictUnsent, Err: err, Unresponsive: unresponsive, Dialed: dialed}
	}
	if dialed && c.RunOnce {
		if err := cn.awaitReset(time.Since(began) + resetMargin); err != nil {
			p.put(cn, false)
			return Result{Verdict: gather.VerdictUnsent, Err: err, Dialed: true}
		}
	}
	withheld := time.Since(began) > staleChoice && c.Allowed != nil && !c.Allowed()
	if withheld || !c.Permit.consume() {
		p.put(cn, true)
		return Result{Verdict: gather.VerdictUnsent, Err: errRevoked, Revoked: true, Dialed: dialed}
	}
	// The deadline comes first: one that is set after the call was cancelled would undo that.
	_ = cn.SetDeadline(c.Deadline)
	stop := context.AfterFunc(ctx, func() { _ = cn.SetDeadline(time.Unix(1, 0)) })
	answer, keep, sent, err := t.exchange(cn, c)
	keep = stop() && keep
	p.put(cn, keep)
	switch {
	case err != nil && !sent:
		return Result{Verdict: gather.VerdictUnsent, Err: err, Dialed: dialed, Opened: cn.opened}
	case err != nil:
		unresponsive := errors.Is(err, syscall.ETIMEDOUT) || isTimeout(err)
		return Result{Verdict: gather.VerdictLost, Err: err, Unresponsive: unresponsive, Dialed: dialed, Opened: cn.opened}
	}
	verdict, err := t.classify(c.Target, answer)
	return Result{Verdict: verdict, Answer: answer, Err: err, Dialed: dialed, Opened: cn.opened}
}

// ServerLost reports whether the call shows that the server's process may have ended: it could not be reached, or has ended a connection with a request
// on it.
func (r Result) ServerLost() bool {
	if r.Verdict == gather.VerdictUnsent {
		return r.Unresponsive
	}
	return r.Verdict == gather.VerdictLost &&
		(errors.Is(r.Err, syscall.ECONNRESET) || errors.Is(r.Err, syscall.EPIPE) || errors.Is(r.Err, io.ErrUnexpectedEOF))
}

// BoundMemory bounds the bytes of all answers to a part of the memory of the VM. It is called before the first call.
func (t *Transport) BoundMemory(bytes int64) { t.memory.bound(bytes) }

// HeldBytes returns the bytes of all answers that have not been released.
func (t *Transport) HeldBytes() int64 { return t.memory.held.Load() }

// Forget closes the idle connections to a server that has been removed; those in use are closed when their calls end.
func (t *Transport) Forget(target header.Target) {
	t.mu.Lock()
	p := t.pools[target]
	delete(t.pools, target)
	t.mu.Unlock()
	if p != nil {
		p.close()
	}
}

// Retain forgets all servers for which known returns false.
func (t *Transport) Retain(known func(ident.Server) bool) {
	t.mu.Lock()
	var removed []header.Target
	for target := range t.pools {
		if !known(target.Server) {
			removed = append(removed, target)
		}
	}
	t.mu.Unlock()
	for _, target := range removed {
		t.Forget(target)
	}
}

// OpenConnections returns the number of connections that are in use, idle or being opened.
func (t *Transport) OpenConnections() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, p := range t.pools {
		p.mu.Lock()
		n += p.open
		p.mu.Unlock()
	}
	return n
}

func (t *Transport) exchange(cn *conn, c Call) (answer *Answer, keep, sent bool, err error) {
	head := t.head(c)
	written := make(chan error, 1)
	if BodyBytes(c.Body) > maxSyncWriteBytes {
		go func() {
			buffers := append(net.Buffers{head}, c.Body...)
			_, err := buffers.WriteTo(cn.Conn)
			written <- err
		}()
	} else {
		for _, piece := range c.Body {
			head = append(head, piece...)
		}
		n, err := cn.Write(head)
		if err != nil {
			return nil, false, n > 0, errors.Errorf("send request: %w", err)
		}
		written <- nil
	}
	answer, keep, err = cn.exchange(c.Method, t.names.RequestID, c.RequestID, maxAnswerBytes)
	keep = cn.recordUse(c.RequestID, c.Deadline) && keep
	select {
	case writeErr := <-written:
		keep = keep && writeErr == nil
	default:
		// The server answered before it read the full body. The connection is not reused, since the server could take the
		// rest of the body for a request.
		keep = false
	}
	return answer, keep, true, err
}

// head returns the head of a request, with room for a body that is written with it.
func (t *Transport) head(c Call) []byte {
	room := len(c.Head) + 160
	if n := BodyBytes(c.Body); n <= maxSyncWriteBytes {
		room += n
	}
	b := make([]byte, 0, room)
	b = append(b, c.Head...)
	b = append(b, t.names.RemainingMs...)
	b = append(b, ": "...)
	b = strconv.AppendInt(b, max(1, time.Until(c.Deadline).Milliseconds()), 10)
	b = append(b, "\r\n"...)
	b = append(b, t.names.ExpectedServer...)
	b = append(b, ": "...)
	b = append(b, c.Target.Server...)
	return append(b, "\r\n\r\n"...)
}

// BodyBytes returns the size of a body, given its pieces.
func BodyBytes(pieces [][]byte) int {
	n := 0
	for _, p := range pieces {
		n += len(p)
	}
	return n
}

// classify returns the verdict on an answer of a target, with the reason why it is invalid. Only the server's own answer counts as answered or
// failed. No status alone proves that the request did not run.
func (t *Transport) classify(target header.Target, a *Answer) (gather.Verdict, error) {
	notRun := a.Header.Get(t.names.NotRun) != ""
	switch {
	case a.Status == http.StatusMisdirectedRequest && (notRun || t.namesOther(target, a)):
		return gather.VerdictMisplaced, nil
	case notRun:
		return gather.VerdictRefused, nil
	}
	if err := t.checkOwn(a); err != nil {
		return gather.VerdictInvalid, err
	}
	if a.Status >= http.StatusOK && a.Status < http.StatusMultipleChoices {
		return gather.VerdictAnswered, nil
	}
	return gather.VerdictFailed, nil
}

// checkOwn returns an error unless an answer is its server's own: signed once, in a form that a list of signatures can hold, and with a body as the server
// made it, without an encoding.
func (t *Transport) checkOwn(a *Answer) error {
	signatures := a.Header[t.names.Signature]
	switch {
	case len(signatures) == 0 || signatures[0] == "":
		return errUnsigned
	case len(signatures) > 1 || strings.ContainsAny(signatures[0], ", \t"):
		return errSignatures
	case len(a.Header["Content-Encoding"]) > 0:
		return errEncoded
	}
	return nil
}

// namesOther reports whether an answer names another server than the target, which is the only one that may run the request.
func (t *Transport) namesOther(target header.Target, a *Answer) bool {
	server := a.Header.Get(t.names.Server)
	return server != "" && server != string(target.Server)
}

func (t *Transport) pool(target header.Target) *pool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[target]
	if p == nil {
		p = &pool{target: target, memory: &t.memory, freed: make(chan struct{}, 1)}
		t.pools[target] = p
	}
	return p
}

func (t *Transport) closeAll() { t.Retain(func(ident.Server) bool { return false }) }

// get returns an idle connection that may carry the request with the given ID, or opens one before the deadline. If maxOpen connections are
// open, it waits up to maxConnWait for one of them. It also reports whether it tried to open a connection.
func (p *pool) get(ctx context.Context, id string, maxOpen int, deadline time.Time) (*conn, bool, error) {
	waitUntil := time.Now().Add(maxConnWait)
	if deadline.Before(waitUntil) {
		waitUntil = deadline
	}
	for {
		cn, mayDial := p.take(time.Now(), id, maxOpen)
		if cn != nil || mayDial {
			p.wakeNext(maxOpen)
		}
		if cn != nil {
			return cn, false, nil
		}
		if mayDial {
			cn, err := p.dial(ctx, deadline)
			return cn, true, err
		}
		wait := time.NewTimer(time.Until(waitUntil))
		select {
		case <-p.freed:
			wait.Stop()
		case <-wait.C:
			return nil, false, errBusy
		case <-ctx.Done():
			wait.Stop()
			return nil, false, errors.Errorf("wait for a connection: %w", ctx.Err())
		}
	}
}

// take returns an idle connection that may carry a request, or nil and whether the caller may open one, which then counts as open. If all
// connections that may be open are idle ones that may not carry the request, it closes one of them.
func (p *pool) take(now time.Time, id string, maxOpen int) (cn *conn, mayDial bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.idle) - 1; i >= 0; i-- {
		cn = p.idle[i]
		if !cn.reusable(now) {
			p.closeIdle(i)
			continue
		}
		if cn.mayCarry(now, id) {
			p.idle = slices.Delete(p.idle, i, i+1)
			return cn, false
		}
	}
	if p.open >= max(1, maxOpen) && len(p.idle) > 0 {
		p.closeIdle(0)
	}
	if p.open < max(1, maxOpen) {
		p.open++
		return nil, true
	}
	return nil, false
}

// closeIdle closes an idle connection. The caller holds the lock.
func (p *pool) closeIdle(i int) {
	_ = p.idle[i].Close()
	p.idle = slices.Delete(p.idle, i, i+1)
	p.open--
}

func (p *pool) dial(ctx context.Context, deadline time.Time) (*conn, error) {
	d := net.Dialer{Timeout: dialTimeout, Deadline: deadline, KeepAlive: -1, Control: setAckTimeout}
	c, err := d.DialContext(ctx, "tcp", p.target.Address)
	if err != nil {
		p.release()
		return nil, errors.Errorf("connect to server %s: %w", p.target.Server, err)
	}
	return newConn(c, p.memory), nil
}

// put returns a connection to the pool if keep is true, and closes it otherwise.
func (p *pool) put(cn *conn, keep bool) {
	if !keep || !p.addIdle(cn) {
		_ = cn.Close()
		p.release()
		return
	}
	p.signalFreed()
}

// addIdle adds a connection to the idle ones, or returns false if the pool has been closed.
func (p *pool) addIdle(cn *conn) bool {
	_ = cn.SetDeadline(time.Time{})
	cn.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.idle = append(p.idle, cn)
	return true
}

func (p *pool) release() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
	p.signalFreed()
}

// wakeNext wakes another waiting call if there is a connection for it too: two that become free at once make only one signal.
func (p *pool) wakeNext(maxOpen int) {
	p.mu.Lock()
	free := len(p.idle) > 0 || p.open < max(1, maxOpen)
	p.mu.Unlock()
	if free {
		p.signalFreed()
	}
}

func (p *pool) signalFreed() {
	select {
	case p.freed <- struct{}{}:
	default:
	}
}

func (p *pool) close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.open -= len(idle)
	p.mu.Unlock()
	for _, cn := range idle {
		_ = cn.Close()
	}
}

func setAckTimeout(_, _ string, raw syscall.RawConn) error {
	var err error
	cerr := raw.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(ackTimeout.Milliseconds()))
	})
	if err := errors.Join(cerr, err); err != nil {
		return errors.Errorf("set TCP_USER_TIMEOUT: %w", err)
	}
	return nil
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}
