package roster_test

import (
	"reflect"
	"strconv"
	"testing"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/tier/roster"
)

// pair returns a roster with two servers.
func pair() *roster.Roster {
	r := roster.New(drain)
	r.Update(start, entry("a"))
	r.Update(start, entry("b"))
	return r
}

func again(name ident.Server) roster.Entry {
	e := entry(name)
	e.Started = 2
	return e
}

func assertResting(t *testing.T, r *roster.Roster, now time.Time, name ident.Server, want bool) {
	t.Helper()
	if got := r.Resting(now, name); got != want {
		t.Errorf("server %s rests: %v, want %v", name, got, want)
	}
}

// A server says in its answers that it leaves while its entry says that it is ready.
func TestHearLeaving(t *testing.T) {
	of := entry("a").Start()
	t.Run("puts the server behind the others, and out of use after a third of its time", func(t *testing.T) {
		r := pair()
		if !r.HearLeaving(start, "a", of) || r.HearLeaving(start, "a", of) {
			t.Error("want the first statement to be new, and only that")
		}
		assertCandidates(t, r, start.Add(time.Second), []ident.Server{"b"}, []ident.Server{"a"})
		assertCandidates(t, r, start.Add(drain), []ident.Server{"b"}, nil)
	})
	t.Run("holds whatever its entries say", func(t *testing.T) {
		for name, change := range map[string]func(*roster.Roster){
			"ready":            func(r *roster.Roster) { r.Update(start, entry("a")) },
			"removed and back": func(r *roster.Roster) { r.Remove(start, "a"); r.Update(start, entry("a")) },
			"expired and back": func(r *roster.Roster) {
				r.Remove(start, "a")
				r.RemoveExpired(start.Add(drain))
				r.PruneStatements(start.Add(drain))
				r.Update(start.Add(drain), entry("a"))
			},
			"misplaced and back": func(r *roster.Roster) { r.Evict("a", entry("a").Start()); r.Update(start, entry("a")) },
			"pruned":             func(r *roster.Roster) { r.PruneStatements(start.Add(24 * time.Hour)) },
		} {
			t.Run(name, func(t *testing.T) {
				r := pair()
				r.HearLeaving(start, "a", of)
				change(r)
				assertCandidates(t, r, start.Add(2*drain), []ident.Server{"b"}, nil)
				if r.MayReceive(start.Add(2*drain), "a", of) {
					t.Error("a request that was chosen for the server before may still be sent")
				}
			})
		}
	})
	t.Run("ends with another start, and an answer of the earlier one changes nothing", func(t *testing.T) {
		r := pair()
		r.HearLeaving(start, "a", of)
		r.Update(start, again("a"))
		if r.HearLeaving(start, "a", of) {
			t.Error("an answer of the earlier start counts")
		}
		assertCandidates(t, r, start.Add(drain), []ident.Server{"a", "b"}, nil)
	})
	t.Run("does not concern another server at the address", func(t *testing.T) {
		r := pair()
		r.HearLeaving(start, "a", of)
		r.Remove(start, "a")
		r.Update(start, entry("c"))
		assertCandidates(t, r, start.Add(drain), []ident.Server{"b", "c"}, nil)
	})
}

// A server turns requests away and names a time in which it wants none.
func TestHearRest(t *testing.T) {
	of := entry("a").Start()
	t.Run("lasts until the latest end that was named", func(t *testing.T) {
		r := pair()
		r.HearRest(start, "a", of, 2*time.Second)
		if _, changed := r.HearRest(start.Add(time.Second), "a", of, 500*time.Millisecond); changed {
			t.Error("an earlier end replaces a later one")
		}
		assertResting(t, r, start.Add(1999*time.Millisecond), "a", true)
		assertResting(t, r, start.Add(2*time.Second), "a", false)
		assertResting(t, r, start, "b", false)
	})
	t.Run("is not ended by an entry of the same start, but by one of another", func(t *testing.T) {
		r := pair()
		r.HearRest(start, "a", of, 2*time.Second)
		r.Update(start, entry("a"))
		assertResting(t, r, start, "a", true)
		r.Update(start, again("a"))
		assertResting(t, r, start, "a", false)
	})
	t.Run("is bounded", func(t *testing.T) {
		r := pair()
		if until, _ := r.HearRest(start, "a", of, 1<<62); until.Sub(start) > time.Hour {
			t.Errorf("the rest lasts %v, want an hour at most", until.Sub(start))
		}
	})
	t.Run("tells when a service has a server again, and what was withheld", func(t *testing.T) {
		r := pair()
		r.HearRest(start, "a", of, 2*time.Second)
		if w := r.Withholding(start, "books"); !w.Until.IsZero() || w.Resting != 1 {
			t.Errorf("got %+v, want no end while the other server may get requests", w)
		}
		r.HearRest(start, "b", entry("b").Start(), time.Second)
		if w := r.Withholding(start, "books"); !w.Until.Equal(start.Add(time.Second)) || w.Resting != 2 {
			t.Errorf("got %+v, want the earlier end", w)
		}
		r.CountWithheld("b")
		want := []roster.Rest{{Server: "b", Until: start.Add(time.Second), Withheld: 1}}
		if got := r.EndRests(start.Add(time.Second)); !reflect.DeepEqual(got, want) {
			t.Errorf("ended rests are %v, want %v", got, want)
		}
	})
}

