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
	loadInterval = 100 * time.Millisecond
	// fullLoadRequests is the number of requests in progress that is reported as a load of 1.
	fullLoadRequests  = 200
	drainPollInterval = 20 * time.Millisecond
	releaseTimeout    = 500 * time.Millisecond
	// minConfirmedLeases is how long a membership view must have been confirmed before the VM counts as ready, in lease durations.
	minConfirmedLeases = 2
)

// Daemon is the process of one VM.
type Daemon struct {
	settings    config.Settings
	clock       clock.Source
	log         *log.Logger
	mesh        *mesh.Mesh
	owner       *owner.Owner
	entry       *entry.Entry
	metrics     *metric.Set
	traces      trace.Store
	stopServers []func(context.Context) error
	cleanups    []func()
}

// Options are the dependencies of a Daemon besides its settings.
type Options struct {
	Network netio.Network
	Clock   clock.Source
	Log     *log.Logger
	// LostLogLines returns how many lines the log's writer has lost. It is nil if that isn't known.
	LostLogLines func() int64
	// Seed seeds the random source, from which the incarnation is derived too, so it must differ at every start.
	Seed [32]byte
}

// New starts the process of a VM and returns a function that ends it at once, as Kill does.
func New(settings config.Settings, opts Options) (*Daemon, func(), error) {
	rng := rand.New(rand.NewChaCha8(opts.Seed))
	incarnation := newIncarnation(rng)
	d := &Daemon{
		settings: settings, clock: opts.Clock, metrics: metric.New(),
		log: opts.Log.WithPrefix("vm"),
	}
	if opts.LostLogLines != nil {
		d.metrics.WatchLostLogLines(opts.LostLogLines)
	}
	var cleanup func()
	d.mesh, cleanup = mesh.New(settings, opts.Clock, opts.Network, opts.Log, d.metrics, incarnation, deriveRand(rng))
	d.cleanups = append(d.cleanups, cleanup)
	d.owner, cleanup = owner.New(settings, opts.Clock, d.mesh, opts.Network, opts.Log, d.metrics)
	d.cleanups = append(d.cleanups, cleanup)
	d.entry = entry.New(settings, opts.Clock, d.mesh, d.owner, opts.Log, d.metrics, &d.traces, incarnation, deriveRand(rng))
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

func deriveRand(rng *rand.Rand) *rand.Rand { return rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64())) }

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
			return errors.Errorf("listen: %w", err)
		}
		d.stopServers = append(d.stopServers, stop)
	}
	return nil
}

// Kill ends the process at once; requests in progress are lost.
func (d *Daemon) Kill() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for _, stop := range d.stopServers {
		_ = stop(ctx)
	}
	for i := range d.cleanups {
		d.cleanups[len(d.cleanups)-1-i]()
	}
	d.stopServers, d.cleanups = nil, nil
}

// Shutdown ends the process without interrupting a request: it leaves the directory, continues to accept
// requests for as long as clients may cache its address, finishes the requests in progress, waits for the
// leases that it has granted to expire, and releases its shares. It returns an error when ctx ends first.
func (d *Daemon) Shutdown(ctx context.Context) error {
	defer d.Kill()
	d.mesh.Leave()
	d.log.Info("leaving")
	if !clock.Sleep(ctx, d.settings.Linger()) {
		return errors.Errorf("shutdown while clients may use the address: %w", ctx.Err())
	}
	d.owner.Drain()
	d.mesh.WithAgent(func(_ clock.Instant, a *agent.Agent) { a.StopGranting() })
	for d.entry.Active() > 0 || d.owner.Outstanding() > 0 || d.leasedUnits() > 0 {
		if !clock.Sleep(ctx, drainPollInterval) {
			return errors.Errorf("shutdown with work in progress: %w", ctx.Err())
		}
	}
	releaseCtx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	d.mesh.Release(releaseCtx)
	for _, stop := range d.stopServers {
		if err := stop(ctx); err != nil {
			d.log.Warn("listener not stopped cleanly", "reason", err)
		}
	}
	d.stopServers = nil
	d.log.Info("left")
	return nil
}

// Ready reports whether the VM may serve clients: its information is fresh, it may use its shares, and its membership
// view has been confirmed for long enough.
func (d *Daemon) Ready() bool { return d.mesh.Fresh() && d.viewReady() }

func (d *Daemon) viewReady() bool {
	ok := false
	d.mesh.WithAgent(func(now clock.Instant, a *agent.Agent) {
		m := a.Membership()
		ok = m.HoldsShares(now) && !m.Leaving() && m.ViewConfirmedFor(now) >= minConfirmedLeases*d.settings.LeaseDuration()
	})
	return ok
}

func (d *Daemon) leasedUnits() int {
	n := 0
	d.mesh.WithAgent(func(now clock.Instant, a *agent.Agent) { n = a.LeasedOut(now) })
	return n
}

// loadLoop reports the load of the VM to the agent until ctx ends.
func (d *Daemon) loadLoop(ctx context.Context) {
	for clock.Sleep(ctx, loadInterval) {
		load := float64(d.entry.Active()) / fullLoadRequests
		d.mesh.WithAgent(func(_ clock.Instant, a *agent.Agent) { a.SetLoad(load) })
	}
}
