package local

import (
	"context"
	"encoding/binary"
	"io"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"kumquatreel.example/kumquatreel/internal/base/clock"
	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/conf/config"
	"kumquatreel.example/kumquatreel/internal/conf/schema"
	"kumquatreel.example/kumquatreel/internal/node/daemon"
	"kumquatreel.example/kumquatreel/internal/stand/sample"
	"kumquatreel.example/kumquatreel/internal/stand/server"
	"kumquatreel.example/kumquatreel/internal/stand/store"
	"kumquatreel.example/kumquatreel/internal/wire/client"
	"kumquatreel.example/kumquatreel/internal/wire/netio"
)

const pollInterval = 20 * time.Millisecond

// Keys of the documents published in the platform.
const (
	KeyConfiguration = "configuration"
	KeyVMs           = "vms"
)

// Options configure a Fleet.
type Options struct {
	// Network returns the network as seen by the named process of the deployment.
	Network func(name string) netio.Network
	// Log receives the VMs' logs, which are discarded if it is nil.
	Log *log.Logger
	// Tune, when set, may change the settings of each VM before it starts.
	Tune func(*config.Text)
	// TuneModel, when set, may change the model of each backend server before it starts.
	TuneModel func(*server.Model)
	// Warm starts the backend servers without a cold start.
	Warm bool
	Seed uint64
}

// Fleet is a deployment that runs in one process.
type Fleet struct {
	Deployment sample.Deployment
	Platform   *store.Platform

	opts     Options
	mu       sync.Mutex
	doc      schema.Text
	vms      []*daemon.Daemon
	kills    []func()
	backends map[ident.Server]*server.Server
	stops    []func()
	starts   uint64
}

// TCP returns the host's TCP network for any process name; see Options.Network.
func TCP(string) netio.Network { return netio.TCP{} }

// Start runs a deployment. It returns the fleet and a function that stops it, or an error if a process cannot start.
func Start(d sample.Deployment, opts Options) (*Fleet, func(), error) {
	if opts.Log == nil {
		opts.Log = log.New(io.Discard)
	}
	f := &Fleet{
		Deployment: d, Platform: store.New(), opts: opts, doc: d.Document(),
		vms: make([]*daemon.Daemon, d.VMs), kills: make([]func(), d.VMs), backends: make(map[ident.Server]*server.Server),
	}
	if err := f.startAll(); err != nil {
		f.stop()
		return nil, nil, err
	}
	return f, f.stop, nil
}

func (f *Fleet) startAll() error {
	f.PublishVMs(f.Deployment.List())
	f.Publish(func(*schema.Text) {})
	_, stop, err := netio.Serve(f.opts.Network("platform"), f.Deployment.PlatformAddress(), f.Platform.Handler())
	if err != nil {
		return errors.Errorf("start platform: %w", err)
	}
	f.stops = append(f.stops, func() { _ = stop(cancelledContext()) })
	for i, m := range f.Deployment.Models(f.doc, f.opts.Seed) {
		if f.opts.TuneModel != nil {
			f.opts.TuneModel(&m)
		}
		s := server.New(m)
		if f.opts.Warm {
			s.Warm()
		}
		_, stop, err := s.Start(f.opts.Network(string(m.Name)), f.doc.Servers[i].Address)
		if err != nil {
			return err
		}
		f.stops = append(f.stops, stop)
		f.backends[m.Name] = s
	}
	for i := range f.Deployment.VMs {
		if err := f.StartVM(i); err != nil {
			return err
		}
	}
	return nil
}

