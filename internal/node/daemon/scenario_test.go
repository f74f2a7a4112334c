package daemon_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatreel.example/kumquatreel/internal/base/fault"
	"kumquatreel.example/kumquatreel/internal/conf/schema"
	"kumquatreel.example/kumquatreel/internal/lab/load"
	"kumquatreel.example/kumquatreel/internal/lab/window"
	"kumquatreel.example/kumquatreel/internal/node/daemon"
	"kumquatreel.example/kumquatreel/internal/stand/local"
	"kumquatreel.example/kumquatreel/internal/stand/sample"
	"kumquatreel.example/kumquatreel/internal/stand/server"
	"kumquatreel.example/kumquatreel/internal/stand/store"
	"kumquatreel.example/kumquatreel/internal/wire/client"
	"kumquatreel.example/kumquatreel/internal/wire/inner"
	"kumquatreel.example/kumquatreel/internal/wire/netio"
	"kumquatreel.example/kumquatreel/internal/wire/public"
)

// loadRate is the number of requests per second that occupies about seven tenths of the slots of the slowest servers in
// the small deployment.
const loadRate = 150

// phase runs a named part of a test in virtual time, where subtests cannot run, and reports its name on failure.
func phase(t *testing.T, name string, do func()) {
	t.Helper()
	failed := t.Failed()
	do()
	if t.Failed() && !failed {
		t.Errorf("failed in: %s", name)
	}
}

// underLoad sends queries at a rate for a span, calls during after a fifth of it, and returns the results.
func (r *testFleet) underLoad(rate float64, span time.Duration, during func()) load.Result {
	rec := load.NewRecorder()
	var wait sync.WaitGroup
	wait.Go(func() {
		load.Run(r.t.Context(), r.client, load.Plan{Query: public.Query{Route: "search"}, Rate: rate, Duration: span}, rec)
	})
	time.Sleep(span / 5)
	during()
	wait.Wait()
	return rec.Result()
}

func assertNoneFailed(t *testing.T, res load.Result) {
	t.Helper()
	if len(res.Refused) > 0 {
		t.Errorf("%d requests sent, %d answered, refused: %v", res.Sent, res.Answered, res.Refused)
	}
}

// TestRollingRestart guards against refused requests and missing shards while the VMs are restarted one after another.
func TestRollingRestart(t *testing.T) {
	withFleet(t, func(t *testing.T, r *testFleet) {
		res := r.underLoad(50, 2*time.Minute, func() {
			for i := range 3 {
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				if err := r.fleet.ShutdownVM(ctx, i); err != nil {
					t.Error(err)
				}
				cancel()
				r.startReplacement(i)
				r.waitReady(time.Minute)
			}
		})
		assertNoneFailed(t, res)
		if res.MinCoverage < 1 {
			t.Errorf("minimum coverage was %.3f, missing shards: %v", res.MinCoverage, res.MissingShards)
		}
	})
}

