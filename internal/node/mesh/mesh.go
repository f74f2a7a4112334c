package mesh

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"kumquatreel.example/kumquatreel/internal/base/clock"
	"kumquatreel.example/kumquatreel/internal/base/fault"
	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/conf/config"
	"kumquatreel.example/kumquatreel/internal/conf/schema"
	"kumquatreel.example/kumquatreel/internal/fleet/agent"
	"kumquatreel.example/kumquatreel/internal/fleet/member"
	"kumquatreel.example/kumquatreel/internal/node/metric"
	"kumquatreel.example/kumquatreel/internal/wire/inner"
	"kumquatreel.example/kumquatreel/internal/wire/netio"
)

const (
	exchangeTimeout = 500 * time.Millisecond
	admitTimeout    = 150 * time.Millisecond
	connsPerPeer    = 64
	// MaxPartDuration is the longest time that a part may take at its owner, from its arrival to its reply.
	MaxPartDuration = time.Second
)

// Mesh runs the agent of one VM.
type Mesh struct {
	settings config.Settings
	clock    clock.Source
	log      *log.Logger
	metrics  *metric.Set
	client   *http.Client
	wg       sync.WaitGroup

	mu    sync.Mutex
	agent *agent.Agent
	// exchanging and fetching hold the VMs with an exchange or a fetch in flight.
	exchanging map[ident.VM]bool
	fetching   map[ident.VM]bool
	closed     bool
}

// New starts the agent of a VM and returns a function that stops it. The incarnation must be new with every start.
func New(settings config.Settings, src clock.Source, network netio.Network, logger *log.Logger, metrics *metric.Set, incarnation string, rng *rand.Rand) (*Mesh, func()) {
	transport, closeIdle := netio.Transport(network, connsPerPeer)
	m := &Mesh{
		settings: settings, clock: src, metrics: metrics,
		log:        logger.WithPrefix("fleet"),
		client:     &http.Client{Transport: transport},
		exchanging: make(map[ident.VM]bool),
		fetching:   make(map[ident.VM]bool),
	}
	m.agent = agent.New(src.Now(), agent.Options{
		VM: settings.Name(), Domain: settings.Domain(), Incarnation: incarnation,
		HoldTimeout: settings.HoldTimeout(), ReclaimTimeout: settings.ReclaimTimeout(), MaxStaleness: settings.MaxStaleness(),
		LeaseDuration: settings.LeaseDuration(), TickInterval: settings.ExchangeInterval(), MaxWorkTime: MaxPartDuration, PlatformReaders: settings.ReadersPerDomain(),
	}, rng)
	ctx, cancel := context.WithCancel(context.Background())
	m.wg.Go(func() { m.tickLoop(ctx) })
	m.wg.Go(func() { m.watchLoop(ctx, keyConfiguration) })
	m.wg.Go(func() { m.watchLoop(ctx, keyVMs) })
	return m, func() {
		cancel()
		m.mu.Lock()
		m.closed = true
		m.mu.Unlock()
		m.wg.Wait()
		closeIdle()
	}
}

// Client returns the HTTP client for other VMs.
func (m *Mesh) Client() *http.Client { return m.client }

// WithAgent calls f with the current time and the agent while the lock is held; f must not call the Mesh.
func (m *Mesh) WithAgent(f func(now clock.Instant, a *agent.Agent)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f(m.clock.Now(), m.agent)
}

// Catalog returns the configuration in force, or nil.
func (m *Mesh) Catalog() *schema.Catalog {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.agent.Catalog()
}

// Fresh reports whether the VM's information about the fleet is recent enough to serve requests.
func (m *Mesh) Fresh() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.agent.Fresh(m.clock.Now())
}

// Address returns the address of a VM for other VMs, empty when the VM is not listed.
func (m *Mesh) Address(vm ident.VM) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.address(vm)
}

func (m *Mesh) address(vm ident.VM) string {
	if m.agent.List() == nil {
		return ""
	}
	for _, v := range m.agent.List().All() {
		if v.Name() == vm {
			return v.InnerAddress()
		}
	}
	return ""
}

