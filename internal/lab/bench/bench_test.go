package bench

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/clock"
	"kumquatreel.example/kumquatreel/internal/base/fault"
	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/conf/schema"
	"kumquatreel.example/kumquatreel/internal/lab/model"
	"kumquatreel.example/kumquatreel/internal/limit/slots"
	"kumquatreel.example/kumquatreel/internal/query/merge"
	"kumquatreel.example/kumquatreel/internal/query/picker"
	"kumquatreel.example/kumquatreel/internal/query/plan"
	"kumquatreel.example/kumquatreel/internal/wire/inner"
)

const shards = 170

func wideCatalog() *schema.Catalog { return model.New(typicalParams(1)).Catalog }

func BenchmarkPlan(b *testing.B) {
	c := wideCatalog()
	b.ReportAllocs()
	for b.Loop() {
		plan.New(c, c.Route("q"), nil, "")
	}
}

func BenchmarkMerge(b *testing.B) {
	c := wideCatalog()
	p := plan.New(c, c.Route("q"), nil, "")
	items := []merge.Item{{ID: "a", Score: 1}, {ID: "b", Score: 2}, {ID: "c", Score: 3}}
	b.ReportAllocs()
	for b.Loop() {
		m := merge.New(p)
		for i := range shards {
			m.Add(i, 1, false, items)
		}
		m.Items(100)
		m.Coverage()
	}
}

func BenchmarkPick(b *testing.B) {
	var p picker.Picker
	rng := rand.New(rand.NewPCG(1, 1))
	replicas := []ident.Server{"a", "b"}
	b.ReportAllocs()
	for b.Loop() {
		p.Order(clock.At(time.Second), replicas, 2, rng)
	}
}

func BenchmarkSlots(b *testing.B) {
	m := slots.New()
	env := slots.Env{Slots: 2, ColdSlots: 1, MaxQueue: 64, WarmAfter: 30, Usable: true}
	done := slots.Result{Outcome: fault.OutcomeRan, Latency: time.Millisecond, Incarnation: "1"}
	n := 0
	b.ReportAllocs()
	for b.Loop() {
		n++
		id := slots.ID(strconv.Itoa(n))
		m.Step(clock.At(time.Duration(n)), env, slots.Offer{Attempt: slots.Attempt{ID: id, Team: "a", Weight: 1, Deadline: clock.At(time.Hour)}})
		m.Step(clock.At(time.Duration(n)), env, slots.Done{ID: id, Result: done})
	}
}

func BenchmarkAgent(b *testing.B) {
	sim, d := startFleet(1, 9, 50)
	n := sim.Nodes()[0]
	now := n.Clock()
	server := n.Agent.Catalog().Servers()[0]
	b.Run("admit", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			n.Agent.HomeCandidates(now, d.Teams[0].Name)
			n.Agent.Take(now, d.Teams[0].Name, 0)
		}
	})
	b.Run("units", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			n.Agent.UsableSlots(now, server)
		}
	})
	b.Run("targets", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			n.Agent.Targets(now, server)
		}
	})
}

// BenchmarkBatch measures the JSON encoding and decoding of one batch of 16 parts and its replies.
func BenchmarkBatch(b *testing.B) {
	batch := inner.Parts{Request: "vm0-0011223344-1", Team: "team0", KeyID: "k1", Idempotent: true, Body: []byte(`{"query":"blue"}`)}
	var replies []inner.PartReply
	for i := range 16 {
		id := slots.ID(fmt.Sprintf("vm0-0011223344-1.1.%d", i))
		batch.Parts = append(batch.Parts, inner.Part{ID: id, Server: "lookup-17-0", Service: "lookup-17", Shard: i, IndexVersion: 1})
		replies = append(replies, inner.PartReply{ID: id, OK: true, Outcome: fault.OutcomeRan, Version: 1, Items: []merge.Item{{ID: "lookup-17-0-1", Score: 0.7, Body: []byte(`{"version":1}`)}}})
	}
	b.ReportAllocs()
	size := 0
	for b.Loop() {
		size = 0
		raw, err := json.Marshal(batch)
		if err != nil {
			b.Fatal(err)
		}
		size += len(raw)
		var back inner.Parts
		if err := json.Unmarshal(raw, &back); err != nil {
			b.Fatal(err)
		}
		for i := range replies {
			line, err := json.Marshal(replies[i])
			if err != nil {
				b.Fatal(err)
			}
			size += len(line)
			var reply inner.PartReply
			if err := json.Unmarshal(line, &reply); err != nil {
				b.Fatal(err)
			}
		}
	}
	b.ReportMetric(float64(size)/16, "bytes/part")
}

// TestMeasuresRepeat guards against simulations that depend on more than the seed, such as wall-clock time or the
// order of maps: the same seed gives the same figures.
func TestMeasuresRepeat(t *testing.T) {
	for _, name := range []string{"cold", "refuse"} {
		t.Run(name, func(t *testing.T) {
			first, err := Run(name, 5)
			if err != nil {
				t.Fatal(err)
			}
			second, err := Run(name, 5)
			if err != nil {
				t.Fatal(err)
			}
			if Table(first) != Table(second) {
				t.Errorf("two runs with the same seed differ:\n%s\nand\n%s", Table(first), Table(second))
			}
		})
	}
}
