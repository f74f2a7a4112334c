package units

import (
	"math"
	"time"
)

// maxExact is the first integer from which a float64 does not represent all integers.
const maxExact = 1 << 53

// Seconds returns a number of seconds as a duration. A number that is out of range becomes the nearest duration, and NaN becomes 0.
func Seconds(n float64) time.Duration { return scale(n, time.Second) }

// Millis returns a number of milliseconds as a duration. A number that is out of range becomes the nearest duration, and NaN becomes 0.
func Millis(n float64) time.Duration { return scale(n, time.Millisecond) }

func scale(n float64, unit time.Duration) time.Duration {
	ns := n * float64(unit)
	switch {
	case math.IsNaN(ns):
		return 0
	case ns >= math.MaxInt64:
		return math.MaxInt64
	case ns <= math.MinInt64:
		return math.MinInt64
	}
	return time.Duration(ns)
}

// Int returns an integer between least and most, or false if n is not one or if a float64 does not represent all integers up to it.
func Int(n float64, least, most int64) (int64, bool) {
	if n != math.Trunc(n) || math.Abs(n) >= maxExact {
		return 0, false
	}
	i := int64(n)
	return i, i >= least && i <= most
}
