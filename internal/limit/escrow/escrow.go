package escrow

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
)

const (
	// idleWeight is the weight of a VM to which no clients are directed, as a fraction of that of one to which clients are.
	idleWeight = 0.125
	// releaseTime is how long the claim of a process that has ended stays reserved: the next one on its VM gets it back, maybe from others.
	releaseTime = time.Minute
	// forgetTime is how long the claim of a silent VM stays reserved.
	forgetTime = time.Hour
	// foundingTime is how long a VM must hear from most of the seeds, and from nobody who is settled, until it is settled itself.
	// aloneTime is the same for a VM that hears from some of the seeds, or is one, soleTime for one that hears from all seeds of a list with room for
	// more, and firstTime for one at the first start of the fleet. A VM that hears from no seed can't know whether others are settled: VMs find
	// each other by the seeds only.
	foundingTime = 20 * time.Second
	aloneTime    = time.Minute
	soleTime     = 3 * time.Second
	firstTime    = time.Second
	// fullSeeds is the number of seeds that a fleet of that many VMs or more has. A shorter list names all VMs.
	fullSeeds = 3
	// strayPart is the largest claim of a VM that is not settled and hears neither from most of the seeds nor from settled VMs. Groups
	// with most of the seeds claim as one of at least minFleet VMs until they are settled.
	strayPart = 1.0 / 20
	minFleet  = 9
	// completeSum is the sum of known claims from which on no other VM can hold any that matters.
	completeSum = 0.98
	// VMs with a reserved claim are asked for news, recentInquiries at once of those that were heard from within recentTime, and formerInquiries of
	// the others.
	recentTime      = 10 * time.Second
	recentInquiries = 24
	formerInquiries = 2
	// invitedTime is how long a VM keeps its claim that less than half of the others count among those that divide the limits.
	invitedTime = 4 * time.Second
	// unit is the precision of claims. roundingError keeps a claim that is a whole number of units from losing one.
	unit          = 1e-4
	roundingError = 1e-6
)

// Claim is the part of the fleet-wide limits that a VM uses, from 0 to 1. Settled says that the VM knows the claims of all others.
type Claim struct {
	Part    float64
	Settled bool
}

// Peer is another VM as this one sees it.
type Peer struct {
	VM      ident.VM
	Address string
	Claim   Claim
	// Sharing says that the VM is one of those that divide the limits, Listed that clients are directed to it.
	Sharing, Listed bool
	// Alive says that the VM has been heard from lately, Ended that its process has ended. Invites says that it counts this VM among those that
	// divide the limits.
	Alive, Ended, Invites bool
}

// View is what a VM sees of the fleet. Sharing and Listed are as in Peer, for this VM.
type View struct {
	Sharing, Listed bool
	Peers           []Peer
	// Seeds is the number of seeds, SeedsAlive the number of those that are this VM or have been heard from lately.
	Seeds, SeedsAlive int
}

// Ledger holds the claims of all VMs as one VM knows them. Create one with New. It is not safe for concurrent use.
type Ledger struct {
	self    ident.VM
	started time.Time
	// first says that the whole fleet starts for the first time.
	first  bool
	claim  Claim
	others map[ident.VM]*other
	// majorityAt is since when the VM hears from most of the seeds, seedAt since when from any, soleAt since when from all those of a list that names all
	// VMs; zero if it does not.
	majorityAt, seedAt, soleAt time.Time
	// invitedAt is when at least half of the others last counted this VM among those that divide the limits.
	invitedAt time.Time
	sharing   bool
	// scale is the claim as a fraction of the VM's due.
	scale float64
}

// other is another VM. due is the part that it could claim when it was last heard from.
type other struct {
	Peer
	due                float64
	lastAlive, endedAt time.Time
}

// divides reports whether the VM is one of those that divide what is not reserved.
func (o *other) divides() bool { return o.Alive && o.Sharing }

