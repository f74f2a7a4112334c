package memnet

import (
	"bytes"
	"context"
	"io"
	"maps"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatreel.example/kumquatreel/internal/wire/netio"
)

const readBufferSize = 64 << 10

// Message describes a dial, or data of a request or reply, that is about to be delivered. Path is the path of the last
// HTTP request on the connection.
type Message struct {
	From  string
	To    string
	Path  string
	Reply bool
	Dial  bool
}

// Net is an in-memory network.
type Net struct {
	mu           sync.Mutex
	listeners    map[string]*listener
	links        map[*link]struct{}
	cuts         map[[2]string]bool
	cutsChanged  chan struct{}
	delay        time.Duration
	observer     func(Message)
	markedText   []byte
	markedCounts map[string]int
}

// New returns a network that delivers data after the given delay.
func New(delay time.Duration) *Net {
	return &Net{
		listeners: make(map[string]*listener), links: make(map[*link]struct{}),
		cuts: make(map[[2]string]bool), markedCounts: make(map[string]int), cutsChanged: make(chan struct{}), delay: delay,
	}
}

// Host returns the network as seen by the named host.
func (n *Net) Host(name string) netio.Network { return host{net: n, name: name} }

// Observe sets the function that is called before each delivery; f must not block.
func (n *Net) Observe(f func(Message)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.observer = f
}

// Mark sets the text for which messages are searched; Marked returns the counts.
func (n *Net) Mark(text string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.markedText = []byte(text)
}

// Marked returns by sending host how many messages contained the text given to Mark.
func (n *Net) Marked() map[string]int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return maps.Clone(n.markedCounts)
}

func (n *Net) countMarked(from string, data []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.markedText) > 0 && bytes.Contains(data, n.markedText) {
		n.markedCounts[from]++
	}
}

// Cut holds back all data that one host sends to another until Heal; an empty name stands for every host.
func (n *Net) Cut(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[[2]string{from, to}] = true
}

// Isolate cuts a host off from all others in both directions until Heal.
func (n *Net) Isolate(name string) {
	n.Cut(name, "")
	n.Cut("", name)
}

// Heal removes all cuts; data held back is then delivered.
func (n *Net) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cuts)
	close(n.cutsChanged)
	n.cutsChanged = make(chan struct{})
}

// Close closes all connections.
func (n *Net) Close() { n.reset(func(*link) bool { return true }) }

// Reset closes all connections of a host.
func (n *Net) Reset(name string) {
	n.reset(func(l *link) bool { return l.from == name || l.to == name })
}

func (n *Net) reset(match func(*link) bool) {
	n.mu.Lock()
	var broken []*link
	for l := range n.links {
		if match(l) {
			broken = append(broken, l)
		}
	}
	n.mu.Unlock()
	for _, l := range broken {
		l.close()
	}
}

func (n *Net) isCut(from, to string) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	cut := n.cuts[[2]string{from, to}] || n.cuts[[2]string{from, ""}] || n.cuts[[2]string{"", to}]
	return cut, n.cutsChanged
}

func (n *Net) notifyObserver(p Message) {
	n.mu.Lock()
	f := n.observer
	n.mu.Unlock()
	if f != nil {
		f(p)
	}
}

type host struct {
	net  *Net
	name string
}

// Listen opens a listener on an address of the network; it fails if the address is in use.
func (h host) Listen(address string) (net.Listener, error) {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	if h.net.listeners[address] != nil {
		return nil, errors.Newf("address %s is in use", address)
	}
	l := &listener{net: h.net, host: h.name, address: address, conns: make(chan net.Conn, 64), done: make(chan struct{})}
	h.net.listeners[address] = l
	return l, nil
}

// Dial opens a connection to an address of the network. It blocks while the hosts are cut off, and fails if nothing
// listens on the address or ctx ends.
func (h host) Dial(ctx context.Context, address string) (net.Conn, error) {
	h.net.mu.Lock()
	l := h.net.listeners[address]
	h.net.mu.Unlock()
	if l == nil {
		return nil, errors.Newf("dial %s: connection refused", address)
	}
	h.net.notifyObserver(Message{From: h.name, To: l.host, Dial: true})
	for {
		cut, changed := h.net.isCut(h.name, l.host)
		if !cut {
			break
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, errors.Errorf("dial %s: %w", address, ctx.Err())
		}
	}
	return h.net.connect(ctx, h.name, l)
}