// TestShutdownFinishesWork guards against requests that fail because two of three VMs shut down while they are in progress.
func TestShutdownFinishesWork(t *testing.T) {
	withFleet(t, func(t *testing.T, r *testFleet) {
		r.allServers(server.Fault{SlowFactor: 20})
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

// TestColdStartsUnderLoad guards against more parts than a cold server may have in progress, also when the owner, which
// knows that the server is cold, changes at that time.
func TestColdStartsUnderLoad(t *testing.T) {
	for name, turnCold := range map[string]func(*testFleet){
		"one server restarts":         func(r *testFleet) { r.fleet.Backend("lookup-0-0").BecomeCold(true) },
		"one server turns cold":       func(r *testFleet) { r.fleet.Backend("lookup-0-0").BecomeCold(false) },
		"both replicas restart":       func(r *testFleet) { r.eachServer(func(s *server.Server) { s.BecomeCold(true) }) },
		"both replicas turn cold":     func(r *testFleet) { r.eachServer(func(s *server.Server) { s.BecomeCold(false) }) },
		"all go down and come up":     func(r *testFleet) { r.eachServer(func(s *server.Server) { s.Down(time.Second) }) },
		"cold while their owner dies": func(r *testFleet) { r.fleet.KillVM(1); r.eachServer(func(s *server.Server) { s.BecomeCold(true) }) },
		"cold while their owner leaves": func(r *testFleet) {
			go func() { _ = r.fleet.ShutdownVM(r.t.Context(), 1) }()
			r.eachServer(func(s *server.Server) { s.BecomeCold(true) })
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			withFleet(t, func(_ *testing.T, r *testFleet) {
				r.underLoad(loadRate, 6*time.Second, func() { turnCold(r) })
			})
		})
	}
}

func (r *testFleet) eachServer(do func(*server.Server)) {
	r.fleet.Backends(func(_ schema.ServerText, s *server.Server) { do(s) })
}

// TestDomainLeavesUnderLoad guards against parts for servers of a domain that is out of service, also when the platform
// or a VM fails after the change was published.
func TestDomainLeavesUnderLoad(t *testing.T) {
	for name, next := range map[string]func(*testFleet){
		"and that is all":                 func(*testFleet) {},
		"and the platform goes down":      func(r *testFleet) { time.Sleep(maxPropagation); r.fleet.Platform.SetMode(store.ModeDown) },
		"and the platform answers stale":  func(r *testFleet) { r.fleet.Platform.SetMode(store.ModeStale) },
		"and a VM dies":                   func(r *testFleet) { r.fleet.KillVM(0) },
		"and the servers' work is queued": func(r *testFleet) { r.allServers(server.Fault{SlowFactor: 10}) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			withFleet(t, func(_ *testing.T, r *testFleet) {
				var out time.Time
				r.underLoad(loadRate/2, 10*time.Second, func() {
					out = time.Now()
					r.fleet.Publish(func(t *schema.Text) { t.Domains[removedDomain] = schema.DomainOut })
					next(r)
				})
				r.fleet.Platform.SetMode(store.ModeUp)
				r.assertIdleSince(out.Add(maxPropagation))
			})
		})
	}
}

func (r *testFleet) assertIdleSince(limit time.Time) {
	r.t.Helper()
	r.fleet.Backends(func(text schema.ServerText, s *server.Server) {
		if last := s.Record().LastStart; text.Domain == removedDomain && last.After(limit) {
			r.t.Errorf("server %s received a part %v after the limit", text.Name, last.Sub(limit))
		}
	})
}

// TestKeyWithdrawnUnderLoad guards against queued parts that run after the key of their request was withdrawn.
func TestKeyWithdrawnUnderLoad(t *testing.T) {
	withFleet(t, func(t *testing.T, r *testFleet) {
		r.allServers(server.Fault{SlowFactor: 10})
		var runs int
		r.underLoad(loadRate/3, 8*time.Second, func() {
			r.fleet.Publish(func(t *schema.Text) { t.Teams[0].Keys = nil })
			time.Sleep(maxPropagation)
			runs = r.teamRuns()
		})
		if after := r.teamRuns(); after != runs {
			t.Errorf("%d parts ran with a key %v after it was withdrawn", after-runs, maxPropagation)
		}
	})
}

// TestVMWithoutNewsStops guards against a VM that serves with an outdated configuration because it reaches neither the
// platform nor other VMs.
func TestVMWithoutNewsStops(t *testing.T) {
	withFleet(t, func(t *testing.T, r *testFleet) {
		isolated := r.fleet.Deployment.List().VMs[0].Client
		r.net.Cut("vm0", "vm1")
		r.net.Cut("vm0", "vm2")
		r.net.Cut("vm0", "platform")
		time.Sleep(maxPropagation + time.Second)
		_, err := r.client.QueryAt(t.Context(), isolated, public.Query{Route: "all"})
		assertRefused(t, err, fault.CodeStale)
	})
}

func assertRefused(t *testing.T, err error, code fault.Code) {
	t.Helper()
	var refused *client.Error
	if !errors.As(err, &refused) || refused.Code() != code || !refused.NotRun() {
		t.Errorf("error is %v, want a refusal with code %v", err, code)
	}
}

// TestConfigurationNeverReverts guards against a VM that serves with an older revision after a restart with a stale
// platform, or that replaces its configuration by an invalid document.
func TestConfigurationNeverReverts(t *testing.T) {
	withFleet(t, func(t *testing.T, r *testFleet) {
		r.fleet.Platform.SetMode(store.ModeStale)
		r.fleet.Platform.SetMode(store.ModeUp)
		r.fleet.Platform.SetMode(store.ModeStale)
		revision := r.publishThenStale()
		phase(t, "not on a VM that restarts while the platform is stale", func() {
			r.fleet.KillVM(2)
			r.startReplacement(2)
			for range 400 {
				s := r.fleet.VM(2).Status()
				if s.Fresh && s.Revision < revision {
					t.Fatalf("VM serves with revision %d after %d was in force", s.Revision, revision)
				}
				time.Sleep(10 * time.Millisecond)
			}
			if s := r.fleet.VM(2).Status(); s.Revision != revision {
				t.Errorf("VM has revision %d, want %d", s.Revision, revision)
			}
		})
		phase(t, "nor after a document with faults", func() {
			r.fleet.Platform.SetMode(store.ModeUp)
			r.fleet.Platform.Put("configuration", `{"preset": "none"}`)
			time.Sleep(maxPropagation)
			for i := range 3 {
				if s := r.fleet.VM(i).Status(); s.Revision != revision || s.RefusedDocument == "" {
					t.Errorf("vm%d has revision %d, refused document %q", i, s.Revision, s.RefusedDocument)
				}
			}
		})
	})
}

// publishThenStale publishes a revision, waits until the fleet has it, and then makes the platform return the previous
// revision again.
func (r *testFleet) publishThenStale() int64 {
	r.fleet.Platform.SetMode(store.ModeUp)
	revision := r.fleet.Publish(func(t *schema.Text) { t.Preset = "peak" })
	ctx, cancel := context.WithTimeout(r.t.Context(), maxPropagation)
	defer cancel()
	if err := r.fleet.WaitUntil(ctx, func(s daemon.Status) bool { return s.Revision == revision }); err != nil {
		r.t.Error(err)
	}
	// From here on reads return the previous revision, as those of a stale replica do.
	r.fleet.Platform.Forget("configuration", revision-1)
	return revision
}

// TestRateHoldsOverTheFleet guards against a team that exceeds its rate by sending to all VMs, or gets much less than it.
func TestRateHoldsOverTheFleet(t *testing.T) {
	withFleet(t, func(t *testing.T, r *testFleet) {
		startedAt := time.Now()
		before := r.teamRuns()
		var wait sync.WaitGroup
		for i := range 3 {
			address := r.fleet.Deployment.List().VMs[i].Client
			wait.Go(func() { r.flood(address, 1200, 5*time.Second) })
		}
		wait.Wait()
		requests := float64(r.teamRuns()-before) / 8
		team := r.fleet.Deployment.Teams[0]
		if maxRequests := team.Rate*time.Since(startedAt).Seconds() + team.Burst; requests > maxRequests {
			t.Errorf("%.0f requests of the team ran, its rate and burst allow at most %.0f", requests, maxRequests)
		}
		if minRequests := 0.9 * team.Rate * 5; requests < minRequests {
			t.Errorf("%.0f requests of the team ran, want at least 0.9 of the %.0f that its rate allows", requests, team.Rate*5)
		}
	})
}

// flood sends requests to one address at a rate and ignores the results.
func (r *testFleet) flood(address string, rate float64, span time.Duration) {
	var wait sync.WaitGroup
	for range int(rate * span.Seconds()) {
		wait.Go(func() {
			_, _ = r.client.QueryAt(r.t.Context(), address, public.Query{Route: "search", DeadlineMillis: 200})
		})
		time.Sleep(time.Duration(float64(time.Second) / rate))
	}
	wait.Wait()
}

// TestTeamWithinItsRateIsServed guards against refusals for one team while another one sends more than its rate.
func TestTeamWithinItsRateIsServed(t *testing.T) {
	withFleet(t, func(t *testing.T, r *testFleet) {
		normalClient, closeIdle := r.fleet.Client("team1")
		defer closeIdle()
		rec := load.NewRecorder()
		var wait sync.WaitGroup
		wait.Go(func() {
			load.Run(t.Context(), normalClient, load.Plan{Query: public.Query{Route: "search"}, Rate: 30, Duration: 5 * time.Second}, rec)
		})
		r.flood(r.fleet.Deployment.List().VMs[0].Client, 1500, 5*time.Second)
		wait.Wait()
		assertNoneFailed(t, rec.Result())
	})
}

// TestPlatformCallsStayFew guards against more load on the platform than two reads of each document per second and VM, also while a document there
// can't be used.
func TestPlatformCallsStayFew(t *testing.T) {
	withFleet(t, func(t *testing.T, r *testFleet) {
		for _, key := range []string{"", local.KeyConfiguration, local.KeyVMs} {
			phase(t, "refused: "+key, func() {
				if key != "" {
					r.fleet.Platform.Put(key, "{")
				}
				before := r.fleet.Platform.Calls()
				time.Sleep(time.Minute)
				calls := r.fleet.Platform.Calls() - before
				if maxCalls := int64(60 * 2 * 2 * 3); calls > maxCalls {
					t.Errorf("three VMs made %d calls in a minute, want at most %d: two documents read twice a second by each", calls, maxCalls)
				}
			})
		}
	})
}

// TestDomainReturnsUnderLoad guards against refused requests and idle servers when a domain returns whose servers have
// turned cold in the meantime.
func TestDomainReturnsUnderLoad(t *testing.T) {
	withFleet(t, func(t *testing.T, r *testFleet) {
		set := func(state schema.DomainState) {
			r.fleet.Publish(func(t *schema.Text) { t.Domains[removedDomain] = state })
		}
		res := r.underLoad(loadRate, 15*time.Second, func() {
			set(schema.DomainOut)
			time.Sleep(maxPropagation)
			r.fleet.Backends(func(text schema.ServerText, s *server.Server) {
				if text.Domain == removedDomain {
					s.BecomeCold(false)
				}
			})
			set(schema.DomainReturning)
		})
		assertNoneFailed(t, res)
		r.fleet.Backends(func(text schema.ServerText, s *server.Server) {
			served := strings.HasPrefix(string(text.Name), "lookup")
			if served && text.Domain == removedDomain && time.Since(s.Record().LastStart) > 10*time.Second {
				t.Errorf("server %s receives no parts after its domain has returned", text.Name)
			}
		})
	})
}

// TestUnusedConnectionsClose guards against VMs that keep connections to the servers of a domain that is out of service.
func TestUnusedConnectionsClose(t *testing.T) {
	withFleet(t, func(t *testing.T, r *testFleet) {
		r.underLoad(loadRate, 5*time.Second, func() {
			r.fleet.Publish(func(t *schema.Text) { t.Domains[removedDomain] = schema.DomainOut })
		})
		time.Sleep(maxPropagation)
		r.fleet.Backends(func(text schema.ServerText, s *server.Server) {
			if n := s.Open(); text.Domain == removedDomain && n > 0 {
				t.Errorf("server %s has %d open connections", text.Name, n)
			}
		})
	})
}

// TestExamplesAreSound guards against sample deployments, from which the examples are generated, that are not valid.
func TestExamplesAreSound(t *testing.T) {
	for _, d := range []sample.Deployment{sample.Small(1000), sample.Registry(1000), sample.Wheels(1000)} {
		t.Run(d.Name, func(t *testing.T) {
			if _, err := schema.Parse(1, []byte(sample.JSON(d.Document()))); err != nil {
				t.Error(err)
			}
			if _, err := schema.ParseVMs(1, []byte(sample.JSON(d.List()))); err != nil {
				t.Error(err)
			}
		})
	}
}

// TestDuplicateBatch guards against a second run of a part when an owner receives the same batch again, as after a
// duplicated message.
func TestDuplicateBatch(t *testing.T) {
	withFleet(t, func(t *testing.T, r *testFleet) {
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
			t.Errorf("non-idempotent part ran %d times", n)
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

// Every second server names a limit for all VMs together, which they exceed if each sends as its slots allow.
func TestServerLimitUnderLoad(t *testing.T) {
	const limit, length, notice = 4.0, 4 * time.Second, time.Second
	withFleet(t, func(t *testing.T, r *testFleet) {
		var limited []*server.Server
		r.eachServer(func(s *server.Server) {
			if len(limited) < 3 {
				limited = append(limited, s)
			}
		})
		var since time.Time
		r.underLoad(50, 30*time.Second, func() {
			for _, s := range limited {
				s.SetFault(server.Fault{Limit: limit})
			}
			time.Sleep(notice)
			since = time.Now()
			time.Sleep(20 * time.Second)
		})
		for _, s := range limited {
			all := s.Record().Arrivals
			later := slices.IndexFunc(all, func(at time.Time) bool { return !at.Before(since) })
			if later < 0 {
				t.Errorf("%s received no part", s.Name())
				continue
			}
			most := window.Most(all[later:], length, time.Time.Sub)
			if bound := 1.5*limit*length.Seconds() + 5; float64(most) > bound {
				t.Errorf("%s received %d parts in %v, want at most %v", s.Name(), most, length, bound)
			}
			t.Logf("%s received %d parts", s.Name(), len(all))
		}
	})
}

// Servers refuse all parts and name a time in which they want none; the parts must go to the others meanwhile.
func TestServerRestsUnderLoad(t *testing.T) {
	const rest, notice, most = 3 * time.Second, 500 * time.Millisecond, 2
	withFleet(t, func(t *testing.T, r *testFleet) {
		var resting []*server.Server
		r.eachServer(func(s *server.Server) {
			if len(resting) < 3 {
				resting = append(resting, s)
			}
		})
		r.underLoad(50, 10*time.Second, func() {
			for _, s := range resting {
				s.SetFault(server.Fault{Rest: rest.Seconds()})
			}
			time.Sleep(rest)
		})
		for _, s := range resting {
			all := s.Record().Arrivals
			n := 0
			for _, at := range all {
				if since := at.Sub(all[0]); since > notice && since < rest {
					n++
				}
			}
			if len(all) == 0 || n > most {
				t.Errorf("%s received %d parts, %d of them while it wanted none, want some and at most %d", s.Name(), len(all), n, most)
			}
		}
	})
}