// cancelledContext returns a cancelled context, with which an HTTP server shuts down without waiting for requests.
func cancelledContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// StartVM starts the process of the i-th VM, which must not be running.
func (f *Fleet) StartVM(i int) error {
	text := f.Deployment.Settings(i)
	if f.opts.Tune != nil {
		f.opts.Tune(&text)
	}
	settings, faults := config.New(text)
	if len(faults) > 0 {
		return errors.Errorf("settings of VM %d: %w", i, faults)
	}
	opts := daemon.Options{Network: f.opts.Network(string(text.Name)), Clock: &clock.System{}, Log: f.opts.Log.With("vm", text.Name)}
	f.mu.Lock()
	f.starts++
	binary.LittleEndian.PutUint64(opts.Seed[:], f.opts.Seed)
	binary.LittleEndian.PutUint64(opts.Seed[8:], f.starts)
	f.mu.Unlock()
	d, kill, err := daemon.New(settings, opts)
	if err != nil {
		return errors.Errorf("start VM %d: %w", i, err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.vms[i], f.kills[i] = d, kill
	return nil
}

// KillVM stops the process of the i-th VM immediately; it does nothing if the VM does not run.
func (f *Fleet) KillVM(i int) {
	f.mu.Lock()
	kill := f.kills[i]
	f.vms[i], f.kills[i] = nil, nil
	f.mu.Unlock()
	if kill != nil {
		kill()
	}
}

// ShutdownVM shuts down the process of the i-th VM gracefully. It must be running.
func (f *Fleet) ShutdownVM(ctx context.Context, i int) error {
	f.mu.Lock()
	d := f.vms[i]
	f.vms[i], f.kills[i] = nil, nil
	f.mu.Unlock()
	if err := d.Shutdown(ctx); err != nil {
		return errors.Errorf("shut down VM %d: %w", i, err)
	}
	return nil
}

// VM returns the process of the i-th VM, or nil if it does not run.
func (f *Fleet) VM(i int) *daemon.Daemon {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.vms[i]
}

// Backend returns the backend server with the given name, or nil.
func (f *Fleet) Backend(name ident.Server) *server.Server { return f.backends[name] }

// Backends calls do with the published entry of each backend server and the server, in published order.
func (f *Fleet) Backends(do func(schema.ServerText, *server.Server)) {
	f.mu.Lock()
	servers := f.doc.Servers
	f.mu.Unlock()
	for _, s := range servers {
		do(s, f.backends[s.Name])
	}
}

// Publish applies change to the configuration, publishes it and returns its revision.
func (f *Fleet) Publish(change func(*schema.Text)) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.doc)
	return f.Platform.Put(KeyConfiguration, sample.JSON(f.doc))
}

// PublishVMs publishes a list of VMs.
func (f *Fleet) PublishVMs(list schema.VMListText) { f.Platform.Put(KeyVMs, sample.JSON(list)) }

// WaitReady waits until every running VM is fresh, holds its shares and has a settled membership view. It returns an error
// if ctx ends first.
func (f *Fleet) WaitReady(ctx context.Context) error {
	return f.WaitUntil(ctx, func(s daemon.Status) bool { return s.Fresh && s.HoldsShares && s.ViewSettled })
}

// WaitUntil polls until passes is true for the status of every running VM. It returns an error if ctx ends first.
func (f *Fleet) WaitUntil(ctx context.Context, passes func(daemon.Status) bool) error {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for {
		all := true
		for i := range f.vms {
			if d := f.VM(i); d != nil && !passes(d.Status()) {
				all = false
			}
		}
		if all {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Errorf("wait for the VMs: %w", ctx.Err())
		case <-t.C:
		}
	}
}

// Client returns a client of a team with all VMs as seeds, and a function that closes it.
func (f *Fleet) Client(team ident.Team) (*client.Client, func()) {
	var seeds []string
	for _, vm := range f.Deployment.List().VMs {
		seeds = append(seeds, vm.Client)
	}
	return client.New(f.opts.Network("caller"), seeds, team, sample.Key(team))
}

func (f *Fleet) stop() {
	for i := range f.vms {
		f.KillVM(i)
	}
	for i := range f.stops {
		f.stops[len(f.stops)-1-i]()
	}
}
