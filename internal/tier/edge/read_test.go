package edge

import (
	"testing"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/tier/mirror"
	"kumquatreel.example/kumquatreel/internal/tier/roster"
	"kumquatreel.example/kumquatreel/internal/tier/source"
	"kumquatreel.example/kumquatreel/internal/tier/table"
)

// A VM starts while requests wait for its first configuration. Those must not be released before the VM knows, from the same read of the store,
// that a failure domain is out of service.
func TestConfigurationComesLast(t *testing.T) {
	e := newFleetMember(t, 0)
	events := map[string]source.Event{
		"config": source.TablePublished{Text: table.Config{Version: 1, Routes: []table.RouteConfig{{Name: "one", Host: "h", Prefix: "/"}}}},
		"domain": source.DomainOut{Domain: "south"},
		"server": source.ServerPublished{Entry: roster.Entry{Server: "a", Service: "books", Domain: "south", Slots: 1}},
	}
	e.decode = func(it mirror.Item) (source.Event, error) {
		if e.dispatch.current() != nil {
			t.Errorf("the configuration is in force before item %s is applied", it.Key)
		}
		return events[it.Key], nil
	}
	e.applyItems(time.Now(), []mirror.Item{{Key: "config", Revision: 3}, {Key: "domain", Revision: 1}, {Key: "server", Revision: 2}}, "store")
	if e.dispatch.current() == nil {
		t.Error("the configuration is not in force")
	}
	if usable, _ := e.dispatch.roster.Candidates(time.Now(), "books"); len(usable) > 0 || !e.dispatch.roster.DomainOut(ident.Domain("south")) {
		t.Error("a server in a domain that is out of service may be used")
	}
}
