package link_test

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"kumquatreel.example/kumquatreel/internal/tier/gather"
)

// A server stops at any byte of its answer's head and closes or resets the connection. What has arrived must not count as an answer.
func TestBrokenHead(t *testing.T) {
	heads := map[string]string{
		"length last":    "HTTP/1.1 200 OK\r\nX-Id: {id}\r\nX-Signature: s\r\nContent-Length: 12\r\n\r\n",
		"length first":   "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nX-Signature: s\r\nX-Id: {id}\r\n\r\n",
		"chunks":         "HTTP/1.1 200 OK\r\nX-Id: {id}\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n",
		"no length":      "HTTP/1.1 200 OK\r\nX-Id: {id}\r\nX-Signature: s\r\nConnection: close\r\n\r\n",
		"empty":          "HTTP/1.1 204 No Content\r\nX-Id: {id}\r\nX-Signature: s\r\n\r\n",
		"bare new lines": "HTTP/1.1 200 OK\nX-Id: {id}\nX-Signature: s\n\n",
		"after another":  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: {id}\r\nX-Signature: s\r\n\r\n",
	}
	for name, head := range heads {
		for _, end := range []string{"!", "#"} {
			t.Run(name+map[string]string{"!": ", closed", "#": ", reset"}[end], func(t *testing.T) {
				for _, kept := range []bool{false, true} {
					for n := range len(head) {
						if cut := strings.LastIndex(head[:n], "{"); cut > strings.LastIndex(head[:n], "}") {
							continue
						}
						assertBroken(t, head[:n]+end, kept)
					}
				}
			})
		}
	}
	t.Run("a reset after a head without a length", func(t *testing.T) {
		assertBroken(t, heads["no length"]+"#", false)
		assertBroken(t, heads["no length"]+"abcd#", false)
	})
}

// assertBroken checks that a part of an answer, on a new connection or on one that carried an answer before, does not count as an answer.
func assertBroken(t *testing.T, part string, kept bool) {
	t.Helper()
	answers := []string{part}
	if kept {
		answers = []string{ok("one"), part}
	}
	s, tr := newScriptedServer(t, answers...), newTransport(t)
	for i := range answers {
		r := tr.Do(context.Background(), s.call(fmt.Sprintf("r%d", i)))
		if i < len(answers)-1 {
			assertAnswered(t, r, "one")
		} else if r.Verdict != gather.VerdictLost {
			t.Errorf("%q, kept %v: verdict is %v with %+v, want lost", part, kept, r.Verdict, r.Answer)
		}
	}
}
