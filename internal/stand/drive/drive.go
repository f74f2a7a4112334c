package drive

import (
	"fmt"
	"math/rand/v2"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/clock"
	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/conf/schema"
	"kumquatreel.example/kumquatreel/internal/fleet/agent"
	"kumquatreel.example/kumquatreel/internal/fleet/member"
	"kumquatreel.example/kumquatreel/internal/lab/sched"
	"kumquatreel.example/kumquatreel/internal/stand/sample"
	"kumquatreel.example/kumquatreel/internal/wire/inner"
)

const (
	replyTimeout         = 500 * time.Millisecond
	platformReadInterval = 500 * time.Millisecond
)

// Network configures the loss, duplication and delay of messages. Delays are uniform between MinDelay and MaxDelay.
type Network struct {
	LossProbability      float64
	DuplicateProbability float64
	MinDelay             time.Duration
	MaxDelay             time.Duration
	// Cut, when set, reports whether messages from one VM to another are lost. It is called at delivery.
	Cut func(from, to ident.VM) bool
	// NoPlatform, when set, reports whether a VM cannot read the platform.
	NoPlatform func(ident.VM) bool
}

// Counts holds the number of messages and reads of all agents, and the size of the messages in bytes if Sim.Measure is set.
type Counts struct {
	Messages        int
	Bytes           int
	PlatformReads   int
	DocumentFetches int
}

// Sim is a simulation in virtual time.
type Sim struct {
	Network Network
	Counts  Counts
	// Measure, when set, returns the size of a message in bytes.
	Measure func(any) int

	rng    *rand.Rand
	opts   agent.Options
	nodes  map[ident.VM]*Node
	order  []ident.VM
	queue  sched.Queue
	starts int

	configuration         string
	configurationRev      int64
	list                  schema.VMListText
	listRev               int64
	staleConfiguration    string
	staleConfigurationRev int64
	staleList             string
	staleListRev          int64
	platformIsStale       bool
	platformDownUntil     time.Duration
}

// Node is one process of a VM in a simulation.
type Node struct {
	VM     ident.VM
	Domain ident.Domain
	Agent  *agent.Agent

	sim        *Sim
	process    int
	startedAt  time.Duration
	pausedFor  time.Duration
	paused     bool
	pausedAt   time.Duration
	drift      float64
	exchanging map[ident.VM]bool
	pending    []func()
}

// New returns a simulation without VMs. All VMs use opts, except for their name, domain and incarnation.
func New(seed uint64, opts agent.Options) *Sim {
	return &Sim{
		rng: rand.New(rand.NewPCG(seed, seed)), opts: opts, nodes: make(map[ident.VM]*Node),
		Network: Network{MinDelay: time.Millisecond, MaxDelay: 3 * time.Millisecond},
	}
}

// Now returns the virtual time.
func (s *Sim) Now() time.Duration { return s.queue.Now() }

// Rand returns the simulation's source of random numbers.
func (s *Sim) Rand() *rand.Rand { return s.rng }

// Publish stores a configuration in the platform under the next revision.
func (s *Sim) Publish(doc schema.Text) {
	s.configuration = sample.JSON(doc)
	s.configurationRev++
}

// PublishList stores a list of VMs in the platform under the next revision.
func (s *Sim) PublishList(list schema.VMListText) {
	s.list = list
	s.listRev++
}

// PlatformDown makes the platform unreachable from all VMs for d.
func (s *Sim) PlatformDown(d time.Duration) { s.platformDownUntil = s.Now() + d }

// PlatformStale sets whether the platform is stale; while it is, it answers with the documents that it held when it became
// stale.
func (s *Sim) PlatformStale(on bool) {
	if on && !s.platformIsStale {
		s.staleConfiguration, s.staleConfigurationRev = s.configuration, s.configurationRev
		s.staleList, s.staleListRev = sample.JSON(s.list), s.listRev
	}
	s.platformIsStale = on
}

// AnswerOld makes the platform answer again with the documents that it held when it last became stale.
func (s *Sim) AnswerOld() { s.platformIsStale = true }

// Nodes returns the running VMs in the order of their first start.
func (s *Sim) Nodes() []*Node {
	var out []*Node
	for _, vm := range s.order {
		if n := s.nodes[vm]; n != nil {
			out = append(out, n)
		}
	}
	return out
}

// Node returns a running VM, or nil.
func (s *Sim) Node(vm ident.VM) *Node { return s.nodes[vm] }

