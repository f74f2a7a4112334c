package escrow_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/limit/escrow"
)

const (
	tick = 200 * time.Millisecond
	// silence is the time after which a VM that is not heard from is not alive.
	silence  = 1500 * time.Millisecond
	numSeeds = 3
	coreSize = 12
)

var start = time.Unix(1000, 0)

// fleet is a set of VMs in virtual time that send each other their claims each tick. The first coreSize VMs that a VM hears from, itself
// included, divide the limits.
type fleet struct {
	at     time.Duration
	vms    []*vm
	listed int
	// group holds the side of a partition that each VM is on, lossy is the chance that a heartbeat is lost.
	group []int
	lossy float64
	// mute holds the pairs of VMs of which the second doesn't hear the first.
	mute map[[2]int]bool
	rng  *rand.Rand
	// seeds is the number of seeds, which are the first VMs.
	seeds int
}

type vm struct {
	ledger *escrow.Ledger
	// heard holds the last claims that the VM has received, by VM, and when.
	heard   map[int]escrow.Claim
	heardAt map[int]time.Duration
	ended   map[int]bool
	// sharing holds the VMs that the VM counts among those that divide the limits, invited those that count it so.
	sharing, invited map[int]bool
	down             bool
	// first says that the process takes part in the first start of the fleet.
	first bool
}

func newFleet(n, listed int, first bool) *fleet {
	f := &fleet{listed: listed, group: make([]int, n), rng: rand.New(rand.NewPCG(1, 1)), seeds: numSeeds}
	for i := range n {
		f.vms = append(f.vms, &vm{first: first})
		f.start(i)
	}
	return f
}

func name(i int) ident.VM { return ident.VM(fmt.Sprintf("vm%02d", i)) }

// start starts the process of a VM, without any knowledge.
func (f *fleet) start(i int) {
	f.vms[i] = &vm{
		ledger: escrow.New(start.Add(f.at), name(i), f.vms[i].first), heard: make(map[int]escrow.Claim),
		heardAt: make(map[int]time.Duration), ended: make(map[int]bool), invited: make(map[int]bool),
	}
}

// stop ends the process of a VM, which tells the others if it is planned.
func (f *fleet) stop(i int, planned bool) {
	for j, v := range f.vms {
		if planned && f.group[i] == f.group[j] {
			v.ended[i] = true
		}
	}
	f.vms[i].down = true
}

func (f *fleet) run(d time.Duration) {
	for end := f.at + d; f.at < end; f.at += tick {
		for i, v := range f.vms {
			if !v.down {
				f.update(i)
				f.send(i)
			}
		}
	}
}

// send sends the claim of a VM to all others on its side.
func (f *fleet) send(i int) {
	for j, v := range f.vms {
		if i != j && !v.down && f.group[i] == f.group[j] && !f.mute[[2]int{i, j}] && f.rng.Float64() >= f.lossy {
			v.heard[i], v.heardAt[i], v.ended[i] = f.vms[i].ledger.Claim(), f.at, false
			v.invited[i] = f.vms[i].sharing[j]
		}
	}
}

func (f *fleet) update(i int) {
	v := f.vms[i]
	alive := func(j int) bool {
		at, ok := v.heardAt[j]
		return ok && f.at-at < silence && !v.ended[j]
	}
	view := escrow.View{Seeds: f.seeds}
	rank := 0
	v.sharing = make(map[int]bool)
	for j := range f.vms {
		switch {
		case i == j:
			view.Sharing, view.Listed = rank < coreSize, rank < f.listed
			rank++
		case v.heard[j] != escrow.Claim{} || alive(j):
			p := escrow.Peer{VM: name(j), Claim: v.heard[j], Alive: alive(j), Ended: v.ended[j], Invites: v.invited[j]}
			if p.Alive {
				p.Sharing, p.Listed = rank < coreSize, rank < f.listed
				v.sharing[j] = p.Sharing
				rank++
			}
			view.Peers = append(view.Peers, p)
		}
		if j < f.seeds && (i == j || alive(j)) {
			view.SeedsAlive++
		}
	}
	v.ledger.Update(start.Add(f.at), view)
}

// sum returns the sum of the claims of all processes.
func (f *fleet) sum() float64 {
	sum := 0.0
	for _, v := range f.vms {
		if !v.down {
			sum += v.ledger.Claim().Part
		}
	}
	return sum
}

func assertSum(t *testing.T, f *fleet, least, most float64) {
	t.Helper()
	if sum := f.sum(); sum < least-0.005 || sum > most+0.005 {
		t.Errorf("the claims add up to %.3f, want %.2f to %.2f", sum, least, most)
	}
}

