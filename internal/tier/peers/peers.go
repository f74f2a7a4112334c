package peers

import (
	"slices"
	"strings"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/limit/quota"
)

//go:generate go tool -modfile=../../../tools/go.mod enumer -type=Phase -trimprefix=Phase -transform=title-lower -output=enums.go

const (
	// aliveFor is how long after its last word a VM counts as alive.
	aliveFor = 1500 * time.Millisecond
	// straggle is how long a datagram of an ended process may still be on the way.
	straggle = 400 * time.Millisecond
	// rememberFor is how long a silent VM is still counted and told of, so that it is found again after a cut.
	rememberFor = 12 * time.Second
)

// Phase is where a process is in its life.
type Phase int

// The phases.
const (
	// PhaseStarting means that the process cannot serve yet.
	PhaseStarting Phase = iota
	// PhaseReady means that it serves callers.
	PhaseReady
	// PhaseLeaving means that it takes no new callers.
	PhaseLeaving
	// PhaseGone is a process's last word.
	PhaseGone
)

// Digest is what a process says of itself.
type Digest struct {
	VM      ident.VM     `json:"vm"`
	Address string       `json:"ip"`
	Domain  ident.Domain `json:"d"`
	Region  string       `json:"r,omitempty"`
	Boot    int64        `json:"b"`
	Serial  int64        `json:"n"`
	Phase   Phase        `json:"p"`
	// CPUShare is the VM's share of a core, Load how much of a core it spends on callers.
	CPUShare float64 `json:"c"`
	Load     float64 `json:"l,omitempty"`
	// Unhealthy says that the process fails most requests.
	Unhealthy bool `json:"u,omitempty"`
	// Revision is how far the process has read the store; Reading says that it watches the store itself.
	Revision     int64                       `json:"v"`
	WatchesStore bool                        `json:"w,omitempty"`
	Teams        map[ident.Team]quota.Report `json:"t,omitempty"`
}

// Process returns the name of the process.
func (d Digest) Process() ident.Process {
	return ident.Process(string(d.VM) + "/" + time.UnixMicro(d.Boot).UTC().Format("150405.000000"))
}

// Message is one datagram.
type Message struct {
	From Digest `json:"f"`
	// KnownAddresses are addresses of other VMs that the sender has heard from.
	KnownAddresses []string `json:"k,omitempty"`
	// RequestReply asks for an answer, as a new process does.
	RequestReply bool `json:"a,omitempty"`
	// Relayed is what the sender has heard from the VMs that callers are sent to, in an answer to one that is not.
	Relayed []Relay `json:"y,omitempty"`
	// Levels are the tokens of teams that have little left, in such an answer.
	Levels map[ident.Team]float64 `json:"l,omitempty"`
}

// Relay is a digest that another VM has heard, and how long ago.
type Relay struct {
	Digest Digest `json:"d"`
	AgeMs  int64  `json:"m"`
}

// Member is another VM as it was last heard from.
type Member struct {
	digest Digest
	heard  time.Time
}

// Digest returns what the member said last.
func (m Member) Digest() Digest { return m.digest }

// LastHeard returns when it said so.
func (m Member) LastHeard() time.Time { return m.heard }

// Alive reports whether the member was heard from lately and has not ended.
func (m Member) Alive(now time.Time) bool {
	return now.Sub(m.heard) < aliveFor && m.digest.Phase != PhaseGone
}

// Event is a change in what is believed of another VM.
type Event interface{ event() }

// Joined says that a process was heard from for the first time.
type Joined struct {
	Member Member
	// Replaced is the process of the same VM that was known before and has ended, empty when there was none.
	Replaced ident.Process
}

// PhaseChanged says that a process is in another phase.
type PhaseChanged struct {
	Member Member
	Before Phase
}

// Silent says that a process has not been heard from for some time.
type Silent struct{ Member Member }

// Recovered says that a silent process is heard from again.
type Recovered struct{ Member Member }

