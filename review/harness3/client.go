//go:build review

package main

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

var serial atomic.Int64

// answer is what a client got.
type answer struct {
	id     string
	vm     string
	sent   time.Time
	took   time.Duration
	status int
	err    error
	body   []byte
	// signature is that of the server, if the answer has one.
	signature string
}

// send sends a request to a VM on a new connection and reads the answer.
func send(v *vm, method, path, key string, budget time.Duration) answer {
	a := answer{id: fmt.Sprintf("r%d", serial.Add(1)), vm: v.name, sent: time.Now()}
	req, err := http.NewRequest(method, "http://"+v.clients()+path, nil)
	must(err)
	req.Host = hostName
	req.Header.Set("X-Attempt-Id", a.id)
	req.Header.Set("X-Deadline-Remaining", fmt.Sprint(budget.Milliseconds()))
	req.Header.Set("Authorization", "Bearer "+key)
	c := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}, Timeout: budget + 3*time.Second}
	resp, err := c.Do(req)
	if err == nil {
		a.status, a.signature = resp.StatusCode, resp.Header.Get("X-Response-Signature")
		a.body, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
	}
	a.err, a.took = err, time.Since(a.sent)
	return a
}
