package place

import (
	"math/rand/v2"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/base/sets"
)

//go:generate go tool -modfile=../../../tools/go.mod enumer -type=Reason -trimprefix=Reason -transform=title-lower -text -output=enums.go

const (
	// A request may spend maxWaitFraction of the time until its answer is due in a server's queue, or lowPriorityMaxWaitFraction if it
	// is below the highest priority. A hedge may wait hedgeMaxWaitFraction as long as a first attempt, since in a long queue it only
	// delays the first attempts of others.
	maxWaitFraction            = 0.7
	lowPriorityMaxWaitFraction = 0.55
	// It may spend at most urgentTargetFraction of the target latency of more urgent requests to the same servers there: servers serve in order
	// of arrival, so these wait behind it, and the rest of their time is for the work itself.
	urgentTargetFraction = 0.5
	hedgeMaxWaitFraction = 0.4
	// A server whose requests fail more often than maxFailureRate is passed over more and more often while less than lowRetryRemaining of
	// the retry budget is left, and always once it is used up.
	maxFailureRate    = 0.2
	lowRetryRemaining = 0.2
)

// Attempt describes an attempt for which a server is chosen.
type Attempt struct {
	// Typical is the typical latency of this kind of request.
	Typical time.Duration
	// FailureCost is the time that a failed attempt costs.
	FailureCost time.Duration
	// MaxWait is the longest wait in a server's queue.
	MaxWait time.Duration
	// RetryRemaining is the fraction of the retry budget that is left, from 0 to 1.
	RetryRemaining float64
	// Hedge is set for an attempt beside one that is late.
	Hedge bool
	// Observe, if not nil, is told what became of each candidate.
	Observe func(Considered)
}

// Reason is why a server is passed over.
type Reason int

// The reasons.
const (
	// ReasonNone means that the server is eligible.
	ReasonNone Reason = iota
	// ReasonExcluded means that the server has had the request already.
	ReasonExcluded
	// ReasonResting means that the server wants no requests for a time.
	ReasonResting
	// ReasonCold means that the server has reached its warm-up rate.
	ReasonCold
	// ReasonLimited means that the limit which the server names allows no further request.
	ReasonLimited
	// ReasonFull means that no connection to the server is free.
	ReasonFull
	// ReasonLoaded means that the server holds too many bytes of requests.
	ReasonLoaded
	// ReasonSlow means that the wait in the server's queue is too long.
	ReasonSlow
	// ReasonFailing means that the server fails too often for the retry budget that is left.
	ReasonFailing
	// ReasonDown means that the server is in backoff because it did not answer or could not be reached.
	ReasonDown
)

// Considered is a server that was considered for an attempt.
type Considered struct {
	Server ident.Server
	Reason Reason
	// QueueDelay is the expected wait in the server's queue, Cost the expected latency with all penalties, 0 for a server in backoff.
	QueueDelay, Cost time.Duration
}

// Skipped counts the servers that were not eligible for an attempt, by reason.
type Skipped struct {
	// Cold servers have reached their warm-up rate, Full ones have no free connection, Slow ones have too long a queue, Failing ones fail
	// too often for the retry budget, Limited ones name a limit that allows no further request, Resting ones want no requests for a time, and
	// Down ones are in backoff because they did not answer or could not be reached.
	// Loaded ones hold too many bytes of requests.
	Cold, Full, Slow, Failing, Limited, Resting, Down, Loaded int
}

// count counts a server that is passed over for a reason that is known before the choice.
func (s *Skipped) count(r Reason) {
	switch r {
	case ReasonResting:
		s.Resting++
	case ReasonCold:
		s.Cold++
	case ReasonLimited:
		s.Limited++
	case ReasonFull:
		s.Full++
	case ReasonLoaded:
		s.Loaded++
	case ReasonSlow:
		s.Slow++
	case ReasonFailing:
		s.Failing++
	case ReasonNone, ReasonExcluded, ReasonDown:
	}
}

// AtCapacity returns the number of servers that were skipped for lack of capacity, which may have some soon. Limited and
// resting servers are not counted: it is known when they have some.
func (s Skipped) AtCapacity() int { return s.Cold + s.Full + s.Slow + s.Failing + s.Loaded }

