package pacer

import (
	"maps"
	"math"
	"slices"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
)

const (
	// minSharing is the number of VMs that share the lowest rate. One more VM shares it for each request per second.
	minSharing = 2
	// The buckets of all VMs together hold minBurst requests and those of burstTime, but no VM's holds less than one.
	minBurst  = 1
	burstTime = 500 * time.Millisecond
	// idleWeight is the share of a VM without clients, as a fraction of the share of one with clients.
	idleWeight = 0.1
	// scarceTokens is the number of tokens below which a server is scarce: the last ones are kept for hedges and for requests that no other
	// server can take.
	scarceTokens = 2
	// refreshInterval is the time without an answer after which a server is no longer scarce, so that the end of its limit is noticed.
	refreshInterval = time.Second
	// A limit of which no VM has heard for staleTimeout, and a part of staleSpread that differs by VM, no longer holds. Otherwise a
	// server that receives no requests would keep its limit.
	staleTimeout = 20 * time.Second
	staleSpread  = 10 * time.Second
	// reportWindow is how long after an answer what it says is reported to other VMs, and maxReports the number of servers in a report.
	reportWindow = 2 * time.Second
	maxReports   = 128
	// maxRate is the highest rate that is told from a higher one, and maxReportAge the age of a report that is still applied.
	maxRate      = 1e9
	maxReportAge = time.Minute
	// never is the delay of a VM without a share.
	never = time.Duration(math.MaxInt64)
)

// Limiter holds the limits that servers name, and the VM's tokens for each. The zero value is empty and belongs to a fleet of one VM. It is
// not safe for concurrent use.
type Limiter struct {
	servers map[ident.Server]*server
	fleet   fleet
}

// server is the state of one server that names a limit, or did until lately.
type server struct {
	// rate is the named limit in requests per second for the whole fleet. It is in force if limited is set.
	rate    float64
	limited bool
	// heardAt is when the last answer on which the belief rests was received, by this VM or another one. ownAt is when this VM received
	// one, and since when the limit was first named.
	heardAt, ownAt, since time.Time
	// tokens is the number of requests that may be sent, as of accruedAt. It is below 0 if requests were sent at the same instant.
	tokens    float64
	accruedAt time.Time
	// promises holds the times until which tokens are kept for waiting requests.
	promises []time.Time
	// share caches the VM's share for the rate and the fleet of the given generation.
	share      share
	generation int
	// sent counts the requests sent to the server since its limit was named.
	sent Counts
}

// Statement is what an answer of a server says about its limit.
type Statement struct {
	// Rate is the limit in requests per second; it only holds if Limited is set.
	Rate    float64
	Limited bool
}

// Observe applies the statement of an answer to a request that was sent at the given time, and returns the change of the belief. An
// answer without a limit only ends the limit if its request was sent after the last answer that named one, because answers may
// overtake each other.
func (l *Limiter) Observe(now, sent time.Time, name ident.Server, st Statement) Change {
	s := l.servers[name]
	switch {
	case st.Limited:
		if s == nil {
			s = l.add(name)
		}
		s.ownAt = now
		return l.setLimit(now, now, name, s, st.Rate)
	case s != nil && s.limited && sent.After(s.heardAt):
		s.ownAt = now
		return s.endLimit(now)
	}
	return nil
}

// setLimit records that a server named a limit at the time heard.
func (l *Limiter) setLimit(now, heard time.Time, name ident.Server, s *server, rate float64) Change {
	rate = min(rate, maxRate)
	s.accrue(now, l.shareOf(name, s))
	before := -1.0
	if s.limited {
		before = s.rate
	} else {
		s.since, s.sent = now, Counts{}
		s.tokens = min(s.tokens, 0)
	}
	s.rate, s.limited, s.heardAt = rate, true, heard
	if before == rate {
		return nil
	}
	s.generation = 0
	s.tokens = min(s.tokens, l.shareOf(name, s).burst)
	return Named{Rate: rate, Before: before}
}

