package mirror_test

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"kumquatreel.example/kumquatreel/internal/tier/mirror"
)

// testRules give the key "config" the version in its value, and keep known servers that the store has lost.
var testRules = mirror.Rules{
	Version: func(it mirror.Item) (int64, bool) {
		n, err := strconv.ParseInt(string(it.Value), 10, 64)
		return n, it.Key == "config" && !it.Removed && err == nil
	},
	Keep: func(known, listed mirror.Item) bool {
		return known.Removed && !listed.Removed || string(known.Value) > string(listed.Value) && !listed.Removed
	},
}

func item(key, value string, revision int64) mirror.Item {
	return mirror.Item{Key: key, Value: []byte(value), Revision: revision}
}

func assertValue(t *testing.T, m *mirror.Mirror, key, want string) {
	t.Helper()
	got := ""
	for _, it := range m.Since(0) {
		if it.Key == key && !it.Removed {
			got = string(it.Value)
		}
	}
	if got != want {
		t.Errorf("%s is %q, want %q", key, got, want)
	}
}

// newMirror returns a copy of a store at revision 10 of era 1.
func newMirror(items ...mirror.Item) *mirror.Mirror {
	m := &mirror.Mirror{Rules: testRules}
	m.Apply(mirror.Update{Era: 1, Items: items, AsOf: 10, Complete: true})
	return m
}

// The store comes back from an older copy and gives out revisions again that are known.
func TestRevisionReused(t *testing.T) {
	m := newMirror(item("config", "7", 10), item("a", "1", 3))
	m.Apply(mirror.Update{Era: 2, Items: []mirror.Item{item("config", "6", 5), item("a", "1", 3)}, AsOf: 8, Complete: true})
	assertValue(t, m, "config", "7")
	if m.Era() != 2 || m.AsOf() != 8 {
		t.Errorf("at revision %d of era %d, want 8 of era 2", m.AsOf(), m.Era())
	}
	changed, _ := m.Apply(mirror.Update{Era: 2, Items: []mirror.Item{item("config", "8", 9), item("a", "2", 10)}, Since: 8, AsOf: 10})
	assertKeys(t, changed, "config", "a")
	assertValue(t, m, "config", "8")
}

func TestEra(t *testing.T) {
	t.Run("that is older changes nothing", func(t *testing.T) {
		m := newMirror(item("a", "1", 3))
		m.Apply(mirror.Update{Era: 3, Items: []mirror.Item{item("a", "1", 3)}, AsOf: 8, Complete: true})
		for _, complete := range []bool{false, true} {
			if _, ok := m.Apply(mirror.Update{Era: 2, Items: []mirror.Item{item("a", "9", 99)}, AsOf: 99, Complete: complete}); ok {
				t.Error("an update of an older era is applied")
			}
		}
	})
	t.Run("that is newer needs everything", func(t *testing.T) {
		m := newMirror(item("a", "1", 3))
		if _, ok := m.Apply(mirror.Update{Era: 2, Items: []mirror.Item{item("a", "9", 99)}, Since: 10, AsOf: 99}); ok {
			t.Error("changes of a newer era are applied")
		}
		assertValue(t, m, "a", "1")
	})
	t.Run("is taken over by an empty copy with the first changes", func(t *testing.T) {
		var m mirror.Mirror
		m.Apply(mirror.Update{Era: 4, Items: []mirror.Item{item("a", "1", 3)}})
		if m.Era() != 4 {
			t.Errorf("era is %d, want 4", m.Era())
		}
	})
}

