package edge

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/netutil"

	"kumquatreel.example/kumquatreel/internal/base/clock"
	"kumquatreel.example/kumquatreel/internal/base/drain"
	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/conf/setup"
	"kumquatreel.example/kumquatreel/internal/limit/quota"
	"kumquatreel.example/kumquatreel/internal/tier/delay"
	"kumquatreel.example/kumquatreel/internal/tier/header"
	"kumquatreel.example/kumquatreel/internal/tier/link"
	"kumquatreel.example/kumquatreel/internal/tier/logs"
	"kumquatreel.example/kumquatreel/internal/tier/mirror"
	"kumquatreel.example/kumquatreel/internal/tier/peers"
	"kumquatreel.example/kumquatreel/internal/tier/source"
)

const (
	// keepFor is how long callers keep a directory answer; some keep it three times as long.
	defaultDirectoryTTL = 3 * time.Second
	// lingerAnswers times the keep, a leaving VM goes on serving callers that have not heard that it leaves.
	lingerTTLs = 1.15
	// endMargin is kept of the grace for the last requests and the last word to the fleet.
	shutdownMargin = 700 * time.Millisecond
	// headerLimit bounds the time to read a request's headers until limits are known.
	headerTimeout = 10 * time.Second
	// idleLimit is how long an idle connection of a caller stays open; published limits are below it.
	idleTimeout = 2 * time.Minute
	// callersShare of the descriptors may be connections at one of the VM's addresses; further ones wait to be accepted.
	clientConnFraction = 0.4
	// connectionsLeast is the fewest connections that an address takes.
	minConnections = 64
	// settleTime is how long a new VM listens to others before it serves.
	minReadyDelay = 300 * time.Millisecond
	// settlePart is how long after its start a VM serves at the latest with what it has read of the store so far.
	maxReadyDelay = 800 * time.Millisecond
	// readyCheck is how often a starting VM looks whether it can serve.
	readyCheckInterval = 20 * time.Millisecond
	// settingsCheck is how often the settings file is looked at for changes that no signal tells of.
	settingsCheckInterval = 2 * time.Second
	// housekeeping is how often connections to servers that are gone are closed.
	housekeepingInterval = time.Second
	// summaryEvery is how many rounds of housekeeping pass between two summaries in the log, after which what is gone is forgotten.
	summaryRounds = 10
)

// Edge is the process of one VM.
type Edge struct {
	settings atomic.Pointer[setup.Settings]
	path     string
	names    header.Names
	store    source.Store
	decode   source.Decode
	log      *logs.Log
	metrics  *meter
	boot     int64
	started  time.Time

	dispatch *dispatch
	links    *link.Transport
	fleet    *fleet

	mirrorMu sync.Mutex
	mirror   mirror.Mirror

	quotaMu sync.Mutex
	quota   *quota.Limiter

	ready    atomic.Bool
	leaving  atomic.Bool
	stopped  atomic.Bool
	watching atomic.Bool
	inFlight atomic.Int64
	load     loadMeter
	health   healthTracker
	traffic  *traffic

	// callers takes the requests of callers.
	clientServer *drain.Server
	cleanups     []func()
}

// Options are what an Edge needs besides its settings.
type Options struct {
	// Path is the file that the settings came from, empty when there is none.
	Path   string
	Names  header.Names
	Store  source.Store
	Decode source.Decode
	Log    *logs.Log
	// Seed makes the process's random choices.
	Seed [32]byte
}

