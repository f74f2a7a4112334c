package place

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/tier/header"
)

const (
	// speedWeight is the weight of a new latency in the running mean of a server's speed.
	speedWeight = 0.15
	// speedMost bounds how much slower than usual one answer can make a server look.
	speedMost = 3.0
	// failureWeight is the weight of a new result in the running share of failures.
	failureWeight = 0.25
	// failureHalf is the time in which the share of failures of a server that gets nothing falls by half.
	failureHalf = time.Second
	// failurePenalty is the latency that a server which always fails is charged.
	failurePenalty = 150 * time.Millisecond
	// loadValid is how long a told load counts in full.
	loadValid = 50 * time.Millisecond
	// overdueFactor times the usual latency makes an answer overdue, but not before overdueLeast.
	overdueFactor = 3
	overdueLeast  = 8 * time.Millisecond
	// overduePenalty is charged to a server that owes an overdue answer.
	overduePenalty = 100 * time.Millisecond
	// coldFactor is how much slower a cold server is taken to be.
	coldFactor = 1.6
	// downFirst and downMost bound the time for which a server that is silent or cannot be reached gets nothing while there are
	// others.
	downFirst = 100 * time.Millisecond
	downMost  = time.Second
	// probePause is the time after a failed connection in which a server gets nothing at all.
	probePause = 100 * time.Millisecond
	// awayShare of the usual latency is charged to a server in another failure domain, whose bytes cost more.
	awayShare = 1.0
	// forget is the time after which what is known of an idle server's speed has lost half its weight.
	forget = 4 * time.Second
	// jitter spreads the requests of VMs that know the same.
	jitter = 0.1
)

// Candidate is a server that a request may be sent to.
type Candidate struct {
	Server ident.Server
	Slots  int
	// CrossDomain says that the server is in another failure domain than the VM.
	CrossDomain bool
	// Cold says that the server is in a cold start.
	Cold bool
}

// Handle names a request in progress at a server.
type Handle struct {
	server ident.Server
	id     uint64
}

// Balancer knows the servers that a VM sends to; the zero value knows none. It is driven under its owner's lock.
type Balancer struct {
	servers map[ident.Server]*record
	next    uint64
}

type record struct {
	owed []owed
	// slowness is the server's latency over what is usual for the same kind of request.
	slowness  float64
	at        time.Time
	load      header.Load
	loadAt    time.Time
	failures  float64
	failedAt  time.Time
	downUntil time.Time
	downFor   time.Duration
	// closedAt is when a connection to the server failed last.
	closedAt time.Time
}

type owed struct {
	id   uint64
	sent time.Time
	// usual is the latency that is usual for this kind of request.
	usual time.Duration
}

// Pick returns the option that should finish first, and false when none is worth trying.
//
// Usual is the latency that is usual for this kind of request.
func (p *Balancer) Pick(now time.Time, options []Candidate, usual time.Duration, rng *rand.Rand) (Candidate, bool) {
	best, cost := Candidate{}, time.Duration(math.MaxInt64)
	for _, o := range options {
		c, ok := p.Cost(now, o, usual)
		if !ok {
			continue
		}
		c += time.Duration(jitter * rng.Float64() * float64(c))
		if c < cost {
			best, cost = o, c
		}
	}
	if best.Server == "" {
		return p.probe(now, options)
	}
	return best, true
}

// probe returns a server that is resting, when there is no other: one request at a time finds out whether it is back. Where
// connections fail, the next one does only after a pause: all others would send their other parts for nothing.
func (p *Balancer) probe(now time.Time, options []Candidate) (Candidate, bool) {
	best := Candidate{}
	for _, o := range options {
		r := p.servers[o.Server]
		if len(r.owed) > 0 || now.Sub(r.closedAt) < probePause {
			continue
		}
		if best.Server == "" || r.downUntil.Before(p.servers[best.Server].downUntil) {
			best = o
		}
	}
	return best, best.Server != ""
}

// Cost returns when a request sent now should be answered, and false while the server is down.
func (p *Balancer) Cost(now time.Time, o Candidate, usual time.Duration) (time.Duration, bool) {
	r := p.servers[o.Server]
	if r == nil {
		return p.bias(usual, o), true
	}
	if now.Before(r.downUntil) {
		return 0, false
	}
	wait := max(0, r.queue(now)+1-float64(o.Slots)) / float64(o.Slots)
	cost := p.bias(time.Duration(float64(usual)*r.pace(now)*(1+wait)), o)
	if r.overdue(now) {
		cost += overduePenalty
	}
	cost += time.Duration(r.failing(now) * float64(failurePenalty))
	return cost, true
}

// QueueDelay returns how long a request sent now should wait at a server before it is begun.
func (p *Balancer) QueueDelay(now time.Time, o Candidate, usual time.Duration) time.Duration {
	r := p.servers[o.Server]
	if r == nil {
		return 0
	}
	ahead := max(0, r.queue(now)+1-float64(o.Slots)) / float64(o.Slots)
	return time.Duration(float64(usual) * r.pace(now) * ahead)
}

// InFlight returns how many requests the VM has in progress at a server.
func (p *Balancer) InFlight(s ident.Server) int {
	r := p.servers[s]
	if r == nil {
		return 0
	}
	return len(r.owed)
}

func (p *Balancer) bias(cost time.Duration, o Candidate) time.Duration {
	if o.Cold {
		cost = time.Duration(coldFactor * float64(cost))
	}
	if o.CrossDomain {
		cost += time.Duration(awayShare * float64(cost))
	}
	return cost
}