// New returns a Ledger without claims, for a VM that starts now. first says that the whole fleet starts for the first time.
func New(now time.Time, self ident.VM, first bool) *Ledger {
	return &Ledger{self: self, started: now, first: first, others: make(map[ident.VM]*other)}
}

// Scale returns how much of the limits the VMs may use of which this one knows: all if the VM is settled, otherwise its claim as a fraction of what
// it would be then. Limits that are divided by rank are divided among Members, scaled by this.
func (l *Ledger) Scale() float64 {
	if l.claim.Settled {
		return 1
	}
	return l.scale
}

// Claim returns the claim of this VM.
func (l *Ledger) Claim() Claim { return l.claim }

// Members returns the VMs that divide the limits, reserved claims included, sorted by name.
func (l *Ledger) Members() []ident.VM {
	var out []ident.VM
	for name, o := range l.others {
		if o.Sharing || o.Claim.Part > 0 {
			out = append(out, name)
		}
	}
	if l.sharing {
		out = append(out, l.self)
	}
	slices.Sort(out)
	return out
}

// Inquiries returns the addresses of some VMs to ask for news, because their claims are reserved though they may have given them up: they are not
// heard from, or do not divide the limits. Those that were heard from lately come first and are more, as when many VMs start and take themselves for
// some of those that divide the limits.
func (l *Ledger) Inquiries(now time.Time, rng *rand.Rand) []string {
	var recent, former []string
	for _, o := range l.others {
		switch {
		case max(o.Claim.Part, o.due) <= 0 || o.Ended || o.divides():
		case now.Sub(o.lastAlive) < recentTime:
			recent = append(recent, o.Address)
		default:
			former = append(former, o.Address)
		}
	}
	return slices.Concat(sample(recent, recentInquiries, rng), sample(former, formerInquiries, rng))
}

// sample returns at most n of the addresses, at random.
func sample(all []string, n int, rng *rand.Rand) []string {
	slices.Sort(all)
	rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(n, len(all))]
}

// Known returns which part of the limits is claimed by settled VMs that are alive, this one included.
func (l *Ledger) Known() float64 {
	sum := 0.0
	if l.claim.Settled {
		sum = l.claim.Part
	}
	for _, o := range l.others {
		if o.Alive && o.Claim.Settled {
			sum += o.Claim.Part
		}
	}
	return sum
}

// tally is what the claims of the others leave for this VM.
type tally struct {
	// weights is the sum of the weights of the VMs that divide what is not reserved, this one included.
	weights float64
	// used is the sum of all claims, reserved the part of it that is reserved.
	used, reserved float64
	// ratio is the highest claim of a settled VM, for each unit of weight.
	ratio float64
	// settled counts the settled VMs that divide the limits, invites those of them that count this one too. heard is set if any other divides.
	settled, invites int
	heard            bool
}

// Update applies what the VM sees now and returns its claim.
func (l *Ledger) Update(now time.Time, v View) Claim {
	l.observe(now, v)
	l.sharing = v.Sharing
	own := weight(v.Listed)
	t := l.tally(own)
	if 2*t.invites >= t.settled {
		l.invitedAt = now
	}
	// A VM that knows few others takes itself for one of those that divide the limits more often than they do.
	invited := l.invitedAt.Equal(now) || l.claim.Part > 0 && now.Sub(l.invitedAt) < invitedTime
	due, target := max(0, 1-t.reserved)*own/t.weights, 0.0
	if v.Sharing && invited {
		target = due
	}
	if !l.claim.Settled {
		if t.settled > 0 {
			l.claim.Settled = t.used+l.claim.Part >= completeSum
			target = min(target, own*t.ratio)
		} else if l.claim.Settled = l.founds(now, t.heard); !l.claim.Settled {
			target = min(target, l.strayTarget(target))
		}
	}
	free := max(0, 1-t.used)
	next := min(target, max(l.claim.Part, free))
	l.claim.Part = math.Floor(next/unit+roundingError) * unit
	l.scale = 0
	if due > 0 {
		l.scale = min(1, l.claim.Part/due)
	}
	return l.claim
}

