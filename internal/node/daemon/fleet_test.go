package daemon_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/conf/config"
	"kumquatreel.example/kumquatreel/internal/conf/schema"
	"kumquatreel.example/kumquatreel/internal/stand/local"
	"kumquatreel.example/kumquatreel/internal/stand/memnet"
	"kumquatreel.example/kumquatreel/internal/stand/sample"
	"kumquatreel.example/kumquatreel/internal/stand/server"
	"kumquatreel.example/kumquatreel/internal/wire/client"
	"kumquatreel.example/kumquatreel/internal/wire/public"
)

// testFleet is a complete fleet in virtual time, with a network and stand-ins that record violations.
type testFleet struct {
	t      *testing.T
	net    *memnet.Net
	fleet  *local.Fleet
	client *client.Client
	ops    atomic.Int64
	logs   *logBuffer
}

// withFleet runs a test with a complete fleet in virtual time and verifies the fleet's invariants afterwards.
func withFleet(t *testing.T, do func(*testing.T, *testFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New(500 * time.Microsecond)
		n.Mark(server.KeyMark)
		logs := &logBuffer{}
		fleet, stop, err := local.Start(sample.Small(9000), local.Options{
			Network: n.Host, Warm: true, Seed: 7, Log: log.NewWithOptions(logs, log.Options{Level: log.DebugLevel, Formatter: log.LogfmtFormatter}),
			Tune: func(c *config.Text) { c.HoldMillis, c.ReclaimMillis = 8000, 12000 },
		})
		if err != nil {
			t.Fatal(err)
		}
		// Goroutines of connections that are being closed need time to end.
		defer time.Sleep(time.Second)
		defer n.Close()
		defer stop()
		c, closeIdle := fleet.Client(team)
		defer closeIdle()
		r := &testFleet{t: t, net: n, fleet: fleet, client: c, logs: logs}
		r.waitReady(time.Minute)
		do(t, r)
		n.Observe(nil)
		n.Heal()
		r.verify()
	})
}

// waitReady waits until all VMs are ready and published changes are in force.
func (r *testFleet) waitReady(timeout time.Duration) {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(r.t.Context(), timeout)
	defer cancel()
	if err := r.fleet.WaitReady(ctx); err != nil {
		for i := range 3 {
			if d := r.fleet.VM(i); d != nil {
				r.t.Logf("%+v", d.Status())
			}
		}
		r.t.Fatal(err)
	}
	time.Sleep(maxPropagation)
}

// verify checks the records of the stand-ins and of the network, and the logs: no key leaves the clients, no backend
// server exceeds its limits, and no operation runs twice.
func (r *testFleet) verify() {
	r.t.Helper()
	assertNoKey(r.t, "the logs", r.logs.String())
	for from, messages := range r.net.Marked() {
		if from != "caller" {
			r.t.Errorf("%s sent %d messages that contain a key", from, messages)
		}
	}
	r.fleet.Backends(func(text schema.ServerText, s *server.Server) {
		rec := s.Record()
		slots := 2
		if strings.HasPrefix(string(text.Name), "book") {
			slots = 4
		}
		assertAtMost(r.t, text.Name, "parts in progress", rec.MaxInFlight, slots)
		assertAtMost(r.t, text.Name, "overruns of a cold start", rec.ColdOverruns, 0)
		assertAtMost(r.t, text.Name, "connections refused", rec.OverConnections, 0)
		assertAtMost(r.t, text.Name, "keys seen", rec.KeysSeen, 0)
		for op, runs := range rec.RunsByRecord {
			assertAtMost(r.t, text.Name, "runs of "+op, runs, 1)
		}
	})
}

// logBuffer collects the logs of the VMs.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write appends to the log.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// String returns the complete log.
func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

func assertNoKey(t *testing.T, where, text string) {
	t.Helper()
	if at := strings.Index(text, server.KeyMark); at >= 0 {
		t.Errorf("%s: key found: %.80s", where, text[max(0, at-40):])
	}
}

func assertAtMost(t *testing.T, name ident.Server, what string, got, limit int) {
	t.Helper()
	if got > limit {
		t.Errorf("server %s: %d %s, want at most %d", name, got, what, limit)
	}
}

// runs returns how often an operation ran, summed over all backend servers.
func (r *testFleet) runs(op string) int {
	n := 0
	r.fleet.Backends(func(_ schema.ServerText, s *server.Server) { n += s.Record().RunsByRecord[op] })
	return n
}

// query sends an idempotent request and checks that its answer is consistent.
func (r *testFleet) query(ctx context.Context) error {
	answer, err := r.client.Query(ctx, public.Query{Route: "all"})
	if err == nil {
		assertConsistentAnswer(r.t, answer)
	}
	return err
}

// assertConsistentAnswer checks that the coverage matches the items and that all items come from one snapshot.
func assertConsistentAnswer(t *testing.T, a *public.Answer) {
	t.Helper()
	found := make(map[string]int)
	for _, item := range a.Items {
		shard := item.ID[:strings.LastIndex(item.ID, "-")]
		service := shard[:strings.LastIndex(shard, "-")]
		found[shard]++
		var body struct {
			Version int `json:"version"`
		}
		if err := json.Unmarshal(item.Body, &body); err != nil {
			t.Errorf("item %s: %v", item.ID, err)
		}
		if want := a.Snapshot.Versions[ident.Service(service)]; body.Version != want {
			t.Errorf("item %s has version %d, the snapshot has %d", item.ID, body.Version, want)
		}
	}
	for _, m := range a.Coverage.Missing {
		if n := found[fmt.Sprintf("%s-%d", m.Service, m.Shard)]; n > 0 {
			t.Errorf("shard %d of %s is listed as missing but has %d items", m.Shard, m.Service, n)
		}
	}
	for shard, n := range found {
		if n != 3 {
			t.Errorf("shard %s has %d items, want 3", shard, n)
		}
	}
	if len(found) != a.Coverage.Shards || a.Coverage.Shards+len(a.Coverage.Missing) != a.Coverage.ShardsTotal {
		t.Errorf("coverage reports %d of %d shards, the answer has items of %d", a.Coverage.Shards, a.Coverage.ShardsTotal, len(found))
	}
}

// booking sends a request that is not idempotent, up to maxAttempts times with the same ticket until it is answered, and
// checks at the end of the test that the reported outcome agrees with the number of runs.
func (r *testFleet) booking(ctx context.Context, maxAttempts int) error {
	op := fmt.Sprintf("op-%d", r.ops.Add(1))
	q := public.Query{Route: "book", Record: "bike", Body: json.RawMessage(`{"operation":"` + op + `"}`)}
	if tickets, err := r.client.Tickets(ctx, 1); err == nil {
		q.Ticket = tickets.Tickets[0]
	}
	var err error
	for range maxAttempts {
		if _, err = r.client.Query(ctx, q); err == nil || q.Ticket == "" {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	var refused *client.Error
	r.t.Cleanup(func() {
		switch runs := r.runs(op); {
		case runs > 1:
			r.t.Errorf("%s ran %d times", op, runs)
		case err == nil && runs != 1:
			r.t.Errorf("%s was answered but ran %d times", op, runs)
		case errors.As(err, &refused) && refused.NotRun() && maxAttempts == 1 && runs != 0:
			r.t.Errorf("%s was reported as not run but ran %d times: %v", op, runs, err)
		}
	})
	return err
}
