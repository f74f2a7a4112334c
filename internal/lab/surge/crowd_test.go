package surge_test

import (
	"fmt"
	"testing"

	"kumquatreel.example/kumquatreel/internal/lab/surge"
)

// An urgent kind may be served less often than a patient one by maxLessServed at most, and earn a value that is lower by maxLessValue at most:
// the users' bounds for kinds of different rank at the same servers.
const maxLessServed, maxLessValue = 0.05, 0.15

// crowd runs a load of which the urgent kind has the higher priority.
func crowd(load float64, seed uint64, urgentFirst bool) surge.Result {
	p := surge.MixedKinds(seed)
	p.Load, p.UrgentFirst = load, urgentFirst
	p.Kinds[0].Priority, p.Kinds[1].Priority = 1, 0
	return surge.New(p).RunLoad(span)
}

// A crowd of patient requests comes to servers that urgent ones share. Guards against queues that only patient requests can bear.
func TestCrowd(t *testing.T) {
	for _, load := range []float64{1, 1.5, 2, 2.5, 3} {
		for seed := range uint64(2) {
			t.Run(fmt.Sprintf("load %v, seed %d", load, seed), func(t *testing.T) {
				r := crowd(load, seed, true)
				assertAllEnded(t, r)
				assertFailed(t, r, 0.01)
				patient, urgent := r.Kinds[0], r.Kinds[1]
				if more := urgent.Unserved() - patient.Unserved(); more > maxLessServed {
					t.Errorf("%.3f of the urgent requests are not served, %.3f of the patient ones", urgent.Unserved(), patient.Unserved())
				}
				if less := patient.MeanValue() - urgent.MeanValue(); less > maxLessValue {
					t.Errorf("an urgent request has a value of %.3f, a patient one %.3f", urgent.MeanValue(), patient.MeanValue())
				}
			})
		}
	}
}
