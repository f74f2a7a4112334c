package bench

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/conf/schema"
	"kumquatreel.example/kumquatreel/internal/fleet/agent"
	"kumquatreel.example/kumquatreel/internal/stand/drive"
	"kumquatreel.example/kumquatreel/internal/stand/sample"
)

// agentOptions returns the product's defaults.
func agentOptions() agent.Options {
	return agent.Options{
		HoldTimeout: 120 * time.Second, ReclaimTimeout: 150 * time.Second, MaxStaleness: 3 * time.Second, LeaseDuration: 1500 * time.Millisecond,
		TickInterval: 250 * time.Millisecond, MaxWorkTime: time.Second, PlatformReaders: 2,
	}
}

// startFleet simulates agents on the given number of VMs, with the given number of services, and runs them until
// they have agreed on a view, for 15 s and 150 ms per VM.
func startFleet(seed uint64, vms, services int) (*drive.Sim, sample.Deployment) {
	d := sample.Small(10000)
	d.VMs = vms
	d.Kinds = []sample.ServiceKind{{Prefix: "s", Count: services, Replicas: 2, Slots: 2, ColdSlots: 1, Connections: 25}}
	d.Routes = []schema.RouteText{{Name: "q", Services: []string{"*"}, Idempotent: true, Class: "q", DeadlineMillis: 100}}
	sim := drive.New(seed, agentOptions())
	sim.Publish(d.Document())
	sim.PublishList(d.List())
	for _, vm := range d.List().VMs {
		sim.Start(vm.Name, vm.Domain, 0)
	}
	sim.Run(15*time.Second+time.Duration(vms)*150*time.Millisecond, nil)
	return sim, d
}

// limiter is a strategy that limits the rate of a team; admit decides on a request that arrives at a VM.
type limiter interface {
	admit(vm int) bool
}

// limiterStats compares the decisions of a limiter with those of one exact token bucket for the whole fleet.
type limiterStats struct {
	sim   *drive.Sim
	rate  float64
	burst float64
	// exactLevel is the level of the exact bucket, which admits the requests that are within the rate.
	exactLevel float64
	// admittedLevel is the level of a bucket from which each admitted request takes a token. Below 0, more requests
	// were admitted than rate and burst allow.
	admittedLevel float64
	lastRequest   time.Duration
	withinRate    int
	// refused counts the refused requests that were within the rate.
	refused  int
	admitted int
	// beyondRate counts the requests admitted beyond rate and burst.
	beyondRate int
}

func (r *limiterStats) send(l limiter, vm int) {
	elapsed := (r.sim.Now() - r.lastRequest).Seconds()
	r.lastRequest = r.sim.Now()
	r.exactLevel = min(r.burst, r.exactLevel+r.rate*elapsed)
	r.admittedLevel = min(r.burst, r.admittedLevel+r.rate*elapsed)
	withinRate := r.exactLevel >= 1
	if withinRate {
		r.withinRate++
		r.exactLevel--
	}
	if !l.admit(vm) {
		if withinRate {
			r.refused++
		}
		return
	}
	r.admitted++
	r.admittedLevel--
	if r.admittedLevel < -1e-6 {
		r.beyondRate++
	}
}

// leaseLimiter takes a token at the first ready home VM of the team, as an entry VM does, or from the VM's own share if none is ready.
type leaseLimiter struct {
	sim  *drive.Sim
	vms  []schema.VMText
	team ident.Team
}

func (l leaseLimiter) admit(vm int) bool {
	entry := l.sim.Node(l.vms[vm].Name)
	if entry == nil {
		return false
	}
	now := entry.Clock()
	for _, home := range entry.Agent.HomeCandidates(now, l.team) {
		n := l.sim.Node(home)
		if n == nil {
			continue
		}
		if n.Agent.Take(n.Clock(), l.team, 1) {
			return true
		}
		if n.Agent.IsReadyHome(n.Clock(), l.team) {
			return false
		}
	}
	return entry.Agent.Take(now, l.team, 1)
}

