package edge

import (
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/conf/setup"
	"kumquatreel.example/kumquatreel/internal/tier/gather"
	"kumquatreel.example/kumquatreel/internal/tier/header"
	"kumquatreel.example/kumquatreel/internal/tier/link"
	"kumquatreel.example/kumquatreel/internal/tier/roster"
	"kumquatreel.example/kumquatreel/internal/tier/table"
)

var start = time.Unix(1000, 0)

const typical = 10 * time.Millisecond

// newTestDispatch returns a dispatch that knows some servers of one service, each of which bears 2 requests a second when cold.
func newTestDispatch(t *testing.T, servers ...ident.Server) *dispatch {
	t.Helper()
	s, faults := setup.New(setup.Text{
		Name: "vm0", Domain: "north", Address: "127.0.0.1", Callers: "127.0.0.1:1", Ready: "127.0.0.1:2", Peers: "127.0.0.1:3",
		Directory: "127.0.0.1:4", Metrics: "127.0.0.1:5", GossipPort: 6, Store: "127.0.0.1:7",
	})
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	d := newDispatch(s, rand.New(rand.NewPCG(1, 1)))
	d.table = table.New(table.Config{
		Routes:   []table.RouteConfig{{Name: "search", Host: "h", Prefix: "/", Service: "books", Kind: table.KindIdempotent}},
		Services: []table.ServiceConfig{{Name: "books", MaxConnections: 100, ColdRate: 2}},
	})
	for _, name := range servers {
		d.roster.Update(start, roster.Entry{Server: name, Service: "books", Address: "127.0.0.1:1", Domain: "north", Slots: 2, Started: 1})
	}
	return d
}

// chosen has requests come at one instant and returns how many are sent.
func countSent(d *dispatch, now time.Time, requests int) int {
	n := 0
	for range requests {
		c := &chooser{dispatch: d, typical: typical, maxWait: time.Hour}
		if server, capacity := c.Choose(now, "books", nil); capacity == gather.CapacityNow {
			d.begin(now, gather.Send{Service: "books", Server: server}, typical)
			n++
		}
	}
	return n
}

func TestColdAnswer(t *testing.T) {
	d := newTestDispatch(t, "a")
	r := d.table.Match("h", "/")
	ticket, _, _, ok := d.begin(start, gather.Send{Service: "books", Server: "a"}, typical)
	if !ok {
		t.Fatal("the server is not known")
	}
	names := header.Names{ColdMs: "Cold-Ms"}
	answer := &link.Answer{Status: http.StatusOK, Header: http.Header{"Cold-Ms": {"3000"}}}
	d.end(start, r, ticket, "a", link.Result{Verdict: gather.VerdictAnswered, Answer: answer}, names, typical)
	if n := countSent(d, start.Add(typical), 10); n != 1 {
		t.Errorf("%d requests are sent at once to a server that has said it is cold, want 1", n)
	}
}

// All servers of a service refuse connections: the next requests are refused at once, and their log tells why.
func TestDownTold(t *testing.T) {
	d := newTestDispatch(t, "a", "b")
	usable, _ := d.roster.Candidates(start, "books")
	for _, m := range usable {
		server := m.Entry().Server
		d.places.Unreachable(start, d.places.Sent(start, server, typical))
	}
	c := &chooser{dispatch: d, typical: typical, maxWait: time.Second}
	if server, capacity := c.Choose(start.Add(typical), "books", nil); capacity != gather.CapacityNone {
		t.Errorf("found %q, room %v; want none", server, capacity)
	}
	if c.skipped.down != 2 || c.skipped.atCapacity() != 0 {
		t.Errorf("%+v were passed over, want two as down", c.skipped)
	}
}