// New starts the process of a VM and returns a function that ends it at once.
func New(settings setup.Settings, opts Options) (*Edge, func(), error) {
	codec, err := peers.NewCodec()
	if err != nil {
		return nil, nil, errors.Errorf("start VM %s: %w", settings.Name(), err)
	}
	rng := rand.New(rand.NewChaCha8(opts.Seed))
	now := time.Now()
	e := &Edge{
		path: opts.Path, names: opts.Names, store: opts.Store, decode: opts.Decode, log: opts.Log, metrics: newMeter(), traffic: newTraffic(),
		boot: now.UnixMicro(), started: now, dispatch: newDispatch(settings, fork(rng)), quota: quota.New(now),
		fleet: &fleet{
			peers: peers.New(settings.Name()), rng: fork(rng), codec: codec,
			client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 5 * time.Second}},
		},
	}
	e.settings.Store(&settings)
	links, closeLinks := link.New(opts.Names)
	e.links = links
	e.cleanups = append(e.cleanups, closeLinks)
	ctx, cancel := context.WithCancel(context.Background())
	e.cleanups = append(e.cleanups, cancel)
	if err := e.start(ctx, settings); err != nil {
		e.kill()
		return nil, nil, errors.Errorf("start VM %s: %w", settings.Name(), err)
	}
	e.log.Info(componentProcess, "started", "vm", settings.Name(), "domain", settings.Domain(), "callers", settings.Callers(),
		"store", settings.Store(), "seeds", settings.Seeds(), "boot", strconv.FormatInt(e.boot, 10))
	return e, e.kill, nil
}

func (e *Edge) start(ctx context.Context, s setup.Settings) error {
	udp, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(s.Address()), Port: s.GossipPort()})
	if err != nil {
		return errors.Errorf("listen for heartbeats: %w", err)
	}
	e.fleet.conn = udp
	e.cleanups = append(e.cleanups, func() { _ = udp.Close() })
	ready, directory, control, metrics := http.NewServeMux(), http.NewServeMux(), http.NewServeMux(), http.NewServeMux()
	ready.HandleFunc("GET "+e.names.ReadyPath, e.serveReady)
	directory.HandleFunc("GET "+e.names.DirectoryPath, e.serveDirectory)
	control.HandleFunc("GET "+updatesPath, e.serveUpdates)
	metrics.Handle("GET /metrics", e.metrics.handler())
	for _, l := range []struct {
		address string
		handler http.Handler
	}{
		{s.Ready(), ready},
		{s.Directory(), directory},
		{s.Peers(), control},
		{s.Metrics(), metrics},
	} {
		if _, err := e.serve(ctx, l.address, l.handler); err != nil {
			return err
		}
	}
	// Paths of callers are passed on as they are, so no mux may clean them.
	if e.clientServer, err = e.serve(ctx, s.Callers(), http.HandlerFunc(e.serveRequest)); err != nil {
		return err
	}
	go e.receiveHeartbeats()
	go e.join(ctx)
	go e.gossip(ctx)
	go e.syncMirror(ctx)
	go e.waitUntilReady(ctx)
	go e.housekeep(ctx)
	go e.watchSettings(ctx)
	return nil
}

func (e *Edge) serve(ctx context.Context, address string, h http.Handler) (*drain.Server, error) {
	l, err := listen(ctx, address)
	if err != nil {
		return nil, err
	}
	maxConns := max(minConnections, int(clientConnFraction*float64(e.settings.Load().MaxOpenFiles())))
	wrap := func(l net.Listener) net.Listener { return netutil.LimitListener(delay.NewListener(l), maxConns) }
	srv, closeServer := drain.Serve(l, wrap, &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ConnContext: delay.ConnContext,
	})
	e.cleanups = append(e.cleanups, closeServer)
	go func() {
		<-srv.Stopped()
		if !e.leaving.Load() && !errors.Is(srv.Err(), http.ErrServerClosed) {
			e.log.Error(componentProcess, "listener failed", "address", address, "error", srv.Err().Error())
		}
	}()
	return srv, nil
}

// join asks the seeds for answers until some VM is known.
func (e *Edge) join(ctx context.Context) {
	for ctx.Err() == nil && !e.ready.Load() {
		e.sendHeartbeats(true)
		clock.Sleep(ctx, gossipInterval/4)
	}
}

// becomeReady waits until a configuration is in force and the other VMs have been heard.
func (e *Edge) waitUntilReady(ctx context.Context) {
	for ctx.Err() == nil {
		age := time.Since(e.started)
		if e.dispatch.current() != nil && (age >= minReadyDelay && e.revision() > 0 || age >= maxReadyDelay) {
			e.startQuota(time.Now())
			e.ready.Store(true)
			e.sendHeartbeats(false)
			e.log.Info(componentProcess, "ready", "afterMs", ms(time.Since(e.started)), "revision", e.revision())
			return
		}
		clock.Sleep(ctx, readyCheckInterval)
	}
}