// staticLimiter gives each VM a fixed fraction of rate and burst.
type staticLimiter struct {
	sim       *drive.Sim
	rate      float64
	burst     float64
	level     []float64
	updatedAt []time.Duration
}

func newStaticLimiter(sim *drive.Sim, vms int, rate, burst, factor float64) *staticLimiter {
	s := &staticLimiter{
		sim: sim, rate: rate * factor, burst: max(1, burst*factor),
		level: make([]float64, vms), updatedAt: make([]time.Duration, vms),
	}
	for i := range s.level {
		s.level[i], s.updatedAt[i] = s.burst, sim.Now()
	}
	return s
}

func (s *staticLimiter) admit(vm int) bool {
	elapsed := (s.sim.Now() - s.updatedAt[vm]).Seconds()
	s.updatedAt[vm] = s.sim.Now()
	s.level[vm] = min(s.burst, s.level[vm]+s.rate*elapsed)
	if s.level[vm] < 1 {
		return false
	}
	s.level[vm]--
	return true
}

// measureRefusals measures how exactly the fleet holds the rate limit of a team whose clients all use one VM at a
// time, with the limiter of the product and with static limits as baselines.
func measureRefusals(seed uint64) (Report, error) {
	const (
		vms          = 9
		span         = 120 * time.Second
		moveInterval = 5 * time.Second
	)
	r := Report{
		Target:  "at most 1 in 1000 requests within the rate refused, none admitted beyond rate and burst, with all callers on one VM of nine that changes",
		Columns: []string{"within rate", "refused", "refused of 1000", "beyond rate"},
		Met:     true,
	}
	for _, v := range []struct {
		name    string
		kind    string
		disturb func(sim *drive.Sim, d sample.Deployment)
	}{
		{"loans to a home", "lent", nil},
		{"static ninths", "static", nil},
		{"every VM the whole rate", "whole", nil},
		{"loans, rolling restart", "lent", rollingRestart},
		{"loans, one VM crashes", "lent", func(sim *drive.Sim, d sample.Deployment) {
			sim.After(30*time.Second, func() { sim.Kill(d.List().VMs[4].Name) })
		}},
	} {
		sim, d := startFleet(seed, vms, 4)
		team := d.Teams[0]
		stats := &limiterStats{
			sim: sim, rate: team.Rate, burst: team.Burst,
			exactLevel: team.Burst, admittedLevel: team.Burst, lastRequest: sim.Now(),
		}
		var l limiter = leaseLimiter{sim: sim, vms: d.List().VMs, team: team.Name}
		switch v.kind {
		case "static":
			l = newStaticLimiter(sim, vms, team.Rate, team.Burst, 1.0/vms)
		case "whole":
			l = newStaticLimiter(sim, vms, team.Rate, team.Burst, 1)
		}
		if v.disturb != nil {
			v.disturb(sim, d)
		}
		sendRequests(sim, stats, l, vms, span, moveInterval, 0.85*team.Rate)
		refusedPerThousand := 1000 * float64(stats.refused) / float64(max(1, stats.withinRate))
		r.Rows = append(r.Rows, Row{v.name, []float64{
			float64(stats.withinRate), float64(stats.refused), refusedPerThousand,
			float64(stats.beyondRate),
		}})
		if v.kind == "lent" && (refusedPerThousand > 1 || stats.beyondRate > 0) {
			r.Met = false
		}
	}
	return r, nil
}

// sendRequests sends a team's requests at random intervals, all to one VM, and moves on to the next VM every
// moveInterval.
func sendRequests(sim *drive.Sim, stats *limiterStats, l limiter, vms int, span, moveInterval time.Duration, rate float64) {
	rng := rand.New(rand.NewPCG(7, 7))
	end := sim.Now() + span
	start := sim.Now()
	for sim.Now() < end {
		interval := time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		sim.Run(sim.Now()+interval, nil)
		vm := int((sim.Now()-start)/moveInterval) % vms
		for sim.Node(ident.VM(fmt.Sprintf("vm%d", vm))) == nil {
			vm = (vm + 1) % vms
		}
		stats.send(l, vm)
	}
}