func TestVersion(t *testing.T) {
	for _, c := range []struct {
		name string
		next mirror.Item
		want string
	}{
		{"that is lower", item("config", "6", 12), "7"},
		{"that cannot be read", item("config", "x", 12), "7"},
		{"that is removed", mirror.Item{Key: "config", Revision: 12, Removed: true}, "7"},
		{"that is higher, at a lower revision", item("config", "8", 2), "8"},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := newMirror(item("config", "7", 10))
			m.Merge([]mirror.Item{c.next}, 10, 12)
			assertValue(t, m, "config", c.want)
			m.Replace("", []mirror.Item{c.next}, 13)
			assertValue(t, m, "config", c.want)
		})
	}
	t.Run("is taken from another VM by one that has read what cannot be used", func(t *testing.T) {
		m := newMirror(item("config", "x", 10))
		m.Merge([]mirror.Item{item("config", "7", 10)}, 10, 10)
		assertValue(t, m, "config", "7")
		m.Merge([]mirror.Item{item("config", "x", 10)}, 10, 10)
		assertValue(t, m, "config", "7")
	})
	t.Run("that is refused is reported once", func(t *testing.T) {
		m := newMirror(item("config", "7", 10))
		for range 2 {
			m.Merge([]mirror.Item{item("config", "x", 12)}, 10, 12)
		}
		assertKeys(t, m.Refused(), "config")
		assertKeys(t, m.Refused())
	})
	t.Run("stays for VMs that ask for what is new", func(t *testing.T) {
		m := newMirror(item("config", "7", 10))
		m.Merge([]mirror.Item{item("config", "6", 12)}, 10, 12)
		if got := m.Since(11); len(got) != 1 || string(got[0].Value) != "7" {
			t.Errorf("changes after 11 are %v, want version 7", got)
		}
	})
}

func TestHeld(t *testing.T) {
	// Of the server a it is known that it has left, of b a later state than the copy has; c was added after the copy.
	known := []mirror.Item{item("b", "2", 9), item("c", "1", 10)}
	listed := []mirror.Item{item("a", "1", 2), item("b", "1", 3)}
	newHolding := func() *mirror.Mirror {
		m := newMirror(append([]mirror.Item{item("a", "1", 2)}, known...)...)
		m.Merge([]mirror.Item{{Key: "a", Revision: 11, Removed: true}}, 10, 11)
		changed, _ := m.Apply(mirror.Update{Era: 2, Items: listed, AsOf: 6, Complete: true})
		assertKeys(t, changed, "-c")
		return m
	}
	assertAll := func(t *testing.T, m *mirror.Mirror, a, b string) {
		t.Helper()
		assertValue(t, m, "a", a)
		assertValue(t, m, "b", b)
		assertValue(t, m, "c", "")
	}
	t.Run("until it is settled", func(t *testing.T) {
		m := newHolding()
		assertAll(t, m, "", "2")
		assertKeys(t, m.Settle(), "a", "b")
		assertAll(t, m, "1", "1")
		if m.Holding() {
			t.Error("items are held after Settle")
		}
	})
	t.Run("until it is published again", func(t *testing.T) {
		m := newHolding()
		m.Merge([]mirror.Item{{Key: "a", Revision: 7, Removed: true}, item("b", "3", 8)}, 6, 8)
		assertAll(t, m, "", "3")
		assertKeys(t, m.Settle())
		assertAll(t, m, "", "3")
	})
	t.Run("through another return of the store", func(t *testing.T) {
		m := newHolding()
		m.Apply(mirror.Update{Era: 3, Items: listed, AsOf: 5, Complete: true})
		assertAll(t, m, "", "2")
	})
	t.Run("by a VM that knew nothing before", func(t *testing.T) {
		m := newHolding()
		other := &mirror.Mirror{Rules: testRules}
		other.Apply(mirror.Update{Era: 2, Items: listed, AsOf: 6, Complete: true})
		assertAll(t, other, "1", "1")
		other.Apply(mirror.Update{Era: 2, Items: m.Since(0), AsOf: m.AsOf(), Complete: true})
		assertAll(t, other, "", "2")
		other.Settle()
		assertAll(t, other, "1", "1")
	})
}

// storeState is the state of a simulated store.
type storeState struct {
	items    map[string]mirror.Item
	revision int64
}

