package place_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/tier/header"
	"kumquatreel.example/kumquatreel/internal/tier/place"
)

const usual = 10 * time.Millisecond

var start = time.Unix(1000, 0)

// pair is two servers of one shard, both in the VM's own domain.
func pair() []place.Candidate {
	return []place.Candidate{{Server: "a", Slots: 2}, {Server: "b", Slots: 2}}
}

// share returns how often server a is picked, of 1000 times.
func share(p *place.Balancer, now time.Time, options []place.Candidate) int {
	rng := rand.New(rand.NewPCG(1, 1))
	n := 0
	for range 1000 {
		if o, ok := p.Pick(now, options, usual, rng); ok && o.Server == "a" {
			n++
		}
	}
	return n
}

func assertShare(t *testing.T, p *place.Balancer, now time.Time, options []place.Candidate, least, most int) {
	t.Helper()
	if got := share(p, now, options); got < least || got > most {
		t.Errorf("server a was picked %d times of 1000, want %d to %d", got, least, most)
	}
}

func answer(p *place.Balancer, at time.Time, s ident.Server, took time.Duration) {
	p.Answered(at.Add(took), p.Sent(at, s, usual), nil)
}

func TestPick(t *testing.T) {
	t.Run("is even while nothing is known", func(t *testing.T) {
		assertShare(t, &place.Balancer{}, start, pair(), 400, 600)
	})
	t.Run("prefers the VM's own domain", func(t *testing.T) {
		options := pair()
		options[1].CrossDomain = true
		assertShare(t, &place.Balancer{}, start, options, 1000, 1000)
	})
	t.Run("prefers the quicker server", func(t *testing.T) {
		p := &place.Balancer{}
		for range 30 {
			answer(p, start, "a", 8*time.Millisecond)
			answer(p, start, "b", 16*time.Millisecond)
		}
		assertShare(t, p, start.Add(20*time.Millisecond), pair(), 1000, 1000)
	})
	t.Run("prefers the server with free slots", func(t *testing.T) {
		p := &place.Balancer{}
		for range 2 {
			p.Sent(start, "b", usual)
		}
		assertShare(t, p, start, pair(), 1000, 1000)
	})
	t.Run("believes a told load only for a while", func(t *testing.T) {
		p := &place.Balancer{}
		p.Answered(start, p.Sent(start, "b", usual), &header.Load{Running: 2, Waiting: 6, Slots: 2})
		p.Answered(start, p.Sent(start, "a", usual), &header.Load{Running: 1, Slots: 2})
		assertShare(t, p, start, pair(), 1000, 1000)
		assertShare(t, p, start.Add(5*time.Second), pair(), 300, 700)
	})
	t.Run("tries one request at a server when all are silent", func(t *testing.T) {
		p := &place.Balancer{}
		for _, o := range pair() {
			p.TimedOut(start, p.Sent(start, o.Server, usual))
		}
		rng := rand.New(rand.NewPCG(1, 1))
		for range pair() {
			o, ok := p.Pick(start, pair(), usual, rng)
			if !ok {
				t.Fatal("picked none, though no request is on its way")
			}
			p.Sent(start, o.Server, usual)
		}
		if o, ok := p.Pick(start, pair(), usual, rng); ok {
			t.Errorf("picked %s, though both are being tried", o.Server)
		}
	})
}

// A server pauses for a tenth of a second: it owes one answer, and all later requests go to the other one until it answers.
func TestPause(t *testing.T) {
	p := &place.Balancer{}
	owed := p.Sent(start, "a", usual)
	t.Run("is not suspected while the answer may still be in time", func(t *testing.T) {
		if p.Overdue(start.Add(2*usual), "a") {
			t.Error("overdue after twice the usual latency")
		}
	})
	t.Run("keeps others away", func(t *testing.T) {
		assertShare(t, p, start.Add(4*usual), pair(), 0, 0)
	})
	t.Run("ends with the answer and does not pass for the server's speed", func(t *testing.T) {
		p.Answered(start.Add(100*time.Millisecond), owed, nil)
		if p.Overdue(start.Add(100*time.Millisecond), "a") {
			t.Error("overdue after the answer")
		}
		cost, _ := p.Cost(start.Add(100*time.Millisecond), pair()[0], usual)
		if cost > 2*usual {
			t.Errorf("a request should take %v after one pause, want at most %v", cost, 2*usual)
		}
	})
}

func TestRest(t *testing.T) {
	t.Run("of a server that cannot be reached grows up to a second", func(t *testing.T) {
		p := &place.Balancer{}
		now := start
		for range 8 {
			p.Unreachable(now, p.Sent(now, "a", usual))
		}
		if !p.Down(now.Add(900*time.Millisecond), "a") || p.Down(now.Add(time.Second), "a") {
			t.Error("the rest is not one second")
		}
	})
	t.Run("ends with an answer", func(t *testing.T) {
		p := &place.Balancer{}
		p.Unreachable(start, p.Sent(start, "a", usual))
		answer(p, start, "a", usual)
		if p.Down(start.Add(usual), "a") {
			t.Error("still down after an answer")
		}
	})
}

// All servers of a shard are down, and requests go on coming.
func TestProbe(t *testing.T) {
	p := &place.Balancer{}
	rng := rand.New(rand.NewPCG(3, 1))
	for _, o := range pair() {
		for range 8 {
			p.Unreachable(start, p.Sent(start, o.Server, usual))
		}
	}
	probes := 0
	for at := time.Duration(0); at < 2*time.Second; at += time.Millisecond {
		now := start.Add(at)
		if o, ok := p.Pick(now, pair(), usual, rng); ok {
			probes++
			p.Unreachable(now, p.Sent(now, o.Server, usual))
		}
	}
	if probes < 10 || probes > 50 {
		t.Errorf("2000 requests in two seconds made %d tries, want a few of each server a second", probes)
	}
}

func TestFailures(t *testing.T) {
	t.Run("keep requests away from a server that answers with errors", func(t *testing.T) {
		p := &place.Balancer{}
		for range 6 {
			p.Failed(start, p.Sent(start, "a", usual))
		}
		assertShare(t, p, start, pair(), 0, 0)
	})
	t.Run("are forgotten when it has had nothing to do", func(t *testing.T) {
		p := &place.Balancer{}
		p.Failed(start, p.Sent(start, "a", usual))
		assertShare(t, p, start.Add(20*time.Second), pair(), 400, 600)
	})
}

// More requests come than the servers can do: the wait that is told from a queue is what a request is refused by.
func TestWait(t *testing.T) {
	p := &place.Balancer{}
	o := pair()[0]
	t.Run("is none while a slot is free", func(t *testing.T) {
		p.Sent(start, "a", usual)
		if w := p.QueueDelay(start, o, usual); w != 0 {
			t.Errorf("wait is %v, want none", w)
		}
	})
	t.Run("grows with what is ahead", func(t *testing.T) {
		for range 5 {
			p.Sent(start, "a", usual)
		}
		if w := p.QueueDelay(start, o, usual); w != 25*time.Millisecond {
			t.Errorf("wait behind six requests at two slots is %v, want 25 ms", w)
		}
		if n := p.InFlight("a"); n != 6 {
			t.Errorf("%d requests are owed, want 6", n)
		}
	})
}
