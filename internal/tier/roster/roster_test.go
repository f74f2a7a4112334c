package roster_test

import (
	"reflect"
	"testing"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/tier/roster"
)

var start = time.Unix(1000, 0)

// drain is how long a server continues to serve after it has announced that it leaves.
const drain = 3 * time.Second

func entry(name ident.Server) roster.Entry {
	return roster.Entry{Server: name, Service: "books", Address: "127.0.0.1:1", Domain: "north", Slots: 2, Started: 1}
}

// leave publishes an entry of a leaving server. For an unknown server it first publishes an entry of a staying one.
func leave(r *roster.Roster, now time.Time, name ident.Server) {
	if r.Member(name) == nil {
		r.Update(now, entry(name))
	}
	e := entry(name)
	e.Leaving = true
	r.Update(now, e)
}

func names(members []*roster.Member) []ident.Server {
	var out []ident.Server
	for _, m := range members {
		out = append(out, m.Entry().Server)
	}
	return out
}

func assertCandidates(t *testing.T, r *roster.Roster, now time.Time, usable, fallback []ident.Server) {
	t.Helper()
	u, s := r.Candidates(now, "books")
	if !reflect.DeepEqual(names(u), usable) || !reflect.DeepEqual(names(s), fallback) {
		t.Errorf("candidates are %v and fallback %v, want %v and fallback %v", names(u), names(s), usable, fallback)
	}
}

func TestCandidates(t *testing.T) {
	t.Run("are the servers that stay", func(t *testing.T) {
		r := roster.New(drain)
		r.Update(start, entry("a"))
		leave(r, start, "b")
		assertCandidates(t, r, start, []ident.Server{"a"}, []ident.Server{"b"})
	})
	t.Run("leave out one that leaves after a third of its time", func(t *testing.T) {
		r := roster.New(drain)
		leave(r, start, "b")
		assertCandidates(t, r, start.Add(1020*time.Millisecond), nil, nil)
	})
	t.Run("count the time of leaving from its first notice", func(t *testing.T) {
		r := roster.New(drain)
		leave(r, start, "b")
		leave(r, start.Add(900*time.Millisecond), "b")
		assertCandidates(t, r, start.Add(1100*time.Millisecond), nil, nil)
	})
	t.Run("leave out one that leaves when it is first seen, as a VM sees it that has just started", func(t *testing.T) {
		r := roster.New(drain)
		e := entry("b")
		e.Leaving = true
		r.Update(start, e)
		assertCandidates(t, r, start, nil, nil)
	})
	t.Run("leave out a domain that is taken out, and take it back", func(t *testing.T) {
		r := roster.New(drain)
		r.Update(start, entry("a"))
		r.SetDomainOut("north", true)
		assertCandidates(t, r, start, nil, nil)
		r.SetDomainOut("north", false)
		assertCandidates(t, r, start, []ident.Server{"a"}, nil)
	})
	t.Run("leave out a server that another has answered for until its next entry", func(t *testing.T) {
		r := roster.New(drain)
		r.Update(start, entry("a"))
		r.Evict("a", entry("a").Start())
		assertCandidates(t, r, start, nil, nil)
		r.Update(start, entry("a"))
		assertCandidates(t, r, start, []ident.Server{"a"}, nil)
	})
	t.Run("keep a server that has another address since another answered at the former one", func(t *testing.T) {
		r := roster.New(drain)
		r.Update(start, entry("a"))
		moved := entry("a")
		moved.Address = "127.0.0.1:9"
		r.Update(start, moved)
		r.Evict("a", entry("a").Start())
		assertCandidates(t, r, start, []ident.Server{"a"}, nil)
	})
}

// Guards against losing servers whose entries expire while the store is unavailable: the entries come back within two seconds
// of the store.
func TestLapse(t *testing.T) {
	removed := func() *roster.Roster {
		r := roster.New(drain)
		r.Update(start, entry("a"))
		r.Remove(start, "a")
		return r
	}
	t.Run("leaves the server for work that no other can do", func(t *testing.T) {
		assertCandidates(t, removed(), start.Add(time.Second), nil, []ident.Server{"a"})
	})
	t.Run("ends when the entry is back", func(t *testing.T) {
		r := removed()
		r.Update(start.Add(time.Second), entry("a"))
		assertCandidates(t, r, start.Add(5*time.Second), []ident.Server{"a"}, nil)
	})
	t.Run("is for good after two seconds", func(t *testing.T) {
		r := removed()
		if gone := r.RemoveExpired(start.Add(2 * time.Second)); len(gone) != 1 {
			t.Errorf("removed %v, want one server", gone)
		}
		assertCandidates(t, r, start.Add(2*time.Second), nil, nil)
	})
	t.Run("of a server that had said it leaves is for good at once", func(t *testing.T) {
		r := roster.New(drain)
		leave(r, start, "a")
		r.Remove(start, "a")
		assertCandidates(t, r, start, nil, nil)
	})
}

