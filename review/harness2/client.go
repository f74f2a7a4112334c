//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// attempt is one request of a client, with what came of it.
type attempt struct {
	id string
	// kept says that the connection had carried a request before.
	kept   bool
	sent   time.Time
	took   time.Duration
	status int
	header http.Header
	body   string
	err    error
}

// caller is a client with one connection, which it keeps.
type caller struct {
	b       *bench
	address string
	conn    net.Conn
	br      *bufio.Reader
	uses    int
}

func (b *bench) newCaller(v *vm) *caller { return &caller{b: b, address: v.clientAddress()} }

func (c *caller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// send sends a request and waits for its answer as long as the client's time budget lasts.
func (c *caller) send(method, path, id, key, body string, budget time.Duration) attempt {
	a := attempt{id: id}
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			a.err = err
			return a
		}
		c.conn, c.br, c.uses = conn, bufio.NewReader(conn), 0
	}
	a.kept = c.uses > 0
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Remaining: %d\r\n", method, path, hostName, id, budget.Milliseconds())
	if key != "" {
		head += "Authorization: Bearer " + key + "\r\n"
	}
	if body != "" {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	a.sent = time.Now()
	_ = c.conn.SetDeadline(a.sent.Add(budget))
	if _, a.err = io.WriteString(c.conn, head+"\r\n"+body); a.err == nil {
		a.err = c.read(method, &a)
	}
	a.took = time.Since(a.sent)
	c.uses++
	if a.err != nil {
		c.b.log("%s %s %s sent to %s, kept connection %v, no answer after %v: %v", id, method, path, c.address, a.kept, ms(a.took), a.err)
		c.close()
		return a
	}
	c.b.log("%s %s %s sent to %s, kept connection %v, answered %d after %v %s", id, method, path, c.address, a.kept, a.status, ms(a.took), a.body)
	return a
}

func (c *caller) read(method string, a *attempt) error {
	resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
	if err != nil {
		return err
	}
	raw, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		return err
	}
	a.status, a.header = resp.StatusCode, resp.Header
	if a.status >= http.StatusMultipleChoices {
		a.body = fmt.Sprintf("%.60q", raw)
	}
	if resp.Close {
		c.close()
	}
	return nil
}
