package roster

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
)

const (
	// maxRest bounds the time for which a server can keep requests away with one answer.
	maxRest = time.Hour
	// A statement of a server without an entry is kept for statementRetention, in case the entry comes back, and at most maxStatements
	// of them.
	statementRetention = time.Hour
	maxStatements      = 4096
)

// Start identifies one start of a server. Another start of the same server has said nothing yet.
type Start struct {
	// Started is the start of the server's process as its entry names it.
	Started int64
	Address string
	// Unpublished says that it is a later start than that, at the same address, whose entry has not arrived yet.
	Unpublished bool
}

// String returns the published start as one text.
func (s Start) String() string { return strconv.FormatInt(s.Started, 10) + "@" + s.Address }

// published returns the start without what is not published.
func (s Start) published() Start { return Start{Started: s.Started, Address: s.Address} }

// Start returns the start that the entry belongs to.
func (e Entry) Start() Start { return Start{Started: e.Started, Address: e.Address} }

// statement is what a server has said of itself in its answers since a start.
type statement struct {
	start Start
	// leavingSince is when this VM first heard that the server leaves, or zero. restUntil is the end of the time in which the server wants
	// nothing from this VM.
	leavingSince, restUntil time.Time
	// othersLeaving says that another VM has heard that the server leaves, othersUntil is until when it wants nothing from another VM.
	othersLeaving bool
	othersUntil   time.Time
	// heardAt is when this VM last heard one of these, updatedAt when it last heard any, also from another VM.
	heardAt, updatedAt time.Time
	// withheld counts the times that the server was passed over since restUntil was set.
	withheld int
}

// Rest is a time in which a server wanted nothing, and how often it was passed over meanwhile.
type Rest struct {
	Server   ident.Server
	Until    time.Time
	Withheld int
}

// HearLeaving records that a server says in an answer that it leaves, and reports whether that is new. start is the start that the request
// was sent to. Only another start ends it, whatever the server's entries say.
func (r *Roster) HearLeaving(now time.Time, s ident.Server, start Start) bool {
	st := r.ensureStatement(now, s, start)
	if st == nil {
		return false
	}
	st.heardAt = now
	if !st.leavingSince.IsZero() {
		return false
	}
	st.leavingSince = now
	return true
}

// HearRest records that a server wants nothing from this VM for a time, and returns its end. It returns false if an earlier answer named
// a later end or if the answer is one of an earlier start.
func (r *Roster) HearRest(now time.Time, s ident.Server, start Start, rest time.Duration) (time.Time, bool) {
	st := r.ensureStatement(now, s, start)
	until := now.Add(min(rest, maxRest))
	if st == nil || !until.After(st.restUntil) {
		return time.Time{}, false
	}
	if !now.Before(st.restUntil) {
		st.withheld = 0
	}
	st.restUntil, st.heardAt = until, now
	return until, true
}

// ensureStatement returns the statement of a start of a server, and creates it if there is none. It returns nil if the server has started again
// since.
func (r *Roster) ensureStatement(now time.Time, s ident.Server, start Start) *statement {
	r.init()
	if m := r.members[s]; m != nil && m.entry.Start() != start.published() {
		return nil
	}
	st := r.statements[s]
	if st != nil && st.start.Unpublished && st.start.published() == start {
		return nil
	}
	if st == nil || st.start != start {
		st = &statement{start: start}
		r.statements[s] = st
	}
	st.updatedAt = now
	return st
}

// Resting reports whether a server wants nothing from this VM now.
func (r *Roster) Resting(now time.Time, s ident.Server) bool {
	st := r.statements[s]
	return st != nil && now.Before(st.restUntil)
}

// CountWithheld counts that a resting server was passed over.
func (r *Roster) CountWithheld(s ident.Server) {
	if st := r.statements[s]; st != nil {
		st.withheld++
	}
}

// MayReceive reports whether a request that was chosen for a start of a server may still be sent.
func (r *Roster) MayReceive(now time.Time, s ident.Server, start Start) bool {
	m, st := r.members[s], r.statements[s]
	if m == nil || m.entry.Start() != start {
		return false
	}
	return st == nil || !now.Before(st.restUntil) && st.usable(now, r.drain)
}

// usable reports whether the server may still be used as far as it has said that it leaves, given the drain time.
func (st *statement) usable(now time.Time, drain time.Duration) bool {
	return st.leavingSince.IsZero() || now.Sub(st.leavingSince) < time.Duration(drainUseFraction*float64(drain))
}

// avoided reports whether other servers are to be used first.
func (st *statement) avoided(now time.Time) bool {
	return !st.leavingSince.IsZero() || st.othersLeaving || now.Before(st.othersUntil)
}

// Withholding describes why servers of a service get no requests.
type Withholding struct {
	// Leaving and Resting are the numbers of servers that have said that they leave, or that they want nothing now.
	Leaving, Resting int
	// Until is the first instant at which a resting one may get requests again, zero if there is none or if another server may have some now.
	Until time.Time
}

