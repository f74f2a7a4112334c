package daemon_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatreel.example/kumquatreel/internal/base/fault"
	"kumquatreel.example/kumquatreel/internal/conf/schema"
	"kumquatreel.example/kumquatreel/internal/lab/load"
	"kumquatreel.example/kumquatreel/internal/node/daemon"
	"kumquatreel.example/kumquatreel/internal/stand/sample"
	"kumquatreel.example/kumquatreel/internal/stand/server"
	"kumquatreel.example/kumquatreel/internal/stand/store"
	"kumquatreel.example/kumquatreel/internal/wire/client"
	"kumquatreel.example/kumquatreel/internal/wire/inner"
	"kumquatreel.example/kumquatreel/internal/wire/netio"
	"kumquatreel.example/kumquatreel/internal/wire/public"
)

// loadRate keeps the slowest servers of the small deployment at about seven tenths of their slots.
const loadRate = 150

// phase names a part of a test in virtual time, where subtests cannot run.
func phase(t *testing.T, name string, do func()) {
	t.Helper()
	failed := t.Failed()
	do()
	if t.Failed() && !failed {
		t.Errorf("failed in: %s", name)
	}
}

// underLoad sends queries while something happens and returns what came back.
func (r *rig) underLoad(rate float64, span time.Duration, happens func()) load.Result {
	rec := load.NewRecorder()
	var wait sync.WaitGroup
	wait.Go(func() {
		load.Run(r.t.Context(), r.client, load.Plan{Query: public.Query{Route: "search"}, Rate: rate, Duration: span}, rec)
	})
	time.Sleep(span / 5)
	happens()
	wait.Wait()
	return rec.Result()
}

func assertNoneFailed(t *testing.T, res load.Result) {
	t.Helper()
	if len(res.Refused) > 0 {
		t.Errorf("of %d requests %d were answered, refused: %v", res.Sent, res.Answered, res.Refused)
	}
}

func TestRollingRestart(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		res := r.underLoad(50, 2*time.Minute, func() {
			for i := range 3 {
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				if err := r.fleet.ShutdownVM(ctx, i); err != nil {
					t.Error(err)
				}
				cancel()
				r.replace(i)
				r.settle(time.Minute)
			}
		})
		assertNoneFailed(t, res)
		if res.MinCoverage < 1 {
			t.Errorf("the least coverage was %.3f, missing shards: %v", res.MinCoverage, res.MissingShards)
		}
	})
}

func TestShutdownFinishesWork(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		r.allServers(server.Fault{Slow: 20})
		var wait sync.WaitGroup
		for range 20 {
			wait.Go(func() {
				if err := r.booking(t.Context(), 1); err != nil {
					t.Errorf("booking: %v", err)
				}
			})
			time.Sleep(50 * time.Millisecond)
		}
		for i := range 2 {
			wait.Go(func() {
				if err := r.fleet.ShutdownVM(t.Context(), i); err != nil {
					t.Error(err)
				}
			})
		}
		wait.Wait()
	})
}

func TestColdStartsUnderLoad(t *testing.T) {
	for name, turn := range map[string]func(*rig){
		"one server restarts":         func(r *rig) { r.fleet.Backend("lookup-0-0").TurnCold(true) },
		"one server turns cold":       func(r *rig) { r.fleet.Backend("lookup-0-0").TurnCold(false) },
		"both replicas restart":       func(r *rig) { r.eachServer(func(s *server.Server) { s.TurnCold(true) }) },
		"both replicas turn cold":     func(r *rig) { r.eachServer(func(s *server.Server) { s.TurnCold(false) }) },
		"all go down and come up":     func(r *rig) { r.eachServer(func(s *server.Server) { s.Down(time.Second) }) },
		"cold while their owner dies": func(r *rig) { r.fleet.KillVM(1); r.eachServer(func(s *server.Server) { s.TurnCold(true) }) },
		"cold while their owner leaves": func(r *rig) {
			go func() { _ = r.fleet.ShutdownVM(r.t.Context(), 1) }()
			r.eachServer(func(s *server.Server) { s.TurnCold(true) })
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			inBubble(t, func(_ *testing.T, r *rig) {
				r.underLoad(loadRate, 6*time.Second, func() { turn(r) })
			})
		})
	}
}

func (r *rig) eachServer(do func(*server.Server)) {
	r.fleet.Backends(func(_ schema.ServerText, s *server.Server) { do(s) })
}

func TestDomainLeavesUnderLoad(t *testing.T) {
	for name, then := range map[string]func(*rig){
		"and that is all":                 func(*rig) {},
		"and the platform goes down":      func(r *rig) { time.Sleep(newsLimit); r.fleet.Platform.SetMode(store.ModeDown) },
		"and the platform answers stale":  func(r *rig) { r.fleet.Platform.SetMode(store.ModeStale) },
		"and a VM dies":                   func(r *rig) { r.fleet.KillVM(0) },
		"and the servers' work is queued": func(r *rig) { r.allServers(server.Fault{Slow: 10}) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			inBubble(t, func(_ *testing.T, r *rig) {
				var out time.Time
				r.underLoad(loadRate/2, 10*time.Second, func() {
					out = time.Now()
					r.fleet.Publish(func(t *schema.Text) { t.Domains[goneDomain] = schema.DomainOut })
					then(r)
				})
				r.fleet.Platform.SetMode(store.ModeUp)
				r.assertIdleSince(out.Add(newsLimit))
			})
		})
	}
}

