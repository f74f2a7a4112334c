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
	// latencyWeight is the weight of a new latency in the moving average of a server's latency ratio.
	latencyWeight = 0.15
	// maxLatencyRatio caps the latency ratio of a single answer, so that a short pause is not taken for low speed.
	maxLatencyRatio = 3.0
	// failureWeight is the weight of a new result in the moving average of a server's failure rate.
	failureWeight = 0.25
	// failureHalfLife is the half-life of the failure rate of a server that receives no requests.
	failureHalfLife = 3 * time.Second
	// minFailureRate is the failure rate that is significant.
	minFailureRate = 0.01
	// loadHalfLife is the half-life of the queue length that a server reported. After four half-lives the report is ignored.
	loadHalfLife = 50 * time.Millisecond
	// An answer is overdue after overdueFactor times the server's typical latency, but not before minOverdue.
	overdueFactor = 3
	minOverdue    = 8 * time.Millisecond
	// overduePenalty is added to the cost of a server with an overdue answer.
	overduePenalty = 100 * time.Millisecond
	// coldFactor is the factor by which a server in a cold start is assumed to be slower.
	coldFactor = 1.6
	// initialBackoff and maxBackoff bound the backoff of a server that times out or cannot be reached. It doubles with each such
	// failure; until it ends, the server receives no requests while there are others.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = time.Second
	// probeInterval is the minimum time between a failed connection to a server and the next request to it, if all servers back off.
	probeInterval = 100 * time.Millisecond
	// crossDomainFraction of the expected latency is added for a server in another failure domain, because traffic between domains
	// costs more.
	crossDomainFraction = 1.0
	// latencyHalfLife is the half-life with which the latency ratio of an idle server returns to 1.
	latencyHalfLife = 4 * time.Second
	// scarceFraction of the expected latency is added for a server whose limit allows few further requests, so that these are left for
	// hedges and for the case that no other server has capacity.
	scarceFraction = 1.0
	// jitterFraction is the maximum random fraction added to a cost. It spreads the requests of VMs that hold the same state.
	jitterFraction = 0.1
	// kindsWeight is the weight of a request in the moving average of the typical latencies of all kinds.
	kindsWeight = 1.0 / 32
)

// Candidate is a server that a request may be sent to.
type Candidate struct {
	Server ident.Server
	Slots  int
	// CrossDomain is true if the server is in another failure domain than the VM.
	CrossDomain bool
	// Cold is true while the server is in a cold start, and ColdLimited while its warm-up rate allows no further request.
	Cold, ColdLimited bool
	// Limited is true while the limit that the server names allows the VM no further request, and Scarce while it allows few.
	Limited, Scarce bool
	// Resting is true while the server wants no requests.
	Resting bool
	// Loaded is true while the server holds too many bytes of the VM's requests for this one.
	Loaded bool
	// MaxInFlight is how many requests the VM may have in flight to the server, 0 for any number.
	MaxInFlight int
	// Excluded is true if the server must not get this request, since it has had it already.
	Excluded bool
}

// Handle identifies a request in flight to a server.
type Handle struct {
	server ident.Server
	id     uint64
}

// Balancer holds the state of the servers that a VM sends requests to. The zero value is ready to use. It is not safe for concurrent
// use.
type Balancer struct {
	servers map[ident.Server]*serverStats
	next    uint64
	// countsAllKinds says that the requests in a server's queue are taken to be as long as those of all kinds that it gets are on average.
	countsAllKinds bool
	// vms is the number of VMs that serve clients, 0 unless pace and the news of other VMs are used.
	vms   int
	heard Heard
}

// CountAllKinds makes the balancer expect requests of all kinds in a server's queue, instead of only some of the kind that is to be sent.
//
// Load pattern: patient requests with much work fill the queues, and urgent ones with little work take these for short.
func (b *Balancer) CountAllKinds() { b.countsAllKinds = true }

