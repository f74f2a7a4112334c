package surge

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/lab/window"
	"kumquatreel.example/kumquatreel/internal/tier/gather"
	"kumquatreel.example/kumquatreel/internal/tier/header"
)

// Server is a simulated backend server. Its fields may be changed while the simulation runs.
type Server struct {
	// RefuseFraction is the fraction of requests that it refuses whatever its load.
	RefuseFraction float64
	// SlowFactor is the factor by which its work takes longer; 0 counts as 1.
	SlowFactor float64
	// Dark is set while it does not answer.
	Dark bool
	// Limit, if above 0, is the rate in requests per second that it names in its answers.
	Limit float64
	// Rest, if above 0, is the time that it names with a refusal, in which it wants nothing from the VM.
	Rest time.Duration
	// Leaving says in all answers that it leaves.
	Leaving bool

	name    ident.Server
	sim     *Simulation
	rng     *rand.Rand
	phase   time.Duration
	running int
	// loadSum is the sum of the loads sampled in this second.
	loadSum int
	queue   []*call
	work    time.Duration
	// arrivals holds the times of its requests since it last began to name a limit.
	arrivals []time.Duration
	// rests holds the time that the server named last, by VM, and intrusions counts the requests that came in it after restNotice.
	rests      map[*vm]rest
	intrusions int
}

// rest is a time in which a server wants nothing from a VM.
type rest struct {
	from, until time.Duration
	intrusions  int
}

// restNotice is the time after a refusal before requests count that come in spite of it.
const restNotice = 500 * time.Millisecond

// MaxIntrusions returns the highest number of requests from one VM in a time in which the server wanted nothing from it.
func (s *Server) MaxIntrusions() int { return s.intrusions }

// MaxArrivals returns the highest number of requests in any window of the given length since a time, while it named a limit.
func (s *Server) MaxArrivals(since, length time.Duration) int {
	later, _ := slices.BinarySearch(s.arrivals, since)
	return window.Most(s.arrivals[later:], length, func(a, b time.Duration) time.Duration { return a - b })
}

// call is an attempt at a server.
type call struct {
	from     *vm
	arrived  time.Duration
	work     time.Duration
	deadline time.Duration
	reply    func(v gather.Verdict, load *header.Load)
}

// arrive starts, queues or refuses a call.
func (s *Server) arrive(c *call) {
	if s.Limit > 0 {
		s.arrivals = append(s.arrivals, s.sim.Now())
	} else {
		s.arrivals = nil
	}
	s.countIntrusion(c.from)
	c.arrived = s.sim.Now()
	switch {
	case s.Dark:
		s.sim.After(c.deadline-s.sim.Now(), func() { c.reply(gather.VerdictLost, nil) })
	case s.rng.Float64() < s.RefuseFraction, s.running >= s.sim.params.Slots && len(s.queue) >= s.sim.params.Queue:
		s.sim.result.Rejected++
		s.nameRest(c.from)
		c.reply(gather.VerdictRefused, s.load())
	case s.running >= s.sim.params.Slots:
		s.queue = append(s.queue, c)
	default:
		s.start(c)
	}
}

func (s *Server) countIntrusion(from *vm) {
	r, now := s.rests[from], s.sim.Now()
	if now > r.from+restNotice && now < r.until {
		r.intrusions++
		s.rests[from] = r
		s.intrusions = max(s.intrusions, r.intrusions)
	}
}

func (s *Server) nameRest(to *vm) {
	if until := s.sim.Now() + s.Rest; s.Rest > 0 && s.sim.Now() >= s.rests[to].until {
		if s.rests == nil {
			s.rests = make(map[*vm]rest)
		}
		s.rests[to] = rest{from: s.sim.Now(), until: until}
	}
}

func (s *Server) start(c *call) {
	s.running++
	s.sim.result.Waits = append(s.sim.result.Waits, s.sim.Now()-c.arrived)
	factor := math.Exp(workSigma*s.rng.NormFloat64() - workSigma*workSigma/2)
	if s.rng.Float64() < stragglerFraction {
		factor *= stragglerFactor
	}
	work := time.Duration(factor * max(1, s.SlowFactor) * float64(c.work))
	s.work += work
	s.sim.After(s.finish(work)-s.sim.Now(), func() { s.end(c) })
}

// finish returns when work that starts now ends, with the server's pauses.
func (s *Server) finish(work time.Duration) time.Duration {
	at, every, pause := s.sim.Now(), s.sim.params.PauseEvery, s.sim.params.Pause
	if every <= 0 {
		return at + work
	}
	for {
		offset := (at + s.phase) % every
		if offset < pause {
			at += pause - offset
			offset = pause
		}
		if work <= every-offset {
			return at + work
		}
		work -= every - offset
		at += every - offset
	}
}

func (s *Server) end(c *call) {
	s.running--
	for len(s.queue) > 0 && s.running < s.sim.params.Slots {
		next := s.queue[0]
		s.queue = s.queue[1:]
		if next.deadline <= s.sim.Now() {
			next.reply(gather.VerdictRefused, s.load())
			continue
		}
		s.start(next)
	}
	if c.deadline < s.sim.Now() {
		c.reply(gather.VerdictLost, nil)
		return
	}
	c.reply(gather.VerdictAnswered, s.load())
}

func (s *Server) load() *header.Load {
	return &header.Load{Running: s.running, Waiting: len(s.queue), Slots: s.sim.params.Slots, Pace: max(1, s.SlowFactor)}
}