// Start starts a VM's process, whose clock runs fast by the fraction drift.
func (s *Sim) Start(vm ident.VM, domain ident.Domain, drift float64) *Node {
	s.starts++
	n := &Node{VM: vm, Domain: domain, sim: s, process: s.starts, startedAt: s.Now(), drift: drift, exchanging: make(map[ident.VM]bool)}
	opts := s.opts
	opts.VM, opts.Domain, opts.Incarnation = vm, domain, fmt.Sprintf("p%d", s.starts)
	n.Agent = agent.New(n.Clock(), opts, rand.New(rand.NewPCG(s.rng.Uint64(), s.rng.Uint64())))
	if _, known := s.nodes[vm]; !known {
		s.order = append(s.order, vm)
	}
	s.nodes[vm] = n
	s.every(n, s.opts.TickInterval, func() { n.step(agent.Tick{}) })
	s.every(n, platformReadInterval, func() { s.readPlatform(n) })
	return n
}

// Kill stops a VM's process immediately, without a graceful leave.
func (s *Sim) Kill(vm ident.VM) { s.nodes[vm] = nil }

// Pause suspends a VM's process for d. The lower bound of its clock excludes the pause; the upper bound includes it.
func (s *Sim) Pause(n *Node, d time.Duration) {
	if n.paused {
		return
	}
	n.paused = true
	n.pausedAt = s.Now()
	s.After(d, func() {
		n.paused = false
		n.pausedFor += s.Now() - n.pausedAt
		held := n.pending
		n.pending = nil
		for _, f := range held {
			f()
		}
	})
}

// Leave shuts down a VM's process gracefully: it releases its shares once no lease that it granted is outstanding.
func (s *Sim) Leave(n *Node) {
	n.step(agent.Leave{})
	var release func()
	release = func() {
		if s.nodes[n.VM] != n {
			return
		}
		n.Agent.StopGranting()
		if n.Agent.LeasedOut(n.Clock()) > 0 {
			s.After(s.opts.TickInterval, release)
			return
		}
		n.step(agent.Release{})
		s.After(4*s.opts.TickInterval, func() {
			if s.nodes[n.VM] == n {
				s.nodes[n.VM] = nil
			}
		})
	}
	s.After(3*s.opts.LeaseDuration+s.opts.MaxWorkTime, release)
}

// Run runs the simulation until the given virtual time and calls after following each event.
func (s *Sim) Run(until time.Duration, after func()) { s.queue.Run(until, after) }

// Clock returns the lower and upper bounds of the time since the process started, as the VM's clocks read them.
func (n *Node) Clock() clock.Instant {
	alive := float64(n.sim.Now() - n.startedAt)
	hi := alive * (1 + n.drift)
	lo := (alive - float64(n.pausedFor)) * (1 + n.drift)
	return clock.Between(time.Duration(lo), time.Duration(hi))
}

// Paused reports whether the process is paused.
func (n *Node) Paused() bool { return n.paused }

// Alive reports whether the process has neither been killed, replaced nor shut down.
func (n *Node) Alive() bool { return n.sim.nodes[n.VM] == n }

func (s *Sim) every(n *Node, period time.Duration, do func()) {
	var next func()
	next = func() {
		if !n.Alive() {
			return
		}
		n.Run(do)
		s.After(period, next)
	}
	s.After(time.Duration(s.rng.Int64N(int64(period))), next)
}

// Run calls do as part of the process: immediately, or at the end of the pause if it is paused. It does nothing if the
// process is not alive.
func (n *Node) Run(do func()) {
	switch {
	case !n.Alive():
	case n.paused:
		n.pending = append(n.pending, func() {
			if n.Alive() {
				do()
			}
		})
	default:
		do()
	}
}

func (n *Node) step(ev agent.Event) {
	for _, act := range n.Agent.Step(n.Clock(), ev) {
		switch act := act.(type) {
		case agent.SendExchange:
			n.sim.exchange(n, act)
		case agent.FetchDocuments:
			n.sim.fetch(n, act.VM)
		case agent.SendReply, agent.ConfigurationApplied, agent.DocumentRefused, agent.MembershipChanged:
		}
	}
}

