package chart

import (
	"bytes"
	"strings"
	"testing"

	"kumquatreel.example/kumquatreel/internal/tier/events"
)

const vm0 = `{"msg":"configuration in force","at":"2026-12-04T10:00:00.200Z","version":7}
{"msg":"traffic","at":"2026-12-04T10:00:01.100Z","answered":30,"inTime":20,"partial":3,"left":1,"coverage":0.9,"p50Ms":10,"p99Ms":90,"status429":4}
{"msg":"configuration in force","at":"2026-12-04T10:00:03.100Z","version":9}
{"msg":"traffic","at":"2026-12-04T10:00:03.200Z","answered":0,"inTime":0,"partial":0,"left":0,"status503":2}
{"msg":"traffic","at":"yesterday","answered":1000}
`

const vm1 = `{"msg":"traffic","at":"2026-12-04T10:00:01.900Z","answered":10,"inTime":10,"partial":0,"left":0,"coverage":1,"p50Ms":30,"p99Ms":40,"status429":1}
`

func read(t *testing.T, text, source string) []events.Line {
	t.Helper()
	lines, _, err := events.Read(strings.NewReader(text), source)
	if err != nil {
		t.Fatal(err)
	}
	return lines
}

func collect(t *testing.T) *Run {
	t.Helper()
	r, err := Collect(append(read(t, vm0, "vm0"), read(t, vm1, "vm1")...))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func assertValues(t *testing.T, s series, want ...any) {
	t.Helper()
	if len(s.values) != len(want) {
		t.Fatalf("%s has %d values, want %d", s.name, len(s.values), len(want))
	}
	for i, v := range s.values {
		if v.Value != want[i] {
			t.Errorf("%s is %v in second %d, want %v", s.name, v.Value, i, want[i])
		}
	}
}

func TestCollect(t *testing.T) {
	r := collect(t)
	t.Run("sums the VMs up by second", func(t *testing.T) {
		assertValues(t, r.newSeries("answered", func(s *secondStats) (float64, bool) { return s.answered, true }), 0.0, 40.0, 0.0, 0.0)
	})
	t.Run("weighs means by answers and leaves gaps without", func(t *testing.T) {
		assertValues(t, r.newSeries("coverage", func(s *secondStats) (float64, bool) { return s.mean(s.coverageSum) }), gap, 0.925, gap, gap)
		assertValues(t, r.newSeries("median", func(s *secondStats) (float64, bool) { return s.mean(s.medianSum) }), gap, 15.0, gap, gap)
	})
	t.Run("counts refusals by status", func(t *testing.T) {
		s := r.refusalSeries()
		assertValues(t, s[0], 0.0, 5.0, 0.0, 0.0)
		assertValues(t, s[1], 0.0, 0.0, 0.0, 2.0)
	})
	t.Run("keeps a version until the next", func(t *testing.T) {
		assertValues(t, r.adoptionSeries()[0], 7.0, 7.0, 7.0, 9.0)
	})
	t.Run("says when there is nothing to draw", func(t *testing.T) {
		if _, err := Collect(read(t, `{"msg":"started","at":"2026-12-04T10:00:00Z"}`, "vm0")); err == nil {
			t.Error("a run without requests or configurations is accepted")
		}
	})
	t.Run("says when times lie too far apart", func(t *testing.T) {
		lines := append(read(t, vm0, "vm0"), read(t, strings.ReplaceAll(vm1, "2026", "1970"), "vm1")...)
		if _, err := Collect(lines); err == nil {
			t.Error("a run of 56 years is accepted")
		}
	})
}

func TestRender(t *testing.T) {
	var b bytes.Buffer
	if err := Render(&b, collect(t)); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"Latency in ms", "Coverage", "Not answered a second", "Configuration in force", "run from 2026-12-04 10:00:00"} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("the page lacks %q", want)
		}
	}
}
