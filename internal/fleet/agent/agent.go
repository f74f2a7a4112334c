package agent

import (
	"math/rand/v2"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/clock"
	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/base/sets"
	"kumquatreel.example/kumquatreel/internal/conf/schema"
	"kumquatreel.example/kumquatreel/internal/fleet/docs"
	"kumquatreel.example/kumquatreel/internal/fleet/member"
	"kumquatreel.example/kumquatreel/internal/limit/bucket"
	"kumquatreel.example/kumquatreel/internal/limit/lease"
	"kumquatreel.example/kumquatreel/internal/wire/inner"
)

// loanMargin is how much longer a lender waits than a borrower uses, for clock drift.
const loanMargin = 200 * time.Millisecond

// Options are the fixed facts and spans of one VM.
type Options struct {
	VM             ident.VM
	Domain         ident.Domain
	Incarnation    string
	HoldTimeout    time.Duration
	ReclaimTimeout time.Duration
	FreshTimeout   time.Duration
	LeaseDuration  time.Duration
	TickInterval   time.Duration
	// MaxWorkTime is the longest time that a part may be in progress at a backend server.
	MaxWorkTime     time.Duration
	PlatformReaders int
}

// Agent holds one VM's part in the fleet; it is driven under its owner's lock.
type Agent struct {
	opts     Options
	rng      *rand.Rand
	member   *member.Machine
	news     docs.State
	lender   *lease.Lessor
	borrower *lease.Holder
	own      map[ident.Team]*bucket.Bucket
	pools    map[ident.Team]*bucket.Pool
	busy     map[ident.Server]int
	warm     map[ident.Server]sighting
	heard    map[ident.Server]sighting
	loads    map[ident.VM]float64
	load     float64
	newer    map[ident.VM]clock.Instant
	promised map[lease.Key]clock.Instant
	// newsAt is when someone read the platform whose configuration this VM has at least; everRead is set when that is known.
	newsAt   clock.Instant
	everRead bool
	begun    clock.Instant
	answers  sets.Set[ident.VM]
	known    bool
	closing  bool

	held         []*schema.Server
	heldDigest   uint64
	heldRevision int64
}

// sighting is the word that a backend server was warm at an instant.
type sighting struct {
	incarnation string
	at          clock.Instant
}

// New returns the agent of a process that has just started.
func New(now clock.Instant, opts Options, rng *rand.Rand) *Agent {
	terms := lease.Terms{Duration: opts.LeaseDuration, DriftMargin: loanMargin, WorkTime: opts.MaxWorkTime}
	return &Agent{
		opts: opts, rng: rng, begun: now, answers: sets.SetOf[ident.VM](),
		member: member.New(now, opts.VM, opts.Incarnation, member.Timing{
			HoldTimeout: opts.HoldTimeout, ReclaimTimeout: opts.ReclaimTimeout,
			DrainTime:         terms.Duration + terms.WorkTime + 2*loanMargin,
			MinSuspectTimeout: opts.LeaseDuration, TickInterval: opts.TickInterval,
		}),
		lender:   lease.NewLessor(terms),
		borrower: lease.NewHolder(opts.LeaseDuration),
		own:      make(map[ident.Team]*bucket.Bucket),
		pools:    make(map[ident.Team]*bucket.Pool),
		busy:     make(map[ident.Server]int),
		warm:     make(map[ident.Server]sighting),
		heard:    make(map[ident.Server]sighting),
		loads:    make(map[ident.VM]float64),
		newer:    make(map[ident.VM]clock.Instant),
		promised: make(map[lease.Key]clock.Instant),
	}
}

// Step takes one event and returns what follows from it.
func (a *Agent) Step(now clock.Instant, ev Event) []Action {
	switch ev := ev.(type) {
	case Tick:
		return a.tick(now)
	case PlatformRead:
		a.hearNews(ev.RequestedAt)
	case ConfigurationRead:
		return a.configure(now, ev)
	case ListRead:
		return a.relist(now, ev)
	case ExchangeReceived:
		return a.asked(now, ev.Exchange)
	case ExchangeAnswered:
		return a.answered(now, ev)
	case ExchangeFailed:
		return a.fleet(now, member.ExchangeFailed{VM: ev.VM})
	case Leave:
		return a.fleet(now, member.Leave{})
	case Release:
		return a.fleet(now, member.Release{})
	}
	return nil
}