func (n *Net) connect(ctx context.Context, from string, l *listener) (net.Conn, error) {
	client, near := net.Pipe()
	server, far := net.Pipe()
	k := &link{net: n, from: from, to: l.host, ends: []net.Conn{client, near, server, far}, done: make(chan struct{})}
	select {
	case l.conns <- server:
	case <-l.done:
		k.close()
		return nil, errors.Newf("dial %s: connection refused", l.address)
	case <-ctx.Done():
		k.close()
		return nil, errors.Errorf("dial %s: %w", l.address, ctx.Err())
	}
	n.mu.Lock()
	n.links[k] = struct{}{}
	n.mu.Unlock()
	go k.pump(near, far, from, l.host, false)
	go k.pump(far, near, l.host, from, true)
	return client, nil
}

// link is one connection between two hosts.
type link struct {
	net  *Net
	from string
	to   string
	ends []net.Conn
	once sync.Once
	done chan struct{}

	mu   sync.Mutex
	path string
}

func (k *link) close() {
	k.once.Do(func() {
		close(k.done)
		for _, end := range k.ends {
			_ = end.Close()
		}
		k.net.mu.Lock()
		delete(k.net.links, k)
		k.net.mu.Unlock()
	})
}

// pump forwards the data of one direction of a connection.
func (k *link) pump(in, out net.Conn, from, to string, reply bool) {
	defer k.close()
	queue := make(chan packet, 1024)
	go k.deliver(queue, out, from, to)
	defer close(queue)
	buf := make([]byte, readBufferSize)
	for {
		n, err := in.Read(buf)
		if n > 0 {
			k.net.countMarked(from, buf[:n])
			k.net.notifyObserver(Message{From: from, To: to, Path: k.requestPath(buf[:n], reply), Reply: reply})
			select {
			case queue <- packet{data: append([]byte(nil), buf[:n]...), due: time.Now().Add(k.net.delay)}:
			case <-k.done:
				return
			}
		}
		if err != nil {
			if errors.Is(err, io.EOF) {
				k.linger()
			}
			return
		}
	}
}

// linger delays the close of a connection until data in flight has been delivered.
func (k *link) linger() {
	select {
	case <-time.After(2 * k.net.delay):
	case <-k.done:
	}
}

type packet struct {
	data []byte
	due  time.Time
}

func (k *link) deliver(queue <-chan packet, out net.Conn, from, to string) {
	for p := range queue {
		select {
		case <-time.After(time.Until(p.due)):
		case <-k.done:
			return
		}
		if !k.waitUncut(from, to) {
			return
		}
		if _, err := out.Write(p.data); err != nil {
			return
		}
	}
}

func (k *link) waitUncut(from, to string) bool {
	for {
		cut, changed := k.net.isCut(from, to)
		if !cut {
			return true
		}
		select {
		case <-changed:
		case <-k.done:
			return false
		}
	}
}

// requestPath returns the path of the last HTTP request on the connection, which it takes from data unless that is a reply.
func (k *link) requestPath(data []byte, reply bool) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !reply {
		line, _, _ := strings.Cut(string(data), "\r\n")
		if fields := strings.Fields(line); len(fields) == 3 && strings.HasPrefix(fields[2], "HTTP/") {
			k.path = fields[1]
		}
	}
	return k.path
}

type listener struct {
	net     *Net
	host    string
	address string
	conns   chan net.Conn
	done    chan struct{}
	once    sync.Once
}

// Accept waits for the next connection; it fails once the listener is closed.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, errors.Errorf("accept: %w", net.ErrClosed)
	}
}

// Close closes the listener and frees its address.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.done)
		l.net.mu.Lock()
		defer l.net.mu.Unlock()
		delete(l.net.listeners, l.address)
	})
	return nil
}

func (l *listener) Addr() net.Addr { return address(l.address) }

type address string

func (address) Network() string { return "memory" }

func (a address) String() string { return string(a) }
