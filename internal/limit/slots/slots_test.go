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

// harness drives a Scheduler with a simulated clock.
type harness struct {
	t         *testing.T
	scheduler *slots.Scheduler
	env       slots.Env
	now       time.Duration
	offered   int
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	return &harness{t: t, scheduler: slots.New(), env: slots.Env{Slots: 4, ColdSlots: 1, MaxQueue: 4, WarmAfter: 3, Usable: true}}
}

func (h *harness) step(ev slots.Event) []slots.Action {
	h.now += time.Millisecond
	return h.scheduler.Step(clock.At(h.now), h.env, ev)
}

// offer offers a new attempt and returns its ID and the resulting actions.
func (h *harness) offer(team ident.Team) (slots.ID, []slots.Action) {
	h.offered++
	id := slots.ID(fmt.Sprint(h.offered))
	return id, h.step(slots.Offer{Attempt: slots.Attempt{ID: id, Team: team, Weight: 1, Deadline: clock.At(time.Hour)}})
}

func (h *harness) done(id slots.ID, r slots.Result) { h.step(slots.Done{ID: id, Result: r}) }

// warmUp runs attempts until the server is warm and its average latency is known.
func (h *harness) warmUp() {
	h.t.Helper()
	for h.scheduler.Warmth() != slots.WarmthWarm {
		id, acts := h.offer("a")
		assertSends(h.t, acts, 1)
		h.done(id, succeeded("1"))
	}
	id, _ := h.offer("a")
	h.done(id, succeeded("1"))
}

func succeeded(incarnation string) slots.Result {
	return slots.Result{Outcome: fault.OutcomeRan, Latency: 10 * time.Millisecond, Incarnation: incarnation}
}

func assertSends(t *testing.T, actions []slots.Action, want int) {
	t.Helper()
	n := 0
	for _, act := range actions {
		if _, ok := act.(slots.Send); ok {
			n++
		}
	}
	if n != want {
		t.Errorf("%d attempts were sent, want %d: %v", n, want, actions)
	}
}

func assertRefused(t *testing.T, actions []slots.Action, code fault.Code) {
	t.Helper()
	for _, act := range actions {
		if r, ok := act.(slots.Refuse); ok && r.Code == code {
			return
		}
	}
	t.Errorf("no attempt was refused with %v: %v", code, actions)
}

// fill offers attempts until one is not sent, and returns how many were.
func (h *harness) fill() int {
	for n := 0; ; n++ {
		if _, acts := h.offer("a"); len(acts) == 0 {
			return n
		}
	}
}

func assertFills(t *testing.T, h *harness, want int) {
	t.Helper()
	if got := h.fill(); got != want {
		t.Errorf("%d attempts were sent at once, want %d", got, want)
	}
}

func TestColdServer(t *testing.T) {
	t.Run("gets what it can bear", func(t *testing.T) { assertFills(t, newHarness(t), 1) })
	t.Run("gets everything once warm", func(t *testing.T) {
		h := newHarness(t)
		h.warmUp()
		assertFills(t, h, 4)
	})
	t.Run("is recognised by its incarnation", func(t *testing.T) {
		h := newHarness(t)
		h.warmUp()
		id, _ := h.offer("a")
		h.done(id, succeeded("2"))
		assertFills(t, h, 1)
	})
	t.Run("is recognised after one slow part", func(t *testing.T) {
		h := newHarness(t)
		h.warmUp()
		id, _ := h.offer("a")
		h.done(id, slots.Result{Outcome: fault.OutcomeRan, Latency: 30 * time.Millisecond, Incarnation: "1"})
		assertFills(t, h, 1)
	})
	t.Run("is suspected after a lost connection until a later part shows its incarnation", func(t *testing.T) {
		h := newHarness(t)
		h.warmUp()
		early, _ := h.offer("a")
		h.step(slots.ConnectionClosed{})
		h.done(early, succeeded("1"))
		if h.scheduler.Warmth() != slots.WarmthProbing {
			t.Errorf("the server is %v after an attempt that was sent before the connection closed", h.scheduler.Warmth())
		}
		late, _ := h.offer("a")
		h.done(late, succeeded("1"))
		assertFills(t, h, 4)
	})
}

