package link_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"kumquatreel.example/kumquatreel/internal/tier/gather"
)

// notStatuses are the starts of answers whose status lines say nothing that ends a request.
var notStatuses = []string{
	"HTTP/1.1 000", "HTTP/1.1 001", "HTTP/1.1 099", "HTTP/1.1 100", "HTTP/1.1 103", "HTTP/1.1 101", "HTTP/1.1 600", "HTTP/1.1 999", "HTTP/1.1 2O0", "HTTP/1.1 +200",
	"HTTP/1.1 +20", "HTTP/1.1 -00", "HTTP/1.1  200", "HTTP/1.1 20", "HTTP/1.1 2000", "HTTP/1.1 ", "HTTP/1.1\t200", "HTTP/2.0 200", "http/1.1 200", "ICY 200",
}

// A server in trouble answers with a status that is none: the call ends at once as lost, whatever the headers say, and so does the connection.
func TestNoStatus(t *testing.T) {
	for _, start := range notStatuses {
		for _, reason := range []string{" X", ""} {
			for _, kept := range []bool{false, true} {
				for _, once := range []bool{false, true} {
					answer := start + reason + "\r\nX-Id: {id}\r\nX-Signature: s\r\nX-Not-Run: 1\r\nContent-Length: 3\r\n\r\nabc"
					t.Run(fmt.Sprintf("%s%s, kept %v, once %v", start, reason, kept, once), func(t *testing.T) {
						t.Parallel()
						assertNoStatus(t, start, answer, kept, once)
					})
				}
			}
		}
	}
}

func assertNoStatus(t *testing.T, start, answer string, kept, once bool) {
	t.Helper()
	answers := []string{answer}
	if kept {
		answers = []string{ok("one"), answer}
	}
	s, tr := newScriptedServer(t, answers...), newTransport(t)
	if kept {
		assertAnswered(t, tr.Do(context.Background(), s.call("r0")), "one")
	}
	c, began := s.call("r1"), time.Now()
	c.RunOnce, c.Deadline = once, began.Add(3*time.Second)
	r := tr.Do(context.Background(), c)
	assertVerdict(t, r, gather.VerdictLost)
	if took := time.Since(began); took > time.Second || r.Unresponsive {
		t.Errorf("ended after %v, unresponsive %v, want an end at once", took, r.Unresponsive)
	}
	if r.Answer != nil || r.Err == nil || !strings.Contains(r.Err.Error(), strings.TrimSpace(strings.ReplaceAll(start, "\t", `\t`))) {
		t.Errorf("answer %+v, error %v, want none and an error with the status line", r.Answer, r.Err)
	}
	if n := tr.OpenConnections(); n != 0 {
		t.Errorf("%d connections are open, want none", n)
	}
}
