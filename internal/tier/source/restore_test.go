package source_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"kumquatreel.example/kumquatreel/internal/tier/mirror"
	"kumquatreel.example/kumquatreel/internal/tier/roster"
	"kumquatreel.example/kumquatreel/internal/tier/source"
)

const (
	serverKey = "server a"
	domainKey = "domain north"
)

// decodeState decodes the items of the simulated store: a server's start, sequence and state, or a failure domain that is out of service.
func decodeState(it mirror.Item) (source.Event, error) {
	switch {
	case it.Key == domainKey && it.Removed:
		return source.DomainIn{Domain: "north"}, nil
	case it.Key == domainKey:
		return source.DomainOut{Domain: "north"}, nil
	case it.Removed:
		return source.ServerRemoved{Server: "a"}, nil
	}
	e := roster.Entry{Server: "a"}
	_, err := fmt.Sscanf(string(it.Value), "%d %d %t", &e.Started, &e.Sequence, &e.Leaving)
	return source.ServerPublished{Entry: e}, err
}

// storeHistory is a store that is copied and comes back from its copy.
type storeHistory struct {
	items    map[string]mirror.Item
	changes  []mirror.Item
	revision int64
}

func (s *storeHistory) clone() *storeHistory {
	return &storeHistory{items: maps.Clone(s.items), changes: slices.Clone(s.changes), revision: s.revision}
}

func (s *storeHistory) write(key, value string, removed bool) {
	if removed && s.items[key].Value == nil {
		return
	}
	s.revision++
	it := mirror.Item{Key: key, Value: []byte(value), Revision: s.revision, Removed: removed}
	s.changes = append(s.changes, it)
	if s.items[key] = it; removed {
		delete(s.items, key)
	}
}

// viewer is a VM that follows the store, and what it has known since the items that it held were last settled.
type viewer struct {
	mirror mirror.Mirror
	// newest is the newest state of the server that the VM has been sure of. out says that it has known the domain as out since.
	newest serverState
	out    bool
}

// serverState is a state of a server's entry. A removal is the last state of a start and sequence.
type serverState struct {
	started, sequence int64
	removed           bool
}

func (s serverState) newer(o serverState) bool {
	switch {
	case s.started != o.started:
		return s.started > o.started
	case s.sequence != o.sequence:
		return s.sequence > o.sequence
	}
	return s.removed && !o.removed
}

// state returns what a VM believes of an item, or what the store holds.
func state(items []mirror.Item, key string) source.Event {
	it := mirror.Item{Key: key, Removed: true}
	for _, other := range items {
		if other.Key == key {
			it = other
		}
	}
	ev, _ := decodeState(it)
	return ev
}

type restoreModel struct {
	era           int64
	store, copied *storeHistory
	viewers       []*viewer
	started       int64
	sequence      int64
}

func newRestoreModel() *restoreModel {
	m := &restoreModel{era: 1, store: &storeHistory{items: make(map[string]mirror.Item), revision: 1}, started: 1}
	m.copied = m.store.clone()
	for range 2 {
		m.viewers = append(m.viewers, newViewer())
	}
	return m
}

func newViewer() *viewer {
	return &viewer{mirror: mirror.Mirror{Rules: source.Rules(decodeState)}}
}

// restore lets the store come back from its copy.
func (m *restoreModel) restore() {
	m.store = m.copied.clone()
	m.era++
}

// read lets a VM follow the store: by watching it if it has the era and the history, otherwise by reading all.
func (m *restoreModel) read(v *viewer) {
	if v.mirror.Era() == m.era && v.mirror.AsOf() > 0 {
		var changes []mirror.Item
		for _, it := range m.store.changes {
			if it.Revision > v.mirror.AsOf() {
				changes = append(changes, it)
			}
		}
		v.mirror.Apply(mirror.Update{Era: m.era, Items: changes, Since: v.mirror.AsOf(), AsOf: m.store.revision, Watched: true})
		return
	}
	items := slices.Collect(maps.Values(m.store.items))
	v.mirror.Apply(mirror.Update{Era: m.era, Items: items, AsOf: m.store.revision, Complete: true})
}