// Withholding returns why servers of a service get no requests.
func (r *Roster) Withholding(now time.Time, s ident.Service) Withholding {
	var out Withholding
	usable, fallback := r.Candidates(now, s)
	for _, m := range r.services[s] {
		if st := r.statements[m.entry.Server]; m.Leaving() || st != nil && !st.leavingSince.IsZero() {
			out.Leaving++
		}
	}
	for _, m := range slices.Concat(usable, fallback) {
		if r.Resting(now, m.entry.Server) {
			out.Resting++
			if until := r.statements[m.entry.Server].restUntil; out.Until.IsZero() || until.Before(out.Until) {
				out.Until = until
			}
		}
	}
	if out.Resting < len(usable)+len(fallback) {
		out.Until = time.Time{}
	}
	return out
}

// EndRests returns the rests that have ended since the last call, in order of names.
func (r *Roster) EndRests(now time.Time) []Rest {
	var out []Rest
	for name, st := range r.statements {
		if !st.restUntil.IsZero() && !now.Before(st.restUntil) {
			out = append(out, Rest{Server: name, Until: st.restUntil, Withheld: st.withheld})
			st.restUntil, st.withheld = time.Time{}, 0
		}
	}
	slices.SortFunc(out, func(a, b Rest) int { return cmp.Compare(a.Server, b.Server) })
	return out
}

// PruneStatements drops the statements that no longer matter. That a server leaves is kept as long as the server has an entry, and for
// a while after that.
func (r *Roster) PruneStatements(now time.Time) {
	var gone []ident.Server
	for name, st := range r.statements {
		switch {
		case st.leavingSince.IsZero() && !st.othersLeaving && !now.Before(st.restUntil) && !now.Before(st.othersUntil):
			delete(r.statements, name)
		case r.members[name] == nil:
			gone = append(gone, name)
		}
	}
	slices.SortFunc(gone, func(a, b ident.Server) int { return r.statements[b].updatedAt.Compare(r.statements[a].updatedAt) })
	for i, name := range gone {
		if i >= maxStatements || now.Sub(r.statements[name].updatedAt) > statementRetention {
			delete(r.statements, name)
		}
	}
}

// Speaker returns the start of a server that an answer is of: the one that the request was chosen for, or a later one if the connection was opened after
// that one may have ended.
func (r *Roster) Speaker(s ident.Server, chosen Start, opened time.Time) Start {
	if m := r.members[s]; m != nil && m.entry.Start() == chosen && !m.lostAt.IsZero() && opened.After(m.lostAt) {
		chosen.Unpublished = true
	}
	return chosen
}

// RecordLoss records that the process of a server may have ended, at a start that a request was chosen for.
func (r *Roster) RecordLoss(now time.Time, s ident.Server, chosen Start) {
	if old := r.members[s]; old != nil && old.entry.Start() == chosen {
		m := *old
		m.lostAt, m.reachedAt, m.verified = now, time.Time{}, false
		r.replace(old, &m)
	}
}

// RecordAnswer records that a server has answered on a connection that was opened at a time.
func (r *Roster) RecordAnswer(now time.Time, s ident.Server, chosen Start, opened time.Time) {
	if r.Speaker(s, chosen, opened).Unpublished && r.members[s].reachedAt.IsZero() {
		m := *r.members[s]
		m.reachedAt = now
		r.replace(r.members[s], &m)
	}
}

// Verify records that a server has told its state on a connection that was opened at a time, and reports whether that was after it was lost.
func (r *Roster) Verify(s ident.Server, chosen Start, opened time.Time) bool {
	if !r.Speaker(s, chosen, opened).Unpublished {
		return false
	}
	m := *r.members[s]
	m.verified = true
	r.replace(r.members[s], &m)
	return true
}

// LostAt returns when the process of a server may have ended last since its entry arrived, zero if nothing shows that it has.
func (r *Roster) LostAt(s ident.Server) time.Time {
	if m := r.members[s]; m != nil {
		return m.lostAt
	}
	return time.Time{}
}

// passStatement gives what a start of a server has said before its entry arrived to the start that an entry names, and drops what an earlier one has
// said. A server that has said that it leaves, and has had the time to, has made way for the start of the entry.
func (r *Roster) passStatement(now time.Time, e Entry) {
	st := r.statements[e.Server]
	if st == nil || st.start.published() == e.Start() {
		return
	}
	left := !st.leavingSince.IsZero() && now.Sub(st.leavingSince) >= r.drain
	if !st.start.Unpublished || st.start.Address != e.Address || left || r.LostAt(e.Server).After(st.heardAt) {
		delete(r.statements, e.Server)
		return
	}
	st.start = e.Start()
}

// NumStatements returns the number of servers of which a statement is kept.
func (r *Roster) NumStatements() int { return len(r.statements) }

// Statement is what is known of a server from its answers, to this VM or to others. Zero times say that nothing is.
type Statement struct {
	LeavingSince, RestUntil time.Time
	OthersLeaving           bool
	OthersUntil             time.Time
}

// Statement returns what is known of a server from its answers.
func (r *Roster) Statement(s ident.Server) Statement {
	st := r.statements[s]
	if st == nil {
		return Statement{}
	}
	return Statement{LeavingSince: st.leavingSince, RestUntil: st.restUntil, OthersLeaving: st.othersLeaving, OthersUntil: st.othersUntil}
}
