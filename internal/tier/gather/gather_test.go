package gather_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/tier/gather"
)

var start = time.Unix(1000, 0)

// fakeChooser has two servers for each service, plus extraServers, and a retry budget shared by all services.
type fakeChooser struct {
	retries      int
	extraServers int
	// noServer lists the services without servers, noCapacity those whose servers are all full.
	noServer, noCapacity []ident.Service
}

func (s *fakeChooser) Choose(_ time.Time, service ident.Service, exclude []ident.Server, _ gather.Cause) (ident.Server, gather.Capacity) {
	if slices.Contains(s.noServer, service) {
		return "", gather.CapacityNone
	}
	if slices.Contains(s.noCapacity, service) {
		return "", gather.CapacityLater
	}
	for i := range 2 + s.extraServers {
		n := ident.Server(fmt.Sprintf("%s-%d", service, 1+i))
		if !slices.Contains(exclude, n) {
			return n, gather.CapacityNow
		}
	}
	return "", gather.CapacityNone
}

func (s *fakeChooser) AllowRetry(time.Time, ident.Service, gather.Cause) bool {
	s.retries--
	return s.retries >= 0
}

// spec is a request over four shards of which three are enough, with a soft deadline of 70 ms and a hard one of 400 ms.
func spec() gather.Spec {
	return gather.Spec{
		Shards: []ident.Service{"a", "b", "c", "d"}, MaxAttempts: 2, Idempotent: true, MinCoverage: 0.75,
		SoftDeadline: after(70), HardDeadline: after(400), TypicalLatency: 8 * time.Millisecond, LateAfter: 16 * time.Millisecond,
	}
}

func single(idempotent bool) gather.Spec {
	s := spec()
	s.Shards, s.MinCoverage, s.Idempotent = []ident.Service{"a"}, 1, idempotent
	return s
}