type serverStats struct {
	inFlight []request
	// meanTypical is the moving average of the typical latencies of the requests that the VM has sent to the server.
	meanTypical time.Duration
	// latencyRatio is the moving average of the server's latency divided by the typical latency of the same kind of request. It was
	// updated at latencyAt.
	latencyRatio float64
	latencyAt    time.Time
	load         header.Load
	loadAt       time.Time
	failureRate  float64
	resultAt     time.Time
	backoffUntil time.Time
	backoff      time.Duration
	// dialFailedAt is when a connection to the server last failed.
	dialFailedAt time.Time
	// pace is the pace in load. answeredAt is when the server last answered.
	pace       float64
	answeredAt time.Time
	// heard is the last news of the server's load from another VM, stalledAt when another VM last waited for it in vain.
	heard     News
	stalledAt time.Time
	// doubtsUntil is until when others' news that it stalls is ignored.
	doubtsUntil time.Time
	// rate is the average rate at which the VM sends to the server, as of rateAt.
	rate   float64
	rateAt time.Time
	// toldSum and toldCount give the mean load that was told since the last call of FlushLoads.
	toldSum   float64
	toldCount int
}

type request struct {
	id   uint64
	sent time.Time
	// typical is the typical latency of this kind of request.
	typical time.Duration
}

// Pick returns the candidate with the lowest cost, or false if none may be tried now. If all candidates are backing off, it returns
// one that is due for a probe.
//
// Typical is the typical latency of this kind of request, failureCost the time that a failed attempt costs.
func (b *Balancer) Pick(now time.Time, candidates []Candidate, typical, failureCost time.Duration, rng *rand.Rand) (Candidate, bool) {
	if b.vms >= herdSize {
		if cand, ok := b.draw(now, candidates, typical, failureCost, rng); ok {
			return cand, true
		}
		return b.probe(now, candidates)
	}
	best, cost := Candidate{}, time.Duration(math.MaxInt64)
	for _, cand := range candidates {
		c, ok := b.Cost(now, cand, typical, failureCost)
		if !ok {
			continue
		}
		c += time.Duration(jitterFraction * rng.Float64() * float64(c))
		if c < cost {
			best, cost = cand, c
		}
	}
	if best.Server == "" {
		return b.probe(now, candidates)
	}
	return best, true
}

// probe returns the candidate whose backoff ends first, if all are backing off. A server is probed by one request at a time, and not
// within probeInterval of a failed connection: otherwise every request would send its other parts in vain, only to fail on this one.
func (b *Balancer) probe(now time.Time, candidates []Candidate) (Candidate, bool) {
	best := Candidate{}
	for _, cand := range candidates {
		st := b.servers[cand.Server]
		if len(st.inFlight) > 0 || now.Sub(st.dialFailedAt) < probeInterval {
			continue
		}
		if best.Server == "" || st.backoffUntil.Before(b.servers[best.Server].backoffUntil) {
			best = cand
		}
	}
	return best, best.Server != ""
}

// Cost returns the expected latency of a request sent now, with the penalties for failures, overdue answers and cross-domain traffic,
// or false while the server is backing off.
func (b *Balancer) Cost(now time.Time, cand Candidate, typical, failureCost time.Duration) (time.Duration, bool) {
	st := b.servers[cand.Server]
	if st == nil {
		return b.applyPenalties(typical, cand), true
	}
	if now.Before(st.backoffUntil) {
		return 0, false
	}
	load, ratio, stalled := st.queueLength(now), st.currentLatencyRatio(now), time.Duration(0)
	if b.vms > 0 {
		load, ratio, stalled = b.expectedLoad(now, st, cand.Slots, typical), st.ratioAt(now, st.news()), st.stallPenalty(now)
	}
	work := float64(typical) * ratio * (1 + queueing(load, cand.Slots))
	if b.countsAllKinds {
		work = float64(typical)*ratio + float64(b.queueDelay(st, load, ratio, cand.Slots, typical))
	}
	cost := b.applyPenalties(time.Duration(work), cand)
	if st.overdue(now) {
		stalled = overduePenalty
	}
	cost += stalled
	cost += time.Duration(st.currentFailureRate(now) * float64(failureCost))
	return cost, true
}

// QueueDelay returns the expected time that a request sent now spends in the server's queue.
func (b *Balancer) QueueDelay(now time.Time, cand Candidate, typical time.Duration) time.Duration {
	st := b.servers[cand.Server]
	if st == nil {
		return 0
	}
	return b.queueDelay(st, st.queueLength(now), st.currentLatencyRatio(now), cand.Slots, typical)
}

// queueDelay returns the time that a request spends in the queue of a server with a number of requests, each of which takes ratio times as long
// as usual.
func (b *Balancer) queueDelay(st *serverStats, load, ratio float64, slots int, typical time.Duration) time.Duration {
	if b.countsAllKinds {
		typical = max(typical, st.meanTypical)
	}
	return time.Duration(float64(typical) * ratio * queueing(load, slots))
}

