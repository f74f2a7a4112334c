package picker

import (
	"math/rand/v2"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/clock"
	"kumquatreel.example/kumquatreel/internal/base/ident"
)

const (
	// sampleWeight is the weight of a new latency in a server's moving average.
	sampleWeight = 0.2
	// idleHalfLife is the time since its last recorded latency after which a server's own average has half the weight
	// in its estimate. The mean of all servers has the rest, so that an idle server is asked again.
	idleHalfLife = 5 * time.Second
	// initialLatency is the mean of all servers before the first answer.
	initialLatency = 10 * time.Millisecond
	// failureLatency is the latency that is recorded for an attempt without an answer.
	failureLatency = 100 * time.Millisecond
)

// Picker estimates the latency of the backend servers that a VM sends attempts to. The zero value is ready to use.
// It is not safe for concurrent use.
type Picker struct {
	servers map[ident.Server]*serverStats
	mean    time.Duration
}

type serverStats struct {
	latency  time.Duration
	updated  clock.Instant
	inFlight int
}

// Sent counts an attempt at a server as in flight.
func (p *Picker) Sent(now clock.Instant, s ident.Server) { p.stats(now, s).inFlight++ }

// Answered records the end of an attempt with an answer and its latency.
func (p *Picker) Answered(now clock.Instant, s ident.Server, latency time.Duration) {
	p.observe(now, s, latency)
	// Each answer moves the mean of all servers by 1 % of the difference.
	p.mean += time.Duration(0.01 * float64(latency-p.meanLatency()))
}

// Failed records the end of an attempt without an answer.
func (p *Picker) Failed(now clock.Instant, s ident.Server) { p.observe(now, s, failureLatency) }

// Cancelled records the end of an attempt that was cancelled; it leaves the latency estimate as it is.
func (p *Picker) Cancelled(now clock.Instant, s ident.Server) {
	st := p.stats(now, s)
	st.inFlight = max(0, st.inFlight-1)
}

// Order arranges the replicas of a shard in the order in which to ask them, drawn at random with weights inverse to
// the square of the expected latency. slots is the number of slots of each replica.
func (p *Picker) Order(now clock.Instant, replicas []ident.Server, slots int, rng *rand.Rand) {
	weights := make([]float64, len(replicas))
	for i, s := range replicas {
		expected := p.expectedLatency(now, s, slots).Seconds()
		weights[i] = 1 / (expected * expected)
	}
	for i := range replicas {
		j := i + weightedIndex(weights[i:], rng)
		replicas[i], replicas[j] = replicas[j], replicas[i]
		weights[i], weights[j] = weights[j], weights[i]
	}
}

// weightedIndex returns a random index, with a probability proportional to its weight.
func weightedIndex(weights []float64, rng *rand.Rand) int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	at := rng.Float64() * sum
	for i, w := range weights {
		if at < w {
			return i
		}
		at -= w
	}
	return len(weights) - 1
}

// expectedLatency returns the estimated latency of a server, scaled up by its attempts in flight per slot.
func (p *Picker) expectedLatency(now clock.Instant, s ident.Server, slots int) time.Duration {
	st := p.servers[s]
	if st == nil {
		return p.meanLatency()
	}
	idle := float64(now.MaxSince(st.updated)) / float64(idleHalfLife)
	estimate := float64(st.latency)/(1+idle) + float64(p.meanLatency())*idle/(1+idle)
	return time.Duration(estimate * (1 + float64(st.inFlight)/float64(slots)))
}

func (p *Picker) meanLatency() time.Duration {
	if p.mean == 0 {
		p.mean = initialLatency
	}
	return p.mean
}

func (p *Picker) observe(now clock.Instant, s ident.Server, latency time.Duration) {
	st := p.stats(now, s)
	st.inFlight = max(0, st.inFlight-1)
	st.latency += time.Duration(sampleWeight * float64(latency-st.latency))
	st.updated = now
}

func (p *Picker) stats(now clock.Instant, s ident.Server) *serverStats {
	if p.servers == nil {
		p.servers = make(map[ident.Server]*serverStats)
	}
	st := p.servers[s]
	if st == nil {
		st = &serverStats{latency: p.meanLatency(), updated: now}
		p.servers[s] = st
	}
	return st
}
