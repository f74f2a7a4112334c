package mirror_test

import (
	"math/rand/v2"
	"reflect"
	"slices"
	"strconv"
	"testing"

	"pgregory.net/rapid"

	"kumquatreel.example/kumquatreel/internal/tier/mirror"
)

func assertKeys(t *testing.T, items []mirror.Item, want ...string) {
	t.Helper()
	var got []string
	for _, it := range items {
		key := it.Key
		if it.Removed {
			key = "-" + key
		}
		got = append(got, key)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("items are %v, want %v", got, want)
	}
}

func TestMerge(t *testing.T) {
	t.Run("takes what is newer", func(t *testing.T) {
		var m mirror.Mirror
		assertKeys(t, m.Merge([]mirror.Item{{Key: "a", Revision: 3}}, 0, 3), "a")
		assertKeys(t, m.Merge([]mirror.Item{{Key: "a", Revision: 2}}, 0, 2))
		if m.AsOf() != 3 {
			t.Errorf("complete up to %d, want 3", m.AsOf())
		}
	})
	t.Run("with a gap does not count as complete", func(t *testing.T) {
		var m mirror.Mirror
		m.Merge([]mirror.Item{{Key: "a", Revision: 3}}, 0, 3)
		m.Merge([]mirror.Item{{Key: "b", Revision: 9}}, 7, 9)
		if m.AsOf() != 3 {
			t.Errorf("complete up to %d, want 3", m.AsOf())
		}
	})
	t.Run("of a removal that was overtaken changes nothing", func(t *testing.T) {
		var m mirror.Mirror
		m.Merge([]mirror.Item{{Key: "a", Revision: 5}}, 0, 5)
		assertKeys(t, m.Merge([]mirror.Item{{Key: "a", Revision: 4, Removed: true}}, 0, 4))
	})
}

func TestReplace(t *testing.T) {
	t.Run("removes what is missing", func(t *testing.T) {
		var m mirror.Mirror
		m.Replace("", []mirror.Item{{Key: "a", Revision: 1}, {Key: "b", Revision: 2}}, 2)
		assertKeys(t, m.Replace("", []mirror.Item{{Key: "b", Revision: 2}}, 6), "-a")
	})
	t.Run("takes what is there, though the copy should have known it", func(t *testing.T) {
		var m mirror.Mirror
		m.Merge(nil, 0, 9)
		assertKeys(t, m.Replace("", []mirror.Item{{Key: "a", Revision: 3}}, 9), "a")
	})
	t.Run("keeps what came after it was read", func(t *testing.T) {
		var m mirror.Mirror
		m.Replace("", nil, 2)
		m.Merge([]mirror.Item{{Key: "c", Revision: 9}}, 2, 9)
		assertKeys(t, m.Replace("", nil, 6))
	})
	t.Run("sets the revision from which removals are known", func(t *testing.T) {
		var m mirror.Mirror
		for _, c := range []struct{ read, want int64 }{{4, 4}, {8, 8}, {6, 8}} {
			m.Replace("", nil, c.read)
			if m.CompactRevision() != c.want {
				t.Errorf("compact revision is %d after a complete list as of %d, want %d", m.CompactRevision(), c.read, c.want)
			}
		}
	})
}

// Guards against tombstones that accumulate over months of servers being added and removed, and against dropped tombstones
// letting removed items return.
func TestManyRemovals(t *testing.T) {
	const rounds = 20000
	key := func(i int) string { return "servers/" + strconv.Itoa(i) }
	var m mirror.Mirror
	m.Replace("", nil, 1)
	for i := range rounds {
		at := int64(2 + 2*i)
		m.Merge([]mirror.Item{{Key: key(i), Revision: at}}, at-1, at)
		m.Merge([]mirror.Item{{Key: key(i), Revision: at + 1, Removed: true}}, at, at+1)
	}
	t.Run("do not fill the memory", func(t *testing.T) {
		if m.Len() > rounds/4 {
			t.Errorf("%d items are kept after %d removals, want at most a quarter", m.Len(), rounds)
		}
	})
	t.Run("are not undone by what other VMs still have", func(t *testing.T) {
		assertKeys(t, m.Merge([]mirror.Item{{Key: key(0), Revision: 2}}, 0, 2))
		assertKeys(t, m.Replace("", []mirror.Item{{Key: key(1), Revision: 4}}, 4))
	})
	t.Run("that are forgotten are below the floor", func(t *testing.T) {
		changes := m.Since(m.CompactRevision())
		if n := int64(len(changes)); n == 0 || changes[0].Revision != m.CompactRevision()+2 || m.AsOf() != m.CompactRevision()+2*n {
			t.Errorf("got %d changes after the compact revision %d, complete up to %d", n, m.CompactRevision(), m.AsOf())
		}
	})
}

// Two copies that receive the same changes in any order, some repeatedly, become equal.
func TestOrder(t *testing.T) {
	changes := []mirror.Item{
		{Key: "a", Revision: 1},
		{Key: "b", Revision: 2},
		{Key: "a", Revision: 3, Removed: true},
		{Key: "a", Revision: 5},
		{Key: "b", Revision: 6, Removed: true},
		{Key: "c", Revision: 7},
	}
	var want mirror.Mirror
	want.Merge(changes, 0, 7)
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var m mirror.Mirror
		for range 40 {
			m.Merge([]mirror.Item{changes[rng.IntN(len(changes))]}, 0, 0)
		}
		m.Merge(changes, 0, 7)
		if !reflect.DeepEqual(m.Since(0), want.Since(0)) {
			t.Fatalf("seed %d: copy is %v, want %v", seed, m.Since(0), want.Since(0))
		}
	}
}

// Copies converge to the store when they exchange changes, or complete lists where tombstones were dropped.
func TestExchange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		published := make(map[string]int64)
		var revision int64
		copies := make([]mirror.Mirror, 3)
		read := func(m *mirror.Mirror) {
			var items []mirror.Item
			for key, at := range published {
				items = append(items, mirror.Item{Key: key, Revision: at})
			}
			m.Replace("", items, revision)
		}
		exchange := func(from, to *mirror.Mirror) {
			since := to.AsOf()
			if since < from.CompactRevision() {
				items := slices.DeleteFunc(from.Since(0), func(it mirror.Item) bool { return it.Removed })
				to.Replace("", items, from.AsOf())
				return
			}
			to.Merge(from.Since(since), since, from.AsOf())
		}
		revision = 1
		for i := range copies {
			read(&copies[i])
		}
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				revision++
				published[rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")] = revision
			},
			"remove": func(t *rapid.T) {
				revision++
				delete(published, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key"))
			},
			"read": func(t *rapid.T) { read(&copies[rapid.IntRange(0, 2).Draw(t, "copy")]) },
			"tell": func(t *rapid.T) {
				exchange(&copies[rapid.IntRange(0, 2).Draw(t, "from")], &copies[rapid.IntRange(0, 2).Draw(t, "to")])
			},
		})
		read(&copies[0])
		for i := range copies {
			exchange(&copies[0], &copies[i])
			live := 0
			for _, it := range copies[i].Since(0) {
				if !it.Removed {
					live++
				}
				if at, ok := published[it.Key]; ok == it.Removed || ok && at != it.Revision {
					t.Fatalf("copy %d has %+v; in the store its revision is %d, present is %t", i, it, at, ok)
				}
			}
			if live != len(published) {
				t.Fatalf("copy %d has %d items, the store has %d", i, live, len(published))
			}
		}
	})
}
