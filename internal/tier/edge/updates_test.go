package edge

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/tier/belief"
	"kumquatreel.example/kumquatreel/internal/tier/peers"
)

// updateAddresses counts the addresses of other VMs that tests listen at.
var updateAddresses atomic.Int64

// newUpdateSource starts another VM that sends updates up to a growing revision. Each connection carries as many answers as said, and is silent then.
func newUpdateSource(t *testing.T, e *Edge, name ident.VM, answers int) peers.Digest {
	t.Helper()
	_, port, err := net.SplitHostPort(e.settings.Load().PeerAddress())
	if err != nil {
		t.Fatal(err)
	}
	ip := fmt.Sprintf("127.%d.%d.%d", 220+os.Getpid()%30, os.Getpid()/30%250, 1+updateAddresses.Add(1))
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", net.JoinHostPort(ip, port))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	revision := atomic.Int64{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = c.Close() })
			go func() {
				r := bufio.NewReader(c)
				for n := 0; ; n++ {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_ = req.Body.Close()
					if n >= answers {
						continue
					}
					body := fmt.Sprintf(`{"whole":true,"era":0,"asOf":%d,"items":[]}`, revision.Add(1))
					_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
				}
			}()
		}
	}()
	return peers.Digest{VM: name, Address: ip, Revision: 1 << 30}
}

// Connections between VMs may go silent while they are idle. Updates must not wait for a timeout on one, or for a VM that does not answer.
func TestFetchPastSilence(t *testing.T) {
	t.Run("of a connection that has carried an answer", func(t *testing.T) {
		e := newFleetMember(t, 0)
		from := newUpdateSource(t, e, "vm1", 1)
		for range 2 {
			if err := e.fetchUpdates(from); err != nil {
				t.Error(err)
			}
		}
	})
	t.Run("of the VM that was asked first", func(t *testing.T) {
		e := newFleetMember(t, 0)
		silent, other := newUpdateSource(t, e, "vm1", 0), newUpdateSource(t, e, "vm2", 1)
		began := time.Now()
		for e.revision() == 0 && time.Since(began) < updateTimeout {
			e.startFetch(time.Now(), silent)
			time.Sleep(20 * time.Millisecond)
			e.startFetch(time.Now(), other)
		}
		if e.revision() == 0 {
			t.Errorf("no updates from another VM after %v", time.Since(began))
		}
	})
}

// A VM gets updates from another one that could not use a configuration, before its own call brings it: its operator must hear of that all the same.
func TestRefusedPassedOn(t *testing.T) {
	e := newFleetMember(t, 0)
	e.tableRevision = 5
	for _, tc := range []struct{ revision, want int64 }{{4, 0}, {5, 5}, {7, 7}, {6, 7}, {9, 9}} {
		e.adoptRefused(&belief.Refused{Key: "config", Revision: tc.revision})
		got := int64(0)
		if r := e.refusedConfig(); r != nil {
			got = r.Revision
		}
		if got != tc.want {
			t.Errorf("after revision %d that of %d is refused, want %d", tc.revision, got, tc.want)
		}
	}
}
