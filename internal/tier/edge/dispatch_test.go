package edge

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"testing"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/conf/setup"
	"kumquatreel.example/kumquatreel/internal/tier/gather"
	"kumquatreel.example/kumquatreel/internal/tier/header"
	"kumquatreel.example/kumquatreel/internal/tier/link"
	"kumquatreel.example/kumquatreel/internal/tier/place"
	"kumquatreel.example/kumquatreel/internal/tier/roster"
	"kumquatreel.example/kumquatreel/internal/tier/table"
)

var start = time.Unix(1000, 0)

const typical = 10 * time.Millisecond

// newTestDispatch returns a dispatch with the given servers of one service, each with a warm-up rate of 2 requests per second.
func newTestDispatch(t *testing.T, servers ...ident.Server) *dispatch {
	t.Helper()
	s, faults := setup.New(setup.Text{
		Name: "vm0", Domain: "north", Address: "127.0.0.1", Clients: "127.0.0.1:1", Ready: "127.0.0.1:2", Peers: "127.0.0.1:3",
		Directory: "127.0.0.1:4", Metrics: "127.0.0.1:5", GossipPort: 6, Store: "127.0.0.1:7",
	})
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	d := newDispatch(time.Time{}, s, rand.New(rand.NewPCG(1, 1)))
	d.setPart(1, 1, []ident.VM{"vm0"})
	d.table = table.New(table.Config{
		Routes:   []table.RouteConfig{{Name: "search", Host: "h", Prefix: "/", Service: "books", Kind: table.KindIdempotent}},
		Services: []table.ServiceConfig{{Name: "books", MaxConnections: 100, ColdRate: 2}},
	})
	for _, name := range servers {
		d.roster.Update(start, roster.Entry{Server: name, Service: "books", Address: "127.0.0.1:1", Domain: "north", Slots: 2, Started: 1})
	}
	return d
}

// countSent dispatches a number of requests at one instant and returns how many of them are sent.
func countSent(d *dispatch, now time.Time, requests int) int {
	n := 0
	for range requests {
		c := &chooser{dispatch: d, typical: typical, maxWait: time.Hour}
		if server, capacity := c.Choose(now, "books", nil, gather.CauseFirst); capacity == gather.CapacityNow {
			d.begin(now, gather.Send{Service: "books", Server: server}, typical)
			n++
		}
	}
	return n
}

// A server reports in an answer that it is cold; more requests than its warm-up rate allows must not follow.
func TestColdAnswer(t *testing.T) {
	d := newTestDispatch(t, "a")
	r := d.table.Match("h", "/")
	sent, ok := d.begin(start, gather.Send{Service: "books", Server: "a"}, typical)
	if !ok {
		t.Fatal("server is unknown")
	}
	names := header.Names{ColdMs: "Cold-Ms"}
	answer := &link.Answer{Status: http.StatusOK, Header: http.Header{"Cold-Ms": {"3000"}}}
	d.end(start, r, sent, link.Result{Verdict: gather.VerdictAnswered, Answer: answer}, names, typical)
	if n := countSent(d, start.Add(typical), 10); n != 1 {
		t.Errorf("%d requests sent at once to a server that reported that it is cold, want 1", n)
	}
	// A VM that has just started has no part of the rate yet.
	d.setPart(0, 0, []ident.VM{"vm0"})
	if n := countSent(d, start.Add(time.Second), 10); n != 0 {
		t.Errorf("%d requests sent by a VM without a part of the rate, want none", n)
	}
}

// All servers of a service refuse connections: the next request must fail at once, with the reason counted for the log.
func TestDownTold(t *testing.T) {
	d := newTestDispatch(t, "a", "b")
	usable, _ := d.roster.Candidates(start, "books")
	for _, m := range usable {
		server := m.Entry().Server
		d.balancer.Unreachable(start, d.balancer.Sent(start, server, typical))
	}
	c := &chooser{dispatch: d, typical: typical, maxWait: time.Second}
	if server, capacity := c.Choose(start.Add(typical), "books", nil, gather.CauseFirst); capacity != gather.CapacityNone {
		t.Errorf("found server %q, capacity %v; want none", server, capacity)
	}
	if c.skipped.Down != 2 || c.skipped.AtCapacity() != 0 {
		t.Errorf("skipped servers: %+v, want two as down", c.skipped)
	}
}