func TestReturningDomain(t *testing.T) {
	h := newHarness(t)
	h.warmUp()
	h.env.Returning = true
	t.Run("makes its server cold", func(t *testing.T) {
		id, _ := h.offer("a")
		if h.scheduler.Warmth() != slots.WarmthCold {
			t.Errorf("the server is %v", h.scheduler.Warmth())
		}
		h.done(id, succeeded("1"))
	})
	t.Run("lets it become warm once", func(t *testing.T) {
		h.warmUp()
		assertFills(t, h, 4)
	})
}

func TestHandover(t *testing.T) {
	t.Run("a vouched server gets one part although it could bear none", func(t *testing.T) {
		h := newHarness(t)
		h.env.ColdSlots, h.env.MayProbe = 0, true
		h.scheduler.ExpectWarm(clock.At(h.now), "1")
		assertFills(t, h, 1)
	})
	t.Run("but none while another holder answers", func(t *testing.T) {
		h := newHarness(t)
		h.env.ColdSlots, h.env.MayProbe = 0, false
		h.scheduler.ExpectWarm(clock.At(h.now), "1")
		_, acts := h.offer("a")
		assertRefused(t, acts, fault.CodeUnavailable)
	})
	t.Run("and none once it has turned out to be cold", func(t *testing.T) {
		h := newHarness(t)
		h.env.ColdSlots, h.env.MayProbe = 0, true
		h.scheduler.ExpectWarm(clock.At(h.now), "1")
		id, _ := h.offer("a")
		h.done(id, succeeded("2"))
		_, acts := h.offer("a")
		assertRefused(t, acts, fault.CodeUnavailable)
	})
}

func TestRefusals(t *testing.T) {
	t.Run("without units", func(t *testing.T) {
		h := newHarness(t)
		h.env.Slots = 0
		_, acts := h.offer("a")
		assertRefused(t, acts, fault.CodeNotOwner)
	})
	t.Run("when the server must get nothing", func(t *testing.T) {
		h := newHarness(t)
		h.env.Usable = false
		_, acts := h.offer("a")
		assertRefused(t, acts, fault.CodeUnavailable)
	})
	t.Run("of waiting parts when the server leaves service", func(t *testing.T) {
		h := newHarness(t)
		h.fill()
		h.env.Usable = false
		assertRefused(t, h.step(slots.Check{}), fault.CodeUnavailable)
	})
	t.Run("of waiting parts whose key was withdrawn", func(t *testing.T) {
		h := newHarness(t)
		h.fill()
		h.env.KeyValid = func(ident.Team, string) bool { return false }
		assertRefused(t, h.step(slots.Check{}), fault.CodeUnauthorized)
	})
	t.Run("of the team that waits most when the queue is full", func(t *testing.T) {
		h := newHarness(t)
		h.fill()
		for range 3 {
			h.offer("a")
		}
		_, acts := h.offer("b")
		assertRefused(t, acts, fault.CodeOverloaded)
		if r := acts[0].(slots.Refuse); r.ID == slots.ID(fmt.Sprint(h.offered)) {
			t.Error("the attempt of the team with the shorter queue was refused")
		}
	})
	t.Run("when the server drains", func(t *testing.T) {
		h := newHarness(t)
		id, _ := h.offer("a")
		r := succeeded("1")
		r.Draining = true
		h.done(id, r)
		_, acts := h.offer("a")
		assertRefused(t, acts, fault.CodeLeaving)
	})
	t.Run("of a part taken back before it was sent", func(t *testing.T) {
		h := newHarness(t)
		h.fill()
		assertRefused(t, h.step(slots.Cancel{ID: slots.ID(fmt.Sprint(h.offered))}), fault.CodeCancelled)
	})
}

