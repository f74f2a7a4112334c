//go:build review

package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// The first of the ports of the links between VMs. Each VM uses ports of its own, so that what it sends to another VM meets a relay.
const (
	firstGossip, firstPeers = 7100, 7200
	// firstStoreHost is the host number of the first relay to the store.
	firstStoreHost = 200
	maxDatagram    = 64 << 10
)

// mesh relays what VMs send to each other and to the store, and can make open connections silent.
type mesh struct {
	b     *bench
	mu    sync.Mutex
	conns []net.Conn
	// links are the connections between VMs, stores those to the store.
	links, stores []*link
}

// link is a relayed connection. A silent one stays open, and what is sent on it is lost.
type link struct {
	down, up net.Conn
	silent   atomic.Bool
}

// newMesh puts relays between all VMs. It must be called before they start.
func (b *bench) newMesh() (*mesh, error) {
	m := &mesh{b: b}
	for i, v := range b.vms {
		v.settings["gossipPort"] = firstGossip + i
		v.settings["peers"] = fmt.Sprintf("%s:%d", v.ip, firstPeers+i)
	}
	b.atEnd(m.close)
	for i := range b.vms {
		for j, to := range b.vms {
			if i == j {
				continue
			}
			if err := m.relayDatagrams(i, j, to.ip); err != nil {
				return nil, err
			}
			if err := m.relayConns(i, j, to.ip); err != nil {
				return nil, err
			}
		}
	}
	return m, nil
}

func (m *mesh) close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range m.conns {
		_ = c.Close()
	}
}

func (m *mesh) keep(c net.Conn) net.Conn {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.conns = append(m.conns, c)
	return c
}

func (m *mesh) relayDatagrams(i, j int, ip string) error {
	l, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(ip), Port: firstGossip + i})
	if err != nil {
		return err
	}
	m.keep(l)
	to := &net.UDPAddr{IP: net.ParseIP(ip), Port: firstGossip + j}
	go func() {
		buf := make([]byte, maxDatagram)
		for {
			n, _, err := l.ReadFromUDP(buf)
			if err != nil {
				return
			}
			_, _ = l.WriteToUDP(buf[:n], to)
		}
	}()
	return nil
}

func (m *mesh) relayConns(i, j int, ip string) error {
	l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, firstPeers+i))
	if err != nil {
		return err
	}
	m.b.atEnd(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			m.keep(c)
			up, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", ip, firstPeers+j), time.Second)
			if err != nil {
				_ = c.Close()
				continue
			}
			m.keep(up)
			k := &link{down: c, up: up}
			m.mu.Lock()
			m.links = append(m.links, k)
			m.mu.Unlock()
			go pipe(up, c, &k.silent)
			go pipe(c, up, &k.silent)
		}
	}()
	return nil
}

// pipe copies bytes until the link is silent: what is sent then is lost.
func pipe(to, from net.Conn, silent *atomic.Bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if silent.Load() && err != nil {
			return
		}
		if silent.Load() {
			continue
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				break
			}
		}
		if err != nil {
			if err == io.EOF {
				_ = to.Close()
			}
			break
		}
	}
	_ = from.Close()
	_ = to.Close()
}

// relayStore puts relays between the VMs and the store. It must be called before they start.
func (m *mesh) relayStore() error {
	for i, v := range m.b.vms {
		address := fmt.Sprintf("%s:%d", m.b.host(firstStoreHost+i), portStore)
		l, err := net.Listen("tcp", address)
		if err != nil {
			return err
		}
		m.b.atEnd(func() { _ = l.Close() })
		v.settings["store"] = address
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				up, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", m.b.host(hostStore), portStore), time.Second)
				if err != nil {
					_ = c.Close()
					continue
				}
				k := &link{down: m.keep(c), up: m.keep(up)}
				m.mu.Lock()
				m.stores = append(m.stores, k)
				m.mu.Unlock()
				go pipe(up, c, &k.silent)
				go pipe(c, up, &k.silent)
			}
		}()
	}
	return nil
}

// silence makes all open connections between VMs and to the store silent for good; new ones work. Those to the store are reset after a while: a
// relay cannot drop the probes of the kernel, with which a VM notices the silence by then.
func (m *mesh) silence(noticed time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, k := range m.links {
		k.silent.Store(true)
	}
	for _, k := range m.stores {
		k.silent.Store(true)
		time.AfterFunc(noticed, func() {
			if tcp, ok := k.down.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = k.down.Close()
			_ = k.up.Close()
		})
	}
}

// watches reports whether a VM watches the store, by its log.
func (b *bench) watches(v *vm) bool {
	raw, err := os.ReadFile(filepath.Join(b.dir, v.name+".log"))
	if err != nil {
		return false
	}
	return bytes.LastIndex(raw, []byte(`"watching the store"`)) > bytes.LastIndex(raw, []byte(`"other VMs watch the store"`))
}

// nonWatchers returns the indexes of the VMs that hear of changes of the store from others.
func (b *bench) nonWatchers() (out []int) {
	for i, v := range b.vms {
		if !b.watches(v) {
			out = append(out, i)
		}
	}
	return slices.Clip(out)
}