func (s *storeState) put(it mirror.Item) {
	s.revision++
	it.Revision = s.revision
	s.items[it.Key] = it
	if it.Removed {
		delete(s.items, it.Key)
	}
}

// list returns all items in order of keys.
func (s *storeState) list() []mirror.Item {
	var out []mirror.Item
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		out = append(out, s.items[key])
	}
	return out
}

// world is a store that is copied and restored, and VMs that read it or each other.
type world struct {
	store, copied *storeState
	era           int64
	version       int
	vms           []*mirror.Mirror
	// seen holds the last version of the configuration at each VM.
	seen []int64
}

func newWorld() *world {
	w := &world{
		store: &storeState{items: make(map[string]mirror.Item)}, copied: &storeState{items: make(map[string]mirror.Item)}, era: 1,
		vms: []*mirror.Mirror{{Rules: testRules}, {Rules: testRules}, {Rules: testRules}}, seen: make([]int64, 3),
	}
	w.publish()
	return w
}

func (w *world) publish() {
	w.version++
	w.store.put(item("config", strconv.Itoa(w.version), 0))
}

func (w *world) read(vm int) {
	w.vms[vm].Apply(mirror.Update{Era: w.era, Items: w.store.list(), AsOf: w.store.revision, Complete: true})
}

// fetch passes all that one VM holds to another, as package edge does.
func (w *world) fetch(to, from int) {
	live := slices.DeleteFunc(w.vms[from].Since(0), func(it mirror.Item) bool { return it.Removed && it.Listed == nil })
	w.vms[to].Apply(mirror.Update{Era: w.vms[from].Era(), Items: live, AsOf: w.vms[from].AsOf(), Complete: true})
}

func (w *world) step(t *rapid.T) {
	key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
	vm := rapid.IntRange(0, len(w.vms)-1).Draw(t, "vm")
	switch rapid.IntRange(0, 7).Draw(t, "step") {
	case 0:
		w.publish()
	case 1:
		w.store.put(item(key, strings.Repeat("x", rapid.IntRange(1, 5).Draw(t, "state")), 0))
	case 2:
		w.store.put(mirror.Item{Key: key, Removed: true})
	case 3:
		w.copied = &storeState{items: maps.Clone(w.store.items), revision: w.store.revision}
	case 4:
		w.store = &storeState{items: maps.Clone(w.copied.items), revision: w.copied.revision}
		w.era++
	case 5:
		w.read(vm)
	case 6:
		w.fetch(vm, rapid.IntRange(0, len(w.vms)-1).Draw(t, "from"))
	case 7:
		w.vms[vm].Settle()
	}
}

// assertForward checks that no VM has returned to an older configuration.
func (w *world) assertForward(t *rapid.T) {
	for i, m := range w.vms {
		for _, it := range m.Since(0) {
			v, ok := testRules.Version(it)
			if ok && v < w.seen[i] {
				t.Fatalf("VM %d returned from version %d to %d", i, w.seen[i], v)
			}
			w.seen[i] = max(w.seen[i], v)
		}
	}
}

// assertEqual checks that a VM holds what the store holds.
func (w *world) assertEqual(t *rapid.T, vm int) {
	values := func(items []mirror.Item) map[string]string {
		out := make(map[string]string)
		for _, it := range items {
			if !it.Removed {
				out[it.Key] = string(it.Value)
			}
		}
		return out
	}
	if got, want := values(w.vms[vm].Since(0)), values(w.store.list()); !maps.Equal(got, want) {
		t.Fatalf("VM %d holds %v, want %v", vm, got, want)
	}
}

// A store changes, is copied and restored at random, and VMs read it or each other at random. No VM may return to an older
// configuration, and in the end all must hold what the store holds.
func TestRestoredProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			w.step(t)
			w.assertForward(t)
		}
		w.publish()
		for vm := range w.vms {
			w.read(vm)
			w.vms[vm].Settle()
			w.read(vm)
			w.assertEqual(t, vm)
		}
	})
}
