package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatreel.example/kumquatreel/internal/base/clock"
	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/base/sink"
	"kumquatreel.example/kumquatreel/internal/conf/schema"
	"kumquatreel.example/kumquatreel/internal/node/daemon"
	"kumquatreel.example/kumquatreel/internal/stand/local"
	"kumquatreel.example/kumquatreel/internal/stand/sample"
	"kumquatreel.example/kumquatreel/internal/stand/server"
	"kumquatreel.example/kumquatreel/internal/wire/client"
	"kumquatreel.example/kumquatreel/internal/wire/public"
)

const (
	demoTimeout = 14 * time.Second
	demoTeam    = ident.Team("team0")
	demoDomain  = ident.Domain("west")
	// firstLeaseDelay is how long the VMs need for their first leases.
	firstLeaseDelay = time.Second
)

type demoCommand struct {
	Port int `long:"port" default:"17400" description:"first of the loopback ports to use"`
}

// Execute runs the steps of the demo and returns an error at the first step with an unexpected result.
func (c *demoCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	fleet, stop, err := local.Start(sample.Small(c.Port), local.Options{Network: local.TCP, Warm: true, Seed: 1})
	if err != nil {
		return errors.Errorf("demo: %w", err)
	}
	defer stop()
	cl, closeIdle := fleet.Client(demoTeam)
	defer closeIdle()
	out, closeOut := sink.Open(os.Stdout, nil)
	defer closeOut()
	d := &demo{out: out, fleet: fleet, client: cl}
	for _, step := range []func(context.Context) error{d.ready, d.directory, d.query, d.booking, d.domainOut, d.domainBack, d.keyWithdrawn} {
		if err := step(ctx); err != nil {
			return errors.Errorf("demo: %w", err)
		}
	}
	_, _ = fmt.Fprintln(d.out, "done")
	return nil
}

type demo struct {
	out    io.Writer
	fleet  *local.Fleet
	client *client.Client
}

func (d *demo) ready(ctx context.Context) error {
	_, _ = fmt.Fprintln(d.out, "a platform, 24 backend servers and 3 entry VMs run over loopback")
	if err := d.fleet.WaitReady(ctx); err != nil {
		return err
	}
	_, _ = fmt.Fprintln(d.out, "the VMs have settled on one view of the fleet")
	clock.Sleep(ctx, firstLeaseDelay)
	return nil
}

func (d *demo) directory(ctx context.Context) error {
	dir, err := d.client.Directory(ctx)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(d.out, "the directory lists %d addresses and lets clients cache them for %d ms\n", len(dir.Addresses), dir.TTLMillis)
	return nil
}

func (d *demo) query(ctx context.Context) error {
	for range 3 {
		answer, err := d.client.Query(ctx, public.Query{Route: "all"})
		if err != nil {
			return err
		}
		c := answer.Coverage
		_, _ = fmt.Fprintf(d.out, "query %s: %d of %d shards, revision %d, %.1f ms\n", answer.RequestID, c.Shards, c.ShardsTotal,
			answer.Snapshot.Revision, float64(answer.Timing.TotalMicros)/1000)
	}
	return nil
}

func (d *demo) booking(ctx context.Context) error {
	tickets, err := d.client.Tickets(ctx, 1)
	if err != nil {
		return err
	}
	q := public.Query{Route: "book", Record: "bike-17", Ticket: tickets.Tickets[0], Body: json.RawMessage(`{"operation":"book-17"}`)}
	for range 3 {
		if _, err := d.client.Query(ctx, q); err != nil {
			return err
		}
	}
	runs := 0
	d.fleet.Backends(func(_ schema.ServerText, s *server.Server) { runs += s.Record().RunsByRecord["book-17"] })
	_, _ = fmt.Fprintf(d.out, "a booking was sent three times with one ticket and ran %d time(s)\n", runs)
	if runs != 1 {
		return errors.Newf("the booking ran %d times, want once", runs)
	}
	return nil
}

func (d *demo) domainOut(ctx context.Context) error {
	if err := d.setDomain(ctx, schema.DomainOut); err != nil {
		return err
	}
	before := d.runsInDomain(demoDomain)
	answer, err := d.client.Query(ctx, public.Query{Route: "all"})
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(d.out, "failure domain %s is out: %d of %d shards, %d new runs there\n", demoDomain, answer.Coverage.Shards,
		answer.Coverage.ShardsTotal, d.runsInDomain(demoDomain)-before)
	if d.runsInDomain(demoDomain) != before {
		return errors.Newf("failure domain %s received work while out of service", demoDomain)
	}
	return nil
}

func (d *demo) domainBack(ctx context.Context) error {
	if err := d.setDomain(ctx, schema.DomainIn); err != nil {
		return err
	}
	answer, err := d.client.Query(ctx, public.Query{Route: "all"})
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(d.out, "failure domain %s is back: %d of %d shards\n", demoDomain, answer.Coverage.Shards, answer.Coverage.ShardsTotal)
	return nil
}

func (d *demo) setDomain(ctx context.Context, state schema.DomainState) error {
	revision := d.fleet.Publish(func(t *schema.Text) { t.Domains[demoDomain] = state })
	return d.fleet.WaitUntil(ctx, func(s daemon.Status) bool { return s.Revision >= revision })
}

func (d *demo) runsInDomain(domain ident.Domain) int {
	n := 0
	d.fleet.Backends(func(t schema.ServerText, s *server.Server) {
		if t.Domain == domain {
			n += s.Record().Runs
		}
	})
	return n
}

func (d *demo) keyWithdrawn(ctx context.Context) error {
	revision := d.fleet.Publish(func(t *schema.Text) { t.Teams[0].Keys = nil })
	if err := d.fleet.WaitUntil(ctx, func(s daemon.Status) bool { return s.Revision >= revision }); err != nil {
		return err
	}
	_, err := d.client.Query(ctx, public.Query{Route: "all"})
	var refused *client.Error
	if !errors.As(err, &refused) || !refused.NotRun() {
		return errors.Newf("request with a withdrawn key was not refused: %v", err)
	}
	_, _ = fmt.Fprintln(d.out, "the team's key was withdrawn and is refused:", refused)
	return nil
}