func (Joined) event()       {}
func (PhaseChanged) event() {}
func (Silent) event()       {}
func (Recovered) event()    {}

// Peers is the set of other VMs; it is driven under its owner's lock.
type Peers struct {
	self    ident.VM
	members map[ident.VM]*entry
	// hints are addresses that were told of but not heard from.
	hints map[string]time.Time
}

type entry struct {
	Member
	silent bool
}

// New returns a Peers that knows nobody.
func New(self ident.VM) *Peers {
	return &Peers{self: self, members: make(map[ident.VM]*entry), hints: make(map[string]time.Time)}
}

// Receive takes a message and returns what it changes, and false when it is old or the VM's own.
func (p *Peers) Receive(now time.Time, m Message) ([]Event, bool) {
	d := m.From
	for _, a := range m.KnownAddresses {
		p.hints[a] = now
	}
	events, fresh := p.heard(now, d)
	for _, r := range m.Relayed {
		more, _ := p.heard(now.Add(-time.Duration(r.AgeMs)*time.Millisecond), r.Digest)
		events = append(events, more...)
	}
	return events, fresh
}

func (p *Peers) heard(now time.Time, d Digest) ([]Event, bool) {
	if d.VM == p.self || d.VM == "" {
		return nil, false
	}
	old := p.members[d.VM]
	if old != nil && old.supersedes(now, d) {
		return nil, false
	}
	next := &entry{Member: Member{digest: d, heard: now}}
	p.members[d.VM] = next
	switch {
	case old == nil:
		return []Event{Joined{Member: next.Member}}, true
	case old.digest.Boot != d.Boot:
		return []Event{Joined{Member: next.Member, Replaced: old.digest.Process()}}, true
	case old.silent:
		return []Event{Recovered{next.Member}}, true
	case old.digest.Phase != d.Phase:
		return []Event{PhaseChanged{next.Member, old.digest.Phase}}, true
	}
	return nil, true
}

// supersedes reports whether a digest that was heard at an instant is older than what is known. A process whose clock was
// set back starts with an earlier time than the one before it, so order by start counts only while both may have datagrams
// on the way; what another VM has heard of an earlier process, it heard earlier.
func (e *entry) supersedes(now time.Time, d Digest) bool {
	if d.Boot == e.digest.Boot {
		return d.Serial <= e.digest.Serial
	}
	return now.Before(e.heard) || d.Boot < e.digest.Boot && now.Sub(e.heard) < straggle
}

// Tick forgets what is old and returns the members that have fallen silent.
func (p *Peers) Tick(now time.Time) []Event {
	var out []Event
	for name, e := range p.members {
		if now.Sub(e.heard) >= rememberFor {
			delete(p.members, name)
			continue
		}
		if !e.silent && !e.Alive(now) && e.digest.Phase != PhaseGone {
			e.silent = true
			out = append(out, Silent{e.Member})
		}
	}
	for a, at := range p.hints {
		if now.Sub(at) >= rememberFor {
			delete(p.hints, a)
		}
	}
	return out
}

// Members returns the remembered members in order of name.
func (p *Peers) Members() []Member {
	out := make([]Member, 0, len(p.members))
	for _, e := range p.members {
		out = append(out, e.Member)
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(string(a.digest.VM), string(b.digest.VM)) })
	return out
}

// Alive returns the members that count as alive, in order of name.
func (p *Peers) Alive(now time.Time) []Member {
	return slices.DeleteFunc(p.Members(), func(m Member) bool { return !m.Alive(now) })
}

// Addresses returns the IP numbers of all remembered members and hints, in order.
func (p *Peers) Addresses() []string {
	var out []string
	for _, e := range p.members {
		if e.digest.Phase != PhaseGone {
			out = append(out, e.digest.Address)
		}
	}
	for a := range p.hints {
		out = append(out, a)
	}
	slices.Sort(out)
	return slices.Compact(out)
}
