package slots

import (
	"time"

	"kumquatreel.example/kumquatreel/internal/base/clock"
)

// pace bounds the rate of the attempts that a VM sends to a server in need, which names a limit for all VMs together. The VM's share of the
// limit is its share of the server's slots. The zero value sets no bound.
type pace struct {
	limit   float64
	limited bool
	// heardAt is when the last answer that named a limit arrived.
	heardAt   clock.Instant
	tokens    float64
	accruedAt clock.Instant
}

// observe applies what an answer to an attempt says, which was sent at the given time. An answer without a limit only ends the limit if
// its attempt was sent after the last answer that named one.
func (p *pace) observe(now, sent clock.Instant, r Result) {
	switch {
	case r.Incarnation == "":
	case r.Limited && !p.limited:
		*p = pace{limit: r.Limit, limited: true, heardAt: now, accruedAt: now}
	case r.Limited:
		p.limit, p.heardAt = r.Limit, now
	case p.limited && sent.Upper() > p.heardAt.Upper():
		*p = pace{}
	}
}

// rate returns the VM's share of the limit in attempts per second.
func (p *pace) rate(env Env) float64 {
	return p.limit * float64(env.Slots) / float64(max(1, env.Slots, env.ServerSlots))
}

// take takes a token for an attempt and reports whether there was one.
func (p *pace) take(now clock.Instant, env Env) bool {
	if !p.limited {
		return true
	}
	p.accrue(now, env)
	if p.tokens < 1 {
		return false
	}
	p.tokens--
	return true
}

// wait returns how long an attempt waits for its token behind a number of others. It is long if the VM has no share.
func (p *pace) wait(now clock.Instant, env Env, before int) time.Duration {
	if !p.limited {
		return 0
	}
	p.accrue(now, env)
	missing := float64(before+1) - p.tokens
	switch rate := p.rate(env); {
	case missing <= 0:
		return 0
	case rate*maxWait.Seconds() < missing:
		return maxWait
	default:
		return time.Duration(missing / rate * float64(time.Second))
	}
}

// accrue adds the tokens since the last call, at most one in all.
func (p *pace) accrue(now clock.Instant, env Env) {
	p.tokens = min(1, p.tokens+p.rate(env)*now.MinSince(p.accruedAt).Seconds())
	p.accruedAt = now
}
