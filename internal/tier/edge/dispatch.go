package edge

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/base/sets"
	"kumquatreel.example/kumquatreel/internal/conf/setup"
	"kumquatreel.example/kumquatreel/internal/limit/retry"
	"kumquatreel.example/kumquatreel/internal/limit/warmup"
	"kumquatreel.example/kumquatreel/internal/tier/gather"
	"kumquatreel.example/kumquatreel/internal/tier/header"
	"kumquatreel.example/kumquatreel/internal/tier/link"
	"kumquatreel.example/kumquatreel/internal/tier/place"
	"kumquatreel.example/kumquatreel/internal/tier/roster"
	"kumquatreel.example/kumquatreel/internal/tier/table"
	"kumquatreel.example/kumquatreel/internal/tier/timing"
)

const (
	// connectionShare of a server's connections is divided among the VMs.
	connectionShare = 0.5
	// connectionsUnknown is taken for a server whose bound was not published.
	connectionsUnknown = 16
	// waitersMost is how many requests may wait for a connection to a server.
	waitersMost = 1
	// patienceShare of the time in which an answer is due may be spent waiting at a server, patienceLess by less urgent
	// requests.
	patienceShare = 0.7
	patienceLess  = 0.55
	// startShare of a route's aim is taken for the usual latency of a part while nothing is known.
	startShare = 0.15
	// startUsual is the same for a route without an aim.
	startUsual = 20 * time.Millisecond
)

// dispatch holds what decides where requests are sent.
type dispatch struct {
	domain ident.Domain
	self   ident.VM

	mu      sync.Mutex
	rng     *rand.Rand
	roster  *roster.Roster
	places  place.Places
	repeats *retry.Budget
	gate    warmup.Limiter
	paces   map[ident.Route]*timing.Pace
	table   *table.Table
	// vms are the VMs that the fleet's bounds are divided among: those that callers are sent to first.
	vms []ident.VM
	// serving is how many VMs serve callers, this one included.
	serving int
	// sent counts the parts that were sent, away those to servers in other failure domains.
	sent, away int
}

func newDispatch(s setup.Settings, rng *rand.Rand) *dispatch {
	return &dispatch{
		domain: s.Domain(), self: s.Name(), rng: rng, roster: roster.New(s.Drain()), paces: make(map[ident.Route]*timing.Pace), vms: []ident.VM{s.Name()},
		repeats: retry.New(retry.Limits{Ratio: s.RepeatRatio(), Slack: s.RepeatSlack(), Window: s.RepeatWindow()}),
	}
}

// current returns the table in force, or nil.
func (d *dispatch) current() *table.Table {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table
}

// usual returns the usual latency of a route's parts and the one beyond which a part is late.
func (d *dispatch) usual(r *table.Route) (usual, late time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.pace(r)
	return p.Median(), p.High()
}

// spent returns how much of its time a caller has spent before its request got here, given what is left.
func (d *dispatch) spent(r *table.Route, left time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pace(r).Spent(left)
}

func (d *dispatch) pace(r *table.Route) *timing.Pace {
	p := d.paces[r.Name()]
	if p == nil {
		p = &timing.Pace{}
		start := startUsual
		if r.Aim() > 0 {
			start = time.Duration(startShare * float64(r.Aim()))
		}
		p.Start(start)
		d.paces[r.Name()] = p
	}
	return p
}

// random returns a number in [0,1).
func (d *dispatch) random() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rng.Float64()
}

// chooser serves one request; it is driven by one goroutine at a time.
type chooser struct {
	*dispatch
	usual time.Duration
	// patience is the longest wait at a server with which the answer can still be in time.
	patience time.Duration
	// passed counts the servers that were passed over for the request, and why.
	passed passed
	// denied is called for each repeat that the bounds do not allow.
	denied func(service ident.Service, first, repeats int, part float64)
}

// passed counts servers that got no request.
type passed struct {
	// cold ones have had their rate, full ones have no connection to spare, slow ones have too long a queue, and down ones are
	// at rest since they were silent or could not be reached.
	cold, full, slow, down int
}

// busy returns how many lacked room.
func (p passed) busy() int { return p.cold + p.full + p.slow }

// Choose implements gather.Chooser.
func (c *chooser) Choose(now time.Time, service ident.Service, exclude []ident.Server) (ident.Server, gather.Room) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.passed.busy()
	usable, spare := c.roster.Candidates(now, service)
	for _, members := range [][]*roster.Member{usable, spare} {
		options := c.options(now, members, exclude)
		if o, ok := c.places.Pick(now, options, c.usual, c.rng); ok {
			return o.Server, gather.RoomNow
		}
		c.passed.down += len(options)
	}
	if c.passed.busy() > before {
		return "", gather.RoomLater
	}
	return "", gather.RoomNone
}

// Repeat implements gather.Chooser.
func (c *chooser) Repeat(now time.Time, service ident.Service) bool {
	c.mu.Lock()
	part := c.part()
	ok := c.repeats.Take(now, service, part)
	first, repeats := c.repeats.Counts(now, service)
	c.mu.Unlock()
	if !ok && c.denied != nil {
		c.denied(service, first, repeats, part)
	}
	return ok
}

