package model

import (
	"encoding/json"
	"math"
	"strconv"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/clock"
	"kumquatreel.example/kumquatreel/internal/base/fault"
	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/limit/slots"
)

// BecomeCold starts a cold start of the server. With newIncarnation it is a restart, which closes the owner's
// connection; without, the owner learns of it only from answers.
func (s *Server) BecomeCold(newIncarnation bool) {
	s.completed = 0
	s.coldSince = s.sim.Now()
	s.knownAt = -1
	if newIncarnation {
		s.incarnation++
		s.knownAt = s.sim.Now() + 2*s.sim.Params.NetworkDelay
		s.sim.After(s.sim.Params.NetworkDelay, func() { s.step(slots.ConnectionClosed{}) })
	}
}

// Crash takes the server down for d; it is cold afterwards.
func (s *Server) Crash(d time.Duration) {
	s.downUntil = s.sim.Now() + d
	s.BecomeCold(true)
}

// SetOut takes the server out of service or back in, as a change of its failure domain's state does.
func (s *Server) SetOut(out bool) {
	s.Out = out
	s.step(slots.Check{})
}

// Warm reports whether the server has run enough parts, WarmAfter, since its last cold start.
func (s *Server) Warm() bool { return s.completed >= s.sim.Params.WarmAfter }

func (s *Server) env() slots.Env {
	p := s.sim.Params
	env := slots.Env{Slots: p.Slots, ColdSlots: p.ColdSlots, MaxQueue: p.MaxQueue, WarmAfter: p.WarmAfter, Usable: !s.Out}
	if p.IgnoreColdSlots {
		env.ColdSlots = p.Slots
	}
	return env
}

func (s *Server) offer(j *job, team ident.Team, weight float64) {
	s.jobs[j.id] = j
	if s.sim.Params.SingleQueue {
		team, weight = "all", 1
	}
	s.step(slots.Offer{Attempt: slots.Attempt{ID: j.id, Team: team, Weight: weight, Deadline: clock.At(j.deadline)}})
}

func (s *Server) step(ev slots.Event) {
	for _, act := range s.scheduler.Step(clock.At(s.sim.Now()), s.env(), ev) {
		switch act := act.(type) {
		case slots.Send:
			s.start(s.jobs[act.ID])
		case slots.Refuse:
			if j := s.jobs[act.ID]; j != nil {
				delete(s.jobs, act.ID)
				j.reply(false, fault.OutcomeRefused, act.Code)
			}
		case slots.Abort:
			if j := s.jobs[act.ID]; j != nil && !j.finished {
				j.aborted = true
				s.sim.After(2*s.sim.Params.NetworkDelay, func() { s.finish(j, s.sim.Now(), s.incarnation, false) })
			}
		}
	}
}

// start runs a part at the server. A server that is down fails the connection; a part beyond the cold slots of a
// server that the owner can know to be cold makes it crash.
func (s *Server) start(j *job) {
	sim := s.sim
	if sim.Now() < s.downUntil {
		sim.After(2*sim.Params.NetworkDelay, func() {
			j.finished = true
			delete(s.jobs, j.id)
			s.step(slots.Done{ID: j.id, Result: slots.Result{Outcome: fault.OutcomeNotSent, ConnectionFailed: true}})
			j.reply(false, fault.OutcomeNotSent, fault.CodeUnavailable)
		})
		return
	}
	start := sim.Now()
	incarnation := s.incarnation
	s.running++
	s.Runs++
	s.LastStart = start
	known := s.knownAt >= 0 && start >= s.knownAt
	if !s.Warm() && known && s.running > sim.Params.ColdSlots {
		s.Overruns++
		s.Crash(sim.Params.CrashDuration)
	}
	sim.After(2*sim.Params.NetworkDelay+s.serviceTime(), func() { s.finish(j, start, incarnation, true) })
}

func (s *Server) serviceTime() time.Duration {
	p := s.sim.Params
	d := float64(p.MedianServiceTime) * math.Exp(p.ServiceTimeSigma*s.sim.rng.NormFloat64())
	if s.sim.rng.Float64() < p.StragglerFraction {
		d *= p.StragglerFactor
	}
	if !s.Warm() {
		d *= p.ColdFactor
	}
	return time.Duration(d)
}

// finish reports the outcome of a part to the owner and the entry. The outcome is unknown if the part was aborted
// or the server restarted or went down in the meantime.
func (s *Server) finish(j *job, start time.Duration, incarnation int, answered bool) {
	if j.finished {
		return
	}
	j.finished = true
	delete(s.jobs, j.id)
	s.running--
	sim := s.sim
	result := slots.Result{Outcome: fault.OutcomeRan, Latency: sim.Now() - start, Incarnation: strconv.Itoa(s.incarnation)}
	ok := answered && incarnation == s.incarnation && sim.Now() >= s.downUntil
	if !ok {
		result.Outcome, result.Incarnation = fault.OutcomeUnknown, ""
		result.ConnectionFailed = incarnation != s.incarnation
	} else {
		s.completed++
		if s.knownAt < 0 && start >= s.coldSince {
			s.knownAt = sim.Now() + 2*sim.Params.NetworkDelay
		}
	}
	s.step(slots.Done{ID: j.id, Result: result})
	if ok {
		j.reply(true, fault.OutcomeRan, 0)
		return
	}
	code := fault.CodeUnavailable
	if j.aborted {
		code = fault.CodeCancelled
	}
	j.reply(false, fault.OutcomeUnknown, code)
}

func encodeJSON(v any) string {
	raw, err := json.Marshal(v)
	if err != nil {
		return ""
	}
	return string(raw)
}

// Poisson calls arrive at the times of a Poisson process with rate events per second, until the virtual time until.
func (sim *Simulation) Poisson(rate float64, until time.Duration, arrive func()) {
	interval := time.Duration(sim.rng.ExpFloat64() / rate * float64(time.Second))
	if sim.Now()+interval > until {
		return
	}
	sim.After(interval, func() {
		arrive()
		sim.Poisson(rate, until, arrive)
	})
}

// RateAtUtilization returns the rate of requests, per second, at which slots are busy for the given fraction of the
// time, if all servers are warm and in service.
func (p Params) RateAtUtilization(utilization float64) float64 {
	mean := p.MedianServiceTime.Seconds()*math.Exp(p.ServiceTimeSigma*p.ServiceTimeSigma/2)*
		(1+p.StragglerFraction*(p.StragglerFactor-1)) + 2*p.NetworkDelay.Seconds()
	return utilization * float64(p.Slots*p.Replicas) / mean
}
