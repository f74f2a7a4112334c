package hold

import "time"

//go:generate go tool -modfile=../../../tools/go.mod enumer -type=Stage -transform=title-lower -trimprefix=Stage -output=enums.go

// Stage is what a connection is busy with.
type Stage int

// The stages. Connections give way in this order, those that work never.
const (
	// StageIdle has no request.
	StageIdle Stage = iota
	// StageHead has a part of a head.
	StageHead
	// StageBody has a head and a part of a body.
	StageBody
	// StageAnswering writes an answer.
	StageAnswering
	// StageWorking has a complete request, which may run.
	StageWorking
)

// NumStages is the number of stages.
const NumStages = int(StageWorking) + 1

const (
	// ConnBytes is what a connection takes without a request: its goroutine and its buffers.
	ConnBytes = 16 << 10
	// smallBytes is the size up to which a request may use the room that larger ones leave.
	smallBytes = 16 << 10
	// largeFraction is the fraction of the bytes that larger requests may use.
	largeFraction = 0.75
	// minRateSpan is the time over which the rate of a body is measured at least, so that one that has just begun is not taken for slow.
	minRateSpan = 100 * time.Millisecond
	// turnSpan is how long a connection that has just come, or whose answer is written, doesn't give way at its door.
	turnSpan = 100 * time.Millisecond
)

// ID identifies a connection.
type ID int64

// Door is a listener, by its index.
type Door int

// Limits are the limits of a Budget: the bytes, and the connections at each door.
type Limits struct {
	Bytes int64
	Conns []int
}

// Decision says whether a connection may have what it asked for, once those in Evict are closed.
type Decision struct {
	Allowed bool
	Evict   []ID
}

// Budget holds the connections of a process. It isn't safe for concurrent use.
type Budget struct {
	limits  Limits
	holders map[ID]*holder
	conns   []int
	bytes   int64
	large   int64
	staged  [NumStages]int
	inStage [NumStages]int64
}

// holder is one connection.
type holder struct {
	door  Door
	stage Stage
	since time.Time
	bytes int64
	// before is what it held when it entered its stage.
	before int64
	// evicted says that the connection is being closed.
	evicted bool
}

// New returns a Budget without connections.
func New(l Limits) *Budget {
	return &Budget{limits: l, holders: make(map[ID]*holder), conns: make([]int, len(l.Conns))}
}

// Open adds a connection. Load pattern: more connections than the limit, and without end.
func (b *Budget) Open(now time.Time, id ID, door Door) Decision {
	var d Decision
	if b.conns[door] >= b.limits.Conns[door] {
		victim, ok := b.first(now, id, func(h *holder) bool { return h.door == door && now.Sub(h.since) >= turnSpan })
		if !ok {
			return d
		}
		d.Evict = append(d.Evict, victim)
		b.evict(victim)
	}
	b.Add(now, id, door)
	d.Allowed = true
	for b.bytes > b.limits.Bytes {
		victim, ok := b.first(now, id, func(*holder) bool { return true })
		if !ok {
			b.Close(id)
			return Decision{Evict: d.Evict}
		}
		d.Evict = append(d.Evict, victim)
		b.evict(victim)
	}
	return d
}

// Add adds a connection whatever the limits.
func (b *Budget) Add(now time.Time, id ID, door Door) {
	h := &holder{door: door, since: now}
	b.holders[id] = h
	b.conns[door]++
	b.count(h, 1)
}

// Grow adds n bytes to what a connection holds, if there is room or others give way. Load pattern: many requests of legal size, whole or in part, at once.
func (b *Budget) Grow(now time.Time, id ID, n int64) Decision {
	var d Decision
	h := b.holders[id]
	if h == nil || h.evicted {
		return d
	}
	for {
		room, roomForLarge := b.room(h, n)
		if room && roomForLarge {
			break
		}
		victim, ok := b.first(now, id, func(v *holder) bool {
			return (roomForLarge || v.bytes > smallBytes) && b.precedes(now, v, h)
		})
		if !ok {
			return d
		}
		d.Evict = append(d.Evict, victim)
		b.evict(victim)
	}
	b.count(h, -1)
	h.bytes += n
	b.count(h, 1)
	d.Allowed = true
	return d
}

// Enter says that a connection enters a stage. One without a request holds nothing for it.
func (b *Budget) Enter(now time.Time, id ID, s Stage) {
	h := b.holders[id]
	if h == nil || h.evicted || h.stage == s {
		return
	}
	b.count(h, -1)
	h.stage, h.since = s, now
	if s == StageIdle {
		h.bytes = 0
	}
	h.before = h.bytes
	b.count(h, 1)
}

// Close removes a connection.
func (b *Budget) Close(id ID) {
	h := b.holders[id]
	if h == nil {
		return
	}
	if !h.evicted {
		b.evict(id)
	}
	delete(b.holders, id)
}

// Held returns the bytes and the connections in a stage.
func (b *Budget) Held(s Stage) (bytes int64, conns int) { return b.inStage[s], b.staged[s] }

// evict returns what a connection holds. It stays known until it is closed, so that it gets no more.
func (b *Budget) evict(id ID) {
	h := b.holders[id]
	b.count(h, -1)
	b.conns[h.door]--
	h.evicted = true
}

func (b *Budget) count(h *holder, sign int) {
	n := int64(sign) * (ConnBytes + h.bytes)
	b.bytes += n
	b.inStage[h.stage] += n
	b.staged[h.stage] += sign
	if h.bytes > smallBytes {
		b.large += int64(sign) * h.bytes
	}
}

// room reports whether n more bytes of a connection have room among all, and among those of large requests if it is one.
func (b *Budget) room(h *holder, n int64) (all, amongLarge bool) {
	large := b.large
	if h.bytes > smallBytes {
		large -= h.bytes
	}
	amongLarge = h.bytes+n <= smallBytes || float64(large+h.bytes+n) <= largeFraction*float64(b.limits.Bytes)
	return b.bytes+n <= b.limits.Bytes, amongLarge
}

// first returns the connection that gives way first among the others that may.
func (b *Budget) first(now time.Time, except ID, may func(*holder) bool) (ID, bool) {
	var first *holder
	var id ID
	for i, h := range b.holders {
		if i == except || h.evicted || h.stage == StageWorking || !may(h) {
			continue
		}
		if first == nil || b.precedes(now, h, first) {
			first, id = h, i
		}
	}
	return id, first != nil
}

// precedes reports whether connection v gives way before h.
func (b *Budget) precedes(now time.Time, v, h *holder) bool {
	if v.stage != h.stage {
		return v.stage < h.stage
	}
	if v.stage == StageBody {
		return v.rate(now) < h.rate(now)
	}
	return v.since.Before(h.since)
}

func (h *holder) rate(now time.Time) float64 {
	return float64(h.bytes-h.before) / max(minRateSpan, now.Sub(h.since)).Seconds()
}
