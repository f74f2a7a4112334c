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

	"kumquatreel.example/kumquatreel/internal/base/clock"
	"kumquatreel.example/kumquatreel/internal/base/drain"
	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/base/worker"
	"kumquatreel.example/kumquatreel/internal/conf/setup"
	"kumquatreel.example/kumquatreel/internal/limit/escrow"
	"kumquatreel.example/kumquatreel/internal/limit/hold"
	"kumquatreel.example/kumquatreel/internal/limit/quota"
	"kumquatreel.example/kumquatreel/internal/tier/belief"
	"kumquatreel.example/kumquatreel/internal/tier/delay"
	"kumquatreel.example/kumquatreel/internal/tier/header"
	"kumquatreel.example/kumquatreel/internal/tier/link"
	"kumquatreel.example/kumquatreel/internal/tier/logs"
	"kumquatreel.example/kumquatreel/internal/tier/mirror"
	"kumquatreel.example/kumquatreel/internal/tier/peers"
	"kumquatreel.example/kumquatreel/internal/tier/reader"
	"kumquatreel.example/kumquatreel/internal/tier/source"
	"kumquatreel.example/kumquatreel/internal/wire/guard"
)

const (
	// defaultDirectoryTTL is how long clients may cache a directory answer, unless the settings allow less. Some clients
	// cache it for three times as long.
	defaultDirectoryTTL = 3 * time.Second
	// lingerTTLs is how long a leaving VM continues to accept requests, as a multiple of the directory TTL: clients send
	// requests to it until their cached directory answer expires.
	lingerTTLs = 1.15
	// shutdownMargin is the time at the end of the grace period reserved for the final heartbeat and the end of the process.
	shutdownMargin = 700 * time.Millisecond
	// lastAnswerMargin is the time before that in which requests that are still open are answered.
	lastAnswerMargin = 300 * time.Millisecond
	// headerTimeout bounds the time to read a request's headers, and also its body while no published limit is known.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long an idle client connection stays open. Published limits are shorter.
	idleTimeout = 2 * time.Minute
	// minReadyDelay is how long a new VM receives heartbeats before it becomes ready.
	minReadyDelay = 300 * time.Millisecond
	// maxReadyDelay is the time after the start from which a VM with a configuration becomes ready even if it has not
	// read the store completely.
	maxReadyDelay = 800 * time.Millisecond
	// readyCheckInterval is how often a starting VM checks whether it is ready.
	readyCheckInterval = 20 * time.Millisecond
	// settingsCheckInterval is how often the settings file is checked for a change that was not announced by a signal.
	settingsCheckInterval = 2 * time.Second
	// housekeepingInterval is the time between housekeeping rounds, which close connections to removed servers.
	housekeepingInterval = time.Second
	// maxIdleWorkers is the number of goroutines that are kept for attempts: as many as a query over many shards needs.
	maxIdleWorkers = 160
	// summaryRounds is the number of housekeeping rounds between two state lines in the log. State of removed servers,
	// services and routes is pruned at the same interval.
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
	// boot is the start time in microseconds since the Unix epoch, which identifies the process among those of the VM.
	boot    int64
	started time.Time

	dispatch *dispatch
	links    *link.Transport
	// keeper bounds what clients make the VM hold.
	keeper *guard.Keeper
	closed closedCounts
	// workers run the attempts.
	workers *worker.Pool
	fleet   *fleet

	mirrorMu sync.Mutex
	mirror   mirror.Mirror
	// settleAt is when items that the store has lost are no longer held, zero if there are none.
	settleAt time.Time
	// refused is the last configuration that could not be used since the one in force was published, or nil.
	refused *belief.Refused
	// tableRevision is the revision of the last configuration that was published and could be used.
	tableRevision int64
	// eraAt is when the mirror took over the era of the store, heldAskedAt when this VM last asked another one for what that holds.
	eraAt, heldAskedAt time.Time

	quotaMu sync.Mutex
	quota   *quota.Limiter
	// tokensGiven is closed and replaced when other VMs give tokens of teams.
	tokensGiven chan struct{}

	ready   atomic.Bool
	leaving atomic.Bool
	stopped atomic.Bool
	// lastAnswers is when the open requests of a VM that stops are answered, nil before. stopRequests is closed then.
	lastAnswers  atomic.Pointer[time.Time]
	stopRequests chan struct{}
	watching     atomic.Bool
	inFlight     atomic.Int64
	load         loadMeter
	health       healthTracker
	traffic      *traffic

	// clientServer accepts client requests.
	clientServer *drain.Server
	// cleanups are called in reverse order when the process is stopped immediately.
	cleanups []func()
}

// Options holds the dependencies of an Edge.
type Options struct {
	// Path is the settings file, which is reloaded when it changes. Empty means that there is none.
	Path   string
	Names  header.Names
	Store  source.Store
	Decode source.Decode
	Log    *logs.Log
	// LostLogLines returns how many lines the log's writer has lost. It is nil if that isn't known.
	LostLogLines func() int64
	// Seed is the seed of the process's random source.
	Seed [32]byte
}

