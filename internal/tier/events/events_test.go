package events_test

import (
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"kumquatreel.example/kumquatreel/internal/tier/events"
)

const vm0Log = `   4.1 vm0 {"level":"info","msg":"configuration in force","at":"2026-12-04T10:00:00.100Z","part":"store","version":7,"revision":40,"from":"vm1"}
not a line of ours
{"level":"info","msg":"configuration in force","at":"2026-12-04T10:00:05.100Z","part":"store","version":9,"revision":44,"from":"store"}
{"level":"warn","msg":"part not answered","at":"2026-12-04T10:00:06.300Z","part":"request","id":"r7","service":"s2","server":"a","attempt":0,"verdict":"refused","ms":2.5,"status":503}
{"level":"warn","msg":"request not answered","at":"2026-12-04T10:00:06.310Z","part":"request","id":"r7","status":503,"reason":"no server has room","againMs":90}
{"level":"info","msg":"configuration in force","at":"2026-12-04T10:00:09.100Z","part":"store","version":12,"revision":60,"from":"store"}
`

const vm1Log = `{"level":"warn","msg":"request not answered","at":"2026-12-04T10:00:06.900Z","part":"request","id":"r8","status":429}
`

func read(t *testing.T, texts ...string) []events.Line {
	t.Helper()
	var all []events.Line
	for i, text := range texts {
		lines, _, err := events.Read(strings.NewReader(text), []string{"vm0.log", "vm1.log"}[i])
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, lines...)
	}
	return all
}

func TestTell(t *testing.T) {
	t.Run("gives a request's lines and what its VM believed", func(t *testing.T) {
		var b strings.Builder
		if err := events.Explain(&b, read(t, vm0Log, vm1Log), "r7"); err != nil {
			t.Fatal(err)
		}
		goldie.New(t).Assert(t, "story", []byte(b.String()))
	})
	t.Run("says when no line tells of it", func(t *testing.T) {
		var b strings.Builder
		if err := events.Explain(&b, read(t, vm0Log), "r9"); err == nil {
			t.Errorf("explained a request without lines: %s", b.String())
		}
	})
	t.Run("counts what is no line of the log", func(t *testing.T) {
		if _, skipped, err := events.Read(strings.NewReader(vm0Log), "x"); err != nil || skipped != 1 {
			t.Errorf("skipped %d lines, error %v; want 1 line and no error", skipped, err)
		}
	})
}
