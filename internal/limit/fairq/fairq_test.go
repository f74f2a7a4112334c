package fairq_test

import (
	"testing"

	"pgregory.net/rapid"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/limit/fairq"
)

func assertPops(t *testing.T, q *fairq.Queue[string], want ...string) {
	t.Helper()
	for _, w := range want {
		got, ok := q.Pop()
		if !ok || got != w {
			t.Errorf("popped %q, want %q", got, w)
		}
	}
}

func TestOrder(t *testing.T) {
	t.Run("teams take turns", func(t *testing.T) {
		var q fairq.Queue[string]
		for _, item := range []string{"a1", "a2", "a3"} {
			q.Push("a", 1, item)
		}
		q.Push("b", 1, "b1")
		assertPops(t, &q, "a1", "b1", "a2", "a3")
	})
	t.Run("weight is a share", func(t *testing.T) {
		var q fairq.Queue[string]
		for _, item := range []string{"a1", "a2", "a3", "a4"} {
			q.Push("a", 2, item)
		}
		for _, item := range []string{"b1", "b2"} {
			q.Push("b", 1, item)
		}
		assertPops(t, &q, "a1", "b1", "a2", "a3", "b2", "a4")
	})
	t.Run("an idle team saves nothing up", func(t *testing.T) {
		var q fairq.Queue[string]
		for range 10 {
			q.Push("a", 1, "a")
			assertPops(t, &q, "a")
		}
		for _, item := range []string{"a1", "a2"} {
			q.Push("a", 1, item)
		}
		for _, item := range []string{"b1", "b2", "b3"} {
			q.Push("b", 1, item)
		}
		assertPops(t, &q, "b1", "a1", "b2", "a2", "b3")
	})
	t.Run("the longest line by weight loses its newest item", func(t *testing.T) {
		var q fairq.Queue[string]
		q.Push("a", 1, "a1")
		q.Push("a", 1, "a2")
		q.Push("b", 1, "b1")
		team, ok := q.Longest()
		if item, _ := q.DropLast(team); !ok || item != "a2" {
			t.Errorf("dropped %q of %q", item, team)
		}
	})
}

// Random operations must keep Len equal to the items pushed less those removed.
func TestNothingIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q fairq.Queue[int]
		in, out := 0, 0
		for i := range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				q.Push(ident.Team(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team")), rapid.Float64Range(0.1, 5).Draw(t, "weight"), i)
				in++
			case 2:
				if _, ok := q.Pop(); ok {
					out++
				}
			case 3:
				out += len(q.Remove(func(n int) bool { return n%7 == 0 }))
			}
			if q.Len() != in-out {
				t.Fatalf("the queue has %d items after %d pushed and %d removed", q.Len(), in, out)
			}
		}
	})
}
