package source

import (
	"kumquatreel.example/kumquatreel/internal/tier/mirror"
	"kumquatreel.example/kumquatreel/internal/tier/roster"
)

// Rules returns the rules by which a mirror decides between states of an item when the store has come back from an older copy.
//
// A configuration never returns to a lower version. A server's own start time and sequence tell which of its entries is the newer one;
// a server that had left stays away unless its entry is newer than the one that was removed. A failure domain that is out of service in either
// state is out, until the operator has published again that it is back: to send requests there is the graver mistake.
func Rules(decode Decode) mirror.Rules {
	return mirror.Rules{
		Version: func(it mirror.Item) (int64, bool) {
			// An item that cannot be decoded is no configuration, so its error does not matter.
			ev, _ := decode(it)
			t, ok := ev.(TablePublished)
			return t.Text.Version, ok
		},
		Keep: func(known, listed mirror.Item) bool {
			before, _ := decode(known)
			after, _ := decode(listed)
			if _, ok := before.(ServerRemoved); ok && known.Before != nil {
				// The removal is newer than the entry that it removed, and than all that are not newer than that.
				last, _ := decode(mirror.Item{Key: known.Key, Value: known.Before})
				return precedes(after, last)
			}
			return outlives(before, after)
		},
	}
}

// outlives reports whether a known event holds against that of an older copy.
func outlives(known, listed Event) bool {
	switch known := known.(type) {
	case ServerPublished:
		l, ok := listed.(ServerPublished)
		return ok && newer(known.Entry, l.Entry)
	case ServerRemoved:
		_, ok := listed.(ServerPublished)
		return ok
	case DomainOut:
		_, ok := listed.(DomainIn)
		return ok
	}
	return false
}

// precedes reports whether a listed event is the entry of a server, and not newer than the last one before the entry was removed.
func precedes(listed, last Event) bool {
	l, ok := listed.(ServerPublished)
	if !ok {
		return false
	}
	known, ok := last.(ServerPublished)
	return !ok || !newer(l.Entry, known.Entry)
}

// newer reports whether an entry of a server is newer than another one of the same server.
func newer(a, b roster.Entry) bool {
	if a.Started != b.Started {
		return a.Started > b.Started
	}
	return a.Sequence > b.Sequence
}
