package picker

import (
	"math/rand/v2"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/clock"
	"kumquatreel.example/kumquatreel/internal/base/ident"
)

const (
	newWeight = 0.2
	// forgetAfter is the time in which what is known of an idle server loses half its weight.
	forgetAfter = 5 * time.Second
	// typical is what is expected of a server that nothing is known of.
	typical = 10 * time.Millisecond
	// refusedCost is the latency that a refusal counts as.
	refusedCost = 100 * time.Millisecond
)

// Picker knows the backend servers that a VM has asked; the zero value knows none. It is driven under its owner's lock.
type Picker struct {
	servers map[ident.Server]*record
	mean    time.Duration
}

type record struct {
	latency time.Duration
	at      clock.Instant
	flying  int
}

// Sent counts an attempt at a server.
func (p *Picker) Sent(now clock.Instant, s ident.Server) { p.record(now, s).flying++ }

// Answered records the latency of an attempt that has ended with an answer.
func (p *Picker) Answered(now clock.Instant, s ident.Server, took time.Duration) {
	p.learn(now, s, took)
	p.mean += time.Duration(0.01 * float64(took-p.usual()))
}

// Failed records an attempt that has ended without an answer.
func (p *Picker) Failed(now clock.Instant, s ident.Server) { p.learn(now, s, refusedCost) }

// Cancelled counts an attempt that was taken back, from which nothing is learnt.
func (p *Picker) Cancelled(now clock.Instant, s ident.Server) {
	r := p.record(now, s)
	r.flying = max(0, r.flying-1)
}

// Order puts the replicas of a shard, each with some slots, into the order in which to ask them.
func (p *Picker) Order(now clock.Instant, replicas []ident.Server, slots int, rng *rand.Rand) {
	weights := make([]float64, len(replicas))
	for i, s := range replicas {
		expected := p.expected(now, s, slots).Seconds()
		weights[i] = 1 / (expected * expected)
	}
	for i := range replicas {
		j := i + draw(weights[i:], rng)
		replicas[i], replicas[j] = replicas[j], replicas[i]
		weights[i], weights[j] = weights[j], weights[i]
	}
}

// draw returns an index at random by weight.
func draw(weights []float64, rng *rand.Rand) int {
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

func (p *Picker) expected(now clock.Instant, s ident.Server, slots int) time.Duration {
	r := p.servers[s]
	if r == nil {
		return p.usual()
	}
	idle := float64(now.MaxSince(r.at)) / float64(forgetAfter)
	known := float64(r.latency)/(1+idle) + float64(p.usual())*idle/(1+idle)
	return time.Duration(known * (1 + float64(r.flying)/float64(slots)))
}

func (p *Picker) usual() time.Duration {
	if p.mean == 0 {
		p.mean = typical
	}
	return p.mean
}

func (p *Picker) learn(now clock.Instant, s ident.Server, took time.Duration) {
	r := p.record(now, s)
	r.flying = max(0, r.flying-1)
	r.latency += time.Duration(newWeight * float64(took-r.latency))
	r.at = now
}

func (p *Picker) record(now clock.Instant, s ident.Server) *record {
	if p.servers == nil {
		p.servers = make(map[ident.Server]*record)
	}
	r := p.servers[s]
	if r == nil {
		r = &record{latency: p.usual(), at: now}
		p.servers[s] = r
	}
	return r
}