// One of two servers refuses two fifths of its parts although its queue is empty, until the retry budget is used up. From then on a
// refused part is lost, so all parts must go to the sound server, and wait for it when it is full.
func TestFailingServer(t *testing.T) {
	refuse := func(d *dispatch, now time.Time, servers ...ident.Server) {
		for _, s := range servers {
			for range 4 {
				d.balancer.Refused(now, d.balancer.Sent(now, s, typical), nil)
			}
		}
	}
	exhaust := func(d *dispatch) {
		for d.retries.Take(start, "books", 1, false) {
		}
	}
	choose := func(d *dispatch, now time.Time) (ident.Server, gather.Capacity, place.Skipped) {
		c := &chooser{dispatch: d, typical: typical, maxWait: 3 * typical}
		s, capacity := c.Choose(now, "books", nil, gather.CauseFirst)
		return s, capacity, c.skipped
	}
	t.Run("gets no parts once the retry budget is used up", func(t *testing.T) {
		d := newTestDispatch(t, "a", "b")
		refuse(d, start, "a")
		exhaust(d)
		for range 5 {
			if s, _, _ := choose(d, start); s != "b" {
				t.Fatalf("sent to %q, want the sound server", s)
			}
			d.balancer.Sent(start, "b", typical)
		}
		for range 20 {
			d.balancer.Sent(start, "b", typical)
		}
		if s, capacity, skipped := choose(d, start); capacity != gather.CapacityLater || skipped.Failing != 1 {
			t.Errorf("sent to %q, capacity %v, skipped %+v; want to wait for the sound server", s, capacity, skipped)
		}
	})
	t.Run("gets parts while they can be sent again", func(t *testing.T) {
		d := newTestDispatch(t, "a", "b")
		refuse(d, start, "a")
		for range 25 {
			d.balancer.Sent(start, "b", typical)
		}
		if s, _, _ := choose(d, start); s != "a" {
			t.Errorf("sent to %q, want the server with room", s)
		}
	})
	t.Run("gets parts if its shard has no sound one", func(t *testing.T) {
		d := newTestDispatch(t, "a", "b")
		refuse(d, start, "a", "b")
		exhaust(d)
		if _, capacity, _ := choose(d, start); capacity != gather.CapacityNow {
			t.Errorf("capacity %v, want a server", capacity)
		}
	})
}

// limit makes a server name a limit.
func limit(d *dispatch, now time.Time, server ident.Server, text string) {
	d.end(now, d.table.Match("h", "/"), sending{handle: d.balancer.Sent(now, server, typical), target: header.Target{Server: server}}, link.Result{
		Verdict: gather.VerdictAnswered, Answer: &link.Answer{Status: http.StatusOK, Header: http.Header{"Limit": {text}}},
	}, header.Names{Limit: "Limit"}, typical)
}

// Servers name limits below their load: each kind of attempt must count, and what no limit allows soon must be refused at once.
func TestNamedLimit(t *testing.T) {
	t.Run("counts first attempts, hedges and retries alike", func(t *testing.T) {
		for _, cause := range []gather.Cause{gather.CauseFirst, gather.CauseLate, gather.CauseEnded} {
			d := newTestDispatch(t, "a")
			limit(d, start, "a", "2")
			sent := 0
			for ms := range 4000 {
				now := start.Add(time.Duration(ms) * time.Millisecond)
				c := &chooser{dispatch: d, typical: typical, maxWait: time.Second}
				if server, capacity := c.Choose(now, "books", nil, cause); capacity == gather.CapacityNow {
					s, _ := d.begin(now, gather.Send{Service: "books", Server: server, Cause: cause, Attempt: 1}, typical)
					d.cancelled(s.handle)
					sent++
				}
			}
			if sent < 4 || sent > 17 {
				t.Errorf("%d attempts of cause %v in 4 s, want about 8 and at most 17", sent, cause)
			}
		}
	})
	t.Run("refuses at once what would have to wait too long", func(t *testing.T) {
		d := newTestDispatch(t, "a", "b")
		limit(d, start, "a", "0.5")
		limit(d, start, "b", "0.5")
		c := &chooser{dispatch: d, typical: typical, maxWait: 100 * time.Millisecond}
		if _, capacity := c.Choose(start, "books", nil, gather.CauseFirst); capacity != gather.CapacityNone || c.skipped.Limited != 2 {
			t.Errorf("capacity %v, skipped %+v; want none, two limited", capacity, c.skipped)
		}
	})
	t.Run("lets as many wait as there will be tokens", func(t *testing.T) {
		d := newTestDispatch(t, "a")
		limit(d, start, "a", "20")
		var capacities []gather.Capacity
		for range 4 {
			c := &chooser{dispatch: d, typical: typical, maxWait: 250 * time.Millisecond}
			_, capacity := c.Choose(start, "books", nil, gather.CauseFirst)
			capacities = append(capacities, capacity)
		}
		if want := []gather.Capacity{gather.CapacityLater, gather.CapacityLater, gather.CapacityNone, gather.CapacityNone}; !slices.Equal(capacities, want) {
			t.Errorf("capacities are %v, want %v", capacities, want)
		}
	})
	t.Run("ignores what cannot be read", func(t *testing.T) {
		d := newTestDispatch(t, "a")
		limit(d, start, "a", "many")
		if n := countSent(d, start, 5); n != 5 {
			t.Errorf("%d of 5 requests sent, want all", n)
		}
	})
}

