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
	replyTimeout = 500 * time.Millisecond
	readPeriod   = 500 * time.Millisecond
)

// Network says what happens to messages.
type Network struct {
	Loss   float64
	Double float64
	Least  time.Duration
	Most   time.Duration
	// Cut reports whether messages from one VM to another are lost.
	Cut func(from, to ident.VM) bool
	// NoPlatform reports whether a VM cannot read the platform.
	NoPlatform func(ident.VM) bool
}

// Counts is what the agents of a run sent.
type Counts struct {
	Messages  int
	Bytes     int
	Platform  int
	Documents int
}

// Sim is a run in virtual time.
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

	configuration     string
	configurationRev  int64
	list              schema.VMListText
	listRev           int64
	oldConfiguration  string
	oldRev            int64
	oldList           string
	oldListRev        int64
	platformIsStale   bool
	platformDownUntil time.Duration
}

// Node is one VM of a run.
type Node struct {
	VM     ident.VM
	Domain ident.Domain
	Agent  *agent.Agent

	sim     *Sim
	process int
	born    time.Duration
	paused  time.Duration
	asleep  bool
	slept   time.Duration
	drift   float64
	asking  map[ident.VM]bool
	held    []func()
}

// New returns a run without VMs; opts are those of every VM, but for its name and domain.
func New(seed uint64, opts agent.Options) *Sim {
	return &Sim{
		rng: rand.New(rand.NewPCG(seed, seed)), opts: opts, nodes: make(map[ident.VM]*Node),
		Network: Network{Least: time.Millisecond, Most: 3 * time.Millisecond},
	}
}

// Now returns the virtual time.
func (s *Sim) Now() time.Duration { return s.queue.Now() }

// Rand returns the run's source of random numbers.
func (s *Sim) Rand() *rand.Rand { return s.rng }

// Publish puts a configuration in the platform.
func (s *Sim) Publish(doc schema.Text) {
	s.configuration = sample.Text(doc)
	s.configurationRev++
}

// PublishList puts a list of VMs in the platform.
func (s *Sim) PublishList(list schema.VMListText) {
	s.list = list
	s.listRev++
}

// PlatformDown makes the platform unreachable for everyone for a span.
func (s *Sim) PlatformDown(d time.Duration) { s.platformDownUntil = s.Now() + d }

// PlatformStale makes the platform answer with the documents of now until it is called with false.
func (s *Sim) PlatformStale(on bool) {
	if on && !s.platformIsStale {
		s.oldConfiguration, s.oldRev = s.configuration, s.configurationRev
		s.oldList, s.oldListRev = sample.Text(s.list), s.listRev
	}
	s.platformIsStale = on
}

// AnswerOld makes the platform answer with the documents that it held when it was made stale last.
func (s *Sim) AnswerOld() { s.platformIsStale = true }

// Nodes returns the VMs that run, in the order of their first start.
func (s *Sim) Nodes() []*Node {
	var out []*Node
	for _, vm := range s.order {
		if n := s.nodes[vm]; n != nil {
			out = append(out, n)
		}
	}
	return out
}

// Node returns a VM that runs, or nil.
func (s *Sim) Node(vm ident.VM) *Node { return s.nodes[vm] }

// Start starts a VM's process, whose clock runs fast by drift.
func (s *Sim) Start(vm ident.VM, domain ident.Domain, drift float64) *Node {
	s.starts++
	n := &Node{VM: vm, Domain: domain, sim: s, process: s.starts, born: s.Now(), drift: drift, asking: make(map[ident.VM]bool)}
	opts := s.opts
	opts.VM, opts.Domain, opts.Incarnation = vm, domain, fmt.Sprintf("p%d", s.starts)
	n.Agent = agent.New(n.Clock(), opts, rand.New(rand.NewPCG(s.rng.Uint64(), s.rng.Uint64())))
	if _, known := s.nodes[vm]; !known {
		s.order = append(s.order, vm)
	}
	s.nodes[vm] = n
	s.loop(n, s.opts.TickInterval, func() { n.step(agent.Tick{}) })
	s.loop(n, readPeriod, func() { s.read(n) })
	return n
}

// Kill ends a VM's process at once.
func (s *Sim) Kill(vm ident.VM) { s.nodes[vm] = nil }

// Pause stops a VM's process for a span; its lower clock does not count the pause.
func (s *Sim) Pause(n *Node, d time.Duration) {
	if n.asleep {
		return
	}
	n.asleep = true
	n.slept = s.Now()
	s.After(d, func() {
		n.asleep = false
		n.paused += s.Now() - n.slept
		held := n.held
		n.held = nil
		for _, f := range held {
			f()
		}
	})
}

// Leave shuts a VM's process down gracefully.
func (s *Sim) Leave(n *Node) {
	n.step(agent.Leave{})
	var wait func()
	wait = func() {
		if s.nodes[n.VM] != n {
			return
		}
		n.Agent.StopGranting()
		if n.Agent.LeasedOut(n.Clock()) > 0 {
			s.After(s.opts.TickInterval, wait)
			return
		}
		n.step(agent.Release{})
		s.After(4*s.opts.TickInterval, func() {
			if s.nodes[n.VM] == n {
				s.nodes[n.VM] = nil
			}
		})
	}
	s.After(3*s.opts.LeaseDuration+s.opts.MaxWorkTime, wait)
}

