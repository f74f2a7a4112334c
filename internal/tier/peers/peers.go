package peers

import (
	"slices"
	"strings"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/limit/pacer"
	"kumquatreel.example/kumquatreel/internal/limit/quota"
	"kumquatreel.example/kumquatreel/internal/tier/place"
	"kumquatreel.example/kumquatreel/internal/tier/roster"
)

//go:generate go tool -modfile=../../../tools/go.mod enumer -type=Phase -trimprefix=Phase -transform=title-lower -output=enums.go

const (
	// aliveTimeout is the time since its last heartbeat after which a VM no longer counts as alive.
	aliveTimeout = 1500 * time.Millisecond
	// lateDatagramGrace is the longest time for which a datagram of an ended process may still be in transit.
	lateDatagramGrace = 400 * time.Millisecond
	// retention is how long silent VMs and unconfirmed addresses are kept and passed on, so that VMs find each other again
	// after a network partition.
	retention = 12 * time.Second
)

// Phase is the lifecycle phase of a process.
type Phase int

// The phases of a process, in the order in which it passes through them.
const (
	// PhaseStarting means that the process cannot serve yet.
	PhaseStarting Phase = iota
	// PhaseReady means that the process serves clients.
	PhaseReady
	// PhaseLeaving means that the process is shutting down and that new clients are directed to other VMs.
	PhaseLeaving
	// PhaseGone is the phase in the last heartbeat of a process that ends.
	PhaseGone
)

// Digest is the state that a process reports about itself in a heartbeat.
type Digest struct {
	VM      ident.VM     `json:"vm"`
	Address string       `json:"ip"`
	Domain  ident.Domain `json:"d"`
	Region  string       `json:"r,omitempty"`
	// Boot is the start time of the process in Unix microseconds; Serial increases with each of its messages.
	Boot   int64 `json:"b"`
	Serial int64 `json:"n"`
	Phase  Phase `json:"p"`
	// CPUShare is the number of processor cores that the VM has, such as 0.2; Load is the number that it spends on requests.
	CPUShare float64 `json:"c"`
	Load     float64 `json:"l,omitempty"`
	// Unhealthy reports that most requests to the process fail.
	Unhealthy bool `json:"u,omitempty"`
	// Revision is the store revision up to which the process has all changes, and Era the era of the store that it belongs to.
	Revision int64 `json:"v"`
	Era      int64 `json:"e,omitempty"`
	// ConfigVersion is the version of the configuration in force, 0 if there is none.
	ConfigVersion int64 `json:"g,omitempty"`
	// Holding reports that the process holds items that the store has lost.
	Holding bool `json:"h,omitempty"`
	// WatchesStore reports that the process watches the store itself. The store may have stopped answering it.
	WatchesStore bool `json:"w,omitempty"`
	// ReadAgeMs is the time as of which the store last confirmed the revision to the process itself, in milliseconds before the heartbeat. It is
	// at least 1; 0 means that the process has not read the store.
	ReadAgeMs int64 `json:"i,omitempty"`
	// Part is the part of fleet-wide limits that the process uses; PartSettled says that it knows the parts of all others.
	Part        float64                     `json:"q,omitempty"`
	PartSettled bool                        `json:"s,omitempty"`
	Teams       map[ident.Team]quota.Report `json:"t,omitempty"`
}

// Newer reports whether the process has changes of the store that another one lacks, which is complete up to a revision of an era and
// has a configuration of the given version in force. A newer configuration at no newer revision is one that the store has lost.
func (d Digest) Newer(era, revision, version int64) bool {
	return d.Lacked(era, revision) || d.Era == era && d.ConfigVersion > version
}

// Lacked reports whether the process has seen changes of the store that another one lacks, which is complete up to a revision of an era.
func (d Digest) Lacked(era, revision int64) bool {
	return d.Era > era || d.Era == era && d.Revision > revision
}

// Process returns the name of the process: the VM and the start time.
func (d Digest) Process() ident.Process {
	return ident.Process(string(d.VM) + "/" + time.UnixMicro(d.Boot).UTC().Format("150405.000000"))
}

// Message is the content of one datagram: a heartbeat, or the reply to one.
type Message struct {
	From Digest `json:"f"`
	// KnownAddresses are addresses of other VMs that the sender knows.
	KnownAddresses []string `json:"k,omitempty"`
	// RequestReply requests an immediate reply, as a new process does.
	RequestReply bool `json:"a,omitempty"`
	// ToCore says that the receiver is in the core group as the sender sees it.
	ToCore bool `json:"c,omitempty"`
	// Relayed are the digests of core VMs that the sender has received, in a reply.
	Relayed []Relay `json:"y,omitempty"`
	// ServerLimits is what the sender has heard of the limits of servers.
	ServerLimits map[ident.Server]pacer.Report `json:"s,omitempty"`
	// ServerStatements is what the sender has heard lately of servers that leave or want no requests.
	ServerStatements map[ident.Server]roster.Report `json:"o,omitempty"`
	// ServerLoads is what the sender knows of the load of servers.
	ServerLoads map[ident.Server]place.Report `json:"w,omitempty"`
	// Asked are the tokens of teams that the sender asks for, Given those that it gives to the receiver.
	Asked map[ident.Team]float64 `json:"q,omitempty"`
	Given map[ident.Team]float64 `json:"g,omitempty"`
	// Levels are the remaining tokens of teams that are close to their limit, in a reply to a VM outside the core.
	Levels map[ident.Team]float64 `json:"l,omitempty"`
}

