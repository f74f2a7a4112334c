package units_test

import (
	"math"
	"testing"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/units"
)

func assertDuration(t *testing.T, got, want time.Duration) {
	t.Helper()
	if got != want {
		t.Errorf("duration is %v, want %v", got, want)
	}
}

// The results must not differ by processor.
func TestDurations(t *testing.T) {
	t.Run("within range", func(t *testing.T) {
		assertDuration(t, units.Millis(1.5), 1500*time.Microsecond)
		assertDuration(t, units.Seconds(-2), -2*time.Second)
	})
	t.Run("saturate", func(t *testing.T) {
		for _, n := range []float64{1e16, 1e300, math.MaxFloat64, math.Inf(1)} {
			assertDuration(t, units.Millis(n), math.MaxInt64)
			assertDuration(t, units.Seconds(-n), math.MinInt64)
		}
		assertDuration(t, units.Millis(math.NaN()), 0)
	})
}

func TestInt(t *testing.T) {
	for _, n := range []float64{0.5, -1, 8, 1 << 53, 1 << 63, 1e300, math.Inf(1), math.NaN()} {
		if i, ok := units.Int(n, 0, 7); ok {
			t.Errorf("%v is taken as the integer %d", n, i)
		}
	}
	for _, n := range []float64{0, 7} {
		if i, ok := units.Int(n, 0, 7); !ok || float64(i) != n {
			t.Errorf("%v is not taken as an integer", n)
		}
	}
}
