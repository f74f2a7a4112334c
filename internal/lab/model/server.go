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

// BecomeCold makes a server cold without warning, as a restart when the incarnation is new.
func (s *Server) BecomeCold(newIncarnation bool) {
	s.done = 0
	s.coldSince = s.world.Now()
	s.told = -1
	if newIncarnation {
		s.incarnation++
		s.told = s.world.Now() + 2*s.world.Params.NetworkDelay
		s.world.After(s.world.Params.NetworkDelay, func() { s.step(slots.ConnectionClosed{}) })
	}
}

// Crash takes a server down for a span, after which it is cold.
func (s *Server) Crash(d time.Duration) {
	s.downUntil = s.world.Now() + d
	s.BecomeCold(true)
}

// SetOut takes a server out of service or back in, as its failure domain.
func (s *Server) SetOut(out bool) {
	s.Out = out
	s.step(slots.Check{})
}

// Warm reports whether the server's cold start is over.
func (s *Server) Warm() bool { return s.done >= s.world.Params.WarmAfter }

func (s *Server) env() slots.Env {
	p := s.world.Params
	env := slots.Env{Slots: p.Slots, ColdSlots: p.ColdSlots, MaxQueue: p.MaxQueue, WarmAfter: p.WarmAfter, Usable: !s.Out}
	if p.IgnoreColdSlots {
		env.ColdSlots = p.Slots
	}
	return env
}

func (s *Server) offer(j *job, team ident.Team, weight float64) {
	s.jobs[j.id] = j
	if s.world.Params.SingleQueue {
		team, weight = "all", 1
	}
	s.step(slots.Offer{Attempt: slots.Attempt{ID: j.id, Team: team, Weight: weight, Deadline: clock.At(j.deadline)}})
}

func (s *Server) step(ev slots.Event) {
	for _, act := range s.machine.Step(clock.At(s.world.Now()), s.env(), ev) {
		switch act := act.(type) {
		case slots.Send:
			s.begin(s.jobs[act.ID])
		case slots.Refuse:
			if j := s.jobs[act.ID]; j != nil {
				delete(s.jobs, act.ID)
				j.reply(false, fault.OutcomeRefused, act.Code)
			}
		case slots.Abort:
			if j := s.jobs[act.ID]; j != nil && !j.over {
				j.aborted = true
				s.world.After(2*s.world.Params.NetworkDelay, func() { s.end(j, s.world.Now(), s.incarnation, false) })
			}
		}
	}
}

// begin runs a part at the server.
func (s *Server) begin(j *job) {
	w := s.world
	if w.Now() < s.downUntil {
		w.After(2*w.Params.NetworkDelay, func() {
			j.over = true
			delete(s.jobs, j.id)
			s.step(slots.Done{ID: j.id, Result: slots.Result{Outcome: fault.OutcomeNotSent, ConnectionFailed: true}})
			j.reply(false, fault.OutcomeNotSent, fault.CodeUnavailable)
		})
		return
	}
	begun := w.Now()
	incarnation := s.incarnation
	s.running++
	s.Runs++
	s.LastStart = begun
	told := s.told >= 0 && begun >= s.told
	if !s.Warm() && told && s.running > w.Params.ColdSlots {
		s.Overruns++
		s.Crash(w.Params.CrashDuration)
	}
	w.After(2*w.Params.NetworkDelay+s.serviceTime(), func() { s.end(j, begun, incarnation, true) })
}

func (s *Server) serviceTime() time.Duration {
	p := s.world.Params
	d := float64(p.MedianServiceTime) * math.Exp(p.ServiceTimeSigma*s.world.rng.NormFloat64())
	if s.world.rng.Float64() < p.StragglerFraction {
		d *= p.StragglerFactor
	}
	if !s.Warm() {
		d *= p.ColdFactor
	}
	return time.Duration(d)
}

// end tells the owner and the entry how a part ended.
func (s *Server) end(j *job, begun time.Duration, incarnation int, whole bool) {
	if j.over {
		return
	}
	j.over = true
	delete(s.jobs, j.id)
	s.running--
	w := s.world
	result := slots.Result{Outcome: fault.OutcomeRan, Latency: w.Now() - begun, Incarnation: strconv.Itoa(s.incarnation)}
	ok := whole && incarnation == s.incarnation && w.Now() >= s.downUntil
	if !ok {
		result.Outcome, result.Incarnation = fault.OutcomeUnknown, ""
		result.ConnectionFailed = incarnation != s.incarnation
	} else {
		s.done++
		if s.told < 0 && begun >= s.coldSince {
			s.told = w.Now() + 2*w.Params.NetworkDelay
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

func text(v any) string {
	raw, err := json.Marshal(v)
	if err != nil {
		return ""
	}
	return string(raw)
}

// Poisson begins requests at random with a mean rate until a time.
func (w *Simulation) Poisson(rate float64, until time.Duration, begin func()) {
	gap := time.Duration(w.rng.ExpFloat64() / rate * float64(time.Second))
	if w.Now()+gap > until {
		return
	}
	w.After(gap, func() {
		begin()
		w.Poisson(rate, until, begin)
	})
}

// RateAtUtilization returns the rate of requests at which the servers are busy for a share of the time, were all of them warm and in service.
func (p Params) RateAtUtilization(share float64) float64 {
	mean := p.MedianServiceTime.Seconds()*math.Exp(p.ServiceTimeSigma*p.ServiceTimeSigma/2)*(1+p.StragglerFraction*(p.StragglerFactor-1)) + 2*p.NetworkDelay.Seconds()
	return share * float64(p.Slots*p.Replicas) / mean
}
