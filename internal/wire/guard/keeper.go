package guard

import (
	"net"
	"sync"
	"time"

	"kumquatreel.example/kumquatreel/internal/limit/hold"
)

// roomPollInterval is the time between checks whether there is room for a connection that waits.
const roomPollInterval = 2 * time.Millisecond

// Cause is why a connection was closed or refused.
type Cause int

// The causes.
const (
	// CauseRoom is a connection that gave way to another.
	CauseRoom Cause = iota
	// CauseFull is a request for which there was no room.
	CauseFull
	// CauseHead is a head over its limits.
	CauseHead
)

//go:generate go tool -modfile=../../../tools/go.mod enumer -type=Cause -transform=title-lower -trimprefix=Cause -output=enums.go

// Keeper holds the budget of a process. It is safe for concurrent use.
type Keeper struct {
	onClose func(Cause)

	mu     sync.Mutex
	budget *hold.Budget
	conns  map[hold.ID]*Conn
	last   hold.ID
}

// NewKeeper returns a Keeper that reports each connection that it closes or refuses to onClose.
func NewKeeper(l hold.Limits, onClose func(Cause)) *Keeper {
	return &Keeper{onClose: onClose, budget: hold.New(l), conns: make(map[hold.ID]*Conn)}
}

// Held returns the bytes and the connections in a stage.
func (k *Keeper) Held(s hold.Stage) (bytes int64, conns int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.budget.Held(s)
}

// evict closes the connections that give way.
func (k *Keeper) evict(conns []*Conn) {
	for _, c := range conns {
		k.onClose(CauseRoom)
		c.evict()
	}
}

// named returns the connections of a decision. The caller holds the lock.
func (k *Keeper) named(d hold.Decision) []*Conn {
	var out []*Conn
	for _, id := range d.Evict {
		out = append(out, k.conns[id])
	}
	return out
}

// open adds a connection, whatever the limits if force is set.
func (k *Keeper) open(c *Conn, door hold.Door, force bool) bool {
	k.mu.Lock()
	k.last++
	c.id = k.last
	d := k.budget.Open(time.Now(), c.id, door)
	if force && !d.Allowed {
		k.budget.Add(time.Now(), c.id, door)
		d.Allowed = true
	}
	if d.Allowed {
		k.conns[c.id] = c
	}
	out := k.named(d)
	k.mu.Unlock()
	k.evict(out)
	return d.Allowed
}

func (k *Keeper) grow(c *Conn, n int64) bool {
	k.mu.Lock()
	d := k.budget.Grow(time.Now(), c.id, n)
	out := k.named(d)
	k.mu.Unlock()
	k.evict(out)
	return d.Allowed
}

func (k *Keeper) enter(c *Conn, s hold.Stage) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.budget.Enter(time.Now(), c.id, s)
	c.stage.Store(int64(s))
}

func (k *Keeper) close(c *Conn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.budget.Close(c.id)
	delete(k.conns, c.id)
}

// HeadLimits bound the head of a request.
type HeadLimits struct {
	Lines, Bytes int
}

// Listener returns a listener whose connections count against the budget. head returns the limits of a head.
func (k *Keeper) Listener(l net.Listener, door hold.Door, head func() HeadLimits) net.Listener {
	return &listener{Listener: l, keeper: k, door: door, head: head, closed: make(chan struct{})}
}

type listener struct {
	net.Listener
	keeper *Keeper
	door   hold.Door
	head   func() HeadLimits
	once   sync.Once
	closed chan struct{}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close() //nolint:wrapcheck // net/http compares the error.
}

// Accept implements net.Listener. While all connections have complete requests, further ones wait. One that has been accepted as the listener closes is
// still served.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err //nolint:wrapcheck // net/http tries again after some.
	}
	out := &Conn{Conn: c, keeper: l.keeper, head: l.head}
	for closed := false; !l.keeper.open(out, l.door, closed); {
		select {
		case <-l.closed:
			closed = true
		case <-time.After(roomPollInterval):
		}
	}
	return out, nil
}