// Relay is a digest that another VM has received.
type Relay struct {
	Digest Digest `json:"d"`
	// AgeMs is the time since that VM received the digest, in milliseconds.
	AgeMs int64 `json:"m"`
}

// Member is the last known state of another VM.
type Member struct {
	digest    Digest
	lastHeard time.Time
	// toCoreAt is when the VM last said that this VM is in the core group.
	toCoreAt time.Time
}

// Digest returns the last digest of the member.
func (m Member) Digest() Digest { return m.digest }

// LastHeard returns the time of the last digest; for a relayed digest, the time at which the relaying VM received it.
func (m Member) LastHeard() time.Time { return m.lastHeard }

// ReadAt returns the time as of which the store last confirmed the member's revision to the member itself. It returns false if that is not known.
func (m Member) ReadAt() (time.Time, bool) {
	age := m.digest.ReadAgeMs
	if age <= 0 || age >= retention.Milliseconds() {
		return time.Time{}, false
	}
	return m.lastHeard.Add(-time.Duration(age) * time.Millisecond), true
}

// Alive reports whether the last digest is recent and the process has not ended.
func (m Member) Alive(now time.Time) bool {
	return now.Sub(m.lastHeard) < aliveTimeout && m.digest.Phase != PhaseGone
}

// CountsUs reports whether the VM has lately said that this VM is in the core group.
func (m Member) CountsUs(now time.Time) bool { return now.Sub(m.toCoreAt) < aliveTimeout }

// Event is a change in the known state of another VM.
type Event interface{ event() }

// Joined reports the first digest of a process.
type Joined struct {
	Member Member
	// Replaced is the ended process that was known before on the same VM, or empty.
	Replaced ident.Process
}

// PhaseChanged reports that a process is in another phase.
type PhaseChanged struct {
	Member Member
	Before Phase
}

// Silent reports that a process has sent no heartbeat for 1.5 s and has not ended.
type Silent struct{ Member Member }

// Recovered reports the first digest of a process after it was silent.
type Recovered struct{ Member Member }

func (Joined) event()       {}
func (PhaseChanged) event() {}
func (Silent) event()       {}
func (Recovered) event()    {}

// Peers is the set of the other VMs of the fleet. It is not safe for concurrent use; the owner holds a lock.
type Peers struct {
	self    ident.VM
	members map[ident.VM]*entry
	// hints are the addresses passed on by other VMs, with the time at which each was last received.
	hints map[string]time.Time
}

type entry struct {
	Member
	silent bool
}

// New returns an empty Peers for the VM self.
func New(self ident.VM) *Peers {
	return &Peers{self: self, members: make(map[ident.VM]*entry), hints: make(map[string]time.Time)}
}

// Receive processes a message and returns the events that result. It returns false if the sender's digest is outdated or the
// VM's own; addresses and relayed digests count all the same.
func (p *Peers) Receive(now time.Time, m Message) ([]Event, bool) {
	d := m.From
	for _, a := range m.KnownAddresses {
		p.hints[a] = now
	}
	events, accepted := p.receive(now, d)
	if accepted && m.ToCore {
		p.members[d.VM].toCoreAt = now
	}
	for _, r := range m.Relayed {
		if r.AgeMs < 0 || r.AgeMs > retention.Milliseconds() {
			continue
		}
		more, _ := p.receive(now.Add(-time.Duration(r.AgeMs)*time.Millisecond), r.Digest)
		events = append(events, more...)
	}
	return events, accepted
}

func (p *Peers) receive(now time.Time, d Digest) ([]Event, bool) {
	if d.VM == p.self || d.VM == "" {
		return nil, false
	}
	old := p.members[d.VM]
	if old != nil && old.supersedes(now, d) {
		return nil, false
	}
	next := &entry{Member: Member{digest: d, lastHeard: now}}
	if old != nil && old.digest.Boot == d.Boot {
		next.toCoreAt = old.toCoreAt
	}
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

// supersedes reports whether the digest d, received at now, is older than the entry. A process whose clock was set back has an
// earlier start time than the process before it, so start times are compared only while datagrams of both may be in transit.
// A digest that another VM relays is outdated if that VM received it before the entry was last updated.
func (e *entry) supersedes(now time.Time, d Digest) bool {
	if d.Boot == e.digest.Boot {
		return d.Serial <= e.digest.Serial
	}
	return now.Before(e.lastHeard) || d.Boot < e.digest.Boot && now.Sub(e.lastHeard) < lateDatagramGrace
}

// Tick drops members and hints that have been kept for the retention time, and returns a Silent event for each member that
// has become silent.
func (p *Peers) Tick(now time.Time) []Event {
	var out []Event
	for name, e := range p.members {
		if now.Sub(e.lastHeard) >= retention {
			delete(p.members, name)
			continue
		}
		if !e.silent && !e.Alive(now) && e.digest.Phase != PhaseGone {
			e.silent = true
			out = append(out, Silent{e.Member})
		}
	}
	for a, at := range p.hints {
		if now.Sub(at) >= retention {
			delete(p.hints, a)
		}
	}
	return out
}

// Members returns all members, silent and ended ones included, sorted by VM name.
func (p *Peers) Members() []Member {
	out := make([]Member, 0, len(p.members))
	for _, e := range p.members {
		out = append(out, e.Member)
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(string(a.digest.VM), string(b.digest.VM)) })
	return out
}

// Alive returns the members that are alive, sorted by VM name.
func (p *Peers) Alive(now time.Time) []Member {
	return slices.DeleteFunc(p.Members(), func(m Member) bool { return !m.Alive(now) })
}

// Addresses returns the sorted IP addresses of all hints and of all members whose process has not ended.
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