// All servers have queues and every part is late: hedges must leave the queues to first attempts.
func TestHedgeInQueue(t *testing.T) {
	d := newTestDispatch(t, "a", "b")
	// Three parts wait at each server: 1.5 to 2 times the typical latency.
	for range 5 {
		d.balancer.Sent(start, "a", typical)
		d.balancer.Sent(start, "b", typical)
	}
	c := &chooser{dispatch: d, typical: typical, maxWait: 3 * typical}
	if _, capacity := c.Choose(start, "books", nil, gather.CauseFirst); capacity != gather.CapacityNow {
		t.Errorf("capacity for a first attempt is %v, want now", capacity)
	}
	if s, capacity := c.Choose(start, "books", []ident.Server{"a"}, gather.CauseLate); capacity == gather.CapacityNow {
		t.Errorf("a hedge is sent to %q behind three other parts", s)
	}
	if _, capacity := c.Choose(start.Add(typical), "books", []ident.Server{"a"}, gather.CauseEnded); capacity != gather.CapacityNow {
		t.Errorf("capacity for a retry is %v, want now", capacity)
	}
}

// Requests that arrive while all VMs start are served once there is a configuration, instead of being refused.
func TestAwaitTable(t *testing.T) {
	first := table.New(table.Config{Version: 7})
	t.Run("returns the first configuration when it comes", func(t *testing.T) {
		d := newDispatch(time.Now(), setup.Settings{}, rand.New(rand.NewPCG(1, 1)))
		go d.setTable(first)
		if got := d.awaitTable(t.Context(), time.Minute); got != first {
			t.Errorf("got %v, want the first configuration", got)
		}
		if got := d.awaitTable(t.Context(), 0); got != first {
			t.Errorf("got %v later, want the configuration in force", got)
		}
	})
	t.Run("ends at its time and with the client", func(t *testing.T) {
		d := newDispatch(time.Now(), setup.Settings{}, rand.New(rand.NewPCG(1, 1)))
		if got := d.awaitTable(t.Context(), time.Millisecond); got != nil {
			t.Errorf("got %v, want none", got)
		}
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		if got := d.awaitTable(ctx, time.Minute); got != nil {
			t.Errorf("got %v after the client has left, want none", got)
		}
	})
}

// rest makes a server refuse a request and name a time in which it wants none.
func rest(d *dispatch, now time.Time, server ident.Server, text string) serverChange {
	s := sending{handle: d.balancer.Sent(now, server, typical), target: header.Target{Server: server}, start: d.roster.Member(server).Entry().Start()}
	return d.end(now, d.table.Match("h", "/"), s, link.Result{
		Verdict: gather.VerdictRefused, Answer: &link.Answer{Status: http.StatusServiceUnavailable, Header: http.Header{"Retry-After": {text}}},
	}, header.Names{}, typical)
}

// A server wants no requests: no kind of attempt may reach it, and what only such servers could take must not wait.
func TestRest(t *testing.T) {
	t.Run("holds for first attempts, hedges and retries alike", func(t *testing.T) {
		for _, cause := range []gather.Cause{gather.CauseFirst, gather.CauseLate, gather.CauseEnded, gather.CauseWaited} {
			d := newTestDispatch(t, "a", "b")
			rest(d, start, "a", "2")
			rest(d, start, "b", "3")
			c := &chooser{dispatch: d, typical: typical, maxWait: time.Second}
			if server, capacity := c.Choose(start.Add(time.Second), "books", nil, cause); capacity != gather.CapacityNone {
				t.Errorf("cause %v: got server %q with capacity %v, want none", cause, server, capacity)
			}
			if server, _ := c.Choose(start.Add(2*time.Second), "books", nil, cause); server != "a" {
				t.Errorf("cause %v: got server %q after the rest, want a", cause, server)
			}
		}
	})
	t.Run("holds for an attempt that waited for its connection", func(t *testing.T) {
		d := newTestDispatch(t, "a")
		s, _ := d.begin(start, gather.Send{Service: "books", Server: "a"}, typical)
		rest(d, start, "a", "2")
		if d.mayReceive(start.Add(time.Second), s) {
			t.Error("the attempt may be sent")
		}
	})
	t.Run("tells when enough services have a server again", func(t *testing.T) {
		d := newTestDispatch(t, "a", "b")
		rest(d, start, "a", "2")
		rest(d, start, "b", "3")
		for need, want := range map[int]time.Duration{1: 0, 2: 2 * time.Second} {
			w := d.withholding(start, []ident.Service{"books", "others"}, need)
			if want == 0 != w.Until.IsZero() || want > 0 && !w.Until.Equal(start.Add(want)) {
				t.Errorf("%d services have a server at %v, want after %v", need, w.Until, want)
			}
		}
	})
	t.Run("is not inferred from a text that cannot be read", func(t *testing.T) {
		d := newTestDispatch(t, "a")
		if c := rest(d, start, "a", "soon"); c.badRetryAfter == nil || !c.restUntil.IsZero() {
			t.Errorf("got %+v, want the text reported as unreadable", c)
		}
	})
}
