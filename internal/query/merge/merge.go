package merge

import (
	"cmp"
	"encoding/json"
	"slices"

	"kumquatreel.example/kumquatreel/internal/base/fault"
	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/query/plan"
)

// Item is one record of an answer.
type Item struct {
	ID    string          `json:"id"`
	Score float64         `json:"score"`
	Body  json.RawMessage `json:"body,omitempty"`
}

// Missing names a shard that the answer lacks and why.
type Missing struct {
	Service ident.Service `json:"service"`
	Shard   int           `json:"shard"`
	Weight  int           `json:"weight"`
	Reason  fault.Code    `json:"reason"`
	Partial bool          `json:"partial,omitempty"`
}

// Coverage states how much of the layout an answer was read from.
type Coverage struct {
	Shards      int       `json:"shards"`
	ShardsTotal int       `json:"shardsTotal"`
	Weight      int       `json:"weight"`
	WeightTotal int       `json:"weightTotal"`
	Missing     []Missing `json:"missing,omitempty"`
}

// Fraction returns the covered weight as a fraction, one for an empty layout.
func (c Coverage) Fraction() float64 {
	if c.WeightTotal == 0 {
		return 1
	}
	return float64(c.Weight) / float64(c.WeightTotal)
}

// Merger collects the parts of one request; it is driven by one goroutine at a time.
type Merger struct {
	plan    plan.Plan
	whole   []bool
	partial []bool
	reason  []fault.Code
	weight  int
	total   int
	items   []Item
}

// New returns a merger for a plan in which no part has answered.
func New(p plan.Plan) *Merger {
	n := len(p.Parts())
	m := &Merger{plan: p, whole: make([]bool, n), partial: make([]bool, n), reason: make([]fault.Code, n)}
	for i, part := range p.Parts() {
		m.total += part.Weight()
		m.reason[i] = fault.CodeDeadline
	}
	for _, part := range p.Forbidden() {
		m.total += part.Weight()
	}
	return m
}

// Add merges a part's answer and reports whether it was taken: a part that is whole already, or was read from another version, is not.
func (m *Merger) Add(index, version int, partial bool, items []Item) bool {
	if m.whole[index] || m.plan.Parts()[index].Service().IndexVersion() != version {
		return false
	}
	if partial {
		m.partial[index] = true
		m.reason[index] = fault.CodeDeadline
		return false
	}
	m.whole[index] = true
	m.weight += m.plan.Parts()[index].Weight()
	m.items = append(m.items, items...)
	return true
}

// SetMissing records why a part is missing so far.
func (m *Merger) SetMissing(index int, reason fault.Code) { m.reason[index] = reason }

// Complete reports whether a part has been merged.
func (m *Merger) Complete(index int) bool { return m.whole[index] }

// Fraction returns the covered weight as a fraction.
func (m *Merger) Fraction() float64 {
	if m.total == 0 {
		return 1
	}
	return float64(m.weight) / float64(m.total)
}

// Items returns at most limit items, best score first.
func (m *Merger) Items(limit int) []Item {
	slices.SortFunc(m.items, func(a, b Item) int {
		return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.ID, b.ID))
	})
	return m.items[:min(limit, len(m.items))]
}

// Coverage returns what has been merged and what is missing.
func (m *Merger) Coverage() Coverage {
	c := Coverage{Weight: m.weight, WeightTotal: m.total, ShardsTotal: len(m.whole) + len(m.plan.Forbidden())}
	for i, whole := range m.whole {
		if whole {
			c.Shards++
			continue
		}
		c.Missing = append(c.Missing, missing(m.plan.Parts()[i], m.reason[i], m.partial[i]))
	}
	for _, part := range m.plan.Forbidden() {
		c.Missing = append(c.Missing, missing(part, fault.CodeForbidden, false))
	}
	return c
}

func missing(p plan.Part, reason fault.Code, partial bool) Missing {
	return Missing{Service: p.Service().Name(), Shard: p.Shard(), Weight: p.Weight(), Reason: reason, Partial: partial}
}