func TestPressure(t *testing.T) {
	t.Run("a server that sheds gets half", func(t *testing.T) {
		h := newHarness(t)
		h.warmUp()
		id, _ := h.offer("a")
		h.done(id, slots.Result{Outcome: fault.OutcomeRefused, Shed: true, Incarnation: "1"})
		assertFills(t, h, 2)
	})
	t.Run("a server that cannot be reached gets nothing for a while", func(t *testing.T) {
		h := newHarness(t)
		id, _ := h.offer("a")
		h.done(id, slots.Result{Outcome: fault.OutcomeNotSent, ConnectionFailed: true})
		_, acts := h.offer("a")
		assertRefused(t, acts, fault.CodeUnavailable)
		h.now += time.Second
		assertFills(t, h, 1)
	})
}

// A server refuses an attempt and names a time in which it wants none.
func TestRest(t *testing.T) {
	refuse := func(h *harness, rest time.Duration) {
		id, _ := h.offer("a")
		h.done(id, slots.Result{Outcome: fault.OutcomeRefused, Shed: true, Incarnation: "1", Rest: rest})
	}
	t.Run("refuses at once what comes before its end, also what is queued", func(t *testing.T) {
		h := newHarness(t)
		h.fill()
		h.done(slots.ID("1"), slots.Result{Outcome: fault.OutcomeRefused, Shed: true, Incarnation: "1", Rest: 2 * time.Second})
		_, acts := h.offer("a")
		assertRefused(t, acts, fault.CodeUnavailable)
		if n := h.scheduler.Waiting(); n > 0 {
			t.Errorf("%d attempts wait, want none", n)
		}
	})
	t.Run("ends, and a shorter time does not end it sooner", func(t *testing.T) {
		h := newHarness(t)
		first, _ := h.offer("a")
		h.done(first, slots.Result{Outcome: fault.OutcomeRefused, Incarnation: "1", Rest: 2 * time.Second})
		refuse(h, time.Millisecond)
		h.now += time.Second
		_, acts := h.offer("a")
		assertRefused(t, acts, fault.CodeUnavailable)
		h.now += time.Second
		assertFills(t, h, 1)
	})
}

// A server in need names a limit: a queue that is sent as fast as slots become free exceeds it.
func TestPace(t *testing.T) {
	limited := func(limit float64) slots.Result {
		r := succeeded("1")
		r.Limit, r.Limited = limit, true
		return r
	}
	newLimited := func(t *testing.T, limit float64) *harness {
		h := newHarness(t)
		h.warmUp()
		id, _ := h.offer("a")
		h.done(id, limited(limit))
		return h
	}
	// sent offers an attempt every 20 ms, which ends at once, and returns how many are sent in 4 s.
	sent := func(h *harness, r slots.Result) int {
		n := 0
		for range 200 {
			h.now += 19 * time.Millisecond
			id, acts := h.offer("a")
			for _, act := range acts {
				if s, ok := act.(slots.Send); ok {
					n++
					h.done(s.ID, r)
				}
			}
			h.step(slots.Cancel{ID: id})
		}
		return n
	}
	t.Run("follows the VM's share of the slots", func(t *testing.T) {
		for _, c := range []struct{ serverSlots, most int }{{4, 42}, {16, 12}} {
			h := newLimited(t, 10)
			h.env.ServerSlots = c.serverSlots
			if n := sent(h, limited(10)); n > c.most || n < c.most/2 {
				t.Errorf("%d attempts in 4 s with 4 of %d slots, want %d at most and half of them", n, c.serverSlots, c.most)
			}
		}
	})
	t.Run("ends with an answer without a limit", func(t *testing.T) {
		h := newLimited(t, 10)
		h.now += time.Second
		if n := sent(h, succeeded("1")); n < 190 {
			t.Errorf("%d of 200 attempts were sent, want nearly all", n)
		}
	})
	t.Run("refuses at once what would wait beyond its deadline", func(t *testing.T) {
		h := newLimited(t, 0.5)
		a := slots.Attempt{ID: "late", Team: "a", Weight: 1, Deadline: clock.At(h.now + 500*time.Millisecond)}
		assertRefused(t, h.step(slots.Offer{Attempt: a}), fault.CodeOverloaded)
	})
}