// islandSum returns the sum of the claims of the processes on one side of a partition.
func (f *fleet) islandSum(group int) float64 {
	sum := 0.0
	for i, v := range f.vms {
		if f.group[i] == group && !v.down {
			sum += v.ledger.Claim().Part
		}
	}
	return sum
}

func assertPart(t *testing.T, f *fleet, i int, want float64) {
	t.Helper()
	if got := f.vms[i].ledger.Claim().Part; got < want-0.005 || got > want+0.005 {
		t.Errorf("VM %d claims %.3f, want %.3f", i, got, want)
	}
}

func TestFirstStart(t *testing.T) {
	for _, n := range []int{1, 3, 9, 30} {
		t.Run(fmt.Sprintf("of %d VMs", n), func(t *testing.T) {
			f := newFleet(n, n, true)
			f.run(4 * time.Second)
			assertSum(t, f, 0.95, 1)
		})
	}
	t.Run("gives more to VMs that clients are directed to", func(t *testing.T) {
		f := newFleet(30, 4, true)
		f.run(4 * time.Second)
		assertPart(t, f, 3, 0.2)
		assertPart(t, f, 4, 0.025)
		assertPart(t, f, 12, 0)
	})
}

func TestStray(t *testing.T) {
	t.Run("VMs that never hear each other claim little", func(t *testing.T) {
		f := newFleet(9, 9, false)
		for i := range f.group {
			f.group[i] = i
		}
		f.run(30 * time.Second)
		assertSum(t, f, 0.4, 0.5)
	})
	t.Run("VMs that hear from most seeds claim as a small fleet at once, and all later", func(t *testing.T) {
		f := newFleet(9, 9, false)
		f.run(2 * time.Second)
		assertSum(t, f, 0.95, 1)
		f = newFleet(3, 3, false)
		f.run(2 * time.Second)
		assertSum(t, f, 0.3, 0.34)
		f.run(30 * time.Second)
		assertSum(t, f, 0.95, 1)
	})
	t.Run("a lone VM claims all after a minute", func(t *testing.T) {
		f := newFleet(1, 1, false)
		f.run(61 * time.Second)
		assertSum(t, f, 0.95, 1)
	})
}

// All VMs lose power, and those that the seeds name stay down: the others never hear of each other, however long they wait. None may take all for that.
func TestSeedsLost(t *testing.T) {
	f := newFleet(9, 9, true)
	f.run(4 * time.Second)
	for i := range f.vms {
		f.stop(i, false)
	}
	for i := numSeeds; i < len(f.vms); i++ {
		f.vms[i].first, f.group[i] = false, i
		f.start(i)
	}
	for range 10 {
		f.run(time.Minute)
		assertSum(t, f, 0.05, 6*0.05)
	}
	t.Run("until a seed is back, through which they hear of each other", func(t *testing.T) {
		f.vms[0].first = false
		f.start(0)
		clear(f.group)
		f.run(2 * time.Minute)
		assertSum(t, f, 0.95, 1)
	})
}

// One VM of a fleet is left, and its list of seeds names no other. It must not serve a small part of its callers for a minute.
func TestSole(t *testing.T) {
	f := newFleet(1, 1, false)
	f.seeds = 1
	f.run(4 * time.Second)
	assertSum(t, f, 1, 1)
	t.Run("unless others are heard that hold the limits", func(t *testing.T) {
		f := newFleet(3, 3, true)
		f.seeds = 1
		f.run(4 * time.Second)
		f.vms[0].first = false
		f.start(0)
		f.run(10 * time.Second)
		assertSum(t, f, 0.95, 1)
	})
}

func TestCut(t *testing.T) {
	f := newFleet(30, 12, true)
	f.run(4 * time.Second)
	for i := range 4 {
		f.group[i] = 1
	}
	f.run(20 * time.Second)
	t.Run("each side keeps what it held, and divides it", func(t *testing.T) {
		assertSum(t, f, 0.95, 1)
		if sum := f.islandSum(1); sum < 0.32 || sum > 0.34 {
			t.Errorf("4 of 12 VMs claim %.3f, want a third", sum)
		}
		assertPart(t, f, 12, 8.0/12/12)
	})
	t.Run("a VM that starts again behind the cut gets its part back from the others there", func(t *testing.T) {
		f.stop(0, false)
		f.start(0)
		f.run(4 * time.Second)
		assertSum(t, f, 0.95, 1)
	})
	t.Run("all divide it again when it is over", func(t *testing.T) {
		clear(f.group)
		f.run(4 * time.Second)
		assertSum(t, f, 0.95, 1)
		assertPart(t, f, 0, 1.0/12)
	})
}