// Admit requests one token of a team's rate from the team's home VM, and from VMs that may have been its home until recently.
// If none of them answers as a home, it uses this VM's own tokens. It returns a fault when no token is granted.
func (m *Mesh) Admit(ctx context.Context, team ident.Team) *fault.Error {
	var homes []ident.VM
	var retry time.Duration
	m.WithAgent(func(now clock.Instant, a *agent.Agent) {
		homes, retry = a.HomeCandidates(now, team), a.RetryAfter(team)
	})
	for _, home := range homes {
		reply, err := m.requestToken(ctx, home, inner.Admit{Team: team, Tokens: 1})
		switch {
		case err != nil:
			m.log.Debug("cannot reach the home VM of a team", "home", home, "reason", err)
		case reply.Granted:
			return nil
		case reply.Home:
			return fault.New(fault.CodeRateLimited, fault.OutcomeNotSent, "team %s is above its rate", team).WithRetryAfter(retry)
		}
	}
	granted := false
	m.WithAgent(func(now clock.Instant, a *agent.Agent) { granted = a.Take(now, team, 1) })
	if granted {
		return nil
	}
	return fault.New(fault.CodeUnavailable, fault.OutcomeNotSent, "the rate of team %s cannot be reached now", team).WithRetryAfter(time.Second)
}

func (m *Mesh) requestToken(ctx context.Context, home ident.VM, request inner.Admit) (inner.AdmitReply, error) {
	if home == m.settings.Name() {
		return m.GrantTokens(request), nil
	}
	ctx, cancel := context.WithTimeout(ctx, admitTimeout)
	defer cancel()
	var reply inner.AdmitReply
	if err := netio.Post(ctx, m.client, m.Address(home), inner.PathAdmit, request, &reply, inner.MaxMessageBytes); err != nil {
		return reply, errors.Errorf("request token from VM %s: %w", home, err)
	}
	return reply, nil
}

// GrantTokens answers a VM's request for tokens of a team's rate.
func (m *Mesh) GrantTokens(request inner.Admit) inner.AdmitReply {
	var reply inner.AdmitReply
	m.WithAgent(func(now clock.Instant, a *agent.Agent) {
		reply.Home = a.IsReadyHome(now, request.Team) || a.Level(now, request.Team) >= request.Tokens
		if reply.Home {
			reply.Granted = a.Take(now, request.Team, request.Tokens)
			reply.RetryMillis = int(a.RetryAfter(request.Team) / time.Millisecond)
		}
	})
	return reply
}

// Leave marks the process as leaving, which starts a graceful shutdown.
func (m *Mesh) Leave() { m.step(agent.Leave{}) }

// Release gives up the shares of this process and announces it to all listed VMs.
func (m *Mesh) Release(ctx context.Context) {
	m.step(agent.Release{})
	m.notifyAll(ctx)
}