func (m *restoreModel) step(t *rapid.T) {
	i := rapid.IntRange(0, len(m.viewers)-1).Draw(t, "viewer")
	switch rapid.IntRange(0, 8).Draw(t, "step") {
	case 0, 1:
		m.sequence++
		m.store.write(serverKey, fmt.Sprintf("%d %d %t", m.started, m.sequence, rapid.Bool().Draw(t, "leaving")), false)
	case 2:
		m.started, m.sequence = m.started+1, 0
	case 3:
		m.store.write(serverKey, "", true)
	case 4:
		back := rapid.Bool().Draw(t, "back")
		if _, out := m.store.items[domainKey]; out && back {
			for _, v := range m.viewers {
				v.out = false
			}
		}
		m.store.write(domainKey, "{}", back)
	case 5:
		m.copied = m.store.clone()
	case 6:
		m.restore()
		// No VM misses a return of the store, and all have followed it until then.
		m.observe(t)
	case 7:
		m.viewers[i] = newViewer()
	case 8:
		v := m.viewers[i]
		for _, it := range v.mirror.Settle() {
			if it.Key == serverKey {
				v.newest = serverState{}
			}
		}
		v.out = false
	}
	m.observe(t)
}

// observe lets all VMs follow the store and checks what they believe.
func (m *restoreModel) observe(t *rapid.T) {
	for _, v := range m.viewers {
		m.read(v)
		m.assertDomain(t, v)
		m.assertServer(t, v)
	}
}

// assertDomain checks that a domain which the store lists as out of service is out, and stays out while it is held.
func (m *restoreModel) assertDomain(t *rapid.T, v *viewer) {
	_, listed := state(slices.Collect(maps.Values(m.store.items)), domainKey).(source.DomainOut)
	_, out := state(v.mirror.Since(0), domainKey).(source.DomainOut)
	if listed && !out {
		t.Fatal("the store lists the domain as out of service, and the VM takes it for in service")
	}
	if !v.mirror.Holding() {
		v.out = false
	}
	if v.out = v.out || listed; v.out && !out && v.mirror.Holding() {
		t.Fatal("the domain is in service again, while what the store has lost is held")
	}
}

// assertServer checks that a VM takes a newer state of the server at once, and does not return to an older one.
func (m *restoreModel) assertServer(t *rapid.T, v *viewer) {
	if l, ok := state(slices.Collect(maps.Values(m.store.items)), serverKey).(source.ServerPublished); ok {
		listed := serverState{started: l.Entry.Started, sequence: l.Entry.Sequence}
		if listed.newer(v.newest) {
			v.newest = listed
		}
	}
	b, ok := state(v.mirror.Since(0), serverKey).(source.ServerPublished)
	believed := serverState{started: b.Entry.Started, sequence: b.Entry.Sequence}
	switch {
	case !ok:
		// The removal is newer than the last state, if the store shows it.
		if _, listed := m.store.items[serverKey]; !listed {
			v.newest.removed = true
		} else if !v.newest.removed {
			t.Fatalf("the store lists the server at %+v, and the VM takes it for removed", v.newest)
		}
	case v.newest.newer(believed):
		t.Fatalf("the VM returned from %+v to %+v", v.newest, believed)
	}
}

// The store changes, is copied and comes back from its copy in any order, while VMs follow it and start again. Guards against a state
// that was written since the return and is taken for one of the copy, and against the reverse.
func TestRestoredStates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newRestoreModel()
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			m.step(t)
		}
	})
}

// The domain was out of service and back long before the copy. It is taken out again just after the store's return.
func TestOutAfterRestore(t *testing.T) {
	m := newRestoreModel()
	v := m.viewers[0]
	m.store.write(domainKey, "{}", false)
	m.read(v)
	m.store.write(domainKey, "", true)
	m.read(v)
	m.copied = m.store.clone()
	m.store.write(serverKey, "1 1 false", false)
	m.read(v)
	m.restore()
	m.store.write(domainKey, "{}", false)
	m.read(v)
	if _, out := state(v.mirror.Since(0), domainKey).(source.DomainOut); !out {
		t.Error("the domain is in service, want out")
	}
}