func (s *server) endLimit(heard time.Time) Change {
	s.limited, s.heardAt, s.promises = false, heard, nil
	return Ended{Rate: s.rate, Lasted: heard.Sub(s.since), Sent: s.sent}
}

// Delay returns the time until a request may be sent to a server, 0 if it may be sent now. It is far in the future for a VM without a share.
// promised says that the request has a promise for the server; tokens that are promised to others are not available to a request without.
func (l *Limiter) Delay(now time.Time, name ident.Server, promised bool) time.Duration {
	s := l.inForce(now, name)
	if s == nil {
		return 0
	}
	sh := l.shareOf(name, s)
	available := s.available(now, sh)
	if promised {
		available = s.tokens
	}
	switch {
	case available >= 1 && sh.rate > 0:
		return 0
	case sh.rate <= 0:
		return never
	}
	return time.Duration((1 - available) / sh.rate * float64(time.Second))
}

// Scarce reports whether a server has so few tokens left that first attempts should go to another one.
func (l *Limiter) Scarce(now time.Time, name ident.Server) bool {
	s := l.inForce(now, name)
	return s != nil && now.Sub(s.heardAt) < refreshInterval && s.available(now, l.shareOf(name, s)) < scarceTokens
}

// Promise keeps a token of a server for a waiting request until the given time.
func (l *Limiter) Promise(until time.Time, name ident.Server) {
	if s := l.servers[name]; s != nil {
		s.promises = append(s.promises, until)
	}
}

// Redeem ends a promise for a server, because its request is sent or waits no longer.
func (l *Limiter) Redeem(name ident.Server) {
	if s := l.servers[name]; s != nil && len(s.promises) > 0 {
		s.promises = s.promises[1:]
	}
}

// RecordSend takes a token for a request to a server and counts it, and reports whether the server names a limit.
func (l *Limiter) RecordSend(now time.Time, name ident.Server, u Use) bool {
	s := l.inForce(now, name)
	if s == nil {
		return false
	}
	s.accrue(now, l.shareOf(name, s))
	s.tokens--
	s.sent.Add(u)
	return true
}

// Forget removes a server, for instance because it has started again.
func (l *Limiter) Forget(name ident.Server) { delete(l.servers, name) }

// Prune removes the servers whose limit ended or was last heard of too long ago to matter.
func (l *Limiter) Prune(now time.Time) {
	maps.DeleteFunc(l.servers, func(name ident.Server, s *server) bool {
		return now.Sub(s.heardAt) > reportWindow && l.inForce(now, name) == nil
	})
}

// Limited returns the number of servers that name a limit.
func (l *Limiter) Limited(now time.Time) int {
	n := 0
	for name := range l.servers {
		if l.inForce(now, name) != nil {
			n++
		}
	}
	return n
}

// Len returns the number of servers with a state, including those that Prune would remove.
func (l *Limiter) Len() int { return len(l.servers) }

func (l *Limiter) add(name ident.Server) *server {
	if l.servers == nil {
		l.servers = make(map[ident.Server]*server)
	}
	s := &server{}
	l.servers[name] = s
	return s
}

// inForce returns the state of a server whose limit holds, or nil.
func (l *Limiter) inForce(now time.Time, name ident.Server) *server {
	s := l.servers[name]
	if s == nil || !s.limited {
		return nil
	}
	spread := time.Duration(ident.Score(string(name), string(l.fleet.self)) % uint64(staleSpread))
	if now.Sub(s.heardAt) > staleTimeout+spread {
		return nil
	}
	return s
}

// available returns the tokens that are not promised.
func (s *server) available(now time.Time, sh share) float64 {
	s.accrue(now, sh)
	s.promises = slices.DeleteFunc(s.promises, func(until time.Time) bool { return now.After(until) })
	return s.tokens - float64(len(s.promises))
}

// accrue adds the tokens since the last call. A server whose limit is new has none.
func (s *server) accrue(now time.Time, sh share) {
	if !s.accruedAt.IsZero() {
		s.tokens = min(sh.burst, s.tokens+sh.rate*now.Sub(s.accruedAt).Seconds())
	}
	s.accruedAt = now
}
