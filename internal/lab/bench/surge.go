package bench

import (
	"time"

	"kumquatreel.example/kumquatreel/internal/lab/surge"
)

// surgeSeeds is the number of seeds over which a row of the measure surge adds up.
const surgeSeeds = 8

// measureSurge measures what two kinds of query that share servers get at several loads, with and without faults. Each row adds up
// surgeSeeds runs.
func measureSurge(seed uint64) (Report, error) {
	const span = 20 * time.Second
	r := Report{
		Target:  "load 1: at most 0.1% unserved; any load: at most 1% end without an answer after parts have run",
		Columns: []string{"patient value", "urgent value", "unserved %", "ran in vain %", "hedges %", "rejected %", "parts unused %"},
		Met:     true,
	}
	none := func(*surge.Simulation, surge.Params) {}
	refusing := func(sim *surge.Simulation, p surge.Params) {
		for shard := range p.Shards {
			sim.Server(shard, 0).RefuseFraction = 0.4
		}
	}
	slow := func(sim *surge.Simulation, p surge.Params) {
		for shard := 0; shard < p.Shards; shard += 4 {
			sim.Server(shard, 0).SlowFactor = 6
		}
	}
	dark := func(sim *surge.Simulation, p surge.Params) {
		for shard := 0; shard < p.Shards; shard += 5 {
			sim.Server(shard, 1).Dark = true
		}
	}
	for _, v := range []struct {
		name    string
		load    float64
		disturb func(*surge.Simulation, surge.Params)
	}{
		{"load 1", 1, none},
		{"load 1, one of two refuses 40%", 1, refusing},
		{"load 1, a server of 5 shards slow", 1, slow},
		{"load 1, a server of 4 shards dark", 1, dark},
		{"load 1.5", 1.5, none},
		{"load 1.5, one of two refuses 40%", 1.5, refusing},
		{"load 1.5, a server of 5 shards slow", 1.5, slow},
		{"load 2", 2, none},
		{"load 2.5", 2.5, none},
	} {
		row, met := surgeRow(seed, v.load, span, v.disturb)
		r.Met = r.Met && met
		r.Rows = append(r.Rows, Row{v.name, row})
	}
	return r, nil
}

// surgeRow returns the figures of one load in the order of the columns, and whether they meet the target.
func surgeRow(seed uint64, load float64, span time.Duration, disturb func(*surge.Simulation, surge.Params)) ([]float64, bool) {
	var total surge.Result
	total.Kinds = make([]surge.Outcome, 2)
	for i := range uint64(surgeSeeds) {
		p := surge.MixedKinds(seed*surgeSeeds + i)
		p.Load = load
		sim := surge.New(p)
		disturb(sim, p)
		total.Add(sim.RunLoad(span))
	}
	asked, unserved, failed := 0, 0, 0
	for _, k := range total.Kinds {
		asked += k.Asked
		unserved += k.Refused + k.Failed
		failed += k.Failed
	}
	percent := func(n, of int) float64 { return 100 * float64(n) / float64(max(1, of)) }
	row := []float64{
		total.Kinds[0].MeanValue(), total.Kinds[1].MeanValue(), percent(unserved, asked), percent(failed, asked),
		percent(total.Hedges, total.Sent), percent(total.Rejected, total.Sent), percent(total.Sent-total.Rejected-total.Used, total.Sent),
	}
	return row, percent(failed, asked) <= 1 && (load > 1 || percent(unserved, asked) <= 0.1)
}