// exchange sends an exchange to a peer and delivers the reply. It is skipped while another one with the same peer is in
// flight, unless it returns leases.
func (s *Sim) exchange(n *Node, act agent.SendExchange) {
	if n.exchanging[act.VM] && len(act.Exchange.Returns) == 0 {
		return
	}
	n.exchanging[act.VM] = true
	requestedAt := n.Clock()
	finished := false
	finish := func(ev agent.Event) {
		if !finished {
			finished = true
			delete(n.exchanging, act.VM)
			n.step(ev)
		}
	}
	s.countMessage(act.Exchange)
	s.send(n.VM, act.VM, func(peer *Node) {
		for _, reply := range peer.Agent.Step(peer.Clock(), agent.ExchangeReceived{Exchange: act.Exchange}) {
			switch reply := reply.(type) {
			case agent.SendReply:
				s.countMessage(reply.Reply)
				s.send(peer.VM, n.VM, func(back *Node) {
					if back == n {
						finish(agent.ExchangeAnswered{VM: act.VM, RequestedAt: requestedAt, Reply: reply.Reply})
					}
				})
			case agent.FetchDocuments:
				s.fetch(peer, reply.VM)
			case agent.SendExchange, agent.ConfigurationApplied, agent.DocumentRefused, agent.MembershipChanged:
			}
		}
	})
	s.After(replyTimeout, func() { n.Run(func() { finish(agent.ExchangeFailed{VM: act.VM}) }) })
}

func (s *Sim) countMessage(message any) {
	s.Counts.Messages++
	if s.Measure != nil {
		s.Counts.Bytes += s.Measure(message)
	}
}

// send delivers a message zero, one or two times, according to the loss and duplication probabilities.
func (s *Sim) send(from, to ident.VM, deliver func(*Node)) {
	copies := 1
	if s.rng.Float64() < s.Network.LossProbability {
		copies = 0
	}
	if s.rng.Float64() < s.Network.DuplicateProbability {
		copies++
	}
	for range copies {
		s.After(s.delay(), func() {
			peer := s.nodes[to]
			if peer == nil || s.Network.Cut != nil && s.Network.Cut(from, to) {
				return
			}
			peer.Run(func() { deliver(peer) })
		})
	}
}

func (s *Sim) delay() time.Duration {
	return s.Network.MinDelay + time.Duration(s.rng.Int64N(int64(s.Network.MaxDelay-s.Network.MinDelay)+1))
}

func (s *Sim) fetch(n *Node, vm ident.VM) {
	s.send(n.VM, vm, func(peer *Node) {
		d := peer.Agent.Documents()
		s.Counts.DocumentFetches++
		s.send(vm, n.VM, func(back *Node) {
			if back == n {
				n.applyDocuments(d)
			}
		})
	})
}

func (n *Node) applyDocuments(d inner.Documents) {
	n.step(agent.ConfigurationRead{Revision: d.Revision, Text: []byte(d.Text)})
	n.step(agent.ListRead{Revision: d.ListRevision, Text: []byte(d.ListText)})
}

// readPlatform reads the platform's documents if the VM watches the platform, or if its documents have been stale for two
// thirds of MaxStaleness.
func (s *Sim) readPlatform(n *Node) {
	if !n.Agent.WatchesPlatform(n.Clock()) && !n.Agent.StaleFor(n.Clock(), 2*s.opts.MaxStaleness/3) {
		return
	}
	s.Counts.PlatformReads++
	if s.Now() < s.platformDownUntil || s.Network.NoPlatform != nil && s.Network.NoPlatform(n.VM) {
		return
	}
	requestedAt := n.Clock()
	d := inner.Documents{
		Revision: s.configurationRev, Text: s.configuration,
		ListRevision: s.listRev, ListText: sample.JSON(s.list),
	}
	if s.platformIsStale {
		d = inner.Documents{Revision: s.staleConfigurationRev, Text: s.staleConfiguration, ListRevision: s.staleListRev, ListText: s.staleList}
	}
	n.applyDocuments(d)
	n.step(agent.PlatformRead{RequestedAt: requestedAt})
}

// Process returns the name of the VM's process in the membership.
func (n *Node) Process() ident.Process { return n.Agent.Membership().Self() }

// Members returns the VMs in the node's membership view.
func (n *Node) Members() []ident.VM {
	var out []ident.VM
	for _, p := range n.Agent.Membership().Members() {
		out = append(out, member.VMOf(p))
	}
	return out
}

// After calls do after d of virtual time.
func (s *Sim) After(d time.Duration, do func()) { s.queue.After(d, do) }
