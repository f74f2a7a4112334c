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

// options has short time-outs, so that each of them expires within a run.
var options = agent.Options{
	HoldTimeout: 4 * time.Second, ReclaimTimeout: 7 * time.Second, MaxStaleness: 3 * time.Second,
	LeaseDuration: time.Second, TickInterval: 250 * time.Millisecond, MaxWorkTime: 300 * time.Millisecond, PlatformReaders: 1,
}

const (
	team  ident.Team = "team0"
	rate             = 20.0
	burst            = 10.0
)

// testFleet is a fleet in virtual time that checks the fleet-wide limits at each step.
type testFleet struct {
	sim       *drive.Sim
	deploy    sample.Deployment
	doc       schema.Text
	servers   []*schema.Server
	running   map[ident.Server]int
	level     float64
	levelAt   time.Duration
	taken     float64
	violation string
	revisions map[*drive.Node]int64
}

func newTestFleet(seed uint64, vms int) *testFleet {
	d := sample.Small(9000)
	d.VMs = vms
	d.Kinds = []sample.ServiceKind{{Prefix: "a", Count: 2, Replicas: 2, Slots: 2, ColdSlots: 1, Connections: 8}}
	d.Routes = []schema.RouteText{{Name: "q", Services: []string{"*"}, Idempotent: true, Class: "q", DeadlineMillis: 100}}
	d.Teams = d.Teams[:1]
	d.Teams[0].Rate, d.Teams[0].Burst = rate, burst
	w := &testFleet{
		sim: drive.New(seed, options), deploy: d, doc: d.Document(), running: make(map[ident.Server]int),
		revisions: make(map[*drive.Node]int64), level: burst,
	}
	w.sim.Publish(w.doc)
	w.sim.PublishList(d.List())
	c, err := schema.Parse(1, []byte(sample.JSON(w.doc)))
	if err != nil {
		panic(err)
	}
	w.servers = c.Servers()
	for _, vm := range d.List().VMs {
		w.sim.Start(vm.Name, vm.Domain, 0)
	}
	return w
}

// checkInvariants lets every VM start as many parts as it may by its own state, and checks the number in progress at each server.
func (w *testFleet) checkInvariants() {
	for _, n := range w.sim.Nodes() {
		if n.Paused() {
			continue
		}
		w.checkRevision(n)
		for _, s := range w.servers {
			if w.sim.Rand().IntN(4) == 0 {
				w.startPart(n, s)
			}
		}
	}
}

// checkRevision checks that the revision in force never decreases.
func (w *testFleet) checkRevision(n *drive.Node) {
	revision := n.Agent.Documents().Revision
	if revision < w.revisions[n] && w.violation == "" {
		w.violation = fmt.Sprintf("at %v %s went back from revision %d to %d", w.sim.Now(), n.VM, w.revisions[n], revision)
	}
	w.revisions[n] = revision
}

func (w *testFleet) startPart(n *drive.Node, s *schema.Server) {
	if !n.Agent.Reserve(n.Clock(), s) {
		return
	}
	w.running[s.Name()]++
	if w.running[s.Name()] > s.Service().Slots() && w.violation == "" {
		w.violation = fmt.Sprintf("at %v server %s has %d parts in progress, more than its slots, the last from %s",
			w.sim.Now(), s.Name(), w.running[s.Name()], n.Process())
	}
	w.sim.After(time.Duration(w.sim.Rand().Int64N(int64(options.MaxWorkTime))), func() {
		w.running[s.Name()]--
		n.Run(func() { n.Agent.Free(s.Name()) })
	})
}

// take spends a team's tokens at a VM and checks them against one token bucket for the whole fleet.
func (w *testFleet) take(n *drive.Node, tokens float64) bool {
	if n == nil || n.Paused() || !n.Agent.Take(n.Clock(), team, tokens) {
		return false
	}
	elapsed := (w.sim.Now() - w.levelAt).Seconds()
	w.levelAt = w.sim.Now()
	w.level = min(burst, w.level+rate*elapsed) - tokens
	w.taken += tokens
	if w.level < -1e-6 && w.violation == "" {
		w.violation = fmt.Sprintf("at %v the team received %.3f tokens more than its rate and burst allow, the last at %s",
			w.sim.Now(), -w.level, n.Process())
	}
	return true
}

func (w *testFleet) list(keep func(ident.VM) bool) schema.VMListText {
	var out schema.VMListText
	for _, vm := range w.deploy.List().VMs {
		if keep(vm.Name) {
			out.VMs = append(out.VMs, vm)
		}
	}
	return out
}

func assertNoViolation(t interface{ Fatalf(string, ...any) }, w *testFleet) {
	if w.violation != "" {
		t.Fatalf("%s", w.violation)
	}
}

func assertAllConfirmed(t *testing.T, w *testFleet, within time.Duration) {
	t.Helper()
	limit := w.sim.Now() + within
	for w.sim.Now() < limit {
		w.sim.Run(w.sim.Now()+options.TickInterval, w.checkInvariants)
		if w.allConfirmed() {
			return
		}
	}
	for _, n := range w.sim.Nodes() {
		t.Logf("%s: members %v, view confirmed %v", n.Process(), n.Members(), n.Agent.Membership().ViewConfirmed())
	}
	t.Fatalf("the view was not confirmed by all VMs within %v", within)
}

func (w *testFleet) allConfirmed() bool {
	for _, n := range w.sim.Nodes() {
		if !n.Agent.Membership().ViewConfirmed() || !n.Agent.Membership().HoldsShares(n.Clock()) {
			return false
		}
	}
	return true
}

// takeAtFullRate returns the tokens that a team receives within span when it requests them at every VM all the time.
func (w *testFleet) takeAtFullRate(span time.Duration) float64 {
	before := w.taken
	end := w.sim.Now() + span
	for w.sim.Now() < end {
		w.sim.Run(w.sim.Now()+10*time.Millisecond, w.checkInvariants)
		for _, n := range w.sim.Nodes() {
			for w.take(n, 0.1) {
			}
		}
	}
	return w.taken - before
}

// primaryHolder returns the VM that holds or leases all slots of a server.
func (w *testFleet) primaryHolder(t *testing.T, i int) *drive.Node {
	t.Helper()
	s := w.servers[i]
	for _, n := range w.sim.Nodes() {
		if total, _ := n.Agent.UsableSlots(n.Clock(), s); total == s.Service().Slots() {
			return n
		}
	}
	t.Fatalf("no VM holds all slots of server %s", s.Name())
	return nil
}