// queueing returns how many requests each slot of a server with a number of requests serves before one more.
func queueing(load float64, slots int) float64 { return max(0, load+1-float64(slots)) / float64(slots) }

// InFlight returns the number of requests that the VM has in flight to a server.
func (b *Balancer) InFlight(s ident.Server) int {
	st := b.servers[s]
	if st == nil {
		return 0
	}
	return len(st.inFlight)
}

// applyPenalties adds the extra latency of a cold start and the penalties for another failure domain and for a scarce server.
func (b *Balancer) applyPenalties(cost time.Duration, cand Candidate) time.Duration {
	if cand.Cold {
		cost = time.Duration(coldFactor * float64(cost))
	}
	if cand.CrossDomain {
		cost += time.Duration(crossDomainFraction * float64(cost))
	}
	if cand.Scarce {
		cost += time.Duration(scarceFraction * float64(cost))
	}
	return cost
}

// Overdue reports whether an answer of a server is overdue: it takes much longer than the server's latency explains.
func (b *Balancer) Overdue(now time.Time, s ident.Server) bool {
	st := b.servers[s]
	return st != nil && st.overdue(now)
}

// Down reports whether a server is backing off after it timed out or could not be reached.
func (b *Balancer) Down(now time.Time, s ident.Server) bool {
	st := b.servers[s]
	return st != nil && now.Before(st.backoffUntil)
}

// Backoff returns for how much longer a server is backing off, 0 if it is not.
func (b *Balancer) Backoff(now time.Time, s ident.Server) time.Duration {
	if st := b.servers[s]; st != nil {
		return max(0, st.backoffUntil.Sub(now))
	}
	return 0
}

// Sent records that a request with the given typical latency is sent to a server. The handle identifies the request when it ends:
// in Answered, Refused, Failed, Unreachable, TimedOut or Discarded.
func (b *Balancer) Sent(now time.Time, s ident.Server, typical time.Duration) Handle {
	st := b.stats(now, s)
	if st.meanTypical == 0 {
		st.meanTypical = typical
	}
	st.meanTypical += time.Duration(kindsWeight * float64(typical-st.meanTypical))
	b.next++
	st.inFlight = append(st.inFlight, request{id: b.next, sent: now, typical: typical})
	st.countSend(now)
	return Handle{server: s, id: b.next}
}

// Answered records an answer and the load reported with it, if any, and ends the server's backoff. It reports whether the server had
// been backing off.
func (b *Balancer) Answered(now time.Time, h Handle, load *header.Load) (wasBackingOff bool) {
	st := b.stats(now, h.server)
	wasBackingOff = st.backoff > 0
	if req, ok := st.remove(h.id); ok {
		st.observeLatency(now, req, b.pace(load))
	}
	st.observeResult(now, 0)
	st.backoffUntil, st.backoff = time.Time{}, 0
	if !st.stalledAt.IsZero() {
		st.doubtsUntil = now.Add(stallDoubt)
	}
	st.answeredAt, st.stalledAt = now, time.Time{}
	b.observeLoad(now, st, load)
	return wasBackingOff
}

// Refused records that a server refused a request for lack of capacity, and the load reported with the refusal, if any. It counts as
// a failure.
func (b *Balancer) Refused(now time.Time, h Handle, load *header.Load) {
	st := b.stats(now, h.server)
	st.remove(h.id)
	st.observeResult(now, 1)
	b.observeLoad(now, st, load)
}

// Failed records a failed request that gives no reason for a backoff of the server.
func (b *Balancer) Failed(now time.Time, h Handle) {
	st := b.stats(now, h.server)
	st.remove(h.id)
	st.observeResult(now, 1)
}

// Unreachable records that no connection to a server could be made. It starts a backoff, which grows with each failure, and returns it.
func (b *Balancer) Unreachable(now time.Time, h Handle) time.Duration {
	backoff := b.TimedOut(now, h)
	b.servers[h.server].dialFailedAt = now
	return backoff
}

