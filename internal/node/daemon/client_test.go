package daemon_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatreel.example/kumquatreel/internal/base/fault"
	"kumquatreel.example/kumquatreel/internal/stand/server"
	"kumquatreel.example/kumquatreel/internal/wire/client"
	"kumquatreel.example/kumquatreel/internal/wire/netio"
	"kumquatreel.example/kumquatreel/internal/wire/public"
)

// TestOpenRouteNeedsNoKey guards against open routes that ask for a key and other routes that accept none or a wrong one.
func TestOpenRouteNeedsNoKey(t *testing.T) {
	withFleet(t, func(t *testing.T, r *testFleet) {
		c, closeIdle := client.New(r.net.Host("caller"), []string{r.fleet.Deployment.List().VMs[0].Client}, "", "")
		defer closeIdle()
		phase(t, "an open route answers", func() {
			if _, err := c.Query(t.Context(), public.Query{Route: "public"}); err != nil {
				t.Error(err)
			}
		})
		phase(t, "a wrong key is refused", func() {
			wrong, closeWrong := client.New(r.net.Host("caller"), []string{r.fleet.Deployment.List().VMs[0].Client}, "", "secret-nobody")
			defer closeWrong()
			_, err := wrong.Query(t.Context(), public.Query{Route: "all"})
			assertRefused(t, err, fault.CodeUnauthorized)
		})
		phase(t, "another route refuses", func() {
			_, err := c.Query(t.Context(), public.Query{Route: "all"})
			assertRefused(t, err, fault.CodeUnauthorized)
		})
	})
}

// TestBadRequests guards against invalid requests that run or are refused with a misleading code.
func TestBadRequests(t *testing.T) {
	withFleet(t, func(t *testing.T, r *testFleet) {
		address := r.fleet.Deployment.List().VMs[0].Client
		for name, c := range map[string]struct {
			query public.Query
			code  fault.Code
		}{
			"unknown route":         {public.Query{Route: "nowhere"}, fault.CodeNotFound},
			"no record":             {public.Query{Route: "book"}, fault.CodeBadRequest},
			"ticket where none is":  {public.Query{Route: "all", Ticket: "x"}, fault.CodeBadRequest},
			"malformed ticket":      {public.Query{Route: "book", Record: "b", Ticket: "x"}, fault.CodeBadRequest},
			"negative deadline":     {public.Query{Route: "all", DeadlineMillis: -1}, fault.CodeBadRequest},
			"limit out of range":    {public.Query{Route: "all", Limit: -1}, fault.CodeBadRequest},
			"body above its bounds": {public.Query{Route: "all", Record: string(make([]byte, 70<<10))}, fault.CodeTooLarge},
		} {
			phase(t, name, func() {
				_, err := r.client.QueryAt(t.Context(), address, c.query)
				assertRefused(t, err, c.code)
			})
		}
	})
}

// TestTicketElsewhere guards against a second run of a request when its ticket is used at several VMs, and when the
// process that issued the ticket is gone and its record of the run is lost.
func TestTicketElsewhere(t *testing.T) {
	withFleet(t, func(t *testing.T, r *testFleet) {
		tickets, err := r.client.Tickets(t.Context(), 2)
		if err != nil {
			t.Fatal(err)
		}
		q := func(i int) public.Query {
			return public.Query{Route: "book", Record: "b", Ticket: tickets.Tickets[i], Body: []byte(fmt.Sprintf(`{"operation":"elsewhere-%d"}`, i))}
		}
		phase(t, "another VM passes it on and it runs once", func() {
			for _, vm := range r.fleet.Deployment.List().VMs {
				if _, err := r.client.QueryAt(t.Context(), vm.Client, q(0)); err != nil {
					t.Errorf("%s: %v", vm.Name, err)
				}
			}
			if n := r.runs("elsewhere-0"); n != 1 {
				t.Errorf("request ran %d times, want once", n)
			}
		})
		phase(t, "after a restart of its VM the outcome is unknown", func() {
			for i, vm := range r.fleet.Deployment.List().VMs {
				if vm.Client == tickets.Address {
					r.fleet.KillVM(i)
					r.startReplacement(i)
				}
			}
			r.waitReady(time.Minute)
			for _, vm := range r.fleet.Deployment.List().VMs {
				_, err := r.client.QueryAt(t.Context(), vm.Client, q(1))
				var refused *client.Error
				if !errors.As(err, &refused) || refused.Code() != fault.CodeOutcomeUnknown || refused.NotRun() {
					t.Errorf("%s: %v", vm.Name, err)
				}
			}
			if n := r.runs("elsewhere-1"); n != 0 {
				t.Errorf("request ran %d times, want none", n)
			}
		})
	})
}

