package slots_test

import (
	"fmt"
	"testing"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/clock"
	"kumquatreel.example/kumquatreel/internal/base/fault"
	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/limit/slots"
)

// bench drives one machine by hand.
type bench struct {
	t   *testing.T
	m   *slots.Scheduler
	env slots.Env
	now time.Duration
	n   int
}

func newBench(t *testing.T) *bench {
	t.Helper()
	return &bench{t: t, m: slots.New(), env: slots.Env{Slots: 4, ColdSlots: 1, MaxQueue: 4, WarmAfter: 3, Usable: true}}
}

func (b *bench) step(ev slots.Event) []slots.Action {
	b.now += time.Millisecond
	return b.m.Step(clock.At(b.now), b.env, ev)
}

// offer asks for a slot and returns what follows.
func (b *bench) offer(team ident.Team) (slots.ID, []slots.Action) {
	b.n++
	id := slots.ID(fmt.Sprint(b.n))
	return id, b.step(slots.Offer{Attempt: slots.Attempt{ID: id, Team: team, Weight: 1, Deadline: clock.At(time.Hour)}})
}

func (b *bench) done(id slots.ID, r slots.Result) { b.step(slots.Done{ID: id, Result: r}) }

// warm runs parts until the server counts as warm.
func (b *bench) warm() {
	b.t.Helper()
	for b.m.Warmth() != slots.WarmthWarm {
		id, acts := b.offer("a")
		assertSends(b.t, acts, 1)
		b.done(id, good("1"))
	}
	id, _ := b.offer("a")
	b.done(id, good("1"))
}

func good(incarnation string) slots.Result {
	return slots.Result{Outcome: fault.OutcomeRan, Latency: 10 * time.Millisecond, Incarnation: incarnation}
}

func assertSends(t *testing.T, acts []slots.Action, want int) {
	t.Helper()
	n := 0
	for _, act := range acts {
		if _, ok := act.(slots.Send); ok {
			n++
		}
	}
	if n != want {
		t.Errorf("%d parts were sent, want %d: %v", n, want, acts)
	}
}

func assertRefused(t *testing.T, acts []slots.Action, code fault.Code) {
	t.Helper()
	for _, act := range acts {
		if r, ok := act.(slots.Refuse); ok && r.Code == code {
			return
		}
	}
	t.Errorf("nothing was refused with %v: %v", code, acts)
}

// fill offers parts until one is not sent, and returns how many were.
func (b *bench) fill() int {
	for n := 0; ; n++ {
		if _, acts := b.offer("a"); len(acts) == 0 {
			return n
		}
	}
}

func assertFills(t *testing.T, b *bench, want int) {
	t.Helper()
	if got := b.fill(); got != want {
		t.Errorf("%d parts were sent at once, want %d", got, want)
	}
}

func TestColdServer(t *testing.T) {
	t.Run("gets what it can bear", func(t *testing.T) { assertFills(t, newBench(t), 1) })
	t.Run("gets everything once warm", func(t *testing.T) {
		b := newBench(t)
		b.warm()
		assertFills(t, b, 4)
	})
	t.Run("is recognised by its incarnation", func(t *testing.T) {
		b := newBench(t)
		b.warm()
		id, _ := b.offer("a")
		b.done(id, good("2"))
		assertFills(t, b, 1)
	})
	t.Run("is recognised after one slow part", func(t *testing.T) {
		b := newBench(t)
		b.warm()
		id, _ := b.offer("a")
		b.done(id, slots.Result{Outcome: fault.OutcomeRan, Latency: 30 * time.Millisecond, Incarnation: "1"})
		assertFills(t, b, 1)
	})
	t.Run("is suspected after a lost connection until a later part shows its incarnation", func(t *testing.T) {
		b := newBench(t)
		b.warm()
		early, _ := b.offer("a")
		b.step(slots.ConnectionClosed{})
		b.done(early, good("1"))
		if b.m.Warmth() != slots.WarmthProbing {
			t.Errorf("after an early part the server is %v", b.m.Warmth())
		}
		late, _ := b.offer("a")
		b.done(late, good("1"))
		assertFills(t, b, 4)
	})
}

