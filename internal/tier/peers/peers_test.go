package peers_test

import (
	"slices"
	"testing"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/tier/peers"
)

var start = time.Unix(1000, 0)

func heartbeat(vm ident.VM, boot, serial int64) peers.Message {
	return peers.Message{From: peers.Digest{VM: vm, Address: "127.0.0.1", Boot: boot, Serial: serial, Phase: peers.PhaseReady}}
}

func assertAlive(t *testing.T, p *peers.Peers, now time.Time, want ...ident.VM) {
	t.Helper()
	var got []ident.VM
	for _, m := range p.Alive(now) {
		got = append(got, m.Digest().VM)
	}
	if !slices.Equal(got, want) {
		t.Errorf("alive VMs are %v, want %v", got, want)
	}
}

func assertAccepted(t *testing.T, p *peers.Peers, now time.Time, m peers.Message, want bool) {
	t.Helper()
	if _, accepted := p.Receive(now, m); accepted != want {
		t.Errorf("heartbeat of start %d, serial %d: accepted is %v, want %v", m.From.Boot, m.From.Serial, accepted, want)
	}
}

func TestHeard(t *testing.T) {
	t.Run("takes only newer words of a process", func(t *testing.T) {
		p := peers.New("self")
		assertAccepted(t, p, start, heartbeat("a", 1, 5), true)
		assertAccepted(t, p, start, heartbeat("a", 1, 5), false)
		assertAccepted(t, p, start, heartbeat("a", 1, 4), false)
		assertAccepted(t, p, start, heartbeat("a", 1, 6), true)
	})
	t.Run("passes over what is relayed with an age that no digest can have", func(t *testing.T) {
		for _, age := range []int64{-1, -1 << 62, 1 << 40, 1<<63 - 1} {
			p := peers.New("self")
			m := heartbeat("a", 1, 1)
			m.Relayed = []peers.Relay{{Digest: heartbeat("b", 1, 1).From, AgeMs: age}}
			p.Receive(start, m)
			assertAlive(t, p, start, "a")
			if n := len(p.Members()); n != 1 {
				t.Errorf("%d members with an age of %d ms, want 1", n, age)
			}
		}
	})
	t.Run("passes over the VM's own words", func(t *testing.T) {
		assertAccepted(t, peers.New("self"), start, heartbeat("self", 1, 1), false)
	})
	t.Run("passes over a straggler of the process before", func(t *testing.T) {
		p := peers.New("self")
		assertAccepted(t, p, start, heartbeat("a", 2, 1), true)
		assertAccepted(t, p, start.Add(100*time.Millisecond), heartbeat("a", 1, 900), false)
	})
	t.Run("takes a new process whose clock was set back", func(t *testing.T) {
		p := peers.New("self")
		assertAccepted(t, p, start, heartbeat("a", 2, 700), true)
		assertAccepted(t, p, start.Add(2*time.Second), heartbeat("a", 1, 1), true)
	})
	t.Run("passes over what another VM has heard of the process before, though it started later by its clock", func(t *testing.T) {
		p := peers.New("self")
		p.Receive(start.Add(2*time.Second), heartbeat("a", 1, 1))
		relayed := heartbeat("b", 1, 1)
		relayed.Relayed = []peers.Relay{{Digest: heartbeat("a", 2, 700).From, AgeMs: 3000}}
		p.Receive(start.Add(4*time.Second), relayed)
		if got := p.Members()[0].Digest().Boot; got != 1 {
			t.Errorf("VM a has the process started at %d, want 1", got)
		}
	})
	t.Run("names the process that a new one replaces", func(t *testing.T) {
		p := peers.New("self")
		for i, want := range []ident.Process{"", heartbeat("a", 1, 1).From.Process()} {
			events, _ := p.Receive(start.Add(time.Duration(i)*time.Second), heartbeat("a", int64(1+i), 1))
			if joined, ok := events[0].(peers.Joined); !ok || joined.Replaced != want {
				t.Errorf("event is %+v, want Joined with Replaced %q", events[0], want)
			}
		}
	})
}

func TestAlive(t *testing.T) {
	t.Run("ends after silence and returns with the next word", func(t *testing.T) {
		p := peers.New("self")
		p.Receive(start, heartbeat("a", 1, 1))
		assertAlive(t, p, start.Add(time.Second), "a")
		assertAlive(t, p, start.Add(2*time.Second))
		events, _ := p.Receive(start.Add(2*time.Second), heartbeat("a", 1, 2))
		if len(events) != 0 {
			t.Errorf("got events %v though no Tick had reported the VM silent, want none", events)
		}
		assertAlive(t, p, start.Add(2*time.Second), "a")
	})
	t.Run("ends with a process's last word", func(t *testing.T) {
		p := peers.New("self")
		p.Receive(start, heartbeat("a", 1, 1))
		last := heartbeat("a", 1, 2)
		last.From.Phase = peers.PhaseGone
		p.Receive(start, last)
		assertAlive(t, p, start)
	})
}

func TestTick(t *testing.T) {
	t.Run("tells of silence once", func(t *testing.T) {
		p := peers.New("self")
		p.Receive(start, heartbeat("a", 1, 1))
		if n := len(p.Tick(start.Add(2 * time.Second))); n != 1 {
			t.Errorf("got %d events, want 1", n)
		}
		if n := len(p.Tick(start.Add(3 * time.Second))); n != 0 {
			t.Errorf("got %d events from the second Tick, want 0", n)
		}
	})
	t.Run("does not call a process silent that has said its last word", func(t *testing.T) {
		p := peers.New("self")
		last := heartbeat("a", 1, 1)
		last.From.Phase = peers.PhaseGone
		p.Receive(start, last)
		if n := len(p.Tick(start.Add(2 * time.Second))); n != 0 {
			t.Errorf("got %d events, want 0", n)
		}
	})
	t.Run("remembers a silent VM for a while, so that it is found again", func(t *testing.T) {
		p := peers.New("self")
		p.Receive(start, heartbeat("a", 1, 1))
		p.Tick(start.Add(11 * time.Second))
		if n := len(p.Members()); n != 1 {
			t.Errorf("%d members are kept, want 1", n)
		}
		p.Tick(start.Add(12 * time.Second))
		if n := len(p.Members()); n != 0 {
			t.Errorf("%d members are kept, want 0", n)
		}
	})
	t.Run("remembers addresses that others told of", func(t *testing.T) {
		p := peers.New("self")
		m := heartbeat("a", 1, 1)
		m.KnownAddresses = []string{"127.0.0.9"}
		p.Receive(start, m)
		if got := p.Addresses(); !slices.Equal(got, []string{"127.0.0.1", "127.0.0.9"}) {
			t.Errorf("addresses are %v", got)
		}
	})
}