// part returns the VM's part of what is divided among VMs, which is 0 for one that callers are not sent to first.
func (d *dispatch) part() float64 {
	if !slices.Contains(d.vms, d.self) {
		return 0
	}
	return 1 / float64(len(d.vms))
}

// options returns the servers that have room for a request: a cold one within its rate, each one with a connection to
// spare and a queue that is not longer than the request can bear.
func (c *chooser) options(now time.Time, members []*roster.Member, exclude []ident.Server) []place.Option {
	out := make([]place.Option, 0, len(members))
	for _, m := range members {
		e := m.Entry()
		o := place.Option{Server: e.Server, Slots: e.Slots, Away: e.Domain != c.domain, Cold: m.Cold(now)}
		switch {
		case slices.Contains(exclude, e.Server):
		case o.Cold && !c.gate.MaySend(now, e.Server, c.coldRate(e.Service), c.self, c.vms):
			c.passed.cold++
		case c.places.Owed(e.Server) >= c.connections(e.Service)+waitersMost:
			c.passed.full++
		case c.places.Wait(now, o, c.usual) > c.patience:
			c.passed.slow++
		default:
			out = append(out, o)
		}
	}
	return out
}

// connections returns how many connections the VM may have to a server of a service: its part among the VMs that serve callers.
func (d *dispatch) connections(s ident.Service) int {
	most := connectionsUnknown
	if d.table != nil && d.table.Service(s).MaxConnections > 0 {
		most = d.table.Service(s).MaxConnections
	}
	return max(1, int(connectionShare*float64(most)/float64(max(1, d.serving))))
}

// patience returns the longest wait that a request can bear: more for the most urgent ones, which are served first so.
func (d *dispatch) patience(rank int, left time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	share := patienceShare
	if d.table != nil && rank > d.table.Urgent() {
		share = patienceLess
	}
	return time.Duration(share * float64(left))
}

func (d *dispatch) coldRate(s ident.Service) float64 {
	if d.table == nil {
		return 0
	}
	return d.table.Service(s).ColdPerSecond
}

// begin records that a request is sent to a server and returns where that is, and false when the server has gone.
func (d *dispatch) begin(now time.Time, s gather.Send, usual time.Duration) (place.Ticket, header.Target, int, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := d.roster.Member(s.Server)
	if m == nil {
		return place.Ticket{}, header.Target{}, 0, false
	}
	if m.Cold(now) {
		d.gate.RecordSend(now, s.Server, d.coldRate(s.Service), d.self, d.vms)
	}
	d.sent++
	if m.Entry().Domain != d.domain {
		d.away++
	}
	if s.Attempt == 0 {
		d.repeats.CountFirst(now, s.Service)
	}
	return d.places.Sent(now, s.Server, usual), header.Target{Server: s.Server, Address: m.Entry().Address}, d.connections(s.Service), true
}

// belief is what the end of a request changes in what is believed of its server.
type belief struct {
	// rest is how long the server gets nothing, 0 when it may.
	rest time.Duration
	// back says that a server which was at rest has answered.
	back bool
	// cold is how long the server says it stays cold.
	cold time.Duration
	// wrong says that another server has answered in its place.
	wrong bool
}

// end records how a request to a server ended and returns what that changes.
func (d *dispatch) end(now time.Time, r *table.Route, t place.Ticket, server ident.Server, res link.Result, names header.Names, took time.Duration) belief {
	d.mu.Lock()
	defer d.mu.Unlock()
	var b belief
	var load *header.Load
	if res.Answer != nil {
		if left, ok := header.ParseMillis(res.Answer.Header.Get(names.ColdMs)); ok && d.roster.Chilled(now, server, left) {
			b.cold = left
		}
		if l, ok := header.ParseLoad(res.Answer.Header.Get(names.Load)); ok {
			load = &l
		}
	}
	switch res.Verdict {
	case gather.VerdictAnswered:
		d.pace(r).Observe(took)
		b.back = d.places.Answered(now, t, load)
	case gather.VerdictRefused:
		d.places.Refused(now, t, load)
	case gather.VerdictMisplaced:
		d.places.Dropped(t)
		d.roster.Wrong(server)
		b.wrong = true
	case gather.VerdictUnsent:
		if res.Silent {
			b.rest = d.places.Unreachable(now, t)
		} else {
			d.places.Failed(now, t)
		}
	case gather.VerdictLost:
		if res.Silent {
			d.pace(r).Lost(took)
			b.rest = d.places.Silent(now, t)
		} else {
			d.places.Failed(now, t)
		}
	case gather.VerdictFailed:
		d.places.Failed(now, t)
	}
	return b
}

// prune forgets what concerns servers, services and routes that are gone, and returns the routes in force.
func (d *dispatch) prune(now time.Time) sets.Set[ident.Route] {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.repeats.Prune(now)
	d.gate.Prune(now)
	if d.table == nil {
		return nil
	}
	routes := make(sets.Set[ident.Route])
	for _, r := range d.table.Routes() {
		routes.Add(r.Name)
	}
	maps.DeleteFunc(d.paces, func(name ident.Route, _ *timing.Pace) bool { return !routes.Has(name) })
	return routes
}

// dropped records that a request was taken back.
func (d *dispatch) dropped(t place.Ticket) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.places.Dropped(t)
}
