package sink_test

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/sink"
)

// reader is the other end of a file: it blocks while it is slow, takes a few bytes of each write and fails while it is away.
type reader struct {
	mu    sync.Mutex
	text  bytes.Buffer
	away  bool
	taken int
	slow  chan struct{}
}

// Write implements io.Writer.
func (r *reader) Write(p []byte) (int, error) {
	if r.slow != nil {
		<-r.slow
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.away {
		n := min(r.taken, len(p))
		r.text.Write(p[:n])
		return n, errors.New("the reader is away")
	}
	return r.text.Write(p)
}

func (r *reader) set(away bool, taken int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.away, r.taken = away, taken
}

func (r *reader) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.text.String()
}

func notice(lost int64) []byte { return fmt.Appendf(nil, "lost %d\n", lost) }

func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if f() {
			return
		}
	}
	t.Fatalf("not observed: %s", what)
}

func TestWrite(t *testing.T) {
	var r reader
	s, stop := sink.New(&r, notice)
	for i := range 100 {
		_, _ = fmt.Fprintf(s, "line %d\n", i)
	}
	stop()
	if n := strings.Count(r.String(), "\n"); n != 100 || s.Lost() != 0 {
		t.Errorf("%d lines, %d lost, want 100 and none", n, s.Lost())
	}
}

// The reader goes away, perhaps in the middle of a line, and comes back: what is written meanwhile is counted, and one line says so.
func TestAway(t *testing.T) {
	for _, taken := range []int{0, 3} {
		t.Run(fmt.Sprintf("after %d bytes of a line", taken), func(t *testing.T) {
			var r reader
			s, stop := sink.New(&r, notice)
			r.set(true, taken)
			_, _ = s.Write([]byte("gone 1\ngone 2\n"))
			eventually(t, "two lines are lost", func() bool { return s.Lost() == 2 })
			r.set(true, 0)
			_, _ = s.Write([]byte("gone 3\n"))
			eventually(t, "three lines are lost", func() bool { return s.Lost() == 3 })
			r.set(false, 0)
			_, _ = s.Write([]byte("back 1\n"))
			_, _ = s.Write([]byte("back 2\n"))
			stop()
			if got, want := r.String(), "lost 3\nback 1\nback 2\n"; !strings.HasSuffix("\n"+got, "\n"+want) || strings.Count(got, "lost") != 1 {
				t.Errorf("the reader got %q, want it to end with %q", got, want)
			}
		})
	}
}

// The reader never reads: neither a line nor the end of the process waits for it, and what is held stays bounded.
func TestSlow(t *testing.T) {
	r := &reader{slow: make(chan struct{})}
	s, stop := sink.New(r, notice)
	const lines = 20_000
	began := time.Now()
	for range lines {
		_, _ = s.Write([]byte(strings.Repeat("x", 99) + "\n"))
	}
	if s.Lost() < lines/2 {
		t.Errorf("%d lines are lost, want those beyond the queue", s.Lost())
	}
	stop()
	if took := time.Since(began); took > 3*time.Second {
		t.Errorf("writing and closing took %v, want no wait", took)
	}
	close(r.slow)
	eventually(t, "what was queued is written, with the number of lost lines", func() bool {
		return strings.Contains(r.String(), fmt.Sprintf("lost %d\n", s.Lost()))
	})
}

// A pipe whose reader is gone would end the process by SIGPIPE.
func TestBrokenPipe(t *testing.T) {
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	s, stop := sink.Open(w, notice)
	_ = r.Close()
	_, _ = s.Write([]byte("line\n"))
	stop()
	if s.Lost() != 1 {
		t.Errorf("%d lines are lost, want 1", s.Lost())
	}
	_ = w.Close()
}