// tally adds up the claims of the others, given the weight of this VM.
func (l *Ledger) tally(own float64) tally {
	t := tally{weights: own}
	for _, o := range l.others {
		if !o.divides() {
			// A VM that is silent may have raised its claim up to its due since its last report.
			held := max(o.Claim.Part, o.due)
			t.used, t.reserved = t.used+held, t.reserved+held
			continue
		}
		w := weight(o.Listed)
		t.used, t.weights, t.heard = t.used+o.Claim.Part, t.weights+w, true
		if o.Claim.Settled {
			t.ratio = max(t.ratio, o.Claim.Part/w)
			t.settled++
			if o.Invites {
				t.invites++
			}
		}
	}
	for _, o := range l.others {
		switch {
		case o.divides():
			o.due = max(0, 1-t.reserved) * weight(o.Listed) / t.weights
		case o.Alive:
			o.due = 0
		}
	}
	return t
}

// observe records what the VM sees of the others, and drops those whose claims are no longer reserved.
func (l *Ledger) observe(now time.Time, v View) {
	for _, o := range l.others {
		o.Alive = false
	}
	for _, p := range v.Peers {
		l.record(now, p)
	}
	maps.DeleteFunc(l.others, func(_ ident.VM, o *other) bool {
		ended := o.Ended && now.Sub(o.endedAt) > releaseTime
		left := o.Alive && !o.Sharing && o.Claim.Part <= 0
		return ended || left || now.Sub(o.lastAlive) > forgetTime
	})
	l.majorityAt = since(l.majorityAt, now, 2*v.SeedsAlive > v.Seeds)
	l.seedAt = since(l.seedAt, now, v.SeedsAlive > 0)
	l.soleAt = since(l.soleAt, now, v.Seeds < fullSeeds && v.SeedsAlive == v.Seeds)
}

// since returns since when a condition holds, given since when it did before; zero says that it does not.
func since(before, now time.Time, holds bool) time.Time {
	switch {
	case !holds:
		return time.Time{}
	case before.IsZero():
		return now
	}
	return before
}

// record records what the VM sees of another one. It begins only with VMs that are alive.
func (l *Ledger) record(now time.Time, p Peer) {
	p.Alive = p.Alive && !p.Ended
	p.Claim.Part = min(1, max(0, p.Claim.Part))
	if math.IsNaN(p.Claim.Part) {
		p.Claim.Part = 0
	}
	o := l.others[p.VM]
	if o == nil {
		if !p.Alive || !p.Sharing && p.Claim.Part <= 0 {
			return
		}
		o = &other{}
		l.others[p.VM] = o
	}
	if p.Ended && !o.Ended {
		o.endedAt = now
	}
	if p.Alive {
		o.lastAlive = now
	}
	o.Peer = p
}

// founds reports whether the VM is settled though it hears from nobody who is: none other can be.
func (l *Ledger) founds(now time.Time, heard bool) bool {
	switch {
	case l.first:
		return now.Sub(l.started) >= firstTime
	case !l.soleAt.IsZero():
		return now.Sub(l.soleAt) >= soleTime
	case heard && !l.majorityAt.IsZero():
		return now.Sub(l.majorityAt) >= foundingTime
	}
	return !l.seedAt.IsZero() && now.Sub(l.seedAt) >= aloneTime
}

// strayTarget bounds the claim of a VM that is not settled and hears from nobody who is.
func (l *Ledger) strayTarget(target float64) float64 {
	if l.majorityAt.IsZero() || len(l.others) == 0 {
		return strayPart
	}
	if l.first {
		return target
	}
	return target * min(1, float64(1+len(l.others))/minFleet)
}

// weight returns the weight with which a VM divides the limits.
func weight(listed bool) float64 {
	if listed {
		return 1
	}
	return idleWeight
}