// MaxWait returns the longest time that a request may wait in a server's queue if its answer is due after the given time. It is longer
// for requests of the highest priority. urgentTarget is the shortest target latency of the more urgent requests to the same servers, 0 if
// there are none.
//
// Load patterns: more requests arrive than the servers can answer in time. What would wait too long is refused at once, and a queue that
// fills up rejects the less urgent requests first. A crowd of patient requests would otherwise fill the queues with as much work as it can
// wait for itself, which is more than the urgent ones can.
func MaxWait(highestPriority bool, due, urgentTarget time.Duration) time.Duration {
	if highestPriority {
		return time.Duration(maxWaitFraction * float64(due))
	}
	wait := time.Duration(lowPriorityMaxWaitFraction * float64(due))
	if urgentTarget > 0 {
		wait = min(wait, time.Duration(urgentTargetFraction*float64(urgentTarget)))
	}
	return wait
}

// Choose returns the candidate with the lowest cost among those with capacity for an attempt, or false if there is none, and counts the
// others in skipped.
//
// Load patterns: one server of a shard refuses a part of its requests while the other is full; all servers have queues, so that every
// part is late and hedges compete with first attempts; a server names a limit below what it would get.
func (b *Balancer) Choose(now time.Time, candidates []Candidate, a Attempt, skipped *Skipped, rng *rand.Rand) (ident.Server, bool) {
	maxWait := a.MaxWait
	if a.Hedge {
		maxWait = time.Duration(hedgeMaxWaitFraction * float64(maxWait))
	}
	failing := b.failing(now, candidates, a.RetryRemaining, rng)
	eligible := make([]Candidate, 0, len(candidates))
	for _, cand := range candidates {
		reason := b.passOver(now, cand, a.Typical, maxWait, failing)
		skipped.count(reason)
		if reason == ReasonNone {
			eligible = append(eligible, cand)
		}
		if a.Observe != nil {
			a.Observe(b.considered(now, cand, a, reason))
		}
	}
	best, ok := b.Pick(now, eligible, a.Typical, a.FailureCost, rng)
	if !ok {
		skipped.Down += len(eligible)
	}
	return best.Server, ok
}

// passOver returns why a candidate does not get an attempt, or ReasonNone.
func (b *Balancer) passOver(now time.Time, cand Candidate, typical, maxWait time.Duration, failing sets.Set[ident.Server]) Reason {
	switch {
	case cand.Excluded:
		return ReasonExcluded
	case cand.Resting:
		return ReasonResting
	case cand.ColdLimited:
		return ReasonCold
	case cand.Limited:
		return ReasonLimited
	case cand.MaxInFlight > 0 && b.InFlight(cand.Server) >= cand.MaxInFlight:
		return ReasonFull
	case cand.Loaded:
		return ReasonLoaded
	case b.QueueDelay(now, cand, typical) > maxWait:
		return ReasonSlow
	case failing.Has(cand.Server):
		return ReasonFailing
	}
	return ReasonNone
}

func (b *Balancer) considered(now time.Time, cand Candidate, a Attempt, reason Reason) Considered {
	cost, ok := b.Cost(now, cand, a.Typical, a.FailureCost)
	if !ok && reason == ReasonNone {
		reason = ReasonDown
	}
	return Considered{Server: cand.Server, Reason: reason, QueueDelay: b.QueueDelay(now, cand, a.Typical), Cost: cost}
}

// failing returns the servers to pass over because they fail often and too little of the retry budget is left to send their requests
// again. It is empty if all servers fail often. A fixed bound instead of a random one would send all requests to the sound servers until some
// of the budget is back, which overloads them in turns.
func (b *Balancer) failing(now time.Time, candidates []Candidate, retryRemaining float64, rng *rand.Rand) sets.Set[ident.Server] {
	if retryRemaining >= lowRetryRemaining*rng.Float64() {
		return nil
	}
	out := make(sets.Set[ident.Server])
	for _, cand := range candidates {
		if st := b.servers[cand.Server]; st != nil && st.currentFailureRate(now) > maxFailureRate {
			out.Add(cand.Server)
		}
	}
	if len(out) == len(candidates) {
		return nil
	}
	return out
}
