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

// TurnCold makes a server cold without warning, as a restart when the incarnation is new.
func (s *Server) TurnCold(newIncarnation bool) {
	s.done = 0
	s.coldSince = s.world.Now()
	s.told = -1
	if newIncarnation {
		s.incarnation++
		s.told = s.world.Now() + 2*s.world.Params.Hop
		s.world.After(s.world.Params.Hop, func() { s.step(slots.ConnectionClosed{}) })
	}
}

// Fall takes a server down for a span, after which it is cold.
func (s *Server) Fall(d time.Duration) {
	s.downUntil = s.world.Now() + d
	s.TurnCold(true)
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
	env := slots.Env{Slots: p.Slots, ColdSlots: p.ColdSlots, MaxQueue: p.QueueMax, WarmAfter: p.WarmAfter, Usable: !s.Out}
	if p.Bold {
		env.ColdSlots = p.Slots
	}
	return env
}

func (s *Server) offer(j *job, team ident.Team, weight float64) {
	s.jobs[j.id] = j
	if s.world.Params.Unfair {
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
				s.world.After(2*s.world.Params.Hop, func() { s.end(j, s.world.Now(), s.incarnation, false) })
			}
		}
	}
}

// begin runs a part at the server.
func (s *Server) begin(j *job) {
	w := s.world
	if w.Now() < s.downUntil {
		w.After(2*w.Params.Hop, func() {
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
	s.LastBegun = begun
	told := s.told >= 0 && begun >= s.told
	if !s.Warm() && told && s.running > w.Params.ColdSlots {
		s.Overruns++
		s.Fall(w.Params.FallFor)
	}
	w.After(2*w.Params.Hop+s.serviceTime(), func() { s.end(j, begun, incarnation, true) })
}

func (s *Server) serviceTime() time.Duration {
	p := s.world.Params
	d := float64(p.Median) * math.Exp(p.Spread*s.world.rng.NormFloat64())
	if s.world.rng.Float64() < p.StraggleShare {
		d *= p.StraggleFactor
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
			s.told = w.Now() + 2*w.Params.Hop
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
func (w *World) Poisson(rate float64, until time.Duration, begin func()) {
	gap := time.Duration(w.rng.ExpFloat64() / rate * float64(time.Second))
	if w.Now()+gap > until {
		return
	}
	w.After(gap, func() {
		begin()
		w.Poisson(rate, until, begin)
	})
}

// Utilisation returns the rate of requests at which the servers are busy for a share of the time, were all of them warm and in service.
func (p Params) Utilisation(share float64) float64 {
	mean := p.Median.Seconds()*math.Exp(p.Spread*p.Spread/2)*(1+p.StraggleShare*(p.StraggleFactor-1)) + 2*p.Hop.Seconds()
	return share * float64(p.Slots*p.Replicas) / mean
}
