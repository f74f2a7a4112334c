package mirror

import (
	"bytes"
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
	// Before is the value that a tombstone has replaced, if the store has shown all changes of the item up to its removal.
	Before []byte `json:"before,omitempty"`
	// Listed is set for an item that was kept when the store came back from an older copy: what the store holds instead.
	Listed *Item `json:"listed,omitempty"`
}

// Update holds items of one era of the store: all of them at the revision AsOf if Complete is set, otherwise the changes after the
// revision Since up to AsOf. Watched says that these come from the store itself, with each state that an item had meanwhile.
type Update struct {
	Era         int64
	Items       []Item
	Since, AsOf int64
	Complete    bool
	Watched     bool
}

// Rules decide between two states of an item whose revisions cannot be compared. The zero value has no opinion.
type Rules struct {
	// Version returns the version that an item itself holds, or false if it has none. An item with a version never returns to a lower
	// one or to none, whatever its revision.
	Version func(Item) (int64, bool)
	// Keep reports whether a known item is kept for now against the one that a store which has come back from an older copy holds. It is
	// asked if the listed item may be part of that copy.
	Keep func(known, listed Item) bool
}

// Mirror is a copy of the published items. The zero value is empty. It is not safe for concurrent use; the owner holds a lock.
type Mirror struct {
	// Rules must not change while the copy is in use.
	Rules Rules

	items map[string]Item
	era   int64
	// tombstones is the number of tombstones among items.
	tombstones      int
	asOf            int64
	compactRevision int64
	// refused holds the later states of items that did not take the place of a known version since the last call of Refused.
	refused []Item
}

// Era returns the era of the store that the revisions belong to.
func (m *Mirror) Era() int64 { return m.era }

// AsOf returns the revision up to which the copy is complete, or 0 if it is not complete for any.
func (m *Mirror) AsOf() int64 { return m.asOf }

// Len returns the number of items in the copy, tombstones included.
func (m *Mirror) Len() int { return len(m.items) }

// CompactRevision returns the oldest revision after which the copy has all removals.
func (m *Mirror) CompactRevision() int64 { return m.compactRevision }

// Apply applies an update and returns the items that changed. It returns false, and changes nothing, for an update of an older era, and for
// one of a newer era that is not complete: then everything must be read.
func (m *Mirror) Apply(u Update) (changed []Item, ok bool) {
	if len(m.items) == 0 && m.asOf == 0 {
		m.era = max(m.era, u.Era)
	}
	switch {
	case u.Era < m.era, u.Era > m.era && !u.Complete:
		return nil, false
	case u.Era > m.era:
		return m.Rebase(u.Era, u.Items, u.AsOf), true
	case u.Complete:
		return m.Replace("", u.Items, u.AsOf), true
	}
	if u.Watched && u.Since <= m.asOf {
		m.recordBefore(u.Items)
	}
	return m.Merge(u.Items, u.Since, u.AsOf), true
}

// recordBefore sets the values that tombstones replace, given all changes since the copy was complete.
func (m *Mirror) recordBefore(changes []Item) {
	last := make(map[string][]byte)
	for i, it := range changes {
		before, ok := last[it.Key]
		if known := m.items[it.Key]; !ok {
			if before = known.Value; known.Removed {
				before = known.Before
			}
		}
		if it.Removed {
			changes[i].Before = before
		}
		last[it.Key] = it.Value
	}
}

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
		if !strings.HasPrefix(key, prefix) || present[key] || old.Removed || old.Revision > asOf || m.hasVersion(old) {
			continue
		}
		tombstone := Item{Key: key, Revision: asOf, Removed: true}
		m.set(tombstone)
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