// TimedOut records that a server did not answer. It starts a backoff, which grows with each failure, and returns its duration.
func (b *Balancer) TimedOut(now time.Time, h Handle) time.Duration {
	st := b.stats(now, h.server)
	st.remove(h.id)
	st.observeResult(now, 1)
	st.backoff = min(max(initialBackoff, 2*st.backoff), maxBackoff)
	st.backoffUntil = now.Add(st.backoff)
	return st.backoff
}

// Discarded removes a request without recording a result.
func (b *Balancer) Discarded(h Handle) {
	if st := b.servers[h.server]; st != nil {
		st.remove(h.id)
	}
}

// Forget removes the state of a server, for instance when it has restarted under the same name.
func (b *Balancer) Forget(s ident.Server) { delete(b.servers, s) }

// Retain removes the state of servers that are not known and have no requests in flight.
func (b *Balancer) Retain(known func(ident.Server) bool) {
	maps.DeleteFunc(b.servers, func(s ident.Server, st *serverStats) bool { return len(st.inFlight) == 0 && !known(s) })
}

func (b *Balancer) stats(now time.Time, s ident.Server) *serverStats {
	if b.servers == nil {
		b.servers = make(map[ident.Server]*serverStats)
	}
	st := b.servers[s]
	if st == nil {
		st = &serverStats{latencyRatio: 1, latencyAt: now}
		b.servers[s] = st
	}
	return st
}

// remove removes a request from those in flight, and returns it and whether it was there.
func (st *serverStats) remove(id uint64) (request, bool) {
	i := slices.IndexFunc(st.inFlight, func(req request) bool { return req.id == id })
	if i < 0 {
		return request{}, false
	}
	req := st.inFlight[i]
	st.inFlight = slices.Delete(st.inFlight, i, i+1)
	return req, true
}

// observeLatency updates the latency ratio. The ratio of one answer is capped so that a pause of the server is not taken for low speed.
// The part that the pace explains is left out.
func (st *serverStats) observeLatency(now time.Time, req request, pace float64) {
	if req.typical <= 0 {
		return
	}
	ratio := min(float64(now.Sub(req.sent))/float64(req.typical)/pace, maxLatencyRatio)
	st.latencyRatio = st.learnedRatio(now) + latencyWeight*(ratio-st.learnedRatio(now))
	st.latencyAt = now
}

// observeResult updates the failure rate with a result: 1 for a failure, 0 for an answer.
func (st *serverStats) observeResult(now time.Time, failed float64) {
	st.failureRate = st.currentFailureRate(now) + failureWeight*(failed-st.currentFailureRate(now))
	st.resultAt = now
}

// currentFailureRate returns the failure rate, which decays while the server gives no results. One below minFailureRate counts as 0.
func (st *serverStats) currentFailureRate(now time.Time) float64 {
	rate := st.failureRate * math.Exp2(-float64(now.Sub(st.resultAt))/float64(failureHalfLife))
	if rate < minFailureRate {
		return 0
	}
	return rate
}

// currentLatencyRatio returns the latency ratio with the pace that the server has told this VM. What others say of it is left out, since
// servers are passed over by it.
func (st *serverStats) currentLatencyRatio(now time.Time) float64 {
	return st.ratioAt(now, News{Load: header.Load{Pace: st.pace}, At: st.loadAt})
}

// learnedRatio returns the latency ratio, which decays towards 1 while the server gives no answers.
func (st *serverStats) learnedRatio(now time.Time) float64 {
	idle := float64(now.Sub(st.latencyAt)) / float64(latencyHalfLife)
	if idle < 0.05 {
		return st.latencyRatio
	}
	weight := math.Exp2(-idle)
	return weight*st.latencyRatio + (1 - weight)
}

// queueLength returns the estimated number of requests at the server: at least the VM's own, and those that the server reported.
func (st *serverStats) queueLength(now time.Time) float64 {
	local := float64(len(st.inFlight))
	age := now.Sub(st.loadAt)
	if st.loadAt.IsZero() || age > 4*loadHalfLife {
		return local
	}
	reported := float64(max(0, st.load.Running+st.load.Waiting-1))
	return max(local, reported*math.Exp2(-float64(age)/float64(loadHalfLife)))
}

func (st *serverStats) overdue(now time.Time) bool {
	for _, req := range st.inFlight {
		limit := time.Duration(overdueFactor * st.currentLatencyRatio(now) * float64(req.typical))
		if now.Sub(req.sent) > max(minOverdue, limit) {
			return true
		}
	}
	return false
}