func TestEnd(t *testing.T) {
	t.Run("of a process that tells so frees its claim after a while", func(t *testing.T) {
		f := newFleet(9, 9, true)
		f.run(4 * time.Second)
		f.stop(4, true)
		f.run(50 * time.Second)
		assertPart(t, f, 3, 1.0/9)
		f.run(20 * time.Second)
		assertPart(t, f, 3, 1.0/8)
	})
	t.Run("without a word reserves its claim", func(t *testing.T) {
		f := newFleet(9, 9, true)
		f.run(4 * time.Second)
		f.stop(4, false)
		f.run(time.Minute)
		assertPart(t, f, 3, 1.0/9)
		f.run(time.Hour)
		assertPart(t, f, 3, 1.0/8)
	})
}

func TestClaimOutOfRange(t *testing.T) {
	for _, part := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, 1e300} {
		l := escrow.New(start, name(0), true)
		for s := range 3 {
			l.Update(start.Add(time.Duration(s)*time.Second), escrow.View{Sharing: true, Listed: true, Peers: []escrow.Peer{
				{VM: name(1), Claim: escrow.Claim{Part: part, Settled: true}, Sharing: true, Listed: true, Alive: true},
			}})
		}
		if got := l.Claim().Part; !(got >= 0 && got <= 1) {
			t.Errorf("claims %v beside a claim of %v, want 0 to 1", got, part)
		}
	}
}

// VMs are cut off, restarted and stopped in any order, while heartbeats are lost. Guards against claims that add up to more than one: only
// processes that start where nobody is settled may add to that, little each.
func TestTurmoil(t *testing.T) {
	for _, c := range []struct {
		name     string
		restarts bool
		lossy    float64
		most     float64
	}{
		{"cuts", false, 0, 1},
		{"cuts with lost heartbeats", false, 0.3, 1.05},
		{"cuts and restarts", true, 0, 1.1},
		{"cuts and restarts with lost heartbeats", true, 0.3, 1.15},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(30) {
				f := newFleet(9, 9, true)
				f.rng = rand.New(rand.NewPCG(seed, 1))
				f.run(4 * time.Second)
				f.lossy = c.lossy
				for range 60 {
					f.disturb(c.restarts)
					assertSum(t, f, 0, c.most)
				}
			}
		})
	}
}

// A small fleet, exhaustively: for longer than any cut of the bench's days, but not for the time after which seeds without the others found a fleet, any
// VMs hear any others and any have restarted. The claims never add up to more than the limits, nor do they once all hear each other again.
func TestSmallModel(t *testing.T) {
	const cut = 18 * time.Second
	var both, directed [][][2]int
	for i := range 4 {
		for j := range i {
			both = append(both, [][2]int{{i, j}, {j, i}})
		}
	}
	for i := range 3 {
		for j := range 3 {
			if i != j {
				directed = append(directed, [][2]int{{i, j}})
			}
		}
	}
	for _, c := range []struct {
		vms   int
		links [][][2]int
	}{{4, both}, {3, directed}} {
		for down := range 1 << len(c.links) {
			for restarts := range 1 << c.vms {
				f := newFleet(c.vms, c.vms, true)
				f.run(4 * time.Second)
				f.mute = make(map[[2]int]bool)
				for k, pairs := range c.links {
					for _, p := range pairs {
						f.mute[p] = down>>k&1 == 1
					}
				}
				for i := range f.vms {
					f.vms[i].first = false
					if restarts>>i&1 == 1 {
						f.stop(i, false)
						f.start(i)
					}
				}
				for end := f.at + cut; f.at < end; f.run(time.Second) {
					assertSum(t, f, 0, 1)
				}
				f.mute = nil
				for end := f.at + cut; f.at < end; f.run(time.Second) {
					assertSum(t, f, 0, 1)
				}
				if t.Failed() {
					t.Fatalf("%d VMs, restarts %b, links down %b", c.vms, restarts, down)
				}
			}
		}
	}
}

// disturb cuts VMs off, ends a partition or restarts a VM at random, and lets some time pass.
func (f *fleet) disturb(restarts bool) {
	switch f.rng.IntN(4) {
	case 0:
		clear(f.group)
	case 1:
		for i := range f.group {
			f.group[i] = f.rng.IntN(3)
		}
	case 2:
		if restarts {
			i := f.rng.IntN(len(f.vms))
			f.vms[i].first = false
			f.stop(i, f.rng.IntN(2) == 0)
			f.start(i)
		}
	}
	f.run(time.Duration(f.rng.IntN(3000)) * time.Millisecond)
}