func TestReturningDomain(t *testing.T) {
	b := newBench(t)
	b.warm()
	b.env.Returning = true
	t.Run("makes its server cold", func(t *testing.T) {
		id, _ := b.offer("a")
		if b.m.Warmth() != slots.WarmthCold {
			t.Errorf("the server is %v", b.m.Warmth())
		}
		b.done(id, good("1"))
	})
	t.Run("lets it become warm once", func(t *testing.T) {
		b.warm()
		assertFills(t, b, 4)
	})
}

func TestHandover(t *testing.T) {
	t.Run("a vouched server gets one part although it could bear none", func(t *testing.T) {
		b := newBench(t)
		b.env.ColdSlots, b.env.MayProbe = 0, true
		b.m.ExpectWarm(clock.At(b.now), "1")
		assertFills(t, b, 1)
	})
	t.Run("but none while another holder answers", func(t *testing.T) {
		b := newBench(t)
		b.env.ColdSlots, b.env.MayProbe = 0, false
		b.m.ExpectWarm(clock.At(b.now), "1")
		_, acts := b.offer("a")
		assertRefused(t, acts, fault.CodeUnavailable)
	})
	t.Run("and none once it has turned out to be cold", func(t *testing.T) {
		b := newBench(t)
		b.env.ColdSlots, b.env.MayProbe = 0, true
		b.m.ExpectWarm(clock.At(b.now), "1")
		id, _ := b.offer("a")
		b.done(id, good("2"))
		_, acts := b.offer("a")
		assertRefused(t, acts, fault.CodeUnavailable)
	})
}

func TestRefusals(t *testing.T) {
	t.Run("without units", func(t *testing.T) {
		b := newBench(t)
		b.env.Slots = 0
		_, acts := b.offer("a")
		assertRefused(t, acts, fault.CodeNotOwner)
	})
	t.Run("when the server must get nothing", func(t *testing.T) {
		b := newBench(t)
		b.env.Usable = false
		_, acts := b.offer("a")
		assertRefused(t, acts, fault.CodeUnavailable)
	})
	t.Run("of waiting parts when the server leaves service", func(t *testing.T) {
		b := newBench(t)
		b.fill()
		b.env.Usable = false
		assertRefused(t, b.step(slots.Check{}), fault.CodeUnavailable)
	})
	t.Run("of waiting parts whose key was withdrawn", func(t *testing.T) {
		b := newBench(t)
		b.fill()
		b.env.KeyValid = func(ident.Team, string) bool { return false }
		assertRefused(t, b.step(slots.Check{}), fault.CodeUnauthorized)
	})
	t.Run("of the team that waits most when the queue is full", func(t *testing.T) {
		b := newBench(t)
		b.fill()
		for range 3 {
			b.offer("a")
		}
		_, acts := b.offer("b")
		assertRefused(t, acts, fault.CodeOverloaded)
		if r := acts[0].(slots.Refuse); r.ID == slots.ID(fmt.Sprint(b.n)) {
			t.Error("the modest team's part was refused")
		}
	})
	t.Run("when the server drains", func(t *testing.T) {
		b := newBench(t)
		id, _ := b.offer("a")
		r := good("1")
		r.Draining = true
		b.done(id, r)
		_, acts := b.offer("a")
		assertRefused(t, acts, fault.CodeLeaving)
	})
	t.Run("of a part taken back before it was sent", func(t *testing.T) {
		b := newBench(t)
		b.fill()
		assertRefused(t, b.step(slots.Cancel{ID: slots.ID(fmt.Sprint(b.n))}), fault.CodeCancelled)
	})
}

func TestPressure(t *testing.T) {
	t.Run("a server that sheds gets half", func(t *testing.T) {
		b := newBench(t)
		b.warm()
		id, _ := b.offer("a")
		b.done(id, slots.Result{Outcome: fault.OutcomeRefused, Shed: true, Incarnation: "1"})
		assertFills(t, b, 2)
	})
	t.Run("a server that cannot be reached gets nothing for a while", func(t *testing.T) {
		b := newBench(t)
		id, _ := b.offer("a")
		b.done(id, slots.Result{Outcome: fault.OutcomeNotSent, ConnectionFailed: true})
		_, acts := b.offer("a")
		assertRefused(t, acts, fault.CodeUnavailable)
		b.now += time.Second
		assertFills(t, b, 1)
	})
}
