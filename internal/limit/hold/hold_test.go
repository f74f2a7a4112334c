package hold_test

import (
	"slices"
	"testing"
	"time"

	"kumquatreel.example/kumquatreel/internal/limit/hold"
)

const limitBytes = 4 << 20

var start = time.Unix(1000, 0)

func at(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }

func newBudget(conns int) *hold.Budget {
	return hold.New(hold.Limits{Bytes: limitBytes, Conns: []int{conns, conns}})
}

func assertDecision(t *testing.T, got hold.Decision, allowed bool, evict ...hold.ID) {
	t.Helper()
	if got.Allowed != allowed || !slices.Equal(got.Evict, evict) {
		t.Errorf("got %+v, want allowed %t, evicted %v", got, allowed, evict)
	}
}

func assertBounded(t *testing.T, b *hold.Budget, least int64) {
	t.Helper()
	sum := int64(0)
	for _, s := range hold.StageValues() {
		n, _ := b.Held(s)
		sum += n
	}
	if sum > limitBytes || sum < least {
		t.Errorf("%d bytes are held, want between %d and %d", sum, least, limitBytes)
	}
}

// TestConnections guards against connections without a request that keep others out.
func TestConnections(t *testing.T) {
	t.Run("the oldest without a request gives way", func(t *testing.T) {
		b := newBudget(3)
		for i := range 3 {
			assertDecision(t, b.Open(at(i), hold.ID(i), 0), true)
		}
		b.Enter(at(4), 0, hold.StageHead)
		assertDecision(t, b.Open(at(5), 9, 0), true, 1)
	})
	t.Run("complete requests don't", func(t *testing.T) {
		b := newBudget(1)
		b.Open(at(0), 1, 0)
		b.Enter(at(0), 1, hold.StageWorking)
		assertDecision(t, b.Open(at(1), 2, 0), false)
		assertDecision(t, b.Open(at(1), 3, 1), true)
		b.Close(1)
		assertDecision(t, b.Open(at(2), 4, 0), true)
	})
}

// TestBytes replays clients that send large requests, whole or in part, without end.
func TestBytes(t *testing.T) {
	t.Run("the slowest body gives way to one that progresses", func(t *testing.T) {
		b := newBudget(99)
		for i := range 3 {
			b.Open(at(0), hold.ID(i), 0)
			b.Enter(at(0), hold.ID(i), hold.StageBody)
			assertDecision(t, b.Grow(at(0), hold.ID(i), 1<<20-int64(i)<<10-64<<10), true)
		}
		b.Open(at(9), 9, 0)
		b.Enter(at(9), 9, hold.StageBody)
		assertDecision(t, b.Grow(at(9), 9, 180<<10), true)
		assertDecision(t, b.Grow(at(9), 9, 100<<10), true, 2)
		assertDecision(t, b.Grow(at(9), 2, 1), false)
		assertBounded(t, b, 2<<20)
	})
	t.Run("small requests find room that large ones can't take", func(t *testing.T) {
		b := newBudget(99)
		for i := range 9 {
			b.Open(at(0), hold.ID(i), 0)
			b.Enter(at(0), hold.ID(i), hold.StageWorking)
			b.Grow(at(0), hold.ID(i), 1<<20)
		}
		b.Open(at(1), 99, 0)
		assertDecision(t, b.Grow(at(1), 99, 16<<10), true)
		assertDecision(t, b.Grow(at(1), 99, 1), false)
		assertBounded(t, b, 3<<20)
	})
	t.Run("a crowd stays within the budget and gives all back", func(t *testing.T) {
		b := newBudget(200)
		for i := range 5000 {
			id := hold.ID(i)
			b.Open(at(i), id, hold.Door(i%2))
			for _, s := range []hold.Stage{hold.StageHead, hold.StageBody, hold.StageWorking}[:1+i%3] {
				b.Enter(at(i), id, s)
				b.Grow(at(i), id, int64(1+i%7)<<14)
			}
			assertBounded(t, b, 0)
			if i%3 == 2 {
				b.Enter(at(i), id, hold.StageIdle)
			}
		}
		for i := range 5000 {
			b.Close(hold.ID(i))
		}
		for _, s := range hold.StageValues() {
			if bytes, conns := b.Held(s); bytes != 0 || conns != 0 {
				t.Errorf("%s: %d bytes of %d connections are held, want none", s, bytes, conns)
			}
		}
	})
}
