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

// rig is a whole fleet in virtual time with its judge.
type rig struct {
	t      *testing.T
	net    *memnet.Net
	fleet  *local.Fleet
	client *client.Client
	ops    atomic.Int64
	logs   *logBuffer
}

// inBubble runs a test of a whole fleet in virtual time.
func inBubble(t *testing.T, do func(*testing.T, *rig)) {
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
		// Connections that are being closed linger for a while.
		defer time.Sleep(time.Second)
		defer n.Close()
		defer stop()
		c, closeIdle := fleet.Client(team)
		defer closeIdle()
		r := &rig{t: t, net: n, fleet: fleet, client: c, logs: logs}
		r.settle(time.Minute)
		do(t, r)
		n.Observe(nil)
		n.Heal()
		r.judge()
	})
}

func (r *rig) settle(limit time.Duration) {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(r.t.Context(), limit)
	defer cancel()
	if err := r.fleet.WaitReady(ctx); err != nil {
		for i := range 3 {
			if d := r.fleet.VM(i); d != nil {
				r.t.Logf("%+v", d.Status())
			}
		}
		r.t.Fatal(err)
	}
	time.Sleep(newsLimit)
}

// judge checks what the stand-ins and the logs saw.
func (r *rig) judge() {
	r.t.Helper()
	assertNoKey(r.t, "the logs", r.logs.String())
	for from, messages := range r.net.Marked() {
		if from != "caller" {
			r.t.Errorf("%s sent %d messages that hold a key", from, messages)
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

// logBuffer keeps what VMs log.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write keeps a line.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// String returns all lines.
func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

func assertNoKey(t *testing.T, where, text string) {
	t.Helper()
	if at := strings.Index(text, server.KeyMark); at >= 0 {
		t.Errorf("%s hold a key: %.80s", where, text[max(0, at-40):])
	}
}

func assertAtMost(t *testing.T, name ident.Server, what string, got, most int) {
	t.Helper()
	if got > most {
		t.Errorf("server %s: %d %s, at most %d are allowed", name, got, what, most)
	}
}

// runs returns how often an operation ran anywhere.
func (r *rig) runs(op string) int {
	n := 0
	r.fleet.Backends(func(_ schema.ServerText, s *server.Server) { n += s.Record().RunsByRecord[op] })
	return n
}

// query sends an idempotent request and checks that its answer is true.
func (r *rig) query(ctx context.Context) error {
	answer, err := r.client.Query(ctx, public.Query{Route: "all"})
	if err == nil {
		assertTrueAnswer(r.t, answer)
	}
	return err
}

// assertTrueAnswer checks that coverage matches the items and that all come from one snapshot.
func assertTrueAnswer(t *testing.T, a *public.Answer) {
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
			t.Errorf("item %s is of version %d, the snapshot has %d", item.ID, body.Version, want)
		}
	}
	for _, m := range a.Coverage.Missing {
		if n := found[fmt.Sprintf("%s-%d", m.Service, m.Shard)]; n > 0 {
			t.Errorf("shard %d of %s is said to be missing but has %d items", m.Shard, m.Service, n)
		}
	}
	for shard, n := range found {
		if n != 3 {
			t.Errorf("shard %s has %d items instead of 3", shard, n)
		}
	}
	if len(found) != a.Coverage.Shards || a.Coverage.Shards+len(a.Coverage.Missing) != a.Coverage.ShardsTotal {
		t.Errorf("coverage says %d of %d shards, %d are there", a.Coverage.Shards, a.Coverage.ShardsTotal, len(found))
	}
}

// booking sends a request that may run once, repeats it with its ticket while the outcome is unknown, and checks what it was told.
func (r *rig) booking(ctx context.Context, repeats int) error {
	op := fmt.Sprintf("op-%d", r.ops.Add(1))
	q := public.Query{Route: "book", Record: "bike", Body: json.RawMessage(`{"operation":"` + op + `"}`)}
	if tickets, err := r.client.Tickets(ctx, 1); err == nil {
		q.Ticket = tickets.Tickets[0]
	}
	var err error
	for range repeats {
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
			r.t.Errorf("%s was answered and ran %d times", op, runs)
		case errors.As(err, &refused) && refused.NotRun() && repeats == 1 && runs != 0:
			r.t.Errorf("%s was said not to have run and ran %d times: %v", op, runs, err)
		}
	})
	return err
}
