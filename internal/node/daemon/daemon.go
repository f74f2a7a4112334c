package daemon

import (
	"context"
	"encoding/hex"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"kumquatreel.example/kumquatreel/internal/base/clock"
	"kumquatreel.example/kumquatreel/internal/conf/config"
	"kumquatreel.example/kumquatreel/internal/fleet/agent"
	"kumquatreel.example/kumquatreel/internal/node/entry"
	"kumquatreel.example/kumquatreel/internal/node/mesh"
	"kumquatreel.example/kumquatreel/internal/node/metric"
	"kumquatreel.example/kumquatreel/internal/node/owner"
	"kumquatreel.example/kumquatreel/internal/node/trace"
	"kumquatreel.example/kumquatreel/internal/wire/netio"
)

const (
	loadPeriod   = 100 * time.Millisecond
	fullLoad     = 200
	idlePeriod   = 20 * time.Millisecond
	releaseLimit = 500 * time.Millisecond
	// readyLoans is how many loans' time a view has to stand before the VM counts as ready.
	readyLoans = 2
)

// Daemon is the process of one VM.
type Daemon struct {
	settings config.Settings
	clock    clock.Source
	log      *log.Logger
	mesh     *mesh.Mesh
	owner    *owner.Owner
	entry    *entry.Entry
	metrics  *metric.Set
	traces   trace.Store
	stops    []func(context.Context) error
	cleanups []func()
}

// Options are what a Daemon needs besides its settings.
type Options struct {
	Network netio.Network
	Clock   clock.Source
	Log     *log.Logger
	// Seed makes the process's random choices; its incarnation comes from it, so it must differ at every start.
	Seed [32]byte
}

// New starts a VM's process and returns a function that ends it at once.
func New(settings config.Settings, opts Options) (*Daemon, func(), error) {
	rng := rand.New(rand.NewChaCha8(opts.Seed))
	incarnation := newIncarnation(rng)
	d := &Daemon{
		settings: settings, clock: opts.Clock, metrics: metric.New(),
		log: opts.Log.WithPrefix("vm"),
	}
	var cleanup func()
	d.mesh, cleanup = mesh.New(settings, opts.Clock, opts.Network, opts.Log, d.metrics, incarnation, fork(rng))
	d.cleanups = append(d.cleanups, cleanup)
	d.owner, cleanup = owner.New(settings, opts.Clock, d.mesh, opts.Network, opts.Log, d.metrics)
	d.cleanups = append(d.cleanups, cleanup)
	d.entry = entry.New(settings, opts.Clock, d.mesh, d.owner, opts.Log, d.metrics, &d.traces, incarnation, fork(rng))
	ctx, cancel := context.WithCancel(context.Background())
	d.cleanups = append(d.cleanups, cancel)
	go d.loadLoop(ctx)
	if err := d.serve(opts.Network); err != nil {
		d.Kill()
		return nil, nil, errors.Errorf("start VM %s: %w", settings.Name(), err)
	}
	d.log.Info("started", "name", settings.Name(), "incarnation", incarnation, "caller", settings.ClientAddress())
	return d, d.Kill, nil
}

func newIncarnation(rng *rand.Rand) string {
	var raw [6]byte
	for i := range raw {
		raw[i] = byte(rng.Uint32())
	}
	return hex.EncodeToString(raw[:])
}

func fork(rng *rand.Rand) *rand.Rand { return rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64())) }

func (d *Daemon) serve(n netio.Network) error {
	for _, s := range []struct {
		address string
		handler http.Handler
	}{
		{d.settings.InnerAddress(), d.innerHandler()},
		{d.settings.OperatorAddress(), d.operatorHandler()},
		{d.settings.ClientAddress(), d.entry.Handler()},
	} {
		_, stop, err := netio.Serve(n, s.address, s.handler)
		if err != nil {
			return errors.Errorf("serve: %w", err)
		}
		d.stops = append(d.stops, stop)
	}
	return nil
}

// Kill ends the process at once; what is in progress is lost.
func (d *Daemon) Kill() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for _, stop := range d.stops {
		_ = stop(ctx)
	}
	for i := range d.cleanups {
		d.cleanups[len(d.cleanups)-1-i]()
	}
	d.stops, d.cleanups = nil, nil
}

// Shutdown ends the process without cutting a request: it leaves the directory, goes on accepting for as
// long as callers keep its address, finishes what is in progress, waits for its loans to end, and releases
// its claims. It returns an error when ctx ends first.
func (d *Daemon) Shutdown(ctx context.Context) error {
	defer d.Kill()
	d.mesh.Leave()
	d.log.Info("leaving")
	if !clock.Sleep(ctx, d.settings.Linger()) {
		return errors.Errorf("shutdown: %w", ctx.Err())
	}
	d.owner.Drain()
	d.mesh.WithAgent(func(_ clock.Instant, a *agent.Agent) { a.StopGranting() })
	for d.entry.Active() > 0 || d.owner.Outstanding() > 0 || d.lent() > 0 {
		if !clock.Sleep(ctx, idlePeriod) {
			return errors.Errorf("shutdown with work in progress: %w", ctx.Err())
		}
	}
	release, cancel := context.WithTimeout(ctx, releaseLimit)
	defer cancel()
	d.mesh.Release(release)
	for _, stop := range d.stops {
		if err := stop(ctx); err != nil {
			d.log.Warn("listener not stopped cleanly", "reason", err)
		}
	}
	d.stops = nil
	d.log.Info("left")
	return nil
}

// Ready reports whether the VM may serve callers.
func (d *Daemon) Ready() bool { return d.mesh.Fresh() && d.holds() }

func (d *Daemon) holds() bool {
	ok := false
	d.mesh.WithAgent(func(now clock.Instant, a *agent.Agent) {
		m := a.Membership()
		ok = m.HoldsShares(now) && !m.Leaving() && m.ViewConfirmedFor(now) >= readyLoans*d.settings.LeaseDuration()
	})
	return ok
}

func (d *Daemon) lent() int {
	n := 0
	d.mesh.WithAgent(func(now clock.Instant, a *agent.Agent) { n = a.LeasedOut(now) })
	return n
}

// loadLoop tells the agent how busy the VM is.
func (d *Daemon) loadLoop(ctx context.Context) {
	for clock.Sleep(ctx, loadPeriod) {
		load := float64(d.entry.Active()) / fullLoad
		d.mesh.WithAgent(func(_ clock.Instant, a *agent.Agent) { a.SetLoad(load) })
	}
}