func after(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func endAttempt(s *gather.State, c gather.Chooser, ms, shard, attempt int, v gather.Verdict) []gather.Send {
	return s.AttemptEnded(after(ms), gather.AttemptResult{Shard: shard, Attempt: attempt, Verdict: v}, c)
}

func assertServers(t *testing.T, sends []gather.Send, want ...ident.Server) {
	t.Helper()
	var got []ident.Server
	for _, s := range sends {
		got = append(got, s.Server)
	}
	if !slices.Equal(got, want) {
		t.Errorf("sent to %v, want %v", got, want)
	}
}

func assertDone(t *testing.T, s *gather.State, want gather.Reason, enough bool) {
	t.Helper()
	got, done := s.Done()
	if !done || got != want || s.CoverageMet() != enough {
		t.Errorf("done %v, %v, enough %v; want %v, %v", done, got, s.CoverageMet(), want, enough)
	}
}

func assertOpen(t *testing.T, s *gather.State) {
	t.Helper()
	if r, done := s.Done(); done {
		t.Errorf("ended with %v, want it in progress", r)
	}
}

func TestAnswer(t *testing.T) {
	t.Run("is given when all parts are in", func(t *testing.T) {
		c, s := &fakeChooser{}, gather.New(spec())
		s.Start(start, c)
		for i := range 4 {
			assertOpen(t, s)
			endAttempt(s, c, 10, i, 0, gather.VerdictAnswered)
		}
		assertDone(t, s, gather.ReasonComplete, true)
	})
	t.Run("is given in time with what is enough", func(t *testing.T) {
		c, s := &fakeChooser{}, gather.New(spec())
		s.Start(start, c)
		for i := range 3 {
			endAttempt(s, c, 10, i, 0, gather.VerdictAnswered)
		}
		s.Tick(after(69), c)
		assertOpen(t, s)
		s.Tick(after(70), c)
		assertDone(t, s, gather.ReasonInTime, true)
	})
	t.Run("waits beyond its time for what is enough", func(t *testing.T) {
		c, s := &fakeChooser{}, gather.New(spec())
		s.Start(start, c)
		for i := range 2 {
			endAttempt(s, c, 10, i, 0, gather.VerdictAnswered)
		}
		s.Tick(after(70), c)
		assertOpen(t, s)
		endAttempt(s, c, 90, 2, 0, gather.VerdictAnswered)
		assertDone(t, s, gather.ReasonInTime, true)
	})
	t.Run("fails at the deadline", func(t *testing.T) {
		c, s := &fakeChooser{}, gather.New(spec())
		s.Start(start, c)
		s.Tick(after(400), c)
		assertDone(t, s, gather.ReasonDeadline, false)
		if !s.MayHaveRun() {
			t.Error("attempts in flight count as not run")
		}
	})
	t.Run("fails for the time whichever is seen first, its end or that of the last attempt", func(t *testing.T) {
		for name, end := range map[string]func(*gather.State, gather.Chooser){
			"the attempt's": func(s *gather.State, c gather.Chooser) { endAttempt(s, c, 400, 0, 0, gather.VerdictLost) },
			"the request's": func(s *gather.State, c gather.Chooser) { s.Tick(after(400), c) },
			"both, together": func(s *gather.State, c gather.Chooser) {
				endAttempt(s, c, 401, 0, 0, gather.VerdictLost)
				s.Tick(after(401), c)
			},
		} {
			t.Run(name, func(t *testing.T) {
				c, s := &fakeChooser{}, gather.New(single(false))
				s.Start(start, c)
				end(s, c)
				assertDone(t, s, gather.ReasonDeadline, false)
				if !s.MayHaveRun() {
					t.Error("counts as not run")
				}
			})
		}
	})
	t.Run("fails at once when too few shards have a server", func(t *testing.T) {
		c, s := &fakeChooser{noServer: []ident.Service{"a", "b"}}, gather.New(spec())
		assertServers(t, s.Start(start, c))
		assertDone(t, s, gather.ReasonUnreachable, false)
		if s.MayHaveRun() {
			t.Error("counts as run, though nothing was sent")
		}
	})
	t.Run("goes without a shard that has no server", func(t *testing.T) {
		c, s := &fakeChooser{noServer: []ident.Service{"a"}}, gather.New(spec())
		s.Start(start, c)
		for i := range 3 {
			endAttempt(s, c, 10, i+1, 0, gather.VerdictAnswered)
		}
		assertDone(t, s, gather.ReasonInTime, true)
	})
}

// Guards against answers without a part whose server pauses: a late part must be hedged while the other server can still answer
// by the soft deadline.
func TestHedge(t *testing.T) {
	lastPartOpen := func(c gather.Chooser) *gather.State {
		s := gather.New(spec())
		s.Start(start, c)
		for i := range 3 {
			endAttempt(s, c, 10, i, 0, gather.VerdictAnswered)
		}
		return s
	}
	t.Run("is sent when a part is late", func(t *testing.T) {
		c := &fakeChooser{retries: 1}
		s := lastPartOpen(c)
		assertServers(t, s.Tick(after(17), c))
		assertServers(t, s.Tick(after(18), c), "d-2")
	})
	t.Run("is announced", func(t *testing.T) {
		s := lastPartOpen(&fakeChooser{retries: 1})
		if at, ok := s.NextTick(after(10)); !ok || !at.Equal(start.Add(17600*time.Microsecond)) {
			t.Errorf("next tick is at %v, want 17.6 ms", at.Sub(start))
		}
	})
	t.Run("completes the answer, whichever comes first", func(t *testing.T) {
		c := &fakeChooser{retries: 1}
		s := lastPartOpen(c)
		s.Tick(after(18), c)
		endAttempt(s, c, 30, 3, 1, gather.VerdictAnswered)
		assertDone(t, s, gather.ReasonComplete, true)
	})
	t.Run("is sent once, and not without budget", func(t *testing.T) {
		c := &fakeChooser{retries: 1}
		s := lastPartOpen(c)
		s.Tick(after(18), c)
		assertServers(t, s.Tick(after(50), c))
		noBudget := &fakeChooser{}
		s = lastPartOpen(noBudget)
		assertServers(t, s.Tick(after(18), noBudget))
	})
	t.Run("is not sent for a request that may run once", func(t *testing.T) {
		c, s := &fakeChooser{retries: 1}, gather.New(single(false))
		s.Start(start, c)
		assertServers(t, s.Tick(after(60), c))
	})
}

func TestRetry(t *testing.T) {
	t.Run("goes to another server at once", func(t *testing.T) {
		c, s := &fakeChooser{retries: 1}, gather.New(single(true))
		s.Start(start, c)
		assertServers(t, endAttempt(s, c, 5, 0, 0, gather.VerdictLost), "a-2")
	})
	t.Run("of a request that may run once needs proof that it has not run", func(t *testing.T) {
		for _, v := range []gather.Verdict{gather.VerdictLost, gather.VerdictFailed} {
			c, s := &fakeChooser{retries: 1}, gather.New(single(false))
			s.Start(start, c)
			assertServers(t, endAttempt(s, c, 5, 0, 0, v))
			assertDone(t, s, gather.ReasonUnreachable, false)
		}
		for _, v := range []gather.Verdict{gather.VerdictRefused, gather.VerdictMisplaced, gather.VerdictUnsent} {
			c, s := &fakeChooser{retries: 1}, gather.New(single(false))
			s.Start(start, c)
			assertServers(t, endAttempt(s, c, 5, 0, 0, v), "a-2")
		}
	})
	t.Run("without an arrival costs no repeat", func(t *testing.T) {
		c, s := &fakeChooser{}, gather.New(single(true))
		s.Start(start, c)
		assertServers(t, endAttempt(s, c, 5, 0, 0, gather.VerdictUnsent), "a-2")
	})
	t.Run("ends with the servers that it may run on", func(t *testing.T) {
		c, s := &fakeChooser{retries: 9}, gather.New(single(true))
		s.Start(start, c)
		endAttempt(s, c, 5, 0, 0, gather.VerdictFailed)
		assertServers(t, endAttempt(s, c, 9, 0, 1, gather.VerdictFailed))
		assertDone(t, s, gather.ReasonUnreachable, false)
		if !s.MayHaveRun() {
			t.Error("counts as not run after two failures")
		}
	})
	t.Run("comes after a pause when all servers are full", func(t *testing.T) {
		c, s := &fakeChooser{retries: 9}, gather.New(single(true))
		s.Start(start, c)
		endAttempt(s, c, 5, 0, 0, gather.VerdictRefused)
		assertServers(t, endAttempt(s, c, 6, 0, 1, gather.VerdictRefused))
		assertOpen(t, s)
		assertServers(t, s.Tick(after(14), c), "a-1")
	})
	t.Run("that is refused everywhere ends as not run", func(t *testing.T) {
		c, s := &fakeChooser{retries: 9}, gather.New(single(false))
		s.Start(start, c)
		for ms, attempt := 5, 0; ms < 400; ms++ {
			if _, done := s.Done(); done {
				break
			}
			if len(s.Tick(after(ms), c)) > 0 || attempt < 2 {
				endAttempt(s, c, ms, 0, attempt, gather.VerdictRefused)
				attempt++
			}
		}
		assertDone(t, s, gather.ReasonUnreachable, false)
		if s.MayHaveRun() {
			t.Error("counts as run, though all servers refused it")
		}
	})
}

func TestWithdrawn(t *testing.T) {
	t.Run("leaves a request that was sent nowhere as not run", func(t *testing.T) {
		c, s := &fakeChooser{}, gather.New(single(true))
		s.Start(start, c)
		s.Tick(after(400), c)
		s.AttemptCancelled(0, 0)
		assertDone(t, s, gather.ReasonDeadline, false)
		if s.MayHaveRun() {
			t.Error("counts as run, though its only attempt was cancelled before it was sent")
		}
	})
	t.Run("does not undo an attempt that has ended", func(t *testing.T) {
		c, s := &fakeChooser{}, gather.New(single(false))
		s.Start(start, c)
		endAttempt(s, c, 5, 0, 0, gather.VerdictLost)
		s.AttemptCancelled(0, 0)
		if !s.MayHaveRun() {
			t.Error("counts as not run, though an answer was lost")
		}
	})
}

// Guards against losing a part whose servers are full only for a moment when the request starts, as after a pause that filled their
// queues, and against sending anything when too many parts lack capacity.
func TestRoomLater(t *testing.T) {
	t.Run("for one part lets it be sent once there is room", func(t *testing.T) {
		c, s := &fakeChooser{noCapacity: []ident.Service{"b"}}, gather.New(spec())
		assertServers(t, s.Start(start, c), "a-1", "c-1", "d-1")
		for _, i := range []int{0, 2, 3} {
			endAttempt(s, c, 5, i, 0, gather.VerdictAnswered)
		}
		assertOpen(t, s)
		c.noCapacity = nil
		next, _ := s.NextTick(after(5))
		assertServers(t, s.Tick(next, c), "b-1")
		endAttempt(s, c, 20, 1, 0, gather.VerdictAnswered)
		assertDone(t, s, gather.ReasonComplete, true)
	})
	t.Run("that does not come leaves the part out in time", func(t *testing.T) {
		c, s := &fakeChooser{noCapacity: []ident.Service{"b"}}, gather.New(spec())
		s.Start(start, c)
		for _, i := range []int{0, 2, 3} {
			endAttempt(s, c, 5, i, 0, gather.VerdictAnswered)
		}
		for now := start; now.Before(after(70)); {
			next, more := s.NextTick(now)
			if !more {
				break
			}
			now = next
			assertServers(t, s.Tick(now, c))
		}
		assertDone(t, s, gather.ReasonInTime, true)
	})
	t.Run("for too many parts has nothing sent", func(t *testing.T) {
		c, s := &fakeChooser{noCapacity: []ident.Service{"b", "d"}}, gather.New(spec())
		assertServers(t, s.Start(start, c))
		assertDone(t, s, gather.ReasonUnreachable, false)
		if s.MayHaveRun() {
			t.Error("counts as run")
		}
	})
	t.Run("elsewhere has a part of a server that has ended sent again", func(t *testing.T) {
		c, s := &fakeChooser{retries: 9}, gather.New(spec())
		s.Start(start, c)
		c.noCapacity = []ident.Service{"b"}
		assertServers(t, endAttempt(s, c, 1, 1, 0, gather.VerdictUnsent))
		assertOpen(t, s)
		c.noCapacity = nil
		next, _ := s.NextTick(after(1))
		assertServers(t, s.Tick(next, c), "b-1")
	})
}

// Guards against running a part on more servers than the route allows when it keeps failing and more servers exist.
func TestAttempts(t *testing.T) {
	for _, v := range []gather.Verdict{gather.VerdictFailed, gather.VerdictLost} {
		t.Run("end with a part that is "+v.String(), func(t *testing.T) {
			c, s := &fakeChooser{retries: 9, extraServers: 2}, gather.New(single(true))
			assertServers(t, s.Start(start, c), "a-1")
			assertServers(t, endAttempt(s, c, 1, 0, 0, v), "a-2")
			assertServers(t, endAttempt(s, c, 2, 0, 1, v))
			assertDone(t, s, gather.ReasonUnreachable, false)
		})
	}
	t.Run("do not count servers that have not run it", func(t *testing.T) {
		c, s := &fakeChooser{retries: 9, extraServers: 2}, gather.New(single(true))
		s.Start(start, c)
		assertServers(t, endAttempt(s, c, 1, 0, 0, gather.VerdictRefused), "a-2")
		assertServers(t, endAttempt(s, c, 2, 0, 1, gather.VerdictFailed), "a-3")
		assertServers(t, endAttempt(s, c, 3, 0, 2, gather.VerdictFailed))
	})
	t.Run("count one that is late", func(t *testing.T) {
		c, s := &fakeChooser{retries: 9, extraServers: 2}, gather.New(single(true))
		s.Start(start, c)
		assertServers(t, s.Tick(after(20), c), "a-2")
		assertServers(t, s.Tick(after(60), c))
	})
}