// rollingRestart restarts each VM gracefully, one after the other, at intervals of 12 s.
func rollingRestart(sim *drive.Sim, d sample.Deployment) {
	for i, vm := range d.List().VMs {
		sim.After(time.Duration(i)*12*time.Second, func() {
			n := sim.Node(vm.Name)
			if n == nil {
				return
			}
			sim.Leave(n)
			var startAfterExit func()
			startAfterExit = func() {
				if sim.Node(vm.Name) != nil {
					sim.After(100*time.Millisecond, startAfterExit)
					return
				}
				sim.Start(vm.Name, vm.Domain, 0)
			}
			startAfterExit()
		})
	}
}

// measureControlTraffic measures messages, run time and memory of the control plane and how they grow with the fleet.
func measureControlTraffic(seed uint64) (Report, error) {
	r := Report{
		Target:  "a VM spends at most 1.2% of a core, 32 MB and 9 KB a second on control; messages a VM stay constant",
		Columns: []string{"VMs", "messages/s", "KB/s", "core %", "memory MB", "platform calls/s"},
		Met:     true,
	}
	var x, messages, kilobytes, cores []float64
	for _, n := range []int{3, 9, 30, 100} {
		row := controlCost(seed, n)
		r.Rows = append(r.Rows, Row{fmt.Sprintf("%d VMs, 24 servers each", n), row})
		x, messages, kilobytes, cores = append(x, row[0]), append(messages, row[1]), append(kilobytes, row[2]), append(cores, row[3])
		if row[2] > 9 || row[3] > 1.2 || row[4] > 32 {
			r.Met = false
		}
	}
	for _, f := range []struct {
		name string
		y    []float64
	}{{"messages/s", messages}, {"KB/s", kilobytes}, {"core %", cores}} {
		slope, base := linearFit(x, f.y)
		r.Notes = append(r.Notes, fmt.Sprintf("%s a VM = %.4g + %.4g for each VM; at 4200 VMs %.4g", f.name, base, slope, base+4200*slope))
	}
	return r, nil
}

// controlCost measures the agents of n VMs with 24 servers per VM, at most 800 servers in all. Messages and bytes are
// counted in one run and the run time, as a fraction of a core, is taken in a second one, since counting encodes every
// message.
func controlCost(seed uint64, n int) []float64 {
	const serversPerVM, seconds = 24, 10
	services := n * serversPerVM / 2
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	sim, d := startFleet(seed, n, min(services, 400))
	_ = d
	runtime.GC()
	runtime.ReadMemStats(&after)
	sim.Counts = drive.Counts{}
	sim.Measure = func(v any) int {
		raw, err := json.Marshal(v)
		if err != nil {
			return 0
		}
		return len(raw)
	}
	sim.Run(sim.Now()+seconds*time.Second, nil)
	counts := sim.Counts
	sim.Measure = nil
	start := time.Now()
	sim.Run(sim.Now()+seconds*time.Second, nil)
	wallTime := time.Since(start)
	vmSeconds := float64(n * seconds)
	return []float64{
		float64(n), float64(counts.Messages) / vmSeconds, float64(counts.Bytes) / vmSeconds / 1000,
		100 * wallTime.Seconds() / vmSeconds,
		float64(after.HeapAlloc-min(before.HeapAlloc, after.HeapAlloc)) / float64(n) / 1e6,
		float64(counts.PlatformReads) / seconds,
	}
}

// linearFit returns slope and intercept of the least-squares line through the points.
func linearFit(x, y []float64) (slope, base float64) {
	var sx, sy, sxx, sxy float64
	n := float64(len(x))
	for i := range x {
		sx += x[i]
		sy += y[i]
		sxx += x[i] * x[i]
		sxy += x[i] * y[i]
	}
	slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return slope, (sy - slope*sx) / n
}
