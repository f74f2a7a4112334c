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

// Missing names a shard that the answer lacks and the reason. Partial is set when its answer was cut short.
type Missing struct {
	Service ident.Service `json:"service"`
	Shard   int           `json:"shard"`
	Weight  int           `json:"weight"`
	Reason  fault.Code    `json:"reason"`
	Partial bool          `json:"partial,omitempty"`
}

// Coverage reports how much of the layout an answer was read from, in shards and in weight, the number of documents.
type Coverage struct {
	Shards      int       `json:"shards"`
	ShardsTotal int       `json:"shardsTotal"`
	Weight      int       `json:"weight"`
	WeightTotal int       `json:"weightTotal"`
	Missing     []Missing `json:"missing,omitempty"`
}

// Fraction returns the covered fraction of the weight; it is 1 if the total weight is zero.
func (c Coverage) Fraction() float64 {
	if c.WeightTotal == 0 {
		return 1
	}
	return float64(c.Weight) / float64(c.WeightTotal)
}

// Merger collects the answers to the parts of one request. It is not safe for concurrent use.
type Merger struct {
	plan     plan.Plan
	complete []bool
	partial  []bool
	reason   []fault.Code
	weight   int
	total    int
	items    []Item
}

// New returns a Merger for a plan. Every part is missing until it answers, with CodeDeadline as the reason.
func New(p plan.Plan) *Merger {
	n := len(p.Parts())
	m := &Merger{plan: p, complete: make([]bool, n), partial: make([]bool, n), reason: make([]fault.Code, n)}
	for i, part := range p.Parts() {
		m.total += part.Weight()
		m.reason[i] = fault.CodeDeadline
	}
	for _, part := range p.Forbidden() {
		m.total += part.Weight()
	}
	return m
}

// Add merges the answer to a part and reports whether it was accepted. It is rejected if the part is complete already,
// if it was read from another index version than the plan's, or if it is partial; a partial answer is noted in Coverage.
func (m *Merger) Add(index, version int, partial bool, items []Item) bool {
	if m.complete[index] || m.plan.Parts()[index].Service().IndexVersion() != version {
		return false
	}
	if partial {
		m.partial[index] = true
		m.reason[index] = fault.CodeDeadline
		return false
	}
	m.complete[index] = true
	m.weight += m.plan.Parts()[index].Weight()
	m.items = append(m.items, items...)
	return true
}

// SetMissing records the reason why a part is missing; it is reported unless the part is completed later.
func (m *Merger) SetMissing(index int, reason fault.Code) { m.reason[index] = reason }

// Complete reports whether the answer to a part has been merged.
func (m *Merger) Complete(index int) bool { return m.complete[index] }

// Fraction returns the covered fraction of the weight; it is 1 if the total weight is zero.
func (m *Merger) Fraction() float64 {
	if m.total == 0 {
		return 1
	}
	return float64(m.weight) / float64(m.total)
}

// Items returns at most limit items by descending score; items of equal score are in order of ID.
func (m *Merger) Items(limit int) []Item {
	slices.SortFunc(m.items, func(a, b Item) int {
		return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.ID, b.ID))
	})
	return m.items[:min(limit, len(m.items))]
}

// Coverage returns the coverage so far. Parts that the team may not reach are missing with CodeForbidden.
func (m *Merger) Coverage() Coverage {
	c := Coverage{Weight: m.weight, WeightTotal: m.total, ShardsTotal: len(m.complete) + len(m.plan.Forbidden())}
	for i, complete := range m.complete {
		if complete {
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