// Overdue reports whether a server owes an answer for longer than its speed explains.
func (p *Balancer) Overdue(now time.Time, s ident.Server) bool {
	r := p.servers[s]
	return r != nil && r.overdue(now)
}

// Down reports whether a server cannot be reached.
func (p *Balancer) Down(now time.Time, s ident.Server) bool {
	r := p.servers[s]
	return r != nil && now.Before(r.downUntil)
}

// Sent counts a request at a server, of a kind with a usual latency.
func (p *Balancer) Sent(now time.Time, s ident.Server, usual time.Duration) Handle {
	r := p.record(now, s)
	p.next++
	r.owed = append(r.owed, owed{id: p.next, sent: now, usual: usual})
	return Handle{server: s, id: p.next}
}

// Answered records an answer and what came with it, and reports whether the server had been at rest before.
func (p *Balancer) Answered(now time.Time, t Handle, load *header.Load) (rested bool) {
	r := p.record(now, t.server)
	rested = r.downFor > 0
	if o, ok := r.settle(t.id); ok {
		r.learn(now, o)
	}
	r.result(now, 0)
	r.downUntil, r.downFor = time.Time{}, 0
	if load != nil {
		r.load, r.loadAt = *load, now
	}
	return rested
}

// Refused records that a server had no room; it counts as a slow answer.
func (p *Balancer) Refused(now time.Time, t Handle, load *header.Load) {
	r := p.record(now, t.server)
	r.settle(t.id)
	r.result(now, 1)
	if load != nil {
		r.load, r.loadAt = *load, now
	}
}

// Failed records a failure after the server was reached.
func (p *Balancer) Failed(now time.Time, t Handle) {
	r := p.record(now, t.server)
	r.settle(t.id)
	r.result(now, 1)
}

// Unreachable records that a server could not be connected to and returns the rest that it is given, which grows each time.
func (p *Balancer) Unreachable(now time.Time, t Handle) time.Duration {
	rest := p.TimedOut(now, t)
	p.servers[t.server].closedAt = now
	return rest
}

// TimedOut records that a server did not answer and returns the rest that it is given, which grows each time.
func (p *Balancer) TimedOut(now time.Time, t Handle) time.Duration {
	r := p.record(now, t.server)
	r.settle(t.id)
	r.result(now, 1)
	r.downFor = min(max(downFirst, 2*r.downFor), downMost)
	r.downUntil = now.Add(r.downFor)
	return r.downFor
}

// Discarded takes back a request from which nothing is learnt.
func (p *Balancer) Discarded(t Handle) {
	if r := p.servers[t.server]; r != nil {
		r.settle(t.id)
	}
}

// Forget drops what is known of a server, for a new start under an old name.
func (p *Balancer) Forget(s ident.Server) { delete(p.servers, s) }

// Retain forgets the servers that are no longer known and owe nothing.
func (p *Balancer) Retain(known func(ident.Server) bool) {
	maps.DeleteFunc(p.servers, func(s ident.Server, r *record) bool { return len(r.owed) == 0 && !known(s) })
}

func (p *Balancer) record(now time.Time, s ident.Server) *record {
	if p.servers == nil {
		p.servers = make(map[ident.Server]*record)
	}
	r := p.servers[s]
	if r == nil {
		r = &record{slowness: 1, at: now}
		p.servers[s] = r
	}
	return r
}

func (r *record) settle(id uint64) (owed, bool) {
	i := slices.IndexFunc(r.owed, func(o owed) bool { return o.id == id })
	if i < 0 {
		return owed{}, false
	}
	o := r.owed[i]
	r.owed = slices.Delete(r.owed, i, i+1)
	return o, true
}

// learn counts a latency, bounded so that a pause of the server does not pass for its speed.
func (r *record) learn(now time.Time, o owed) {
	if o.usual <= 0 {
		return
	}
	seen := min(float64(now.Sub(o.sent))/float64(o.usual), speedMost)
	r.slowness = r.pace(now) + speedWeight*(seen-r.pace(now))
	r.at = now
}

func (r *record) result(now time.Time, failed float64) {
	r.failures = r.failing(now) + failureWeight*(failed-r.failing(now))
	r.failedAt = now
}

func (r *record) failing(now time.Time) float64 {
	if r.failures < 0.01 {
		return 0
	}
	return r.failures * math.Exp2(-float64(now.Sub(r.failedAt))/float64(failureHalf))
}

// pace returns the slowness, which moves towards one while nothing is heard of the server.
func (r *record) pace(now time.Time) float64 {
	idle := float64(now.Sub(r.at)) / float64(forget)
	if idle < 0.05 {
		return r.slowness
	}
	w := math.Exp2(-idle)
	return w*r.slowness + (1 - w)
}

func (r *record) queue(now time.Time) float64 {
	own := float64(len(r.owed))
	age := now.Sub(r.loadAt)
	if r.loadAt.IsZero() || age > 4*loadValid {
		return own
	}
	told := float64(max(0, r.load.Running+r.load.Waiting-1))
	return max(own, told*math.Exp2(-float64(age)/float64(loadValid)))
}

func (r *record) overdue(now time.Time) bool {
	for _, o := range r.owed {
		limit := time.Duration(overdueFactor * r.pace(now) * float64(o.usual))
		if now.Sub(o.sent) > max(overdueLeast, limit) {
			return true
		}
	}
	return false
}
