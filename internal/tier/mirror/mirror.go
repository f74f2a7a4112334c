package mirror

import (
	"cmp"
	"maps"
	"slices"
	"strings"
)

// marksMost is how many removals are kept to tell other VMs of; those that miss more get everything.
const marksMost = 4096

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
	// marks counts the removed items among them.
	marks int
	asOf  int64
	floor int64
}

// AsOf returns the revision up to which the copy is complete, 0 while it is not.
func (m *Mirror) AsOf() int64 { return m.asOf }

// Len returns how many items the copy keeps, removals included.
func (m *Mirror) Len() int { return len(m.items) }

// CompactRevision returns the revision from which on the copy knows of every removal.
func (m *Mirror) CompactRevision() int64 { return m.floor }

// Merge takes changes that are complete up to a revision, given that the copy was complete up to since, and returns those that were new.
func (m *Mirror) Merge(changes []Item, since, asOf int64) []Item {
	var fresh []Item
	for _, it := range changes {
		if m.put(it, m.asOf) {
			fresh = append(fresh, it)
		}
	}
	if since <= m.asOf {
		m.asOf = max(m.asOf, asOf)
	}
	m.prune()
	return fresh
}

// Replace takes all items under a prefix as of a revision and returns the changes, removals included.
func (m *Mirror) Replace(prefix string, items []Item, asOf int64) []Item {
	present := make(map[string]bool, len(items))
	var fresh []Item
	complete := m.asOf
	if asOf >= m.asOf {
		// What is there now is there, whatever the copy should know of it.
		complete = 0
	}
	for _, it := range items {
		present[it.Key] = true
		if m.put(it, complete) {
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
		m.marks++
		fresh = append(fresh, gone)
	}
	if asOf > m.asOf {
		// What was published and removed again meanwhile has left no trace here, though others may have seen it published.
		m.floor, m.asOf = asOf, asOf
	}
	m.prune()
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

// put takes an item, given the revision up to which the copy is complete: an unknown one that is not newer has been removed.
func (m *Mirror) put(it Item, complete int64) bool {
	old, ok := m.items[it.Key]
	if ok && old.Revision >= it.Revision || !ok && it.Revision <= complete {
		return false
	}
	if m.items == nil {
		m.items = make(map[string]Item)
	}
	if old.Removed {
		m.marks--
	}
	if it.Removed {
		m.marks++
	}
	m.items[it.Key] = it
	return true
}

// prune forgets the older half of the removals once there are too many.
func (m *Mirror) prune() {
	if m.marks <= marksMost {
		return
	}
	var marks []Item
	for _, it := range m.items {
		if it.Removed && it.Revision <= m.asOf {
			marks = append(marks, it)
		}
	}
	slices.SortFunc(marks, func(a, b Item) int { return cmp.Compare(a.Revision, b.Revision) })
	for _, it := range marks[:len(marks)/2] {
		delete(m.items, it.Key)
		m.marks--
		m.floor = max(m.floor, it.Revision)
	}
}
