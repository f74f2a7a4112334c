package window_test

import (
	"testing"
	"time"

	"kumquatreel.example/kumquatreel/internal/lab/window"
)

func TestMost(t *testing.T) {
	sub := func(a, b time.Duration) time.Duration { return a - b }
	for _, c := range []struct {
		times []time.Duration
		want  int
	}{
		{nil, 0},
		{[]time.Duration{5}, 1},
		{[]time.Duration{0, 9, 10, 18}, 3},
		{[]time.Duration{0, 10, 20}, 1},
		{[]time.Duration{3, 3, 3}, 3},
	} {
		if got := window.Most(c.times, 10, sub); got != c.want {
			t.Errorf("%v: %d events in a window of 10, want %d", c.times, got, c.want)
		}
	}
}
