package place

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// paceHalfLife is the half-life with which a pace that was told returns to the usual one.
	paceHalfLife = 150 * time.Millisecond
	// stallHalfLife is the half-life of the penalty for a server that stalls as another VM says.
	stallHalfLife = 200 * time.Millisecond
	// rateTimeConstant is the time constant of the average rate at which the VM sends to a server.
	rateTimeConstant = time.Second
	// maxQueueFactor bounds the time that a request of another VM is believed to stay at a server, in units of its work.
	maxQueueFactor = 4.0
	// herdSize is the number of VMs that serve clients from which on their choices by the same news make a wave. Fewer take the lowest cost: a
	// costlier server only makes a part later, and other domains' servers cost traffic.
	herdSize = 8
	// nearTie is the cost relative to the lowest one up to which a server may be drawn, drawPower the power of the cost in the weights.
	nearTie   = 1.5
	drawPower = 4
)

// draw returns one of the candidates whose cost is close to the lowest, with weights that fall with the cost, or false if all are backing off.
//
// Load pattern: many VMs choose at once by the same old news, so that the server that was told to be least loaded draws a wave from all.
func (b *Balancer) draw(now time.Time, candidates []Candidate, typical, failureCost time.Duration, rng *rand.Rand) (Candidate, bool) {
	costs := make([]float64, len(candidates))
	least := math.Inf(1)
	for i, cand := range candidates {
		costs[i] = math.Inf(1)
		if c, ok := b.Cost(now, cand, typical, failureCost); ok {
			costs[i] = max(1, float64(c))
		}
		least = min(least, costs[i])
	}
	total := 0.0
	for i, c := range costs {
		w := 0.0
		if c <= nearTie*least && !math.IsInf(c, 1) {
			w = math.Pow(least/c, drawPower)
		}
		costs[i] = w
		total += w
	}
	if total == 0 {
		return Candidate{}, false
	}
	at := rng.Float64() * total
	last := 0
	for i, w := range costs {
		if w == 0 {
			continue
		}
		last = i
		if at -= w; at < 0 {
			break
		}
	}
	return candidates[last], true
}

// expectedLoad returns the number of requests that are probably at the server: what was told, which shrinks with its age, what the VM has
// sent since, and what the others have probably sent since, as the VM sends at the same rate.
func (b *Balancer) expectedLoad(now time.Time, st *serverStats, slots int, typical time.Duration) float64 {
	local := float64(len(st.inFlight))
	n := st.news()
	age := maxNewsAge
	told := 0.0
	if !n.At.IsZero() {
		age = now.Sub(n.At)
	}
	if age < maxNewsAge {
		// The answer with which the load was told ended one of the requests.
		told = float64(max(0, n.Load.Running+n.Load.Waiting-1))
		told *= math.Exp2(-float64(age) / float64(loadHalfLife))
	}
	since := 0
	for _, req := range st.inFlight {
		if req.sent.After(n.At) {
			since++
		}
	}
	if b.vms < herdSize {
		return max(local, told+float64(since))
	}
	rate, work := st.sendRate(now), time.Duration(float64(typical)*st.ratioAt(now, n))
	stay := work.Seconds() * queueFactor(float64(b.vms)*rate*work.Seconds()/float64(slots))
	others := float64(b.vms-1) * rate * min(age.Seconds(), stay)
	return max(local, told+float64(since)+others)
}

// queueFactor returns how much longer than its work a request stays at a server that is busy for the given fraction of the time.
func queueFactor(busy float64) float64 { return 1 / max(1-busy, 1/maxQueueFactor) }

// countSend adds a request to the average rate at which the VM sends to the server.
func (st *serverStats) countSend(now time.Time) {
	st.rate = st.sendRate(now) + 1/rateTimeConstant.Seconds()
	st.rateAt = now
}

// sendRate returns the average rate at which the VM sends to the server, in requests per second.
func (st *serverStats) sendRate(now time.Time) float64 {
	return st.rate * math.Exp(-float64(now.Sub(st.rateAt))/float64(rateTimeConstant))
}

// paceAt returns the pace that was told, which is believed less with its age.
func paceAt(now time.Time, n News) float64 {
	if n.Load.Pace <= 0 {
		return 1
	}
	return 1 + (n.Load.Pace-1)*math.Exp2(-float64(now.Sub(n.At))/float64(paceHalfLife))
}

// ratioAt returns how much longer than usual work takes at the server, by what it has shown and by the pace in the news.
func (st *serverStats) ratioAt(now time.Time, n News) float64 {
	return st.learnedRatio(now) * paceAt(now, n)
}

// stallPenalty returns the penalty for a server that stalls as another VM says.
func (st *serverStats) stallPenalty(now time.Time) time.Duration {
	if st.stalledAt.IsZero() {
		return 0
	}
	return time.Duration(float64(overduePenalty) * math.Exp2(-float64(now.Sub(st.stalledAt))/float64(stallHalfLife)))
}
