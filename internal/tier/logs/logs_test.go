package logs_test

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"sync"
	"testing"

	"github.com/charmbracelet/log"

	"kumquatreel.example/kumquatreel/internal/tier/logs"
)

// blockedWriter blocks each write until release is closed.
type blockedWriter struct {
	release chan struct{}
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

func parseLines(t *testing.T, text string) []map[string]any {
	t.Helper()
	var out []map[string]any
	for l := range strings.Lines(text) {
		var m map[string]any
		if err := json.Unmarshal([]byte(l), &m); err != nil {
			t.Fatalf("line %q is not JSON: %v", l, err)
		}
		out = append(out, m)
	}
	return out
}

func TestLog(t *testing.T) {
	t.Run("writes structured lines", func(t *testing.T) {
		var b bytes.Buffer
		l, stop := logs.New(&b, log.InfoLevel)
		l.Warn("request", "part not answered", "id", "r1", "ms", 1.5)
		stop()
		got := parseLines(t, b.String())
		if len(got) != 1 || got[0]["msg"] != "part not answered" || got[0]["part"] != "request" || got[0]["id"] != "r1" || got[0]["ms"] != 1.5 {
			t.Errorf("lines are %v", got)
		}
	})
	t.Run("leaves out a flood and says so, and other lines pass", func(t *testing.T) {
		var b bytes.Buffer
		l, stop := logs.New(&b, log.InfoLevel)
		for range 500 {
			l.Info("request", "flood")
		}
		l.Info("request", "other")
		stop()
		text := b.String()
		if n := strings.Count(text, `"msg":"flood"`); n < 1 || n > 50 {
			t.Errorf("wrote %d lines of the flood, want 1 to 50", n)
		}
		if !strings.Contains(text, `"msg":"other"`) || !strings.Contains(text, "log lines left out") {
			t.Errorf("lines are\n%s", text)
		}
	})
	t.Run("never waits for its writer", func(*testing.T) {
		w := &blockedWriter{release: make(chan struct{})}
		l, stop := logs.New(w, log.InfoLevel)
		for i := range 20000 {
			l.Info("request", strings.Repeat("x", i%500), "text", strings.Repeat("y", 1000))
		}
		close(w.release)
		stop()
	})
	t.Run("takes lines from many goroutines while it tells what it left out", func(*testing.T) {
		l, stop := logs.New(io.Discard, log.InfoLevel)
		var wg sync.WaitGroup
		for i := range 8 {
			wg.Go(func() {
				for n := range 60000 {
					l.Info("request", strings.Repeat("x", (i+n)%40))
				}
			})
		}
		wg.Wait()
		stop()
	})
	t.Run("below its level costs nothing", func(t *testing.T) {
		var b bytes.Buffer
		l, stop := logs.New(&b, log.WarnLevel)
		l.Info("request", "quiet")
		stop()
		if b.Len() > 0 {
			t.Errorf("wrote %s", b.String())
		}
	})
	t.Run("that is missing takes lines too", func(*testing.T) {
		var l *logs.Log
		l.Info("request", "nobody")
	})
}

// BenchmarkInfo measures the cost of a line to the goroutine that logs it. Lines beyond the limit per second are dropped.
func BenchmarkInfo(b *testing.B) {
	l, stop := logs.New(io.Discard, log.InfoLevel)
	defer stop()
	for b.Loop() {
		l.Info("request", "part not answered", "id", "9c41d07be2a35f68", "service", "books", "ms", 1.5)
	}
}

func TestLongText(t *testing.T) {
	var b bytes.Buffer
	l, stop := logs.New(&b, log.InfoLevel)
	l.Warn("store", "item ignored", "error", strings.Repeat("\u00e4", 100_000))
	stop()
	if got := parseLines(t, b.String()); len(got) != 1 || b.Len() > 6000 {
		t.Errorf("wrote %d lines with %d bytes, want one of 6000 bytes at most", len(got), b.Len())
	}
}
