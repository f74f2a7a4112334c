package mirror

import (
	"cmp"
	"maps"
	"slices"
	"strings"
)

// maxTombstones is the number of tombstones above which the older half is dropped. VMs that lack a dropped tombstone fetch all
// items.
const maxTombstones = 4096

// Item is a published value, or a tombstone if Removed is set.
type Item struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	// Revision is the store revision of the last change.
	Revision int64 `json:"revision"`
	Removed  bool  `json:"removed,omitempty"`
}

// Mirror is a copy of the published items. The zero value is empty. It is not safe for concurrent use; the owner holds a lock.
type Mirror struct {
	items map[string]Item
	// tombstones is the number of tombstones among items.
	tombstones      int
	asOf            int64
	compactRevision int64
}

// AsOf returns the revision up to which the copy is complete, or 0 if it is not complete for any.
func (m *Mirror) AsOf() int64 { return m.asOf }

// Len returns the number of items in the copy, tombstones included.
func (m *Mirror) Len() int { return len(m.items) }

// CompactRevision returns the oldest revision after which the copy has all removals.
func (m *Mirror) CompactRevision() int64 { return m.compactRevision }

// Merge applies changes that are complete from the revision since to asOf and returns those that were new. The copy counts as
// complete up to asOf only if it was complete up to since.
func (m *Mirror) Merge(changes []Item, since, asOf int64) []Item {
	var changed []Item
	for _, it := range changes {
		if m.put(it, m.asOf) {
			changed = append(changed, it)
		}
	}
	if since <= m.asOf {
		m.asOf = max(m.asOf, asOf)
	}
	m.compact()
	return changed
}

// Replace applies the complete list of items under a prefix at the revision asOf, and returns the resulting changes, tombstones
// for missing items included.
func (m *Mirror) Replace(prefix string, items []Item, asOf int64) []Item {
	present := make(map[string]bool, len(items))
	var changed []Item
	complete := m.asOf
	if asOf >= m.asOf {
		// The list is as recent as the copy, so its items exist even if the copy should have known them.
		complete = 0
	}
	for _, it := range items {
		present[it.Key] = true
		if m.put(it, complete) {
			changed = append(changed, it)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(m.items)) {
		old := m.items[key]
		if !strings.HasPrefix(key, prefix) || present[key] || old.Removed || old.Revision > asOf {
			continue
		}
		tombstone := Item{Key: key, Revision: asOf, Removed: true}
		m.items[key] = tombstone
		m.tombstones++
		changed = append(changed, tombstone)
	}
	if asOf > m.asOf {
		// The list does not show items that were published and removed since the last revision of the copy, though other VMs
		// may have received them.
		m.compactRevision, m.asOf = asOf, asOf
	}
	m.compact()
	return changed
}

// Since returns all changes after a revision, tombstones included, oldest first.
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

// put stores an item if it is newer than the copy and reports whether it did. The copy is complete up to the given revision, so
// an item that is unknown and not newer than it has been removed.
func (m *Mirror) put(it Item, complete int64) bool {
	old, ok := m.items[it.Key]
	if ok && old.Revision >= it.Revision || !ok && it.Revision <= complete {
		return false
	}
	if m.items == nil {
		m.items = make(map[string]Item)
	}
	if old.Removed {
		m.tombstones--
	}
	if it.Removed {
		m.tombstones++
	}
	m.items[it.Key] = it
	return true
}

// compact drops the older half of the tombstones up to asOf once there are more than maxTombstones in all.
func (m *Mirror) compact() {
	if m.tombstones <= maxTombstones {
		return
	}
	var tombstones []Item
	for _, it := range m.items {
		if it.Removed && it.Revision <= m.asOf {
			tombstones = append(tombstones, it)
		}
	}
	slices.SortFunc(tombstones, func(a, b Item) int { return cmp.Compare(a.Revision, b.Revision) })
	for _, it := range tombstones[:len(tombstones)/2] {
		delete(m.items, it.Key)
		m.tombstones--
		m.compactRevision = max(m.compactRevision, it.Revision)
	}
}
