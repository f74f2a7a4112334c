//go:build review

package main

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// proxy passes TCP connections on to an address, and can stop to pass bytes on without closing anything.
type proxy struct {
	listener net.Listener
	to       string
	// cut says that neither open nor new connections pass anything.
	cut atomic.Bool

	mu    sync.Mutex
	pairs map[*pair]bool
}

// pair is one connection on both sides of a proxy.
type pair struct {
	in, out net.Conn
	silent  atomic.Bool
}

// newProxy starts a proxy that listens at an address.
func (b *bench) newProxy(listen, to string) *proxy {
	l, err := net.Listen("tcp", listen)
	must(err)
	p := &proxy{listener: l, to: to, pairs: make(map[*pair]bool)}
	b.onEnd(p.close)
	go p.accept()
	return p
}

func (p *proxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(in)
	}
}

func (p *proxy) serve(in net.Conn) {
	pr := &pair{in: in}
	if p.cut.Load() {
		// A connection behind a cut hangs. It is closed at the end.
		pr.silent.Store(true)
		p.add(pr)
		return
	}
	out, err := net.Dial("tcp", p.to)
	if err != nil {
		_ = in.Close()
		return
	}
	pr.out = out
	p.add(pr)
	go p.pass(pr, out, in)
	go p.pass(pr, in, out)
}

func (p *proxy) add(pr *pair) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pairs[pr] = true
}

// pass copies bytes until the connection ends. Those of a silent one are dropped, and so is its end.
func (p *proxy) pass(pr *pair, to, from net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if pr.silent.Load() || p.cut.Load() {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			if err == io.EOF {
				if t, ok := to.(*net.TCPConn); ok {
					_ = t.CloseWrite()
					return
				}
			}
			_ = to.Close()
			_ = from.Close()
			return
		}
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for pr := range p.pairs {
		_ = pr.in.Close()
		if pr.out != nil {
			_ = pr.out.Close()
		}
	}
}