// New starts the listeners and goroutines of a VM. The returned function stops them immediately, without draining.
// It returns an error if a listener cannot be opened.
func New(settings setup.Settings, opts Options) (*Edge, func(), error) {
	codec, err := peers.NewCodec()
	if err != nil {
		return nil, nil, errors.Errorf("start VM %s: %w", settings.Name(), err)
	}
	rng := rand.New(rand.NewChaCha8(opts.Seed))
	now := time.Now()
	e := &Edge{
		path: opts.Path, names: opts.Names, store: opts.Store, decode: opts.Decode, log: opts.Log, metrics: newMeter(), traffic: newTraffic(),
		boot: now.UnixMicro(), started: now, stopRequests: make(chan struct{}), dispatch: newDispatch(now, settings, fork(rng)), quota: quota.New(now, quota.Bounds{
			Overshoot: settings.RateOvershoot(), Slack: settings.RateSlack(),
		}),
		tokensGiven: make(chan struct{}),
		fleet: &fleet{
			peers: peers.New(settings.Name()), ledger: escrow.New(now, settings.Name(), settings.FirstStart()), rng: fork(rng), codec: codec,
			client: newUpdateClient(), fetches: make(map[ident.VM]time.Time), fresh: reader.NewFreshness(now), announced: make(chan struct{}, 1),
		},
	}
	e.settings.Store(&settings)
	e.mirror.Rules = source.Rules(opts.Decode)
	links, closeLinks := link.New(opts.Names)
	workers, closeWorkers := worker.New(maxIdleWorkers)
	links.BoundMemory(settings.MemoryBytes())
	e.links, e.workers = links, workers
	e.keeper = guard.NewKeeper(holdLimits(settings), e.connectionClosed)
	e.metrics.watchHeld(e.keeper.Held)
	e.metrics.watchHeldBytes(links.HeldBytes)
	e.metrics.watchStoreAge(func() time.Duration { return e.storeAge(time.Now()) })
	if opts.LostLogLines != nil {
		e.metrics.watchLostLogLines(opts.LostLogLines)
	}
	e.cleanups = append(e.cleanups, closeLinks, closeWorkers)
	ctx, cancel := context.WithCancel(context.Background())
	e.cleanups = append(e.cleanups, cancel)
	// The VM's own part of the limits must be known before it serves.
	e.tickMembership()
	if err := e.start(ctx, settings); err != nil {
		e.kill()
		return nil, nil, errors.Errorf("start VM %s: %w", settings.Name(), err)
	}
	e.log.Info(componentProcess, "started", "vm", settings.Name(), "domain", settings.Domain(), "callers", settings.ClientAddress(),
		"store", settings.StoreAddress(), "seeds", settings.Seeds(), "boot", strconv.FormatInt(e.boot, 10))
	return e, e.kill, nil
}

