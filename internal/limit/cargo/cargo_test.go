package cargo_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/limit/cargo"
)

const (
	bound   = 4 << 20
	maxBody = 256 << 10
	slow    = ident.Server("slow")
)

// flood lets each VM send bodies of random sizes to a slow server whenever it may, and returns the most bytes that the server held and how many
// requests it got from each VM. A request ends after some steps.
func flood(vms, steps int) (most int64, sent []int) {
	type request struct {
		vm, until int
		bytes     int64
	}
	rng := rand.New(rand.NewPCG(uint64(vms), 3))
	meters := make([]cargo.Meter, vms)
	sent = make([]int, vms)
	var inFlight []request
	for step := range steps {
		total, kept := int64(0), inFlight[:0]
		for _, r := range inFlight {
			if r.until <= step {
				meters[r.vm].Release(slow, r.bytes)
				continue
			}
			total += r.bytes
			kept = append(kept, r)
		}
		inFlight = kept
		for range 20 * vms {
			vm, n := rng.IntN(vms), 1+rng.Int64N(maxBody)
			if !meters[vm].MayTake(slow, n, cargo.Share(bound, vms)) {
				continue
			}
			meters[vm].Take(slow, n)
			sent[vm]++
			total += n
			inFlight = append(inFlight, request{vm, step + 1 + rng.IntN(10), n})
		}
		most = max(most, total)
	}
	return most, sent
}

// Many large bodies come at once for a slow server: what it holds stays within the bound, of which no VM is left without a part.
func TestLargeBodies(t *testing.T) {
	for vms := 1; vms <= 9; vms++ {
		t.Run(fmt.Sprintf("%d VMs", vms), func(t *testing.T) {
			most, sent := flood(vms, 200)
			if most > bound || most < bound/2 {
				t.Errorf("the server held %d bytes, want %d to %d", most, bound/2, bound)
			}
			for vm, n := range sent {
				if n < 100 {
					t.Errorf("VM %d sent %d requests in 200 steps, want 100 or more", vm, n)
				}
			}
		})
	}
}

func TestOnlyRequest(t *testing.T) {
	var m cargo.Meter
	share := cargo.Share(bound, 100)
	if !m.MayTake(slow, maxBody, share) {
		t.Error("a VM without requests at the server may not send one")
	}
	m.Take(slow, maxBody)
	if m.MayTake(slow, 1, share) || !m.MayTake(slow, 1, cargo.Share(0, 100)) || !m.MayTake("other", maxBody, share) {
		t.Error("want a bound for this server, if there is one")
	}
	m.Release(slow, maxBody)
	m.Release(slow, maxBody)
	if m.Len() != 0 || m.Bytes(slow) != 0 || !m.MayTake(slow, maxBody, share) {
		t.Errorf("%d bytes count after the end of all requests, want none", m.Bytes(slow))
	}
}
