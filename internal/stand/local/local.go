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

const readyPeriod = 20 * time.Millisecond

// The keys of the published documents.
const (
	KeyConfiguration = "configuration"
	KeyVMs           = "vms"
)

// Options say how a Fleet is run.
type Options struct {
	// Network returns the network as one part of the deployment sees it.
	Network func(name string) netio.Network
	// Log receives the VMs' logs; nil drops them.
	Log *log.Logger
	// Tune may change the settings of each VM.
	Tune func(*config.Text)
	// TuneModel may change each backend server's model.
	TuneModel func(*server.Model)
	// Warm starts the backend servers warm.
	Warm bool
	Seed uint64
}

// Fleet is a deployment in one process.
type Fleet struct {
	Deployment sample.Deployment
	Platform   *store.Platform

	opts  Options
	mu    sync.Mutex
	doc   schema.Text
	vms   []*daemon.Daemon
	kills []func()
	back  map[ident.Server]*server.Server
	stops []func()
	start uint64
}

// TCP is the machine's network for every part.
func TCP(string) netio.Network { return netio.TCP{} }

// Start runs a deployment and returns a function that ends it.
func Start(d sample.Deployment, opts Options) (*Fleet, func(), error) {
	if opts.Log == nil {
		opts.Log = log.New(io.Discard)
	}
	f := &Fleet{
		Deployment: d, Platform: store.New(), opts: opts, doc: d.Document(),
		vms: make([]*daemon.Daemon, d.VMs), kills: make([]func(), d.VMs), back: make(map[ident.Server]*server.Server),
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
	f.stops = append(f.stops, func() { _ = stop(ended()) })
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
		f.back[m.Name] = s
	}
	for i := range f.Deployment.VMs {
		if err := f.StartVM(i); err != nil {
			return err
		}
	}
	return nil
}

// ended returns a context that has ended, with which servers stop at once.
func ended() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// StartVM starts the process of a VM, which must not run.
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
	f.start++
	binary.LittleEndian.PutUint64(opts.Seed[:], f.opts.Seed)
	binary.LittleEndian.PutUint64(opts.Seed[8:], f.start)
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

// KillVM ends the process of a VM at once.
func (f *Fleet) KillVM(i int) {
	f.mu.Lock()
	kill := f.kills[i]
	f.vms[i], f.kills[i] = nil, nil
	f.mu.Unlock()
	if kill != nil {
		kill()
	}
}

// ShutdownVM ends the process of a VM gracefully.
func (f *Fleet) ShutdownVM(ctx context.Context, i int) error {
	f.mu.Lock()
	d := f.vms[i]
	f.vms[i], f.kills[i] = nil, nil
	f.mu.Unlock()
	if err := d.Shutdown(ctx); err != nil {
		return errors.Errorf("shut VM %d down: %w", i, err)
	}
	return nil
}

// VM returns the process of a VM, or nil.
func (f *Fleet) VM(i int) *daemon.Daemon {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.vms[i]
}

// Backend returns a backend server.
func (f *Fleet) Backend(name ident.Server) *server.Server { return f.back[name] }

// Backends calls do for every backend server with its published entry, in published order.
func (f *Fleet) Backends(do func(schema.ServerText, *server.Server)) {
	f.mu.Lock()
	servers := f.doc.Servers
	f.mu.Unlock()
	for _, s := range servers {
		do(s, f.back[s.Name])
	}
}

// Publish changes the configuration and publishes it.
func (f *Fleet) Publish(change func(*schema.Text)) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.doc)
	return f.Platform.Put(KeyConfiguration, sample.Text(f.doc))
}

// PublishVMs publishes a list of VMs.
func (f *Fleet) PublishVMs(list schema.VMListText) { f.Platform.Put(KeyVMs, sample.Text(list)) }

// WaitReady waits until every running VM holds claims in a settled view and returns an error when ctx ends first.
func (f *Fleet) WaitReady(ctx context.Context) error {
	return f.WaitUntil(ctx, func(s daemon.Status) bool { return s.Fresh && s.HoldsShares && s.ViewSettled })
}

// WaitUntil waits until the status of every running VM passes a test and returns an error when ctx ends first.
func (f *Fleet) WaitUntil(ctx context.Context, passes func(daemon.Status) bool) error {
	t := time.NewTicker(readyPeriod)
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

// Client returns a caller of a team that knows every VM, and a function that closes it.
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
