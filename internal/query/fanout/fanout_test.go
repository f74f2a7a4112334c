package fanout_test

import (
	"testing"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/clock"
	"kumquatreel.example/kumquatreel/internal/base/fault"
	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/conf/schema"
	"kumquatreel.example/kumquatreel/internal/query/fanout"
	"kumquatreel.example/kumquatreel/internal/query/merge"
	"kumquatreel.example/kumquatreel/internal/query/plan"
	"kumquatreel.example/kumquatreel/internal/stand/sample"
)

// fixedBudget allows a fixed number of second attempts.
type fixedBudget int

func (p *fixedBudget) Take() bool {
	*p--
	return *p >= 0
}

// harness passes events to one machine.
type harness struct {
	t *testing.T
	m *fanout.Machine
	p plan.Plan
}

func newMachine(t testing.TB, route ident.Route, budget int, limits fanout.Limits) (*fanout.Machine, plan.Plan) {
	t.Helper()
	c, err := schema.Parse(1, []byte(sample.JSON(sample.Small(9000).Document())))
	if err != nil {
		t.Fatal(err)
	}
	p := plan.New(c, c.Route(route), c.Team("team0"), "record")
	targets := make([][]fanout.Target, len(p.Parts()))
	for i, part := range p.Parts() {
		for _, s := range part.Replicas() {
			targets[i] = append(targets[i], fanout.Target{Server: s.Name(), VM: "vm0"})
		}
	}
	b := fixedBudget(budget)
	return fanout.New(p, limits, &b, targets), p
}

func begin(t *testing.T, route ident.Route, budget int, limits fanout.Limits) *harness {
	t.Helper()
	m, p := newMachine(t, route, budget, limits)
	r := &harness{t: t, m: m, p: p}
	assertSends(t, r.step(0, fanout.Start{}), len(p.Parts()))
	return r
}

func (r *harness) step(at time.Duration, ev fanout.Event) []fanout.Action {
	return r.m.Step(clock.At(at+time.Millisecond), ev)
}

// answer reports a complete answer of an attempt.
func (r *harness) answer(at time.Duration, attempt int) []fanout.Action {
	return r.step(at, fanout.Answered{Attempt: attempt, Version: 1, Items: []merge.Item{{ID: "x"}}})
}

func assertSends(t *testing.T, acts []fanout.Action, want int) {
	t.Helper()
	n := 0
	for _, act := range acts {
		if _, ok := act.(fanout.Send); ok {
			n++
		}
	}
	if n != want {
		t.Errorf("%d attempts sent, want %d: %v", n, want, acts)
	}
}

func findFinish(acts []fanout.Action) *fanout.Finish {
	for _, act := range acts {
		if f, ok := act.(fanout.Finish); ok {
			return &f
		}
	}
	return nil
}

func assertFault(t *testing.T, acts []fanout.Action, code fault.Code, notRun bool) {
	t.Helper()
	f := findFinish(acts)
	if f == nil || f.Fault == nil || f.Fault.Code() != code || f.Fault.Outcome().NotRun() != notRun {
		t.Errorf("the request ended with %+v, want %v, not run %v", f, code, notRun)
	}
}

var defaultLimits = fanout.Limits{
	Deadline: 400 * time.Millisecond, GracePeriod: 100 * time.Millisecond, MinCoverage: 0.5, HedgeFraction: 0.1,
	HedgeDelay: func(ident.Service) time.Duration { return 50 * time.Millisecond },
}