// TestOperatorPages requests every operator page after an answered and a refused request: it guards against missing
// fields and against keys that are shown.
func TestOperatorPages(t *testing.T) {
	withFleet(t, func(t *testing.T, r *testFleet) {
		vm := r.fleet.Deployment.Settings(0)
		answer, err := r.client.QueryAt(t.Context(), vm.Client, public.Query{Route: "all"})
		if err != nil {
			t.Fatal(err)
		}
		_, err = r.client.QueryAt(t.Context(), vm.Client, public.Query{Route: "nowhere"})
		assertRefused(t, err, fault.CodeNotFound)
		for path, wants := range map[string][]string{
			"/healthz":                      nil,
			"/readyz":                       nil,
			"/status":                       {`"preset":"ordinary"`, `"holdsClaims":true`, `"warmth":`},
			"/metrics":                      {`kumquatreel_request_seconds_bucket{class="search",team="team0"`, `code="notFound"`, `kumquatreel_owner_queue_seconds_bucket{team="team0"`},
			"/requests/" + answer.RequestID: {`"what":"send"`, `"what":"answered"`, `"result":"answered"`},
		} {
			page := r.page(vm.Operator, path)
			assertNoKey(t, "the page "+path, page)
			for _, want := range wants {
				if !strings.Contains(page, want) {
					t.Errorf("page %s does not contain %s", path, want)
				}
			}
		}
	})
}

func (r *testFleet) page(address, path string) string {
	transport, closeIdle := netio.Transport(r.net.Host("operator"), 1)
	defer closeIdle()
	req, err := http.NewRequestWithContext(r.t.Context(), http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		r.t.Fatal(err)
	}
	resp, err := (&http.Client{Transport: transport}).Do(req)
	if err != nil {
		r.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		r.t.Errorf("page %s: status %d, error %v", path, resp.StatusCode, err)
	}
	return string(raw)
}

// TestStartingVMNamesNobody guards against a directory answer from a VM that has just started and has no fresh
// information about the fleet.
func TestStartingVMNamesNobody(t *testing.T) {
	withFleet(t, func(t *testing.T, r *testFleet) {
		r.fleet.KillVM(0)
		r.startReplacement(0)
		vmClient, closeIdle := client.New(r.net.Host("caller"), []string{r.fleet.Deployment.List().VMs[0].Client}, team, "")
		defer closeIdle()
		for range 300 {
			if d, err := vmClient.Directory(t.Context()); err == nil && !r.fleet.VM(0).Status().Fresh {
				t.Fatalf("VM without fresh information returned the addresses %v", d.Addresses)
			}
			time.Sleep(10 * time.Millisecond)
		}
	})
}

// TestSlowCaller guards against a client that holds a connection by sending a body that never ends.
func TestSlowCaller(t *testing.T) {
	withFleet(t, func(t *testing.T, r *testFleet) {
		conn, err := r.net.Host("caller").Dial(t.Context(), r.fleet.Deployment.List().VMs[0].Client)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(conn, "POST /v1/query HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{"); err != nil {
			t.Fatal(err)
		}
		startedAt := time.Now()
		answer, _ := io.ReadAll(conn)
		if took := time.Since(startedAt); took > 10*time.Second || !strings.Contains(string(answer), "badRequest") {
			t.Errorf("after %v the response was %q", took, answer)
		}
	})
}

// TestWholeAnswers guards against counting a shard as covered when its server's response is incomplete or wrong.
func TestWholeAnswers(t *testing.T) {
	for name, f := range map[string]server.Fault{
		"truncated": {Truncate: true}, "corrupted": {Corrupt: true}, "crossed": {WrongRequestID: true},
		"crossed with a refusal": {CrossedRefusal: true}, "of another version": {OtherVersion: true}, "partial": {Partial: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			withFleet(t, func(t *testing.T, r *testFleet) {
				r.allServers(f)
				answer, err := r.client.Query(t.Context(), public.Query{Route: "all"})
				var refused *client.Error
				if !errors.As(err, &refused) || refused.Code() != fault.CodeLowCoverage {
					t.Errorf("wrong responses resulted in answer %+v, error %v", answer, err)
				}
				if refused != nil && refused.NotRun() {
					t.Error("request was reported as not run, but its parts ran")
				}
			})
		})
	}
}
