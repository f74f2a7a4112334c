package bench

import (
	"context"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatreel.example/kumquatreel/internal/conf/schema"
	"kumquatreel.example/kumquatreel/internal/node/owner"
	"kumquatreel.example/kumquatreel/internal/stand/local"
	"kumquatreel.example/kumquatreel/internal/stand/sample"
	"kumquatreel.example/kumquatreel/internal/stand/server"
	"kumquatreel.example/kumquatreel/internal/wire/netio"
	"kumquatreel.example/kumquatreel/internal/wire/public"
)

const (
	costFirstPort = 19000
	costQueries   = 400
	costTimeout   = 90 * time.Second
)

// usage is the CPU time and the allocations, in objects and bytes, of the process since its start.
type usage struct {
	cpuTime time.Duration
	allocs  uint64
	bytes   uint64
}

func readUsage() (usage, error) {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return usage{}, errors.Errorf("read resource usage: %w", err)
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return usage{
		cpuTime: time.Duration(r.Utime.Nano() + r.Stime.Nano()),
		allocs:  m.Mallocs, bytes: m.TotalAlloc,
	}, nil
}

// measureCost measures the cost of a query through owners and, as its baseline, of one without them.
func measureCost(seed uint64) (Report, error) {
	r := Report{
		Target:  "no target of its own; the price of the owners' hop beside direct dispatch, all parties in one process over loopback",
		Columns: []string{"wall us", "cpu us", "cpu us/part", "allocs/part", "KB/part", "conns/server"},
		Met:     true,
	}
	ctx, cancel := context.WithTimeout(context.Background(), costTimeout)
	defer cancel()
	fleet, stop, err := local.Start(costDeployment(), local.Options{
		Network: local.TCP, Warm: true, Seed: seed,
		TuneModel: func(m *server.Model) { m.MedianServiceTime, m.ConnectCost = 0, 0 },
	})
	if err != nil {
		return r, err
	}
	defer stop()
	if err := fleet.WaitReady(ctx); err != nil {
		return r, err
	}
	time.Sleep(time.Second)
	c, closeIdle := fleet.Client("team0")
	defer closeIdle()
	throughOwners := func() error {
		_, err := c.Query(ctx, public.Query{Route: "search"})
		return err
	}
	direct, closeDirect := directQuery(ctx, fleet)
	defer closeDirect()
	for _, v := range []struct {
		name  string
		query func() error
	}{{"through owners", throughOwners}, {"direct", direct}} {
		row, err := queryCost(v.query, fleet)
		if err != nil {
			return r, err
		}
		r.Rows = append(r.Rows, Row{v.name, row})
	}
	return r, nil
}

// costDeployment is the small deployment with 32 shards and limits that no run reaches.
func costDeployment() sample.Deployment {
	d := sample.Small(costFirstPort)
	d.Kinds[0].Count = 32
	for i := range d.Teams {
		d.Teams[i].Rate, d.Teams[i].Burst = 100000, 10000
	}
	return d
}

// queryCost returns the cost of query as the mean of costQueries runs after 50 warm-up runs, in the order of the
// report's columns.
func queryCost(query func() error, fleet *local.Fleet) ([]float64, error) {
	for range 50 {
		if err := query(); err != nil {
			return nil, errors.Errorf("warm up: %w", err)
		}
	}
	before, err := readUsage()
	if err != nil {
		return nil, err
	}
	start := time.Now()
	for range costQueries {
		if err := query(); err != nil {
			return nil, errors.Errorf("query: %w", err)
		}
	}
	wall := time.Since(start)
	after, err := readUsage()
	if err != nil {
		return nil, err
	}
	conns, servers := 0, 0
	fleet.Backends(func(t schema.ServerText, s *server.Server) {
		if strings.HasPrefix(string(t.Name), "lookup") {
			conns += s.Record().MaxConnections
			servers++
		}
	})
	parts := float64(costQueries * fleet.Deployment.Kinds[0].Count)
	cpuMicros := float64((after.cpuTime - before.cpuTime).Microseconds())
	return []float64{
		float64(wall.Microseconds()) / costQueries, cpuMicros / costQueries, cpuMicros / parts,
		float64(after.allocs-before.allocs) / parts, float64(after.bytes-before.bytes) / parts / 1000,
		float64(conns) / float64(servers),
	}, nil
}

// directQuery returns a function that sends one part to a replica of each shard directly, without owners, and waits
// for all answers. It is the baseline of the cost measure.
func directQuery(ctx context.Context, fleet *local.Fleet) (do func() error, closeIdle func()) {
	t, closeIdle := netio.Transport(netio.TCP{}, 4)
	client := &http.Client{Transport: t}
	var addresses, services []string
	fleet.Backends(func(text schema.ServerText, _ *server.Server) {
		name := string(text.Name)
		if strings.HasPrefix(name, "lookup") && strings.HasSuffix(name, "-0") {
			addresses = append(addresses, text.Address)
			services = append(services, strings.TrimSuffix(name, "-0"))
		}
	})
	return func() error {
		var wg sync.WaitGroup
		errs := make(chan error, len(addresses))
		for i, address := range addresses {
			wg.Go(func() { errs <- directPart(ctx, client, address, services[i], i) })
		}
		wg.Wait()
		close(errs)
		for err := range errs {
			if err != nil {
				return err
			}
		}
		return nil
	}, closeIdle
}

func directPart(ctx context.Context, client *http.Client, address, service string, i int) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/shards/"+service+"/0", nil)
	if err != nil {
		return errors.Errorf("create request: %w", err)
	}
	req.Header.Set(owner.HeaderRequest, "direct-"+strconv.Itoa(i))
	req.Header.Set(owner.HeaderDeadline, "1000000")
	req.Header.Set(owner.HeaderVersion, "1")
	resp, err := client.Do(req)
	if err != nil {
		return errors.Errorf("send part: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	var answer owner.BackendAnswer
	return netio.ReadJSON(resp.Body, 1<<20, &answer)
}
