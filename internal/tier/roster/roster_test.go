package roster_test

import (
	"reflect"
	"testing"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/tier/roster"
)

var start = time.Unix(1000, 0)

// drain is how long a server goes on serving after it has said that it leaves.
const drain = 3 * time.Second

func entry(name ident.Server) roster.Entry {
	return roster.Entry{Server: name, Service: "books", Address: "127.0.0.1:1", Domain: "north", Slots: 2, Started: 1}
}

// leave has a server say that it leaves; one that is not known yet is seen to stay first.
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

func assertCandidates(t *testing.T, r *roster.Roster, now time.Time, usable, spare []ident.Server) {
	t.Helper()
	u, s := r.Candidates(now, "books")
	if !reflect.DeepEqual(names(u), usable) || !reflect.DeepEqual(names(s), spare) {
		t.Errorf("candidates are %v and %v, want %v and %v", names(u), names(s), usable, spare)
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
		r.Evict("a")
		assertCandidates(t, r, start, nil, nil)
		r.Update(start, entry("a"))
		assertCandidates(t, r, start, []ident.Server{"a"}, nil)
	})
}

// Entries that lapse while the store is away come back within two seconds of its return.
func TestLapse(t *testing.T) {
	lapsed := func() *roster.Roster {
		r := roster.New(drain)
		r.Update(start, entry("a"))
		r.Remove(start, "a")
		return r
	}
	t.Run("leaves the server for work that no other can do", func(t *testing.T) {
		assertCandidates(t, lapsed(), start.Add(time.Second), nil, []ident.Server{"a"})
	})
	t.Run("ends when the entry is back", func(t *testing.T) {
		r := lapsed()
		r.Update(start.Add(time.Second), entry("a"))
		assertCandidates(t, r, start.Add(5*time.Second), []ident.Server{"a"}, nil)
	})
	t.Run("is for good after two seconds", func(t *testing.T) {
		r := lapsed()
		if gone := r.RemoveExpired(start.Add(2 * time.Second)); len(gone) != 1 {
			t.Errorf("swept %v, want one server", gone)
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

// A deployment may give its servers less time to leave than others do: whatever one said last, it gets nothing after it.
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
			t.Error("the server is not cold for one second")
		}
	})
	t.Run("leaves out a server that is not known", func(t *testing.T) {
		r := roster.New(drain)
		r.MarkCold(start, "a", time.Second)
		if r.Len() != 0 {
			t.Error("a server is known of which no entry was seen")
		}
	})
}

func TestSeen(t *testing.T) {
	t.Run("tells a new start under an old name", func(t *testing.T) {
		r := roster.New(drain)
		again := entry("a")
		again.Started = 2
		if !r.Update(start, entry("a")) || r.Update(start, entry("a")) || !r.Update(start, again) {
			t.Error("new starts are not told from entries that change")
		}
	})
	t.Run("keeps a server cold for the time that it names", func(t *testing.T) {
		r := roster.New(drain)
		cold := entry("a")
		cold.ColdFor = time.Second
		r.Update(start, cold)
		r.Update(start.Add(500*time.Millisecond), entry("a"))
		if m := r.Member("a"); !m.Cold(start.Add(900*time.Millisecond)) || m.Cold(start.Add(time.Second)) {
			t.Error("the server is not cold for one second")
		}
	})
}
