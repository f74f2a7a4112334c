package source_test

import (
	"testing"

	"kumquatreel.example/kumquatreel/internal/tier/mirror"
	"kumquatreel.example/kumquatreel/internal/tier/roster"
	"kumquatreel.example/kumquatreel/internal/tier/source"
	"kumquatreel.example/kumquatreel/internal/tier/table"
)

// events are what the items of the tests mean, by value.
var events = map[string]source.Event{
	"server 5/20":  source.ServerPublished{Entry: roster.Entry{Server: "a", Started: 5, Sequence: 20}},
	"leaving 5/21": source.ServerPublished{Entry: roster.Entry{Server: "a", Started: 5, Sequence: 21, Leaving: true}},
	"server 6/1":   source.ServerPublished{Entry: roster.Entry{Server: "a", Started: 6, Sequence: 1}},
	"no server":    source.ServerRemoved{Server: "a"},
	"out":          source.DomainOut{Domain: "north"},
	"in":           source.DomainIn{Domain: "north"},
	"version 7":    source.TablePublished{Text: table.Config{Version: 7}},
	"nothing":      source.Ignored{},
}

func decode(it mirror.Item) (source.Event, error) { return events[string(it.Value)], nil }

// The store comes back from a copy that is older than what is known, or has been written again since.
func TestKeep(t *testing.T) {
	for _, c := range []struct {
		known, listed string
		want          bool
	}{
		{"leaving 5/21", "server 5/20", true},
		{"server 5/20", "leaving 5/21", false},
		{"server 6/1", "server 5/20", true},
		{"server 5/20", "server 6/1", false},
		{"server 5/20", "server 5/20", false},
		{"server 5/20", "no server", false},
		{"no server", "server 5/20", true},
		{"out", "in", true},
		{"in", "out", false},
		{"out", "out", false},
		{"nothing", "version 7", false},
	} {
		t.Run(c.known+" against "+c.listed, func(t *testing.T) {
			if got := source.Rules(decode).Keep(mirror.Item{Value: []byte(c.known)}, mirror.Item{Value: []byte(c.listed)}); got != c.want {
				t.Errorf("keep is %v, want %v", got, c.want)
			}
		})
	}
}

func TestVersion(t *testing.T) {
	for value, want := range map[string]bool{"version 7": true, "nothing": false, "server 5/20": false} {
		if v, ok := source.Rules(decode).Version(mirror.Item{Value: []byte(value)}); ok != want || ok && v != 7 {
			t.Errorf("%s has version %d, %v, want 7 only for a configuration", value, v, ok)
		}
	}
}
