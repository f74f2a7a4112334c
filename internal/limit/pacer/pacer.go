package pacer

import (
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
	// A VM without a share of a limit of which no VM has heard for staleTimeout may send a probe now and then: otherwise nobody would learn
	// that a limit of 0 has ended. The VMs take turns, probeInterval each.
	staleTimeout  = 20 * time.Second
	probeInterval = 5 * time.Second
	// reportWindow is how long after an answer what it says is reported to other VMs, and maxReports the number of servers in a report.
	reportWindow = 2 * time.Second
	maxReports   = 128
	// maxRate is the highest rate that is told from a higher one, and maxReportAge the age of a report that is still applied.
	maxRate      = 1e9
	maxReportAge = time.Hour
	// The limit of a server without an entry is kept for retention, in case the entry comes back, and at most maxServers of them.
	retention  = time.Hour
	maxServers = 4096
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
	// start is the start of the server's process that named the limit, empty if it is not known. unpublished says that it is a later one, whose
	// entry has not arrived yet.
	start       string
	unpublished bool
	// heardAt is when the last answer on which the belief rests was received, by this VM or another one. ownAt is when this VM received
	// one, and since when the limit was first named.
	heardAt, ownAt, since time.Time
	// tokens is the number of requests that may be sent, as of accruedAt. It is below 0 if requests were sent at the same instant.
	tokens    float64
	accruedAt time.Time
	// probedAt is when the VM last sent a probe.
	probedAt time.Time
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
	s := l.inForce(name)
	if s == nil {
		return 0
	}
	sh := l.shareOf(name, s)
	if sh.rate <= 0 {
		return l.probeDelay(now, s)
	}
	available := s.available(now, sh)
	if promised {
		available = s.tokens
	}
	if available >= 1 {
		return 0
	}
	return time.Duration((1 - available) / sh.rate * float64(time.Second))
}

// probeDelay returns 0 if it is this VM's turn to send a probe to a server of whose limit it has no share.
func (l *Limiter) probeDelay(now time.Time, s *server) time.Duration {
	unheard := now.Sub(s.heardAt) - staleTimeout
	index, n := l.fleet.turn()
	if unheard < 0 || n == 0 || int(unheard/probeInterval)%n != index || now.Sub(s.probedAt) < probeInterval {
		return never
	}
	return 0
}

// Scarce reports whether a server has so few tokens left that first attempts should go to another one.
func (l *Limiter) Scarce(now time.Time, name ident.Server) bool {
	s := l.inForce(name)
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
	s := l.inForce(name)
	if s == nil {
		return false
	}
	sh := l.shareOf(name, s)
	s.accrue(now, sh)
	s.tokens--
	if sh.rate <= 0 {
		s.probedAt = now
	}
	s.sent.Add(u)
	return true
}

// SetStart records which start of a server's process named its limit: a published one, or a later one whose entry has not arrived yet.
func (l *Limiter) SetStart(name ident.Server, start string, unpublished bool) {
	if s := l.servers[name]; s != nil {
		s.start, s.unpublished = start, unpublished
	}
}

// Begin records that a server has an entry that names a start of its process, and when the start before it may have ended last. The limit of another
// start no longer holds, but for one that was named since by a start whose entry had not arrived. That of the same start holds, also if the server had
// no entry meanwhile.
func (l *Limiter) Begin(name ident.Server, start string, lostAt time.Time) {
	s := l.servers[name]
	switch {
	case s == nil || s.start == "" || s.start == start:
	case s.unpublished && !lostAt.After(s.heardAt):
		s.start, s.unpublished = start, false
	default:
		delete(l.servers, name)
	}
}

// Prune removes the servers whose limit has ended, and those without an entry whose limit was last heard of too long ago to matter. known
// reports whether a server has an entry.
func (l *Limiter) Prune(now time.Time, known func(ident.Server) bool) {
	var gone []ident.Server
	for name, s := range l.servers {
		switch {
		case !s.limited && now.Sub(s.heardAt) > reportWindow:
			delete(l.servers, name)
		case !known(name):
			gone = append(gone, name)
		}
	}
	slices.SortFunc(gone, func(a, b ident.Server) int { return l.servers[b].heardAt.Compare(l.servers[a].heardAt) })
	for i, name := range gone {
		if i >= maxServers || now.Sub(l.servers[name].heardAt) > retention {
			delete(l.servers, name)
		}
	}
}

// Limited returns the number of servers that name a limit.
func (l *Limiter) Limited() int {
	n := 0
	for name := range l.servers {
		if l.inForce(name) != nil {
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
func (l *Limiter) inForce(name ident.Server) *server {
	if s := l.servers[name]; s != nil && s.limited {
		return s
	}
	return nil
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
