package merge_test

import (
	"testing"

	"pgregory.net/rapid"

	"kumquatreel.example/kumquatreel/internal/base/fault"
	"kumquatreel.example/kumquatreel/internal/conf/schema"
	"kumquatreel.example/kumquatreel/internal/query/merge"
	"kumquatreel.example/kumquatreel/internal/query/plan"
	"kumquatreel.example/kumquatreel/internal/stand/sample"
)

// newMerger returns a merger for a query over 12 shards by a team that may reach the services that match reach.
func newMerger(t interface{ Fatal(...any) }, reach string) *merge.Merger {
	doc := sample.Small(9000).Document()
	doc.Teams[0].Services = []string{reach}
	c, err := schema.Parse(1, []byte(sample.JSON(doc)))
	if err != nil {
		t.Fatal(err)
	}
	return merge.New(plan.New(c, c.Route("all"), c.Team("team0"), ""))
}

func assertCovers(t *testing.T, m *merge.Merger, shards, total int) {
	t.Helper()
	c := m.Coverage()
	if c.Shards != shards || c.ShardsTotal != total || len(c.Missing) != total-shards || c.Weight != 1000*shards || c.WeightTotal != 1000*total {
		t.Errorf("coverage is %+v, want %d of %d shards", c, shards, total)
	}
}

func TestCoverage(t *testing.T) {
	item := []merge.Item{{ID: "a", Score: 1}}
	t.Run("a shard counts once", func(t *testing.T) {
		m := newMerger(t, "*")
		m.Add(0, 1, false, item)
		m.Add(0, 1, false, item)
		assertCovers(t, m, 1, 12)
		if n := len(m.Items(10)); n != 1 {
			t.Errorf("the answer has %d items", n)
		}
	})
	t.Run("another version and a partial answer count as missing", func(t *testing.T) {
		m := newMerger(t, "*")
		m.Add(0, 2, false, item)
		m.Add(1, 1, true, item)
		assertCovers(t, m, 0, 12)
		if n := len(m.Items(10)); n != 0 {
			t.Errorf("the answer has %d items", n)
		}
	})
	t.Run("services out of the team's reach are missing", func(t *testing.T) {
		m := newMerger(t, "lookup-*")
		for i := range 8 {
			m.Add(i, 1, false, item)
		}
		assertCovers(t, m, 8, 12)
		if reason := m.Coverage().Missing[0].Reason; reason != fault.CodeForbidden {
			t.Errorf("the reason is %v", reason)
		}
	})
}

func TestItems(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMerger(t, "*")
		n := 0
		for i := range 12 {
			scores := rapid.SliceOfN(rapid.Float64Range(0, 1), 0, 4).Draw(t, "scores")
			var items []merge.Item
			for _, s := range scores {
				items = append(items, merge.Item{ID: "x", Score: s})
			}
			n += len(items)
			m.Add(i, 1, false, items)
		}
		limit := rapid.IntRange(0, 60).Draw(t, "limit")
		got := m.Items(limit)
		if len(got) != min(n, limit) {
			t.Fatalf("%d items of %d within %d", len(got), n, limit)
		}
		for i := 1; i < len(got); i++ {
			if got[i].Score > got[i-1].Score {
				t.Fatal("a better item comes later")
			}
		}
	})
}