// Catalog returns the configuration in force, or nil.
func (a *Agent) Catalog() *schema.Catalog { return a.news.Catalog() }

// List returns the list of VMs in force, or nil.
func (a *Agent) List() *schema.VMs { return a.news.List() }

// Refused returns the newest refused revision and why, zero when there is none.
func (a *Agent) Refused() (int64, error) { return a.news.Refused() }

// Membership returns the membership for reading.
func (a *Agent) Membership() *member.Machine { return a.member }

// Documents returns the texts in force for a peer.
func (a *Agent) Documents() inner.Documents {
	d := inner.Documents{Revision: a.news.Revision(), ListRevision: a.news.ListRevision()}
	if c := a.news.Catalog(); c != nil {
		d.Text = string(c.Bytes())
	}
	if l := a.news.List(); l != nil {
		d.ListText = string(l.Bytes())
	}
	return d
}

// SetLoad tells the agent how busy its VM is, as a fraction.
func (a *Agent) SetLoad(load float64) { a.load = load }

// LoadOf returns how busy a VM said it was.
func (a *Agent) LoadOf(vm ident.VM) float64 {
	if vm == a.opts.VM {
		return a.load
	}
	return a.loads[vm]
}

// Fresh reports whether the VM has heard from the platform or from a majority lately and knows of no newer configuration that it lacks.
func (a *Agent) Fresh(now clock.Instant) bool {
	if a.news.Catalog() == nil || a.news.List() == nil || a.behind(now) || !a.introduced(now) {
		return false
	}
	recent := func(t clock.Instant) bool { return now.MaxSince(t) < a.opts.FreshTimeout }
	return a.everRead && recent(a.newsAt) || a.member.MajorityAnswered(recent) && len(a.news.List().All()) > 1
}

// introduced reports whether a new process has asked enough peers for what a stale platform may lack, or has waited long enough for their answers.
func (a *Agent) introduced(now clock.Instant) bool {
	if a.known {
		return true
	}
	live, answered := 0, 1
	for _, v := range a.news.List().All() {
		if v.Name() == a.opts.VM || v.State() != schema.VMLive {
			continue
		}
		live++
		if a.answers.Has(v.Name()) {
			answered++
		}
	}
	a.known = 2*answered > live+1 && len(a.newer) == 0 || now.MinSince(a.begun) >= a.opts.FreshTimeout
	return a.known
}

// behind reports whether a peer has had a newer configuration for too long.
func (a *Agent) behind(now clock.Instant) bool {
	for _, since := range a.newer {
		if now.MaxSince(since) >= a.opts.FreshTimeout {
			return true
		}
	}
	return false
}

// WatchesPlatform reports whether this VM is one of those that watch the platform.
func (a *Agent) WatchesPlatform(now clock.Instant) bool {
	if a.news.List() == nil || a.news.Catalog() == nil || a.member.Leaving() {
		return true
	}
	var near []ident.VM
	for _, v := range a.news.List().All() {
		if v.Domain() == a.opts.Domain && a.member.Available(now, v.Name()) {
			near = append(near, v.Name())
		}
	}
	for i, vm := range ident.Rank("reader:"+string(a.opts.Domain), near) {
		if vm == a.opts.VM {
			return i < a.opts.PlatformReaders
		}
	}
	return true
}

// StaleFor reports whether nobody is known to have read the platform within a span.
func (a *Agent) StaleFor(now clock.Instant, span time.Duration) bool {
	return !a.everRead || now.MaxSince(a.newsAt) >= span
}

// hearNews notes that someone read the platform at an instant and had no newer configuration than this VM.
func (a *Agent) hearNews(at clock.Instant) {
	if !a.everRead || at.Upper() > a.newsAt.Upper() {
		a.newsAt, a.everRead = at, true
	}
}

func (a *Agent) newsAge(now clock.Instant) inner.Age {
	if !a.everRead {
		return 0
	}
	return inner.AgeOf(now.MaxSince(a.newsAt))
}

