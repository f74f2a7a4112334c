package link

import (
	"bytes"
	"fmt"
	"net"
	"testing"
)

// replay is a connection on which a server has sent some bytes.
type replay struct {
	net.Conn
	sent *bytes.Reader
}

func (r replay) Read(b []byte) (int, error) { return r.sent.Read(b) }

// response returns an answer of a server, with the id of a request or without one.
func response(id, body, more string) string {
	if id != "" {
		more += "X-Id: " + id + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", more, len(body), body)
}

// Whatever a server sends, an answer is whole and belongs to the request, and a connection that is kept has nothing more on it.
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
	} {
		for _, uses := range []int{0, 3} {
			f.Add([]byte(s), uses)
		}
	}
	f.Fuzz(func(t *testing.T, sent []byte, uses int) {
		const most = 1 << 10
		c := newConn(replay{sent: bytes.NewReader(sent)})
		c.uses = uses
		answer, keep, err := c.exchange("GET", "X-Id", id, most)
		if err != nil {
			if answer != nil || keep {
				t.Fatalf("answer %v, kept %t beside the error %v", answer, keep, err)
			}
			return
		}
		echoed := answer.Header.Get("X-Id")
		if echoed != "" && echoed != id || echoed == "" && uses > 0 && answer.Status < 300 {
			t.Fatalf("took the answer of request %q on a connection used %d times", echoed, uses)
		}
		if len(answer.Body) > most {
			t.Fatalf("the body has %d bytes, at most %d may come", len(answer.Body), most)
		}
		if keep && (echoed != id || c.br.Buffered() > 0) {
			t.Fatalf("kept a connection with %d more bytes, its last answer names %q", c.br.Buffered(), echoed)
		}
	})
}
