package edge

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/conf/setup"
	"kumquatreel.example/kumquatreel/internal/tier/belief"
	"kumquatreel.example/kumquatreel/internal/tier/header"
	"kumquatreel.example/kumquatreel/internal/tier/peers"
	"kumquatreel.example/kumquatreel/internal/tier/place"
	"kumquatreel.example/kumquatreel/internal/tier/roster"
)

// maxNewsBytes bounds what the news of servers adds to a heartbeat.
const maxNewsBytes = 1024

// newEvenMember returns a VM that knows 40 servers.
func newEvenMember(t *testing.T, even bool) *Edge {
	t.Helper()
	e := newFleetMember(t, 3)
	s, faults := setup.New(setup.Text{
		Name: "vm0", Domain: "d0", Address: "127.0.0.1", Clients: "127.0.0.1:7001", Ready: "127.0.0.1:7002", Peers: "127.0.0.1:7003",
		Directory: "127.0.0.1:7004", Metrics: "127.0.0.1:7005", GossipPort: 7006, Store: "127.0.0.1:7000", CPUShare: 0.8, EvenLoad: even,
	})
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	e.settings.Store(&s)
	e.tickMembership()
	for i := range 40 {
		e.dispatch.roster.Update(time.Now(), roster.Entry{Server: serverName(i), Service: "books", Domain: "d0", Slots: 2, Started: 1})
	}
	return e
}

func serverName(i int) ident.Server {
	return ident.Server(fmt.Sprintf("i-%016x", ident.Score("server", strconv.Itoa(i))))
}

// tellLoads makes each server tell the VM a load.
func tellLoads(e *Edge) {
	now := time.Now()
	for i := range 40 {
		e.dispatch.balancer.Answered(now, e.dispatch.balancer.Sent(now, serverName(i), typical), &header.Load{Running: i, Slots: 2, Pace: 1.7})
	}
}

func encodedSize(t *testing.T, e *Edge, m peers.Message) int {
	t.Helper()
	raw, err := e.fleet.codec.Encode(m)
	if err != nil {
		t.Fatal(err)
	}
	return len(raw)
}

func TestLoadNews(t *testing.T) {
	t.Run("reaches another VM with its source and age", func(t *testing.T) {
		from, to := newEvenMember(t, true), newEvenMember(t, true)
		tellLoads(from)
		now := time.Now()
		m := from.newMessage(now)
		m.From.VM, m.From.Address = "vm1", "127.0.0.9"
		m.From.Boot = 2
		to.handleHeartbeat(m)
		page := to.beliefs(time.Now(), "books", 100)
		heard := 0
		for _, s := range page.Servers {
			if s.Load != nil && s.Load.Source == belief.SourceOtherVM && s.Load.Pace == 1.7 {
				heard++
			}
		}
		if heard != 32 {
			t.Errorf("the VM has heard of %d servers, want 32", heard)
		}
		if l := to.dispatch.flushLoads(time.Now()); l.heard.VMs != 32 || len(l.others) != 32 || l.busiest["books"] < 1.5 || l.busiest["books"] > 2 {
			t.Errorf("flushed %+v, want 32 reports and the busiest server at 39 over 23.5", l)
		}
	})
	t.Run("is small", func(t *testing.T) {
		e := newEvenMember(t, true)
		without := encodedSize(t, e, e.newMessage(time.Now()))
		tellLoads(e)
		if added := encodedSize(t, e, e.newMessage(time.Now())) - without; added > maxNewsBytes {
			t.Errorf("32 reports take %d bytes, want at most %d", added, maxNewsBytes)
		} else {
			t.Logf("32 reports take %d bytes", added)
		}
	})
	t.Run("is not sent unless that is set", func(t *testing.T) {
		e := newEvenMember(t, false)
		tellLoads(e)
		if m := e.newMessage(time.Now()); len(m.ServerLoads) > 0 {
			t.Errorf("the heartbeat has %v", m.ServerLoads)
		}
	})
	t.Run("goes to VMs outside the core only in replies", func(t *testing.T) {
		e := newEvenMember(t, true)
		now := time.Now()
		e.applyServerReports(now, peers.Message{ServerLoads: map[ident.Server]place.Report{serverName(0): {Queue: 4, AgeMs: 30}}})
		if m := e.newMessage(now); len(m.ServerLoads) > 0 {
			t.Errorf("the heartbeat passes on %v", m.ServerLoads)
		}
		if m := e.reply(now, peers.Digest{VM: "outside", Phase: peers.PhaseReady}); len(m.ServerLoads) == 0 {
			t.Error("the reply passes on nothing")
		}
	})
}
