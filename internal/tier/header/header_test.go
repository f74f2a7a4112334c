package header_test

import (
	"math"
	"strings"
	"testing"
	"time"

	"kumquatreel.example/kumquatreel/internal/tier/header"
)

func TestParseLoad(t *testing.T) {
	for _, c := range []struct {
		text string
		want header.Load
		ok   bool
	}{
		{"3,0,8", header.Load{Running: 3, Slots: 8}, true},
		{" 3, 1 ,8 ", header.Load{Running: 3, Waiting: 1, Slots: 8}, true},
		{"3,0,8,100", header.Load{Running: 3, Slots: 8, Pace: 1}, true},
		{"3,0,8, 250 ", header.Load{Running: 3, Slots: 8, Pace: 2.5}, true},
		{"3,0,8,0", header.Load{Running: 3, Slots: 8}, true},
		{"3,0,8,", header.Load{Running: 3, Slots: 8}, true},
		{"3,0,8,-100", header.Load{Running: 3, Slots: 8}, true},
		{"3,0,8,+100", header.Load{Running: 3, Slots: 8}, true},
		{"3,0,8,1e2", header.Load{Running: 3, Slots: 8}, true},
		{"3,0,8,100,7", header.Load{Running: 3, Slots: 8}, true},
		{"3,0,8,10001", header.Load{Running: 3, Slots: 8}, true},
		{"3,0,8,99999999999999999999", header.Load{Running: 3, Slots: 8}, true},
		{"", header.Load{}, false},
		{"3,0", header.Load{}, false},
		{"3,-1,8", header.Load{}, false},
		{"3,x,8", header.Load{}, false},
		{"9223372036854775807,1,8", header.Load{}, false},
		{"3,1048577,8", header.Load{}, false},
	} {
		t.Run(c.text, func(t *testing.T) {
			if got, ok := header.ParseLoad(c.text); got != c.want || ok != c.ok {
				t.Errorf("load is %v, %v, want %v, %v", got, ok, c.want, c.ok)
			}
		})
	}
}

func TestParseRate(t *testing.T) {
	for _, c := range []struct {
		text string
		want float64
		ok   bool
	}{
		{"20.3", 20.3, true},
		{" 4 ", 4, true},
		{"0", 0, true},
		{"", 0, false},
		{"-1", 0, false},
		{"NaN", 0, false},
		{"Inf", 0, false},
		{"20/s", 0, false},
	} {
		t.Run(c.text, func(t *testing.T) {
			if got, ok := header.ParseRate(c.text); got != c.want || ok != c.ok {
				t.Errorf("rate is %v, %v, want %v, %v", got, ok, c.want, c.ok)
			}
		})
	}
}

func TestParseMillis(t *testing.T) {
	for _, c := range []struct {
		text string
		want time.Duration
		ok   bool
	}{
		{"1500", 1500 * time.Millisecond, true},
		{" 0.5 ", 500 * time.Microsecond, true},
		{"0", 0, true},
		{"", 0, false},
		{"-1", 0, false},
		{"NaN", 0, false},
		{"1e300", 0, false},
		{"soon", 0, false},
	} {
		t.Run(c.text, func(t *testing.T) {
			if got, ok := header.ParseMillis(c.text); got != c.want || ok != c.ok {
				t.Errorf("duration is %v, %v, want %v, %v", got, ok, c.want, c.ok)
			}
		})
	}
}

func TestParseRetryAfter(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"2": 2 * time.Second, " 0.25 ": 250 * time.Millisecond, "0": 0, "0.5|3|1": 3 * time.Second, "1e300": math.MaxInt64, "1e18": math.MaxInt64,
	} {
		t.Run(text, func(t *testing.T) {
			if got, ok := header.ParseRetryAfter(strings.Split(text, "|")); got != want || !ok {
				t.Errorf("time is %v, %v, want %v", got, ok, want)
			}
		})
	}
	for _, text := range []string{"", "-1", "soon", "NaN", "Inf", "1e400", "2|x", "Sat, 05 Dec 2026 10:00:00 GMT"} {
		t.Run(text, func(t *testing.T) {
			if got, ok := header.ParseRetryAfter(strings.Split(text, "|")); ok {
				t.Errorf("time is %v, want none", got)
			}
		})
	}
	if _, ok := header.ParseRetryAfter(nil); ok {
		t.Error("a time is read from no header")
	}
}
