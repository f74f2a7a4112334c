package mirror

import (
	"cmp"
	"maps"
	"slices"
	"strings"
)

// Item is a published value, or the news that it was removed.
type Item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Removed  bool   `json:"removed,omitempty"`
}

// Mirror is a copy of the published items; the zero value is empty. It is driven under its owner's lock.
type Mirror struct {
	items map[string]Item
	asOf  int64
	floor int64
}

// AsOf returns the revision up to which the copy is complete, 0 while it is not.
func (m *Mirror) AsOf() int64 { return m.asOf }

// Floor returns the revision from which on the copy knows of every removal.
func (m *Mirror) Floor() int64 { return m.floor }

// Merge takes changes that are complete up to a revision, given that the copy was complete up to since, and returns those that were new.
func (m *Mirror) Merge(changes []Item, since, asOf int64) []Item {
	var fresh []Item
	for _, it := range changes {
		if m.put(it) {
			fresh = append(fresh, it)
		}
	}
	if since <= m.asOf {
		m.asOf = max(m.asOf, asOf)
	}
	return fresh
}

// Replace takes all items under a prefix as of a revision and returns the changes, removals included.
func (m *Mirror) Replace(prefix string, items []Item, asOf int64) []Item {
	present := make(map[string]bool, len(items))
	var fresh []Item
	for _, it := range items {
		present[it.Key] = true
		if m.put(it) {
			fresh = append(fresh, it)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(m.items)) {
		old := m.items[key]
		if !strings.HasPrefix(key, prefix) || present[key] || old.Removed || old.Revision > asOf {
			continue
		}
		gone := Item{Key: key, Revision: asOf, Removed: true}
		m.items[key] = gone
		fresh = append(fresh, gone)
	}
	if m.floor == 0 {
		m.floor = asOf
	}
	m.asOf = max(m.asOf, asOf)
	return fresh
}

// Since returns all changes after a revision, oldest first.
func (m *Mirror) Since(revision int64) []Item {
	var out []Item
	for _, it := range m.items {
		if it.Revision > revision {
			out = append(out, it)
		}
	}
	slices.SortFunc(out, func(a, b Item) int { return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Key, b.Key)) })
	return out
}

func (m *Mirror) put(it Item) bool {
	old, ok := m.items[it.Key]
	if ok && old.Revision >= it.Revision {
		return false
	}
	if m.items == nil {
		m.items = make(map[string]Item)
	}
	m.items[it.Key] = it
	return true
}