// Guards against requests to servers past a short drain time, whether they announced that they leave or their entry was
// removed.
func TestShortDrain(t *testing.T) {
	const short = 900 * time.Millisecond
	t.Run("of a server that has said it leaves", func(t *testing.T) {
		r := roster.New(short)
		leave(r, start, "a")
		assertCandidates(t, r, start.Add(200*time.Millisecond), nil, []ident.Server{"a"})
		assertCandidates(t, r, start.Add(short), nil, nil)
	})
	t.Run("of a server whose entry was removed", func(t *testing.T) {
		r := roster.New(short)
		r.Update(start, entry("a"))
		r.Remove(start, "a")
		assertCandidates(t, r, start.Add(200*time.Millisecond), nil, []ident.Server{"a"})
		assertCandidates(t, r, start.Add(short), nil, nil)
	})
}

func TestChilled(t *testing.T) {
	t.Run("makes a warm server cold", func(t *testing.T) {
		r := roster.New(drain)
		r.Update(start, entry("a"))
		r.MarkCold(start, "a", time.Second)
		if m := r.Member("a"); !m.Cold(start.Add(900*time.Millisecond)) || m.Cold(start.Add(time.Second)) {
			t.Error("the server is not cold for exactly 1 s")
		}
	})
	t.Run("leaves out a server that is not known", func(t *testing.T) {
		r := roster.New(drain)
		r.MarkCold(start, "a", time.Second)
		if r.Len() != 0 {
			t.Error("a server without an entry was added")
		}
	})
}

func TestSeen(t *testing.T) {
	t.Run("tells a new start under an old name", func(t *testing.T) {
		r := roster.New(drain)
		again := entry("a")
		again.Started = 2
		if !r.Update(start, entry("a")) || r.Update(start, entry("a")) || !r.Update(start, again) {
			t.Error("Update does not tell a restart from a changed entry")
		}
	})
	t.Run("keeps a server cold for the time that it names", func(t *testing.T) {
		r := roster.New(drain)
		cold := entry("a")
		cold.ColdFor = time.Second
		r.Update(start, cold)
		r.Update(start.Add(500*time.Millisecond), entry("a"))
		if m := r.Member("a"); !m.Cold(start.Add(900*time.Millisecond)) || m.Cold(start.Add(time.Second)) {
			t.Error("the server is not cold for exactly 1 s")
		}
	})
}

func TestEnded(t *testing.T) {
	next := entry("a")
	next.Started = entry("a").Started + 1
	change := func(f func(*roster.Entry)) roster.Entry {
		e := next
		f(&e)
		return e
	}
	for name, tc := range map[string]struct {
		before func(r *roster.Roster)
		said   roster.Entry
		want   bool
	}{
		"by a later start":                  {func(*roster.Roster) {}, next, true},
		"not by the same start":             {func(*roster.Roster) {}, entry("a"), false},
		"not by an earlier start":           {func(*roster.Roster) {}, change(func(e *roster.Entry) { e.Started = entry("a").Started - 1 }), false},
		"not by a start at another address": {func(*roster.Roster) {}, change(func(e *roster.Entry) { e.Address = "elsewhere" }), false},
		"not by a start of another server":  {func(*roster.Roster) {}, change(func(e *roster.Entry) { e.Server = "b" }), false},
		"not after it was leaving":          {func(r *roster.Roster) { leave(r, start, "a") }, next, false},
		"not after it said that it leaves":  {func(r *roster.Roster) { r.HearLeaving(start, "a", entry("a").Start()) }, next, false},
		"not after its entry was removed":   {func(r *roster.Roster) { r.Remove(start, "a") }, next, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := roster.New(drain)
			r.Update(start, entry("a"))
			tc.before(r)
			if got, ended := r.Ended(tc.said); ended != tc.want || ended && got != entry("a").Start() {
				t.Errorf("start %v ended: %v, want %v", got, ended, tc.want)
			}
		})
	}
}
