package link

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"
)

// spliceAnswers returns answers to a request of every kind: success, failure and refusal, a part and one without content, with fields in several orders.
func spliceAnswers(id string) []string {
	var out []string
	for _, a := range []struct {
		status, body string
		fields       []string
	}{
		{"200 OK", "booked " + id, []string{"X-Signature: s-" + id, "Content-Type: text/plain; charset=utf-8"}},
		{"200", "0123456789abcdef", []string{"X-Signature: s-" + id, "X-Load: 1,2,3", "Keep-Alive: timeout=3", "Trailer: X-Sum"}},
		{"500 Internal Server Error", "not booked " + id, []string{"X-Signature: s-" + id, "Cache-Control: no-store, max-age=0", "Server-Limit: 2"}},
		{"503 Service Unavailable", "full", []string{"X-Not-Run: 1", "Retry-After: 2", "Date: Tue, 08 Dec 2026 00:00:00 GMT", "Server-Leaving: 1"}},
		{"421 Misdirected Request", "", []string{"X-Not-Run: 1", "X-Server: other", "Connection: keep-alive"}},
		{"204 No Content", "", []string{"X-Signature: s-" + id}},
	} {
		fields := append([]string{"X-Id: " + id, fmt.Sprintf("Content-Length: %d", len(a.body))}, a.fields...)
		for range fields {
			fields = append(fields[1:], fields[0])
			out = append(out, "HTTP/1.1 "+a.status+"\r\n"+strings.Join(fields, "\r\n")+"\r\n\r\n"+a.body)
		}
		chunked := append([]string{"X-Id: " + id, "Transfer-Encoding: chunked"}, a.fields...)
		out = append(out, "HTTP/1.1 "+a.status+"\r\n"+strings.Join(chunked, "\r\n")+fmt.Sprintf("\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", max(1, len(a.body)), a.body+strings.Repeat(".", max(0, 1-len(a.body)))))
	}
	return append(out, "HTTP/1.1 103 Early Hints\r\nLink: </x>; rel=preload\r\n\r\n"+out[0])
}

// readSpliced reads the answer to r1 from the bytes that a server sent on a connection that has carried answers before.
func readSpliced(sent string) (*Answer, error) {
	c := newConn(replayConn{sent: bytes.NewReader([]byte(sent))}, &byteBudget{})
	c.uses = 1
	answer, _, err := c.exchange("GET", "X-Id", "r1", 1<<10)
	return answer, err
}

// A late answer breaks off at any byte, and the awaited one follows. It must be read whole or not at all: a status line or a field of the late one
// in front of the rest would tell a client that its request has run, failed or not run where the server has said something else.
func TestSplicedAnswers(t *testing.T) {
	awaited, mixed, whole := spliceAnswers("r1"), 0, 0
	for _, own := range awaited {
		want, err := readSpliced(own)
		if err != nil {
			t.Fatalf("%q: %v", own, err)
		}
		for _, late := range spliceAnswers("r0") {
			for n := range len(late) + 1 {
				got, err := readSpliced(late[:n] + own)
				switch {
				case err != nil:
				case got.Status == want.Status && bytes.Equal(got.Body, want.Body) && sameHeader(got, want):
					whole++
				default:
					if mixed++; mixed <= 3 {
						t.Errorf("%q in front of %q is read as status %d with %v", late[:n], own, got.Status, got.Header)
					}
				}
			}
		}
	}
	t.Logf("%d mixtures, %d answers read whole after a late one", mixed, whole)
	if mixed > 0 || whole == 0 {
		t.Errorf("%d mixtures are read as answers, want none; %d whole ones, want some", mixed, whole)
	}
}

func sameHeader(a, b *Answer) bool {
	if len(a.Header) != len(b.Header) {
		return false
	}
	for name, values := range a.Header {
		if !slices.Equal(values, b.Header[name]) {
			return false
		}
	}
	return true
}
