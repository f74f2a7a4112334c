package owner

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/fault"
	"kumquatreel.example/kumquatreel/internal/wire/inner"
)

// serveRaw answers each request with the same bytes and keeps its connections open.
func serveRaw(t *testing.T, answer string) string {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				r := bufio.NewReader(c)
				for {
					if _, err := http.ReadRequest(r); err != nil {
						return
					}
					_, _ = c.Write([]byte(answer))
				}
			}()
		}
	}()
	return l.Addr().String()
}

// A server answers with a status that is none and says that the part did not run: whether it ran stays unknown, and the attempt ends at once.
func TestNoStatus(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "101", "600", "999", "+20"} {
		t.Run(status, func(t *testing.T) {
			address := serveRaw(t, "HTTP/1.1 "+status+" X\r\nRequest-Id: p1\r\nNot-Run: yes\r\nDraining: yes\r\nContent-Length: 0\r\n\r\n")
			closed := 0
			p := &connPool{address: address, client: &http.Client{Transport: &http.Transport{}}, close: func() { closed++ }}
			j := &job{part: inner.Part{ID: "p1"}, batch: &inner.Parts{}}
			began := time.Now()
			result, reply := p.run(context.Background(), j, 2*time.Second, 1<<10)
			if reply.OK || reply.Outcome != fault.OutcomeUnknown || result.Outcome != fault.OutcomeUnknown || result.Draining {
				t.Errorf("reply %+v, result %+v, want an unknown outcome", reply, result)
			}
			if took := time.Since(began); took > time.Second || closed != 1 {
				t.Errorf("ended after %v, closed %d times, want an end at once and closed connections", took, closed)
			}
		})
	}
}

// A server runs a part and answers with a status that others use for parts that have not run: without the word that it has not run, the outcome
// stays unknown, and a part that may run once is not sent again.
func TestFalsePromises(t *testing.T) {
	for _, status := range []string{"400", "408", "409", "421", "429", "503", "504"} {
		for _, word := range []string{"", "Not-Run: no\r\n", "Not-Run:\r\n"} {
			t.Run(status+" "+word, func(t *testing.T) {
				address := serveRaw(t, "HTTP/1.1 "+status+" X\r\nRequest-Id: p1\r\n"+word+"Content-Length: 0\r\n\r\n")
				p := &connPool{address: address, client: &http.Client{Transport: &http.Transport{}}, close: func() {}}
				j := &job{part: inner.Part{ID: "p1"}, batch: &inner.Parts{}}
				result, reply := p.run(context.Background(), j, 2*time.Second, 1<<10)
				if reply.OK || reply.Outcome != fault.OutcomeUnknown || result.Outcome != fault.OutcomeUnknown {
					t.Errorf("reply %+v, result %+v, want an unknown outcome", reply, result)
				}
			})
		}
	}
}