func (r *rig) assertIdleSince(limit time.Time) {
	r.t.Helper()
	r.fleet.Backends(func(text schema.ServerText, s *server.Server) {
		if last := s.Record().LastStart; text.Domain == goneDomain && last.After(limit) {
			r.t.Errorf("server %s got work %v after the limit", text.Name, last.Sub(limit))
		}
	})
}

func TestKeyWithdrawnUnderLoad(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		r.allServers(server.Fault{Slow: 10})
		var runs int
		r.underLoad(loadRate/3, 8*time.Second, func() {
			r.fleet.Publish(func(t *schema.Text) { t.Teams[0].Keys = nil })
			time.Sleep(newsLimit)
			runs = r.teamRuns()
		})
		if after := r.teamRuns(); after != runs {
			t.Errorf("%d parts ran for a key %v after it was withdrawn", after-runs, newsLimit)
		}
	})
}

func TestVMWithoutNewsStops(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		lonely := r.fleet.Deployment.List().VMs[0].Client
		r.net.Cut("vm0", "vm1")
		r.net.Cut("vm0", "vm2")
		r.net.Cut("vm0", "platform")
		time.Sleep(newsLimit + time.Second)
		_, err := r.client.QueryAt(t.Context(), lonely, public.Query{Route: "all"})
		assertRefused(t, err, fault.CodeStale)
	})
}

func assertRefused(t *testing.T, err error, code fault.Code) {
	t.Helper()
	var refused *client.Error
	if !errors.As(err, &refused) || refused.Code() != code || !refused.NotRun() {
		t.Errorf("the answer was %v, want a refusal with %v", err, code)
	}
}

func TestConfigurationNeverReverts(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		r.fleet.Platform.SetMode(store.ModeStale)
		r.fleet.Platform.SetMode(store.ModeUp)
		r.fleet.Platform.SetMode(store.ModeStale)
		revision := r.publishSeenByOne()
		phase(t, "not on a VM that restarts while the platform is stale", func() {
			r.fleet.KillVM(2)
			r.replace(2)
			for range 400 {
				s := r.fleet.VM(2).Status()
				if s.Fresh && s.Revision < revision {
					t.Fatalf("a VM serves with revision %d after %d was in force", s.Revision, revision)
				}
				time.Sleep(10 * time.Millisecond)
			}
			if s := r.fleet.VM(2).Status(); s.Revision != revision {
				t.Errorf("the VM has revision %d, %d is in force", s.Revision, revision)
			}
		})
		phase(t, "nor after a document with faults", func() {
			r.fleet.Platform.SetMode(store.ModeUp)
			r.fleet.Platform.Put("configuration", `{"preset": "none"}`)
			time.Sleep(newsLimit)
			for i := range 3 {
				if s := r.fleet.VM(i).Status(); s.Revision != revision || s.RefusedDocument == "" {
					t.Errorf("vm%d has revision %d and refused %q", i, s.Revision, s.RefusedDocument)
				}
			}
		})
	})
}

// publishSeenByOne publishes a revision that the fleet learns although the platform answers stale again at once.
func (r *rig) publishSeenByOne() int64 {
	r.fleet.Platform.SetMode(store.ModeUp)
	revision := r.fleet.Publish(func(t *schema.Text) { t.Preset = "peak" })
	ctx, cancel := context.WithTimeout(r.t.Context(), newsLimit)
	defer cancel()
	if err := r.fleet.WaitUntil(ctx, func(s daemon.Status) bool { return s.Revision == revision }); err != nil {
		r.t.Error(err)
	}
	// The stale platform answers with what it held before.
	r.fleet.Platform.Forget("configuration", revision-1)
	return revision
}

func TestRateHoldsOverTheFleet(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		begun := time.Now()
		before := r.teamRuns()
		var wait sync.WaitGroup
		for i := range 3 {
			address := r.fleet.Deployment.List().VMs[i].Client
			wait.Go(func() { r.flood(address, 1200, 5*time.Second) })
		}
		wait.Wait()
		requests := float64(r.teamRuns()-before) / 8
		team := r.fleet.Deployment.Teams[0]
		if most := team.Rate*time.Since(begun).Seconds() + team.Burst; requests > most {
			t.Errorf("%.0f requests of the team ran, its rate and burst allow %.0f", requests, most)
		}
		if least := 0.9 * team.Rate * 5; requests < least {
			t.Errorf("%.0f requests of the team ran, its rate is %.0f", requests, team.Rate*5)
		}
	})
}