// What other VMs have heard spares a server requests, but never keeps the only server of a shard from them.
func TestStatementReports(t *testing.T) {
	t.Run("put the server behind the others", func(t *testing.T) {
		heard, r := pair(), pair()
		heard.HearLeaving(start, "a", entry("a").Start())
		heard.HearRest(start, "b", entry("b").Start(), time.Second)
		r.ApplyReports(start, heard.Reports(start))
		assertCandidates(t, r, start.Add(500*time.Millisecond), nil, []ident.Server{"a", "b"})
		assertResting(t, r, start, "b", false)
		assertCandidates(t, r, start.Add(time.Hour), []ident.Server{"b"}, []ident.Server{"a"})
	})
	t.Run("of another start, of unknown servers and malformed ones are ignored", func(t *testing.T) {
		r := pair()
		r.ApplyReports(start, map[ident.Server]roster.Report{
			"a": {Started: 7, Leaving: true}, "b": {Started: 1, RestMs: -1 << 62}, "x": {Started: 1, Leaving: true},
		})
		assertCandidates(t, r, start, []ident.Server{"a", "b"}, nil)
	})
	t.Run("are not passed on", func(t *testing.T) {
		r := pair()
		r.ApplyReports(start, map[ident.Server]roster.Report{"a": {Started: 1, Leaving: true, RestMs: 5000}})
		if reports := r.Reports(start); len(reports) > 0 {
			t.Errorf("reports are %v, want none", reports)
		}
	})
	t.Run("cannot overflow", func(t *testing.T) {
		r := pair()
		r.ApplyReports(start, map[ident.Server]roster.Report{"a": {Started: 1, RestMs: 1 << 62}})
		assertCandidates(t, r, start.Add(2*time.Hour), []ident.Server{"a", "b"}, nil)
	})
}

// Servers that leave and never come back must not fill the memory.
func TestPruneStatements(t *testing.T) {
	r := roster.New(drain)
	for i := range 10000 {
		name := ident.Server(strconv.Itoa(i))
		r.Update(start, entry(name))
		r.HearLeaving(start, name, entry(name).Start())
		r.Remove(start, name)
		r.RemoveExpired(start.Add(drain))
	}
	r.PruneStatements(start.Add(drain))
	if n := r.NumStatements(); n > 5000 {
		t.Errorf("%d statements are kept of servers that have left, want a bound", n)
	}
	r.PruneStatements(start.Add(24 * time.Hour))
	if n := r.NumStatements(); n > 0 {
		t.Errorf("%d statements are kept a day later, want none", n)
	}
}

// A server starts again and says of itself what its VMs hear before its entry arrives.
func TestSpeaker(t *testing.T) {
	of, lost := entry("a").Start(), start.Add(time.Second)
	later := lost.Add(time.Second)
	newLost := func() *roster.Roster {
		r := pair()
		r.RecordLoss(lost, "a", of)
		return r
	}
	t.Run("is the published start before the server was lost, and a later one on connections after that", func(t *testing.T) {
		r := newLost()
		for opened, want := range map[time.Time]bool{start: false, later: true} {
			if got := r.Speaker("a", of, opened).Unpublished; got != want {
				t.Errorf("opened after %v: a later start: %v, want %v", opened.Sub(start), got, want)
			}
		}
		if pair().Speaker("a", of, later).Unpublished || r.Speaker("b", entry("b").Start(), later).Unpublished {
			t.Error("a server that was not lost counts as a later start")
		}
	})
	t.Run("keeps what it said as its entry arrives", func(t *testing.T) {
		r := newLost()
		speaker := r.Speaker("a", of, later)
		r.HearRest(later, "a", speaker, time.Minute)
		r.HearLeaving(later, "a", speaker)
		r.Update(later, entry("a"))
		assertResting(t, r, later, "a", true)
		r.Update(later, again("a"))
		assertResting(t, r, later, "a", true)
		assertCandidates(t, r, later, []ident.Server{"b"}, []ident.Server{"a"})
		third := again("a")
		third.Started++
		r.Update(later, third)
		assertResting(t, r, later, "a", false)
	})
	t.Run("is not the earlier start, whose answers come late", func(t *testing.T) {
		r := newLost()
		r.HearRest(later, "a", r.Speaker("a", of, later), time.Second)
		r.HearRest(later, "a", r.Speaker("a", of, start), time.Minute)
		assertResting(t, r, later.Add(2*time.Second), "a", false)
	})
	t.Run("is gone if the server was lost again", func(t *testing.T) {
		r, of := pair(), entry("b").Start()
		r.RecordLoss(lost, "b", of)
		r.HearRest(later, "b", r.Speaker("b", of, later), time.Minute)
		r.RecordLoss(later.Add(time.Second), "b", of)
		r.Update(later.Add(2*time.Second), again("b"))
		assertResting(t, r, later.Add(2*time.Second), "b", false)
	})
	t.Run("is gone if it said that it leaves and has had the time to", func(t *testing.T) {
		r := newLost()
		r.HearLeaving(later, "a", r.Speaker("a", of, later))
		r.Update(later.Add(drain), again("a"))
		assertCandidates(t, r, later.Add(drain), []ident.Server{"a", "b"}, nil)
	})
	t.Run("is told to other VMs", func(t *testing.T) {
		r, other := newLost(), pair()
		r.HearRest(later, "a", r.Speaker("a", of, later), time.Minute)
		other.ApplyReports(later, r.Reports(later))
		other.Update(later, again("a"))
		assertCandidates(t, other, later, []ident.Server{"b"}, []ident.Server{"a"})
	})
}