// Rebase applies the complete list of items of a newer era at the revision asOf, and returns the resulting changes.
//
// The store has lost its last changes, which will be published again. Until then Rules.Keep decides which of the known items outlive the
// list; Settle ends that. Their revision is asOf, so that any later change replaces them. A listed item whose revision is above that of the known
// one is newer in any case: it was changed later before the copy was made, or has been published since the store's return.
func (m *Mirror) Rebase(era int64, items []Item, asOf int64) []Item {
	known := m.items
	m.items, m.tombstones = make(map[string]Item, len(items)), 0
	m.era, m.asOf, m.compactRevision = era, asOf, asOf
	listed := make(map[string]bool, len(items))
	var changed []Item
	for _, it := range items {
		listed[it.Key] = true
		old, ok := known[it.Key]
		next := it
		if ok {
			next = m.resolve(old, it)
		}
		m.set(next)
		if !ok || !sameState(old, next) {
			changed = append(changed, next)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(known)) {
		if listed[key] {
			continue
		}
		next := m.resolve(known[key], Item{Key: key, Revision: asOf, Removed: true})
		m.set(next)
		if !sameState(known[key], next) {
			changed = append(changed, next)
		}
	}
	m.compact()
	return changed
}

// resolve returns the state of a known item after a rebase, given what the list holds.
func (m *Mirror) resolve(known, listed Item) Item {
	if sameState(known, listed) {
		return listed
	}
	order, ok := m.compareVersions(known, listed)
	switch {
	case ok && order < 0:
		known.Revision, known.Listed = m.asOf, nil
		return known
	case ok, listed.Listed != nil, m.Rules.Keep == nil:
		return listed
	case !listed.Removed && listed.Revision > known.Revision, !m.Rules.Keep(known, listed):
		return listed
	}
	known.Revision, known.Listed = m.asOf, &listed
	return known
}

// Holding reports whether items are kept that the store does not hold.
func (m *Mirror) Holding() bool {
	for _, it := range m.items {
		if it.Listed != nil {
			return true
		}
	}
	return false
}

// Settle replaces the items that were kept since a rebase, and not published again since, by what the store holds. It returns the changes.
func (m *Mirror) Settle() []Item {
	var changed []Item
	for _, key := range slices.Sorted(maps.Keys(m.items)) {
		it := m.items[key]
		if it.Listed == nil {
			continue
		}
		next := *it.Listed
		next.Revision = it.Revision
		m.set(next)
		if !sameState(it, next) {
			changed = append(changed, next)
		}
	}
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

// Refused returns the later states of items, since the last call, that did not take the place of a known one because their version is lower or missing.
func (m *Mirror) Refused() []Item {
	out := m.refused
	m.refused = nil
	return out
}

// put stores an item if it is newer than the copy and reports whether it did. The copy is complete up to the given revision, so
// an item that is unknown and not newer than it has been removed.
func (m *Mirror) put(it Item, complete int64) bool {
	old, ok := m.items[it.Key]
	if !ok {
		if it.Revision <= complete {
			return false
		}
		m.set(it)
		return true
	}
	order, versioned := m.compareVersions(old, it)
	switch {
	case versioned && order < 0:
		if it.Revision > old.Revision {
			m.refused = append(m.refused, it)
		}
		old.Revision = max(old.Revision, it.Revision)
		m.set(old)
		return false
	case versioned && order > 0:
		it.Revision = max(old.Revision, it.Revision)
	case old.Revision > it.Revision, old.Revision == it.Revision && (versioned || !m.hasVersion(it)):
		return false
	}
	// One without a version gives way to the version that another VM has kept at the same revision.
	m.set(it)
	return true
}

// set stores an item.
func (m *Mirror) set(it Item) {
	if m.items == nil {
		m.items = make(map[string]Item)
	}
	if m.items[it.Key].Removed {
		m.tombstones--
	}
	if it.Removed {
		m.tombstones++
	}
	m.items[it.Key] = it
}

// compareVersions compares the version of a later state of an item with that of a known one: below 0 if it is lower or missing. It
// returns false if the known item has no version.
func (m *Mirror) compareVersions(known, next Item) (int, bool) {
	if m.Rules.Version == nil {
		return 0, false
	}
	before, ok := m.Rules.Version(known)
	if !ok {
		return 0, false
	}
	after, ok := m.Rules.Version(next)
	if !ok {
		return -1, true
	}
	return cmp.Compare(after, before), true
}

func (m *Mirror) hasVersion(it Item) bool {
	if m.Rules.Version == nil {
		return false
	}
	_, ok := m.Rules.Version(it)
	return ok
}

// sameState reports whether two items hold the same, whatever their revisions.
func sameState(a, b Item) bool {
	return a.Removed == b.Removed && (a.Removed || bytes.Equal(a.Value, b.Value))
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
