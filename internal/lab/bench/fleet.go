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

// spans are the product's defaults.
func spans() agent.Options {
	return agent.Options{
		HoldTimeout: 120 * time.Second, ReclaimTimeout: 150 * time.Second, FreshTimeout: 3 * time.Second, LeaseDuration: 1500 * time.Millisecond,
		TickInterval: 250 * time.Millisecond, MaxWorkTime: time.Second, PlatformReaders: 2,
	}
}

// fleetOf starts agents over a deployment with some services for each VM and runs them until they have settled.
func fleetOf(seed uint64, vms, services int) (*drive.Sim, sample.Deployment) {
	d := sample.Small(10000)
	d.VMs = vms
	d.Kinds = []sample.Kind{{Prefix: "s", Count: services, Replicas: 2, Slots: 2, ColdSlots: 1, Connections: 25}}
	d.Routes = []schema.RouteText{{Name: "q", Services: []string{"*"}, Idempotent: true, Class: "q", DeadlineMillis: 100}}
	sim := drive.New(seed, spans())
	sim.Publish(d.Document())
	sim.PublishList(d.List())
	for _, vm := range d.List().VMs {
		sim.Start(vm.Name, vm.Domain, 0)
	}
	sim.Run(15*time.Second+time.Duration(vms)*150*time.Millisecond, nil)
	return sim, d
}

// limiter is a way to hold a team to its rate.
type limiter interface {
	take(vm int) bool
}

// refusals counts what a limiter does with requests that one exact bucket would admit.
type refusals struct {
	sim      *drive.Sim
	rate     float64
	burst    float64
	exact    float64
	total    float64
	last     time.Duration
	within   int
	refused  int
	admitted int
	beyond   int
}

func (r *refusals) request(l limiter, vm int) {
	passed := (r.sim.Now() - r.last).Seconds()
	r.last = r.sim.Now()
	r.exact = min(r.burst, r.exact+r.rate*passed)
	r.total = min(r.burst, r.total+r.rate*passed)
	within := r.exact >= 1
	if within {
		r.within++
		r.exact--
	}
	if !l.take(vm) {
		if within {
			r.refused++
		}
		return
	}
	r.admitted++
	r.total--
	if r.total < -1e-6 {
		r.beyond++
	}
}

// lent asks the homes of the team, as an entry does.
type lent struct {
	sim  *drive.Sim
	list []schema.VMText
	team ident.Team
}

