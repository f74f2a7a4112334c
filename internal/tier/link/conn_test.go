package link

import (
	"bytes"
	"fmt"
	"net"
	"testing"
)

// replayConn is a connection on which the server has sent the given bytes.
type replayConn struct {
	net.Conn
	sent *bytes.Reader
}

func (r replayConn) Read(b []byte) (int, error) { return r.sent.Read(b) }

// response returns an HTTP answer with the ID of a request, or without one if id is empty, and further header lines.
func response(id, body, headers string) string {
	if id != "" {
		headers += "X-Id: " + id + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", headers, len(body), body)
}

// For any bytes from a server, an accepted answer is complete and belongs to the request, and a connection that is kept has
// no unread bytes.
func FuzzExchange(f *testing.F) {
	const id = "r1"
	for _, s := range []string{
		response(id, "whole", ""),
		response("r0", "late", "") + response(id, "own", ""),
		response(id, "own", "") + response(id, "extra", ""),
		response("", "untagged", ""),
		response(id, "own", "Connection: close\r\n"),
		response(id, "own", "Keep-Alive: timeout=3\r\n"),
		"HTTP/1.1 100 Continue\r\n\r\n" + response(id, "own", ""),
		"HTTP/1.1 200 OK\r\nX-Id: r1\r\n\r\nuntil the end",
		"HTTP/1.1 200 OK\r\nX-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nown\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 9\r\n\r\nshort",
		"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
		"no answer at all",
		"HTTP/1.1 000 X\r\nX-Id: r1\r\nContent-Length: 0\r\n\r\n" + response(id, "own", ""),
		"HTTP/1.1 101 Switch\r\nX-Id: r1\r\n\r\n",
		"HTTP/1.1 100 Continue\r\nContent-Length: 3\r\n\r\nabc" + response(id, "own", ""),
		"HTTP/1.1 999 X\r\nX-Id: r1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1  200 OK\nX-Id: r1\nContent-Length: 0\n\n",
	} {
		for _, uses := range []int{0, 3} {
			f.Add([]byte(s), uses)
		}
	}
	f.Fuzz(func(t *testing.T, sent []byte, uses int) {
		const maxBytes = 1 << 10
		c := newConn(replayConn{sent: bytes.NewReader(sent)}, &byteBudget{})
		c.uses = uses
		answer, keep, err := c.exchange("GET", "X-Id", id, maxBytes)
		if err != nil {
			if answer != nil || keep {
				t.Fatalf("got answer %v and keep %t with the error %v, want neither", answer, keep, err)
			}
			return
		}
		echoed := answer.Header.Get("X-Id")
		if echoed != "" && echoed != id || echoed == "" && uses > 0 {
			t.Fatalf("accepted the answer to request %q on a connection used %d times", echoed, uses)
		}
		if answer.Status < 200 || answer.Status > 599 {
			t.Fatalf("accepted the status %d", answer.Status)
		}
		if len(answer.Body) > maxBytes {
			t.Fatalf("body has %d bytes, want at most %d", len(answer.Body), maxBytes)
		}
		if keep && (echoed != id || c.br.Buffered() > 0) {
			t.Fatalf("kept a connection with %d unread bytes, whose last answer has request ID %q", c.br.Buffered(), echoed)
		}
	})
}