func (a *Agent) tick(now clock.Instant) []Action {
	out := a.fleet(now, member.Tick{})
	a.refill(now)
	return a.addLoans(now, a.giveBack(now, out))
}

// fleet passes an event to the membership and translates what follows.
func (a *Agent) fleet(now clock.Instant, ev member.Event) []Action {
	var out []Action
	for _, act := range a.member.Step(now, ev, a.rng) {
		switch act := act.(type) {
		case member.StartExchange:
			out = append(out, SendExchange{VM: act.VM, Exchange: a.exchange(now, act.VM)})
		case member.Renamed:
			a.dropAll(now)
			out = append(out, MembershipChanged{Change: act})
		case member.Joined, member.Left, member.Confirmed:
			out = append(out, MembershipChanged{Change: act})
		}
	}
	return out
}

// dropAll forgets what the process held under its former name.
func (a *Agent) dropAll(now clock.Instant) {
	a.borrower.Clear()
	for _, p := range a.pools {
		p.Clear()
	}
	for _, b := range a.own {
		b.Drain(now, now)
	}
}

func (a *Agent) exchange(now clock.Instant, vm ident.VM) inner.Exchange {
	return inner.Exchange{
		Report:       a.member.Report(now, a.member.PeerDigest(vm)),
		Revision:     a.news.Revision(),
		ListRevision: a.news.ListRevision(),
	}
}

func (a *Agent) configure(now clock.Instant, ev ConfigurationRead) []Action {
	changed, err := a.news.UpdateCatalog(ev.Revision, ev.Text)
	if err != nil {
		clear(a.newer)
		return []Action{DocumentRejected{Reason: err}}
	}
	if !changed {
		return nil
	}
	clear(a.newer)
	a.refill(now)
	return []Action{ConfigurationApplied{Revision: ev.Revision}}
}

func (a *Agent) relist(now clock.Instant, ev ListRead) []Action {
	changed, err := a.news.UpdateList(ev.Revision, ev.Text)
	if err != nil {
		return []Action{DocumentRejected{Reason: err}}
	}
	if !changed {
		return nil
	}
	return a.fleet(now, member.ListRead{List: a.news.List()})
}

func (a *Agent) asked(now clock.Instant, ex inner.Exchange) []Action {
	out := a.fleet(now, member.ExchangeReceived{Report: ex.Report})
	out = append(out, a.compare(now, ex.Report.VM, ex.Revision, ex.ListRevision)...)
	a.takeBack(now, ex)
	reply := inner.ExchangeReply{
		Report:       a.member.Report(now, ex.Report.Digest),
		Revision:     a.news.Revision(),
		ListRevision: a.news.ListRevision(),
		Load:         a.load,
		UpdateAge:    a.newsAge(now),
		Grants:       a.grant(now, ex),
	}
	return append(out, SendReply{Reply: reply})
}

func (a *Agent) answered(now clock.Instant, ev ExchangeAnswered) []Action {
	out := a.fleet(now, member.ExchangeAnswered{RequestedAt: ev.RequestedAt, Report: ev.Reply.Report})
	a.loads[ev.VM] = ev.Reply.Load
	a.answers.Add(ev.VM)
	if age, ok := ev.Reply.UpdateAge.Duration(); ok && ev.Reply.Revision <= a.news.Revision() {
		a.hearNews(ev.RequestedAt.Add(-age))
	}
	a.accept(now, ev)
	return append(out, a.compare(now, ev.VM, ev.Reply.Revision, ev.Reply.ListRevision)...)
}

// compare notes whether a peer has newer documents and fetches them.
func (a *Agent) compare(now clock.Instant, vm ident.VM, revision, listRevision int64) []Action {
	refused, _ := a.news.Refused()
	if revision > a.news.Revision() && revision > refused {
		if _, known := a.newer[vm]; !known {
			a.newer[vm] = now
		}
		return []Action{FetchDocuments{VM: vm}}
	}
	delete(a.newer, vm)
	if listRevision > a.news.ListRevision() {
		return []Action{FetchDocuments{VM: vm}}
	}
	return nil
}