func TestIdempotent(t *testing.T) {
	t.Run("ends when every part has answered", func(t *testing.T) {
		r := begin(t, "search", 0, defaultLimits)
		for i := range 7 {
			r.answer(0, i)
		}
		if f := findFinish(r.answer(0, 7)); f == nil || f.Fault != nil {
			t.Errorf("the request ended with %+v", f)
		}
	})
	t.Run("hedges the last late part at another server", func(t *testing.T) {
		r := begin(t, "search", 1, defaultLimits)
		assertSends(t, r.step(60*time.Millisecond, fanout.Tick{}), 0)
		for i := range 6 {
			r.answer(60*time.Millisecond, i)
		}
		assertSends(t, r.answer(70*time.Millisecond, 6), 1)
	})
	t.Run("does not hedge without a budget", func(t *testing.T) {
		r := begin(t, "search", 0, defaultLimits)
		for i := range 7 {
			assertSends(t, r.answer(90*time.Millisecond, i), 0)
		}
	})
	t.Run("is refused at the deadline below its least coverage", func(t *testing.T) {
		r := begin(t, "search", 0, defaultLimits)
		r.answer(0, 0)
		assertFault(t, r.step(400*time.Millisecond, fanout.Tick{}), fault.CodeLowCoverage, false)
	})
	t.Run("is answered early when that suffices", func(t *testing.T) {
		limits := defaultLimits
		limits.EarlyAfter, limits.EarlyCoverage = 30*time.Millisecond, 0.75
		r := begin(t, "search", 0, limits)
		for i := range 6 {
			r.answer(0, i)
		}
		if f := findFinish(r.step(30*time.Millisecond, fanout.Tick{})); f == nil || f.Fault != nil {
			t.Errorf("the request ended with %+v", f)
		}
	})
	t.Run("tries a part that nobody could take again after a pause", func(t *testing.T) {
		r := begin(t, "search", 0, defaultLimits)
		refused := fanout.Failed{Attempt: 0, Outcome: fault.OutcomeRefused, Code: fault.CodeNotOwner}
		assertSends(t, r.step(0, refused), 1)
		refused.Attempt = 8
		assertSends(t, r.step(0, refused), 0)
		assertSends(t, r.step(26*time.Millisecond, fanout.Tick{}), 1)
	})
}

func TestOnce(t *testing.T) {
	t.Run("has no second attempt when the first may have run", func(t *testing.T) {
		r := begin(t, "book", 9, defaultLimits)
		acts := r.step(0, fanout.Failed{Attempt: 0, Outcome: fault.OutcomeUnknown, Code: fault.CodeUnavailable})
		assertSends(t, acts, 0)
		assertFault(t, acts, fault.CodeOutcomeUnknown, false)
	})
	t.Run("is tried elsewhere when the first certainly did not run", func(t *testing.T) {
		r := begin(t, "book", 0, defaultLimits)
		assertSends(t, r.step(0, fanout.Failed{Attempt: 0, Outcome: fault.OutcomeNotSent, Code: fault.CodeUnavailable}), 1)
	})
	t.Run("is not hedged", func(t *testing.T) {
		r := begin(t, "book", 9, defaultLimits)
		assertSends(t, r.step(300*time.Millisecond, fanout.Tick{}), 0)
	})
	t.Run("is said not to have run only once its owner says so", func(t *testing.T) {
		r := begin(t, "book", 0, defaultLimits)
		r.step(400*time.Millisecond, fanout.Tick{})
		acts := r.step(420*time.Millisecond, fanout.Failed{Attempt: 0, Outcome: fault.OutcomeRefused, Code: fault.CodeCancelled})
		assertFault(t, acts, fault.CodeCancelled, true)
	})
	t.Run("is of unknown outcome when its owner is silent", func(t *testing.T) {
		r := begin(t, "book", 0, defaultLimits)
		r.step(400*time.Millisecond, fanout.Tick{})
		assertFault(t, r.step(500*time.Millisecond, fanout.Tick{}), fault.CodeOutcomeUnknown, false)
	})
}

func BenchmarkRequest(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		m, p := newMachine(b, "all", 0, defaultLimits)
		m.Step(clock.At(0), fanout.Start{})
		for i := range p.Parts() {
			m.Step(clock.At(time.Millisecond), fanout.Answered{Attempt: i, Version: 1})
		}
	}
}