// shareStart divides what teams have at the start among the VMs that callers are sent to first.
func (e *Edge) startQuota(now time.Time) {
	vms := 0
	if c := e.core(); c.IncludesSelf() {
		vms = c.Size()
	}
	e.quotaMu.Lock()
	defer e.quotaMu.Unlock()
	e.quota.StartServing(now, vms)
}

func (e *Edge) housekeep(ctx context.Context) {
	for n := 1; clock.Sleep(ctx, housekeepingInterval); n++ {
		if fields := e.traffic.flush(); fields != nil {
			e.log.Info(componentTraffic, "traffic", fields...)
		}
		if n%summaryRounds == 0 {
			e.logState()
			now := time.Now()
			e.metrics.prune(now, e.dispatch.prune(now))
		}
		d := e.dispatch
		known := func(s ident.Server) bool { return d.roster.Member(s) != nil }
		d.mu.Lock()
		d.places.Retain(known)
		d.mu.Unlock()
		e.links.Retain(func(s ident.Server) bool {
			d.mu.Lock()
			defer d.mu.Unlock()
			return known(s)
		})
	}
}

// summarize logs what the VM has done and believes.
func (e *Edge) logState() {
	d := e.dispatch
	d.mu.Lock()
	fields := []any{"parts", d.sentParts, "away", d.crossDomain, "servers", d.roster.Len(), "vms", len(d.vms)}
	d.mu.Unlock()
	e.fleet.mu.Lock()
	fields = append(fields, "heartbeatBytes", e.fleet.heartbeatBytes)
	e.fleet.mu.Unlock()
	e.log.Info(componentProcess, "state", append(fields, "connections", e.links.OpenConnections(), "requests", e.inFlight.Load(),
		"load", e.load.rate(time.Now()), "revision", e.revision(), "reading", e.watching.Load())...)
}

func (e *Edge) watchSettings(ctx context.Context) {
	if e.path == "" {
		return
	}
	var last time.Time
	if st, err := os.Stat(e.path); err == nil {
		last = st.ModTime()
	}
	for clock.Sleep(ctx, settingsCheckInterval) {
		st, err := os.Stat(e.path)
		if err != nil || st.ModTime().Equal(last) {
			continue
		}
		last = st.ModTime()
		e.Reload("the file has changed")
	}
}

// Reload takes the settings file again; what cannot change in a running process stays as it is.
func (e *Edge) Reload(reason string) {
	s, err := setup.Load(e.path)
	if err != nil {
		e.log.Error(componentProcess, "settings kept, the file is not sound", "error", err.Error())
		return
	}
	old := e.settings.Load()
	if s.Name() != old.Name() || s.Address() != old.Address() || s.Callers() != old.Callers() {
		e.log.Error(componentProcess, "settings kept, the file is another VM's", "vm", s.Name(), "address", s.Address())
		return
	}
	e.settings.Store(&s)
	e.log.Info(componentProcess, "settings reloaded", "reason", reason, "seeds", s.Seeds())
}

// Shutdown stops serving without cutting a request: callers are told to go elsewhere first.
func (e *Edge) Shutdown(grace time.Duration) {
	began := time.Now()
	e.leaving.Store(true)
	e.log.Info(componentProcess, "leaving", "graceMs", ms(grace), "requests", e.inFlight.Load())
	e.sendHeartbeats(false)
	linger := time.Duration(lingerTTLs * float64(e.directoryTTL()))
	time.Sleep(max(0, min(linger, grace-3*shutdownMargin)))
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(grace-shutdownMargin))
	defer cancel()
	err := e.clientServer.Drain(ctx)
	e.stopped.Store(true)
	e.sendHeartbeats(false)
	fields := []any{"afterMs", ms(time.Since(began)), "requests", e.inFlight.Load()}
	if err != nil {
		fields = append(fields, "error", err.Error())
	}
	e.log.Info(componentProcess, "stopped", fields...)
}

func (e *Edge) kill() {
	for i := len(e.cleanups) - 1; i >= 0; i-- {
		e.cleanups[i]()
	}
}

func fork(rng *rand.Rand) *rand.Rand { return rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64())) }
