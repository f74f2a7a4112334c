package mirror_test

import (
	"math/rand/v2"
	"reflect"
	"testing"

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
	t.Run("keeps what came after it was read", func(t *testing.T) {
		var m mirror.Mirror
		m.Replace("", nil, 2)
		m.Merge([]mirror.Item{{Key: "c", Revision: 9}}, 2, 9)
		assertKeys(t, m.Replace("", nil, 6))
	})
	t.Run("sets the revision from which removals are known", func(t *testing.T) {
		var m mirror.Mirror
		m.Replace("", nil, 4)
		m.Replace("", nil, 8)
		if m.Floor() != 4 {
			t.Errorf("removals are known from %d, want 4", m.Floor())
		}
	})
}

// Two copies that hear the same changes in any order and with repeats end alike.
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