// flood sends requests to one address, whatever comes back.
func (r *rig) flood(address string, rate float64, span time.Duration) {
	var wait sync.WaitGroup
	for range int(rate * span.Seconds()) {
		wait.Go(func() {
			_, _ = r.client.QueryAt(r.t.Context(), address, public.Query{Route: "search", DeadlineMillis: 200})
		})
		time.Sleep(time.Duration(float64(time.Second) / rate))
	}
	wait.Wait()
}

func TestTeamWithinItsRateIsServed(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		modest, closeIdle := r.fleet.Client("team1")
		defer closeIdle()
		rec := load.NewRecorder()
		var wait sync.WaitGroup
		wait.Go(func() {
			load.Run(t.Context(), modest, load.Plan{Query: public.Query{Route: "search"}, Rate: 30, Duration: 5 * time.Second}, rec)
		})
		r.flood(r.fleet.Deployment.List().VMs[0].Client, 1500, 5*time.Second)
		wait.Wait()
		assertNoneFailed(t, rec.Result())
	})
}

func TestPlatformCallsStayFew(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		before := r.fleet.Platform.Calls()
		time.Sleep(time.Minute)
		calls := r.fleet.Platform.Calls() - before
		if most := int64(60 * 2 * 2 * 3); calls > most {
			t.Errorf("three VMs made %d calls in a minute, two documents read twice a second by each are %d", calls, most)
		}
	})
}

// TestDomainReturnsUnderLoad brings a domain back whose servers have turned cold meanwhile.
func TestDomainReturnsUnderLoad(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		set := func(state schema.DomainState) {
			r.fleet.Publish(func(t *schema.Text) { t.Domains[goneDomain] = state })
		}
		res := r.underLoad(loadRate, 15*time.Second, func() {
			set(schema.DomainOut)
			time.Sleep(newsLimit)
			r.fleet.Backends(func(text schema.ServerText, s *server.Server) {
				if text.Domain == goneDomain {
					s.TurnCold(false)
				}
			})
			set(schema.DomainReturning)
		})
		assertNoneFailed(t, res)
		r.fleet.Backends(func(text schema.ServerText, s *server.Server) {
			served := strings.HasPrefix(string(text.Name), "lookup")
			if served && text.Domain == goneDomain && time.Since(s.Record().LastStart) > 10*time.Second {
				t.Errorf("server %s gets no work after its domain has returned", text.Name)
			}
		})
	})
}

// TestUnusedConnectionsClose takes a domain out, whose servers then keep no connection for a VM that may not use it.
func TestUnusedConnectionsClose(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		r.underLoad(loadRate, 5*time.Second, func() {
			r.fleet.Publish(func(t *schema.Text) { t.Domains[goneDomain] = schema.DomainOut })
		})
		time.Sleep(newsLimit)
		r.fleet.Backends(func(text schema.ServerText, s *server.Server) {
			if n := s.Open(); text.Domain == goneDomain && n > 0 {
				t.Errorf("server %s has %d open connections", text.Name, n)
			}
		})
	})
}

// TestExamplesAreSound checks the deployments that the examples are written from.
func TestExamplesAreSound(t *testing.T) {
	for _, d := range []sample.Deployment{sample.Small(1000), sample.Registry(1000), sample.Wheels(1000)} {
		t.Run(d.Name, func(t *testing.T) {
			if _, err := schema.Parse(1, []byte(sample.Text(d.Document()))); err != nil {
				t.Error(err)
			}
			if _, err := schema.ParseVMs(1, []byte(sample.Text(d.List()))); err != nil {
				t.Error(err)
			}
		})
	}
}

// TestDuplicateBatch gives an owner the same part twice, as a repeated message would.
func TestDuplicateBatch(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		status := r.fleet.VM(0).Status()
		batch := inner.Parts{
			Request: "dup", Revision: status.Revision, DeadlineMicros: 500_000, Body: []byte(`{"operation":"dup"}`),
			Parts: []inner.Part{{ID: "dup.1", Server: "book-0-0", Service: "book-0", IndexVersion: 1}},
		}
		transport, closeIdle := netio.Transport(r.net.Host("vm9"), 4)
		defer closeIdle()
		for _, vm := range r.fleet.Deployment.List().VMs {
			for range 3 {
				resp, err := postParts(t, &http.Client{Transport: transport}, vm.Inner, batch)
				if err != nil {
					t.Fatal(err)
				}
				_ = resp.Body.Close()
			}
		}
		time.Sleep(time.Second)
		if n := r.runs("dup"); n > 1 {
			t.Errorf("a part that may run once ran %d times", n)
		}
	})
}

func postParts(t *testing.T, c *http.Client, address string, batch inner.Parts) (*http.Response, error) {
	t.Helper()
	raw, err := json.Marshal(batch)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+inner.PathParts, bytes.NewReader(raw))
	if err != nil {
		return nil, err
	}
	resp, err := c.Do(req)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp, err
}
