package agent_test

import (
	"fmt"
	"testing"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/conf/schema"
	"kumquatreel.example/kumquatreel/internal/fleet/agent"
	"kumquatreel.example/kumquatreel/internal/stand/drive"
	"kumquatreel.example/kumquatreel/internal/stand/sample"
)

// spans are short, so that every rule comes into play within a run.
var spans = agent.Options{
	HoldTimeout: 4 * time.Second, ReclaimTimeout: 7 * time.Second, FreshTimeout: 3 * time.Second,
	LeaseDuration: time.Second, TickInterval: 250 * time.Millisecond, MaxWorkTime: 300 * time.Millisecond, PlatformReaders: 1,
}

const (
	team  ident.Team = "team0"
	rate             = 20.0
	burst            = 10.0
)

// world is a fleet in virtual time with a judge of its promises.
type world struct {
	sim     *drive.Sim
	deploy  sample.Deployment
	doc     schema.Text
	servers []*schema.Server
	running map[ident.Server]int
	level   float64
	since   time.Duration
	taken   float64
	broken  string
	seen    map[*drive.Node]int64
}

func newWorld(seed uint64, vms int) *world {
	d := sample.Small(9000)
	d.VMs = vms
	d.Kinds = []sample.Kind{{Prefix: "a", Count: 2, Replicas: 2, Slots: 2, ColdSlots: 1, Connections: 8}}
	d.Routes = []schema.RouteText{{Name: "q", Services: []string{"*"}, Idempotent: true, Class: "q", DeadlineMillis: 100}}
	d.Teams = d.Teams[:1]
	d.Teams[0].Rate, d.Teams[0].Burst = rate, burst
	w := &world{sim: drive.New(seed, spans), deploy: d, doc: d.Document(), running: make(map[ident.Server]int), seen: make(map[*drive.Node]int64), level: burst}
	w.sim.Publish(w.doc)
	w.sim.PublishList(d.List())
	c, err := schema.Parse(1, []byte(sample.Text(w.doc)))
	if err != nil {
		panic(err)
	}
	w.servers = c.Servers()
	for _, vm := range d.List().VMs {
		w.sim.Start(vm.Name, vm.Domain, 0)
	}
	return w
}

// judge lets every VM begin as much work as it believes it may, and counts what is in progress at each server.
func (w *world) judge() {
	for _, n := range w.sim.Nodes() {
		if n.Asleep() {
			continue
		}
		w.judgeRevision(n)
		for _, s := range w.servers {
			if w.sim.Rand().IntN(4) == 0 {
				w.work(n, s)
			}
		}
	}
}

// judgeRevision checks that a configuration in force never goes back.
func (w *world) judgeRevision(n *drive.Node) {
	revision := n.Agent.Documents().Revision
	if revision < w.seen[n] && w.broken == "" {
		w.broken = fmt.Sprintf("at %v %s went from revision %d to %d", w.sim.Now(), n.VM, w.seen[n], revision)
	}
	w.seen[n] = revision
}

func (w *world) work(n *drive.Node, s *schema.Server) {
	if !n.Agent.Reserve(n.Clock(), s) {
		return
	}
	w.running[s.Name()]++
	if w.running[s.Name()] > s.Service().Slots() && w.broken == "" {
		w.broken = fmt.Sprintf("at %v server %s has %d parts in progress, the last from %s", w.sim.Now(), s.Name(), w.running[s.Name()], n.Process())
	}
	w.sim.After(time.Duration(w.sim.Rand().Int64N(int64(spans.MaxWorkTime))), func() {
		w.running[s.Name()]--
		n.Run(func() { n.Agent.Free(s.Name()) })
	})
}

// take spends a team's tokens at a VM and checks them against one bucket for the whole fleet.
func (w *world) take(n *drive.Node, tokens float64) bool {
	if n == nil || n.Asleep() || !n.Agent.Take(n.Clock(), team, tokens) {
		return false
	}
	passed := (w.sim.Now() - w.since).Seconds()
	w.since = w.sim.Now()
	w.level = min(burst, w.level+rate*passed) - tokens
	w.taken += tokens
	if w.level < -1e-6 && w.broken == "" {
		w.broken = fmt.Sprintf("at %v team got %.3f tokens above its rate and burst, the last at %s", w.sim.Now(), -w.level, n.Process())
	}
	return true
}

func (w *world) list(keep func(ident.VM) bool) schema.VMListText {
	var out schema.VMListText
	for _, vm := range w.deploy.List().VMs {
		if keep(vm.Name) {
			out.VMs = append(out.VMs, vm)
		}
	}
	return out
}

func assertHolds(t interface{ Fatalf(string, ...any) }, w *world) {
	if w.broken != "" {
		t.Fatalf("%s", w.broken)
	}
}

func assertSettled(t *testing.T, w *world, within time.Duration) {
	t.Helper()
	limit := w.sim.Now() + within
	for w.sim.Now() < limit {
		w.sim.Run(w.sim.Now()+spans.TickInterval, w.judge)
		if w.settled() {
			return
		}
	}
	for _, n := range w.sim.Nodes() {
		t.Logf("%s members %v settled %v", n.Process(), n.Members(), n.Agent.Membership().ViewConfirmed())
	}
	t.Fatalf("the fleet has not settled within %v", within)
}

func (w *world) settled() bool {
	for _, n := range w.sim.Nodes() {
		if !n.Agent.Membership().ViewConfirmed() || !n.Agent.Membership().HoldsShares(n.Clock()) {
			return false
		}
	}
	return true
}

// fullRate returns the tokens that a team gets in a span when it asks at its home all the time.
func (w *world) fullRate(span time.Duration) float64 {
	before := w.taken
	end := w.sim.Now() + span
	for w.sim.Now() < end {
		w.sim.Run(w.sim.Now()+10*time.Millisecond, w.judge)
		for _, n := range w.sim.Nodes() {
			for w.take(n, 0.1) {
			}
		}
	}
	return w.taken - before
}

// gatherer returns the VM that has gathered all units of a server.
func (w *world) gatherer(t *testing.T, i int) *drive.Node {
	t.Helper()
	s := w.servers[i]
	for _, n := range w.sim.Nodes() {
		if units, _ := n.Agent.UsableSlots(n.Clock(), s); units == s.Service().Slots() {
			return n
		}
	}
	t.Fatalf("nobody has gathered the units of %s", s.Name())
	return nil
}
