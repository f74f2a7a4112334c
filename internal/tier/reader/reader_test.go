package reader_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"kumquatreel.example/kumquatreel/internal/tier/reader"
)

const (
	step = 10 * time.Millisecond
	// newsDelay is how long it takes until VMs know of each other, and who watches the store, and hold its updates.
	newsDelay = 400 * time.Millisecond
	// maxCallsPerSecond bounds the calls of a fleet of any size, and maxStart those of a start of all VMs.
	maxCallsPerSecond, maxStart = 150, 20
	// maxDelay bounds the time until all VMs follow a store that can be read.
	maxDelay = 3 * time.Second
)

// fleet simulates the calls of VMs that are ranked by number.
type fleet struct {
	vms []*vm
	now time.Duration
	// serves reports whether the store serves a VM.
	serves func(vm int, now time.Duration) bool
	calls  int
	// watchedAt is when a VM last watched the store, and since is since when one has.
	watchedAt, since time.Duration
}

type vm struct {
	started, failedAt time.Duration
	failed, watching  bool
	empty             bool
}

func newFleet(n int, empty bool, serves func(int, time.Duration) bool) *fleet {
	f := &fleet{serves: serves}
	for range n {
		f.vms = append(f.vms, &vm{empty: empty})
	}
	return f
}

// run simulates until a time and returns when all VMs follow the store, 0 if they do not.
func (f *fleet) run(until time.Duration) (followed time.Duration) {
	for ; f.now < until; f.now += step {
		watched := false
		for i, v := range f.vms {
			f.step(i, v)
			watched = watched || v.watching
		}
		if watched {
			f.watchedAt = f.now
		} else {
			f.since = f.now + step
		}
		if f.known() {
			for _, v := range f.vms {
				v.empty = false
			}
			if followed == 0 {
				followed = f.now
			}
		}
	}
	return followed
}

// known reports whether the VMs have heard that the store is watched.
func (f *fleet) known() bool { return f.now-f.since > newsDelay }

func (f *fleet) step(i int, v *vm) {
	others := slices.ContainsFunc(f.vms, func(o *vm) bool { return o != v && o.watching })
	t := reader.Turn{
		Rank: i, Alone: f.now < newsDelay/4, Watched: f.known() && others, Watching: v.watching, Empty: v.empty, Age: f.now - v.started, First: i < reader.NumWatchers,
		Spread: float64(i*7%100) / 100, Failed: v.failed, SinceFailure: f.now - v.failedAt, Unwatched: f.now - f.watchedAt,
	}
	wait, may := t.Wait()
	switch {
	case !may || wait > 0:
		v.watching = false
	case v.watching && f.serves(i, f.now):
		// A watch waits at the store.
	default:
		f.calls++
		v.failed = !f.serves(i, f.now)
		v.watching, v.failedAt = !v.failed, f.now
	}
}

func assertCalls(t *testing.T, f *fleet, most int) {
	t.Helper()
	if f.calls > most {
		t.Errorf("%d calls of %d VMs, want at most %d", f.calls, len(f.vms), most)
	}
	t.Logf("%d calls of %d VMs", f.calls, len(f.vms))
}

func always(int, time.Duration) bool { return true }

// The store's calls must not grow with the fleet when the store is in need, and every VM must follow it soon after it can be read.
func TestCalls(t *testing.T) {
	for _, n := range []int{1, 9, 81, 195} {
		t.Run(fmt.Sprintf("%d VMs start together", n), func(t *testing.T) {
			f := newFleet(n, true, always)
			if at := f.run(5 * time.Second); at == 0 || at > maxDelay {
				t.Errorf("all VMs have the configuration after %v, want %v at most", at, maxDelay)
			}
			assertCalls(t, f, maxStart)
		})
		for name, empty := range map[string]bool{"running": false, "starting": true} {
			t.Run(fmt.Sprintf("%d %s VMs, the store is away for 6.3 s and comes back", n, name), func(t *testing.T) {
				const away = 6300 * time.Millisecond
				f := newFleet(n, empty, func(_ int, now time.Duration) bool { return now > away })
				if at := f.run(away + 5*time.Second); at < away || at > away+maxDelay {
					t.Errorf("all VMs follow the store at %v, want between %v and %v", at, away, away+maxDelay)
				}
				assertCalls(t, f, int(maxCallsPerSecond*away.Seconds()))
			})
		}
		t.Run(fmt.Sprintf("%d VMs, the store turns all away but the last", n), func(t *testing.T) {
			f := newFleet(n, false, func(vm int, _ time.Duration) bool { return vm == n-1 })
			if at := f.run(10 * time.Second); at == 0 || at > maxDelay {
				t.Errorf("all VMs follow the store after %v, want %v at most", at, maxDelay)
			}
		})
	}
}

func TestTurn(t *testing.T) {
	assertWait := func(t *testing.T, turn reader.Turn, want time.Duration, may bool) {
		t.Helper()
		if d, ok := turn.Wait(); d != want || ok != may {
			t.Errorf("%+v: waits %v, may call %v; want %v, %v", turn, d, ok, want, may)
		}
	}
	t.Run("of a watcher comes at once", func(t *testing.T) { assertWait(t, reader.Turn{Rank: 2, Watched: true}, 0, true) })
	t.Run("of another does not come while the store is watched", func(t *testing.T) { assertWait(t, reader.Turn{Rank: 3, Watched: true}, 0, false) })
	t.Run("of one that took over ends when another watches", func(t *testing.T) {
		assertWait(t, reader.Turn{Rank: 9, Watching: true}, 0, true)
		assertWait(t, reader.Turn{Rank: 9, Watching: true, Watched: true}, 0, false)
	})
	t.Run("of one that is cut off comes at once", func(t *testing.T) { assertWait(t, reader.Turn{Rank: 0, Alone: true}, 0, true) })
	t.Run("of a new one waits for the others", func(t *testing.T) {
		assertWait(t, reader.Turn{Empty: true, First: true, Age: 30 * time.Millisecond}, 0, true)
		assertWait(t, reader.Turn{Empty: true, Alone: true}, 300*time.Millisecond, true)
		assertWait(t, reader.Turn{Empty: true, Rank: 40, Demanded: true, Age: 30 * time.Millisecond}, 0, true)
		assertWait(t, reader.Turn{Empty: true, Rank: 40}, 1200*time.Millisecond, true)
	})
}