// start opens the VM's socket and listeners and starts its goroutines.
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
	metrics.HandleFunc("GET "+beliefsPath, e.serveBeliefs)
	metrics.HandleFunc("GET "+wherePath, e.serveWhere)
	for _, l := range []struct {
		address string
		door    hold.Door
		handler http.Handler
	}{
		{s.ReadyAddress(), doorReady, ready},
		{s.DirectoryAddress(), doorDirectory, directory},
		{s.PeerAddress(), doorPeers, control},
		{s.MetricsAddress(), doorMetrics, metrics},
	} {
		if _, err := e.serve(ctx, l.address, l.door, sideWriteTimeout, side(l.handler)); err != nil {
			return err
		}
	}
	// Request paths are forwarded unchanged, and http.ServeMux would clean them.
	if e.clientServer, err = e.serve(ctx, s.ClientAddress(), doorClients, 0, http.HandlerFunc(e.serveRequest)); err != nil {
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

// serve starts an HTTP server at an address, with a limit on its connections. Handlers set the time for writing themselves if writeTimeout is 0.
func (e *Edge) serve(ctx context.Context, address string, door hold.Door, writeTimeout time.Duration, h http.Handler) (*drain.Server, error) {
	l, err := drain.Listen(ctx, address)
	if err != nil {
		return nil, err
	}
	wrap := func(l net.Listener) net.Listener { return e.wrapListener(delay.NewListener(l), door) }
	srv, closeServer := drain.Serve(l, wrap, &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeadBytes, WriteTimeout: writeTimeout,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return guard.ConnContext(delay.ConnContext(ctx, c), c)
		},
		ConnState: guard.ConnState, DisableGeneralOptionsHandler: true,
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

// join sends heartbeats that request a reply until the VM is ready.
func (e *Edge) join(ctx context.Context) {
	for ctx.Err() == nil && !e.ready.Load() {
		e.tickMembership()
		e.sendHeartbeats(true)
		clock.Sleep(ctx, gossipInterval/4)
	}
}

// waitUntilReady marks the VM as ready once it has a configuration, a part of the fleet-wide limits if it is to have one, and has had time to receive
// heartbeats.
func (e *Edge) waitUntilReady(ctx context.Context) {
	for ctx.Err() == nil {
		age := time.Since(e.started)
		if e.dispatch.current() != nil && (age >= minReadyDelay && e.revision() > 0 && e.hasPart() || age >= maxReadyDelay) {
			e.startQuota(time.Now())
			e.ready.Store(true)
			e.sendHeartbeats(false)
			e.log.Info(componentProcess, "ready", "afterMs", ms(time.Since(e.started)), "revision", e.revision())
			return
		}
		clock.Sleep(ctx, readyCheckInterval)
	}
}

// startQuota passes the number of VMs that share the initial tokens of the teams to the quota: the size of the core group,
// or 0 if this VM is outside it.
func (e *Edge) startQuota(now time.Time) {
	vms := 0
	if c := e.core(); c.IncludesSelf() {
		vms = c.Size()
	}
	e.quotaMu.Lock()
	defer e.quotaMu.Unlock()
	e.quota.StartServing(now, vms)
}

// housekeep logs the traffic counters, prunes the state of removed servers and routes, and closes connections to removed
// servers, until ctx ends.
func (e *Edge) housekeep(ctx context.Context) {
	for n := 1; clock.Sleep(ctx, housekeepingInterval); n++ {
		if fields := e.traffic.flush(); fields != nil {
			e.log.Info(componentTraffic, "traffic", fields...)
		}
		e.reportLimited()
		e.reportClosed()
		e.reportRests()
		e.metrics.loads(e.dispatch.flushLoads(time.Now()))
		e.settle(time.Now())
		if n%summaryRounds == 0 {
			e.logState()
			now := time.Now()
			e.metrics.prune(now, e.dispatch.prune(now))
		}
		d := e.dispatch
		known := func(s ident.Server) bool { return d.roster.Member(s) != nil }
		d.mu.Lock()
		d.balancer.Retain(known)
		d.mu.Unlock()
		e.links.Retain(func(s ident.Server) bool {
			d.mu.Lock()
			defer d.mu.Unlock()
			return known(s)
		})
	}
}

// reportLimited logs and counts the requests sent to servers that name a limit since the last call.
func (e *Edge) reportLimited() {
	servers, sent := e.dispatch.flushLimited()
	e.metrics.limited(servers, sent)
	if servers+sent.Total() > 0 {
		e.log.Info(componentServers, "requests to servers with a limit", "servers", servers, "first", sent.First, "hedges", sent.Hedges,
			"retries", sent.Retries)
	}
}

// reportRests logs the servers that want requests again since the last call.
func (e *Edge) reportRests() {
	e.dispatch.mu.Lock()
	ended := e.dispatch.roster.EndRests(time.Now())
	e.dispatch.mu.Unlock()
	for _, r := range ended {
		e.log.Info(componentServers, "server may get requests again", "server", r.Server, "until", r.Until.UTC().Format(time.RFC3339Nano),
			"withheld", r.Withheld)
	}
}

// logState logs the counters and the state of the VM.
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

// watchSettings reloads the settings file when its modification time changes, until ctx ends.
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
		e.Reload("settings file changed")
	}
}

// Reload reads the settings file again and logs the reason. Settings that are used only at the start, such as listener
// addresses, take effect at the next start. If the file is invalid, or if its VM name, address or client address differs
// from the running one, the previous settings are kept and an error is logged.
func (e *Edge) Reload(reason string) {
	s, err := setup.Load(e.path)
	if err != nil {
		e.log.Error(componentProcess, "settings file invalid, keeping previous settings", "error", err.Error())
		return
	}
	old := e.settings.Load()
	if s.Name() != old.Name() || s.Address() != old.Address() || s.ClientAddress() != old.ClientAddress() {
		e.log.Error(componentProcess, "settings file belongs to another VM, keeping previous settings", "vm", s.Name(), "address", s.Address())
		return
	}
	e.settings.Store(&s)
	e.log.Info(componentProcess, "settings reloaded", "reason", reason, "seeds", s.Seeds())
}

// Shutdown stops the VM gracefully within the grace period. The VM first leaves the directory and keeps accepting requests
// until cached directory answers have expired, as far as they can be answered in time, then drains the requests in flight. Requests that
// are still open shortly before the end of the grace period are answered with what there is. It must be called only once.
func (e *Edge) Shutdown(grace time.Duration) {
	began := time.Now()
	lastAnswers := began.Add(grace - shutdownMargin - lastAnswerMargin)
	e.lastAnswers.Store(&lastAnswers)
	e.leaving.Store(true)
	defer time.AfterFunc(time.Until(lastAnswers), func() { close(e.stopRequests) }).Stop()
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

// kill stops the process immediately.
func (e *Edge) kill() {
	for i := len(e.cleanups) - 1; i >= 0; i-- {
		e.cleanups[i]()
	}
}

// fork returns a random source seeded from rng.
func fork(rng *rand.Rand) *rand.Rand { return rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64())) }
