package edge

import (
	"fmt"
	"testing"
	"time"
)

func assertFields(t *testing.T, got []any, want string) {
	t.Helper()
	if text := fmt.Sprint(got...); text != want {
		t.Errorf("fields are %s, want %s", text, want)
	}
}

func TestTraffic(t *testing.T) {
	t.Run("tells of everything since it was last told", func(t *testing.T) {
		c := newTraffic()
		c.recordAnswer(10*time.Millisecond, 20*time.Millisecond, 1)
		c.recordAnswer(30*time.Millisecond, 20*time.Millisecond, 0.5)
		c.recordRefusal(503)
		c.recordRefusal(429)
		c.recordRefusal(429)
		c.recordClientGone()
		assertFields(t, c.flush(), fmt.Sprint("answered", 2, "inTime", 1, "partial", 1, "left", 1, "coverage", 0.75,
			"p50Ms", 10.05, "p99Ms", 30.08, "status429", 2, "status503", 1))
		assertFields(t, c.flush(), "")
	})
	t.Run("has no latency where nothing was answered", func(t *testing.T) {
		c := newTraffic()
		c.recordRefusal(404)
		assertFields(t, c.flush(), fmt.Sprint("answered", 0, "inTime", 0, "partial", 0, "left", 0, "status404", 1))
	})
	t.Run("takes a span beyond all bounds", func(t *testing.T) {
		c := newTraffic()
		c.recordAnswer(time.Hour, 0, 1)
		if c.flush() == nil {
			t.Error("answer is not counted")
		}
	})
}