func (m *Mesh) tickLoop(ctx context.Context) {
	t := time.NewTicker(m.settings.ExchangeInterval())
	defer t.Stop()
	for {
		m.step(agent.Tick{})
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// step passes one event to the agent and executes the actions that it returns.
func (m *Mesh) step(ev agent.Event) {
	m.mu.Lock()
	actions := m.agent.Step(m.clock.Now(), ev)
	m.mu.Unlock()
	m.execute(actions)
}

func (m *Mesh) execute(actions []agent.Action) {
	for _, act := range actions {
		switch act := act.(type) {
		case agent.SendExchange:
			m.send(act)
		case agent.FetchDocuments:
			m.fetch(act.VM)
		case agent.ConfigurationApplied:
			m.metrics.SetRevision(act.Revision)
			m.log.Info("configuration in force", "revision", act.Revision)
		case agent.DocumentRefused:
			m.metrics.DocumentRefused()
			m.log.Error("published document refused", "reason", act.Reason)
		case agent.MembershipChanged:
			m.recordChange(act.Change)
		}
	}
}

func (m *Mesh) recordChange(change member.Action) {
	switch change := change.(type) {
	case member.Joined:
		m.log.Info("process joined", "process", change.Process)
	case member.Left:
		m.log.Info("process left", "process", change.Process)
	case member.Confirmed:
		m.metrics.SetMembers(change.Size)
		m.log.Info("membership view confirmed", "size", change.Size)
	case member.Renamed:
		m.metrics.SharesLost()
		m.log.Warn("shares lost, continuing under a new process name", "reason", change.Reason, "process", change.Process)
	}
}

// send starts one exchange. It skips the exchange while another one with the same VM is in flight, unless it carries returned leases.
func (m *Mesh) send(act agent.SendExchange) {
	m.mu.Lock()
	defer m.mu.Unlock()
	address := m.address(act.VM)
	busy := m.exchanging[act.VM] && len(act.Exchange.Returns) == 0
	if address == "" || busy || m.closed {
		return
	}
	m.exchanging[act.VM] = true
	m.wg.Go(func() {
		m.exchange(context.Background(), act, address)
		m.mu.Lock()
		delete(m.exchanging, act.VM)
		m.mu.Unlock()
	})
}

func (m *Mesh) exchange(ctx context.Context, act agent.SendExchange, address string) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	sentAt := m.clock.Now()
	var reply inner.ExchangeReply
	err := netio.Post(ctx, m.client, address, inner.PathExchange, act.Exchange, &reply, inner.MaxMessageBytes)
	if err != nil || reply.Report.VM != act.VM {
		m.step(agent.ExchangeFailed{VM: act.VM})
		return
	}
	m.step(agent.ExchangeAnswered{VM: act.VM, RequestedAt: sentAt, Reply: reply})
}

// Exchange handles a peer's exchange and returns the reply.
func (m *Mesh) Exchange(ex inner.Exchange) inner.ExchangeReply {
	m.mu.Lock()
	actions := m.agent.Step(m.clock.Now(), agent.ExchangeReceived{Exchange: ex})
	m.mu.Unlock()
	var reply inner.ExchangeReply
	for _, act := range actions {
		if answer, ok := act.(agent.SendReply); ok {
			reply = answer.Reply
		}
	}
	m.execute(actions)
	return reply
}

// Documents returns the documents in force, to be sent to a peer.
func (m *Mesh) Documents() inner.Documents {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.agent.Documents()
}

func (m *Mesh) fetch(vm ident.VM) {
	m.mu.Lock()
	address := m.address(vm)
	busy := m.fetching[vm] || m.closed
	if address != "" && !busy {
		m.fetching[vm] = true
		m.wg.Go(func() { m.fetchFrom(vm, address) })
	}
	m.mu.Unlock()
}

func (m *Mesh) fetchFrom(vm ident.VM, address string) {
	defer func() {
		m.mu.Lock()
		delete(m.fetching, vm)
		m.mu.Unlock()
	}()
	ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
	defer cancel()
	var d inner.Documents
	if err := netio.Get(ctx, m.client, address, inner.PathDocuments, &d, inner.MaxMessageBytes); err != nil {
		m.log.Debug("fetching documents from a peer failed", "vm", vm, "reason", err)
		return
	}
	m.step(agent.ConfigurationRead{Revision: d.Revision, Text: []byte(d.Text)})
	m.step(agent.ListRead{Revision: d.ListRevision, Text: []byte(d.ListText)})
}

// notifyAll sends a final report to every listed VM and waits for the replies.
func (m *Mesh) notifyAll(ctx context.Context) {
	type target struct {
		send    agent.SendExchange
		address string
	}
	var targets []target
	m.WithAgent(func(now clock.Instant, a *agent.Agent) {
		if a.List() == nil {
			return
		}
		for _, v := range a.List().All() {
			if v.Name() != m.settings.Name() {
				ex := inner.Exchange{Report: a.Membership().Report(now, 0), Revision: a.Documents().Revision}
				targets = append(targets, target{agent.SendExchange{VM: v.Name(), Exchange: ex}, v.InnerAddress()})
			}
		}
	})
	var wg sync.WaitGroup
	for _, t := range targets {
		wg.Go(func() { m.exchange(ctx, t.send, t.address) })
	}
	wg.Wait()
}