func (l lent) take(vm int) bool {
	entry := l.sim.Node(l.list[vm].Name)
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

// static gives each VM a fixed part of the rate.
type static struct {
	sim   *drive.Sim
	rate  float64
	burst float64
	level []float64
	last  []time.Duration
}

func newStatic(sim *drive.Sim, vms int, rate, burst, factor float64) *static {
	s := &static{sim: sim, rate: rate * factor, burst: max(1, burst*factor), level: make([]float64, vms), last: make([]time.Duration, vms)}
	for i := range s.level {
		s.level[i], s.last[i] = s.burst, sim.Now()
	}
	return s
}

func (s *static) take(vm int) bool {
	passed := (s.sim.Now() - s.last[vm]).Seconds()
	s.last[vm] = s.sim.Now()
	s.level[vm] = min(s.burst, s.level[vm]+s.rate*passed)
	if s.level[vm] < 1 {
		return false
	}
	s.level[vm]--
	return true
}

func refuse(seed uint64) (Report, error) {
	const (
		vms    = 9
		span   = 120 * time.Second
		moving = 5 * time.Second
	)
	r := Report{
		Target:  "at most 1 in 1000 requests within the rate refused, none admitted beyond rate and burst, with all callers on one VM of nine that changes",
		Columns: []string{"within rate", "refused", "refused of 1000", "beyond rate"},
		Met:     true,
	}
	for _, v := range []struct {
		name  string
		kind  string
		happy func(sim *drive.Sim, d sample.Deployment)
	}{
		{"loans to a home", "lent", nil},
		{"static ninths", "static", nil},
		{"every VM the whole rate", "whole", nil},
		{"loans, rolling restart", "lent", rollFleet},
		{"loans, one VM crashes", "lent", func(sim *drive.Sim, d sample.Deployment) {
			sim.After(30*time.Second, func() { sim.Kill(d.List().VMs[4].Name) })
		}},
	} {
		sim, d := fleetOf(seed, vms, 4)
		team := d.Teams[0]
		c := &refusals{sim: sim, rate: team.Rate, burst: team.Burst, exact: team.Burst, total: team.Burst, last: sim.Now()}
		var l limiter = lent{sim: sim, list: d.List().VMs, team: team.Name}
		switch v.kind {
		case "static":
			l = newStatic(sim, vms, team.Rate, team.Burst, 1.0/vms)
		case "whole":
			l = newStatic(sim, vms, team.Rate, team.Burst, 1)
		}
		if v.happy != nil {
			v.happy(sim, d)
		}
		crowd(sim, c, l, vms, span, moving, 0.85*team.Rate)
		share := 1000 * float64(c.refused) / float64(max(1, c.within))
		r.Rows = append(r.Rows, Row{v.name, []float64{float64(c.within), float64(c.refused), share, float64(c.beyond)}})
		if v.kind == "lent" && (share > 1 || c.beyond > 0) {
			r.Met = false
		}
	}
	return r, nil
}

// crowd sends a team's requests to one VM at a time, at random intervals.
func crowd(sim *drive.Sim, c *refusals, l limiter, vms int, span, moving time.Duration, rate float64) {
	rng := rand.New(rand.NewPCG(7, 7))
	end := sim.Now() + span
	begun := sim.Now()
	for sim.Now() < end {
		gap := time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		sim.Run(sim.Now()+gap, nil)
		vm := int((sim.Now()-begun)/moving) % vms
		for sim.Node(ident.VM(fmt.Sprintf("vm%d", vm))) == nil {
			vm = (vm + 1) % vms
		}
		c.request(l, vm)
	}
}

// rollFleet restarts each VM gracefully, one after the other.
func rollFleet(sim *drive.Sim, d sample.Deployment) {
	for i, vm := range d.List().VMs {
		sim.After(time.Duration(i)*12*time.Second, func() {
			n := sim.Node(vm.Name)
			if n == nil {
				return
			}
			sim.Leave(n)
			var again func()
			again = func() {
				if sim.Node(vm.Name) != nil {
					sim.After(100*time.Millisecond, again)
					return
				}
				sim.Start(vm.Name, vm.Domain, 0)
			}
			again()
		})
	}
}

func control(seed uint64) (Report, error) {
	r := Report{
		Target:  "a VM spends at most 1.2% of a core, 32 MB and 9 KB a second on control; messages a VM stay constant",
		Columns: []string{"VMs", "messages/s", "KB/s", "core %", "memory MB", "platform calls/s"},
		Met:     true,
	}
	var x, messages, kilobytes, cores []float64
	for _, n := range []int{3, 9, 30, 100} {
		row := controlOf(seed, n)
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
		slope, base := fit(x, f.y)
		r.Notes = append(r.Notes, fmt.Sprintf("%s a VM = %.4g + %.4g for each VM; at 4200 VMs %.4g", f.name, base, slope, base+4200*slope))
	}
	return r, nil
}

// controlOf measures agents at a number of VMs, each with its part of the servers.
func controlOf(seed uint64, n int) []float64 {
	const serversByVM, seconds = 24, 10
	services := n * serversByVM / 2
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	sim, d := fleetOf(seed, n, min(services, 400))
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
	counted := sim.Counts
	sim.Measure = nil
	begun := time.Now()
	sim.Run(sim.Now()+seconds*time.Second, nil)
	spent := time.Since(begun)
	vmSeconds := float64(n * seconds)
	return []float64{
		float64(n), float64(counted.Messages) / vmSeconds, float64(counted.Bytes) / vmSeconds / 1000,
		100 * spent.Seconds() / vmSeconds,
		float64(after.HeapAlloc-min(before.HeapAlloc, after.HeapAlloc)) / float64(n) / 1e6,
		float64(counted.Platform) / seconds,
	}
}

// fit returns slope and base of the line through points with the least squares.
func fit(x, y []float64) (slope, base float64) {
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
