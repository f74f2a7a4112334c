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

const chunk = 64 << 10

// Message is a message about to be delivered.
type Message struct {
	From  string
	To    string
	Path  string
	Reply bool
	Dial  bool
}

// Net is a network in memory.
type Net struct {
	mu        sync.Mutex
	listeners map[string]*listener
	links     map[*link]struct{}
	cuts      map[[2]string]bool
	changed   chan struct{}
	delay     time.Duration
	observer  func(Message)
	mark      []byte
	marked    map[string]int
}

// New returns a network on which every message takes a time.
func New(delay time.Duration) *Net {
	return &Net{
		listeners: make(map[string]*listener), links: make(map[*link]struct{}),
		cuts: make(map[[2]string]bool), marked: make(map[string]int), changed: make(chan struct{}), delay: delay,
	}
}

// Host returns the network as one party sees it.
func (n *Net) Host(name string) netio.Network { return host{net: n, name: name} }

// Observe calls f before each delivery; f must not block.
func (n *Net) Observe(f func(Message)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.observer = f
}

// Mark makes the network count the messages that hold a text, by their sender.
func (n *Net) Mark(text string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.mark = []byte(text)
}

// Marked returns how many messages each sender sent that held the marked text.
func (n *Net) Marked() map[string]int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return maps.Clone(n.marked)
}

func (n *Net) inspect(from string, data []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.mark) > 0 && bytes.Contains(data, n.mark) {
		n.marked[from]++
	}
}

// Cut holds back everything that one host sends to another until Heal.
func (n *Net) Cut(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[[2]string{from, to}] = true
}

// Isolate cuts a host from all others, both ways, until Heal.
func (n *Net) Isolate(name string) {
	n.Cut(name, "")
	n.Cut("", name)
}

// Heal ends all cuts.
func (n *Net) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cuts)
	close(n.changed)
	n.changed = make(chan struct{})
}

// Close breaks all connections.
func (n *Net) Close() { n.reset(func(*link) bool { return true }) }

// Reset breaks all connections of a host.
func (n *Net) Reset(name string) {
	n.reset(func(l *link) bool { return l.from == name || l.to == name })
}

func (n *Net) reset(which func(*link) bool) {
	n.mu.Lock()
	var broken []*link
	for l := range n.links {
		if which(l) {
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
	return cut, n.changed
}

func (n *Net) tell(p Message) {
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

// Listen opens a listener on an address of the network.
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

// Dial opens a connection to an address of the network.
func (h host) Dial(ctx context.Context, address string) (net.Conn, error) {
	h.net.mu.Lock()
	l := h.net.listeners[address]
	h.net.mu.Unlock()
	if l == nil {
		return nil, errors.Newf("dial %s: connection refused", address)
	}
	h.net.tell(Message{From: h.name, To: l.host, Dial: true})
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

// link is one connection.
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

// pump carries one direction of a connection.
func (k *link) pump(in, out net.Conn, from, to string, reply bool) {
	defer k.close()
	queue := make(chan packet, 1024)
	go k.deliver(queue, out, from, to)
	defer close(queue)
	buf := make([]byte, chunk)
	for {
		n, err := in.Read(buf)
		if n > 0 {
			k.net.inspect(from, buf[:n])
			k.net.tell(Message{From: from, To: to, Path: k.see(buf[:n], reply), Reply: reply})
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

// linger lets what is on its way arrive before the connection closes.
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
		if !k.waitOpen(from, to) {
			return
		}
		if _, err := out.Write(p.data); err != nil {
			return
		}
	}
}

func (k *link) waitOpen(from, to string) bool {
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

// see remembers the path of the last request on the connection.
func (k *link) see(data []byte, reply bool) string {
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

// Accept waits for the next connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, errors.Errorf("accept: %w", net.ErrClosed)
	}
}

// Close ends the listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.done)
		l.net.mu.Lock()
		defer l.net.mu.Unlock()
		delete(l.net.listeners, l.address)
	})
	return nil
}

// Addr returns the listener's address.
func (l *listener) Addr() net.Addr { return address(l.address) }

type address string

// Network returns the name of the network.
func (address) Network() string { return "memory" }

// String returns the host and port.
func (a address) String() string { return string(a) }