// Run carries on until a time and calls after behind every event.
func (s *Sim) Run(until time.Duration, after func()) { s.queue.Run(until, after) }

// Clock returns the VM's reading of its clocks.
func (n *Node) Clock() clock.Instant {
	alive := float64(n.sim.Now() - n.born)
	hi := alive * (1 + n.drift)
	lo := (alive - float64(n.paused)) * (1 + n.drift)
	return clock.Between(time.Duration(lo), time.Duration(hi))
}

// Asleep reports whether the process is paused.
func (n *Node) Asleep() bool { return n.asleep }

// Alive reports whether the process still runs.
func (n *Node) Alive() bool { return n.sim.nodes[n.VM] == n }

func (s *Sim) loop(n *Node, period time.Duration, do func()) {
	var again func()
	again = func() {
		if !n.Alive() {
			return
		}
		n.Run(do)
		s.After(period, again)
	}
	s.After(time.Duration(s.rng.Int64N(int64(period))), again)
}

// Run does something in the process, after its pause if it is paused.
func (n *Node) Run(do func()) {
	switch {
	case !n.Alive():
	case n.asleep:
		n.held = append(n.held, func() {
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
		case agent.SendReply, agent.ConfigurationApplied, agent.DocumentRejected, agent.MembershipChanged:
		}
	}
}

// exchange carries one exchange there and back.
func (s *Sim) exchange(n *Node, act agent.SendExchange) {
	if n.asking[act.VM] && len(act.Exchange.Returns) == 0 {
		return
	}
	n.asking[act.VM] = true
	asked := n.Clock()
	over := false
	end := func(ev agent.Event) {
		if !over {
			over = true
			delete(n.asking, act.VM)
			n.step(ev)
		}
	}
	s.count(act.Exchange)
	s.carry(n.VM, act.VM, func(peer *Node) {
		for _, reply := range peer.Agent.Step(peer.Clock(), agent.ExchangeReceived{Exchange: act.Exchange}) {
			switch reply := reply.(type) {
			case agent.SendReply:
				s.count(reply.Reply)
				s.carry(peer.VM, n.VM, func(back *Node) {
					if back == n {
						end(agent.ExchangeAnswered{VM: act.VM, RequestedAt: asked, Reply: reply.Reply})
					}
				})
			case agent.FetchDocuments:
				s.fetch(peer, reply.VM)
			case agent.SendExchange, agent.ConfigurationApplied, agent.DocumentRejected, agent.MembershipChanged:
			}
		}
	})
	s.After(replyTimeout, func() { n.Run(func() { end(agent.ExchangeFailed{VM: act.VM}) }) })
}

func (s *Sim) count(message any) {
	s.Counts.Messages++
	if s.Measure != nil {
		s.Counts.Bytes += s.Measure(message)
	}
}

// carry delivers a message once, twice or never.
func (s *Sim) carry(from, to ident.VM, deliver func(*Node)) {
	times := 1
	if s.rng.Float64() < s.Network.Loss {
		times = 0
	}
	if s.rng.Float64() < s.Network.Double {
		times++
	}
	for range times {
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
	return s.Network.Least + time.Duration(s.rng.Int64N(int64(s.Network.Most-s.Network.Least)+1))
}

func (s *Sim) fetch(n *Node, vm ident.VM) {
	s.carry(n.VM, vm, func(peer *Node) {
		d := peer.Agent.Documents()
		s.Counts.Documents++
		s.carry(vm, n.VM, func(back *Node) {
			if back == n {
				n.documents(d)
			}
		})
	})
}

func (n *Node) documents(d inner.Documents) {
	n.step(agent.ConfigurationRead{Revision: d.Revision, Text: []byte(d.Text)})
	n.step(agent.ListRead{Revision: d.ListRevision, Text: []byte(d.ListText)})
}

// read is a VM's read of the platform, if it is one of those that watch.
func (s *Sim) read(n *Node) {
	if !n.Agent.WatchesPlatform(n.Clock()) && !n.Agent.StaleFor(n.Clock(), 2*s.opts.FreshTimeout/3) {
		return
	}
	s.Counts.Platform++
	if s.Now() < s.platformDownUntil || s.Network.NoPlatform != nil && s.Network.NoPlatform(n.VM) {
		return
	}
	asked := n.Clock()
	d := inner.Documents{
		Revision: s.configurationRev, Text: s.configuration,
		ListRevision: s.listRev, ListText: sample.Text(s.list),
	}
	if s.platformIsStale {
		d = inner.Documents{Revision: s.oldRev, Text: s.oldConfiguration, ListRevision: s.oldListRev, ListText: s.oldList}
	}
	n.documents(d)
	n.step(agent.PlatformRead{RequestedAt: asked})
}

// Process returns the name under which the VM's process is known now.
func (n *Node) Process() ident.Process { return n.Agent.Membership().Self() }

// Members returns the VMs in the node's view.
func (n *Node) Members() []ident.VM {
	var out []ident.VM
	for _, p := range n.Agent.Membership().Members() {
		out = append(out, member.VMOf(p))
	}
	return out
}

// After does something once a span of virtual time has passed.
func (s *Sim) After(d time.Duration, do func()) { s.queue.After(d, do) }
