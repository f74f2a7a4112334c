//go:build review

package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"kumquatreel.example/kumquatreel/platform/stand"
)

const (
	host    = "search.example"
	key     = "key-of-tailors"
	program = "target/kumquatreel"
	// Ports of every VM, each of which has a loopback address of its own.
	portClients, portReady, portPeers, portDirectory, portMetrics, portGossip = 7001, 7002, 7003, 7004, 7005, 7006
	portStore, portServer                                                     = 7000, 7000
	netTries                                                                  = 50
	readyTimeout                                                              = 15 * time.Second
)

// world holds the stand-ins and the VMs of one case.
type world struct {
	net     string
	dir     string
	folder  string
	store   *stand.Store
	began   time.Time
	version int

	mu      sync.Mutex
	out     *bufio.Writer
	file    *os.File
	vms     []*vm
	cleanup []func()
	ended   bool
	serial  atomic.Int64
	client  *http.Client
}

// vm is the process of one VM.
type vm struct {
	cmd  *exec.Cmd
	done chan struct{}
}

// newWorld opens the record of a case and starts the store on a loopback network of its own.
func newWorld(folder string) (*world, func(), error) {
	dir, err := os.MkdirTemp("", "reviewcase")
	if err != nil {
		return nil, nil, err
	}
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, nil, err
	}
	w := &world{
		dir: dir, folder: folder, began: time.Now(), file: f, out: bufio.NewWriter(f),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
	for range netTries {
		w.net = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		store, stop, err := stand.NewStore(fmt.Sprintf("%s.250:%d", w.net, portStore))
		if err == nil {
			w.store = store
			w.cleanup = append(w.cleanup, stop)
			return w, w.end, nil
		}
	}
	w.end()
	return nil, nil, errors.New("no free loopback network")
}

// end stops all processes and stand-ins and closes the record.
func (w *world) end() {
	w.mu.Lock()
	if w.ended {
		w.mu.Unlock()
		return
	}
	w.ended = true
	w.mu.Unlock()
	for _, v := range w.vms {
		v.kill()
	}
	for _, f := range w.cleanup {
		f()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs in", w.dir)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.out.Flush()
	_ = w.file.Close()
}

// record adds a line to the record, with the time since the start.
func (w *world) record(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.out, "%8.3f "+format+"\n", append([]any{time.Since(w.began).Seconds()}, args...)...)
}

func (w *world) address(vm int) string { return fmt.Sprintf("%s.%d", w.net, 1+vm) }

func (w *world) serverAddress(n int) string { return fmt.Sprintf("%s.%d:%d", w.net, 100+n, portServer) }

// put writes a value to the store as the operator or a server does.
func (w *world) put(key string, value any) error {
	revision, err := w.store.Put(key, value)
	w.record("store acknowledges %s at revision %d", key, revision)
	return err
}

// startVM starts the program of a VM with the command of the deploy file.
func (w *world) startVM(i int, zone string) error {
	ip := w.address(i)
	at := func(port int) string { return ip + ":" + strconv.Itoa(port) }
	settings := map[string]any{
		"name": fmt.Sprintf("vm%d", i), "domain": zone, "region": "here", "address": ip, "callers": at(portClients), "ready": at(portReady),
		"peers": at(portPeers), "directory": at(portDirectory), "metrics": at(portMetrics), "gossipPort": portGossip,
		"seeds": []string{w.address(0) + ":" + strconv.Itoa(portPeers)}, "store": fmt.Sprintf("%s.250:%d", w.net, portStore),
		"cpuShare": 0.4, "maxOpenFiles": 4100, "drainMillis": 3000, "serverHeartbeatMillis": 1200, "graceSeconds": 6,
		"repeatRatio": 0.2, "repeatWindowSeconds": 10, "repeatSlack": 58, "keepSecondsMost": 5, "logLevel": "info",
	}
	text, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	path := filepath.Join(w.dir, fmt.Sprintf("vm%d.jsonc", i))
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(w.dir, fmt.Sprintf("vm%d.log", i)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(program, "edge")
	cmd.Env = append(os.Environ(), "KUMQUATREEL_CONFIG="+path)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	v := &vm{cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(v.done)
	}()
	w.vms = append(w.vms, v)
	w.record("VM %d started", i)
	return nil
}

func (v *vm) kill() {
	_ = v.cmd.Process.Signal(syscall.SIGCONT)
	_ = v.cmd.Process.Kill()
	<-v.done
}

// startVMs starts VMs, in the given zones, and waits until all are ready.
func (w *world) startVMs(zones ...string) error {
	for i, zone := range zones {
		if err := w.startVM(i, zone); err != nil {
			return err
		}
	}
	for i := range zones {
		if err := w.awaitReady(i); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) awaitReady(i int) error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := w.client.Get(fmt.Sprintf("http://%s:%d/-/ready", w.address(i), portReady))
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			w.record("VM %d is ready", i)
			return nil
		}
	}
	return fmt.Errorf("VM %d is not ready after %v", i, readyTimeout)
}

// answer is what a client receives; status 0 stands for a connection that ended without a complete answer.
type answer struct {
	id     string
	vm     int
	status int
	body   string
	sent   time.Time
	took   time.Duration
}

// send makes one request to a VM, as a client with kept connections does, and records it.
func (w *world) send(vm int, method, path string, body []byte, budget time.Duration) answer {
	a := answer{id: "r" + strconv.FormatInt(w.serial.Add(1), 10), vm: vm, sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), budget)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", w.address(vm), portClients, path), bytes.NewReader(body))
	if err != nil {
		return a
	}
	req.GetBody = nil
	req.Host = host
	req.Header.Set("X-Attempt-Id", a.id)
	req.Header.Set("X-Deadline-Remaining", strconv.FormatInt(budget.Milliseconds(), 10))
	req.Header.Set("Authorization", "Bearer "+key)
	w.record("client sends %s %s %s to VM %d", a.id, method, path, vm)
	resp, err := w.client.Transport.RoundTrip(req)
	if err == nil {
		var raw []byte
		raw, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err == nil {
			a.status, a.body = resp.StatusCode, string(raw)
		}
	}
	a.took = time.Since(a.sent)
	w.record("client gets %s status %d error %v after %v", a.id, a.status, err, a.took.Round(time.Millisecond))
	return a
}

// load sends bursts of requests at a rate until a time, each without waiting for the others, and returns the answers.
func (w *world) load(perSecond float64, burst int, until time.Time, send func() answer) []answer {
	var mu sync.Mutex
	var out []answer
	var wg sync.WaitGroup
	for next := time.Now(); next.Before(until); next = next.Add(time.Duration(float64(time.Second) / perSecond)) {
		time.Sleep(time.Until(next))
		for range burst {
			wg.Go(func() {
				a := send()
				mu.Lock()
				defer mu.Unlock()
				out = append(out, a)
			})
		}
	}
	wg.Wait()
	return out
}

// listenServer listens for a backend server.
func (w *world) listenServer(n int) (net.Listener, error) {
	l, err := net.Listen("tcp", w.serverAddress(n))
	if err == nil {
		w.cleanup = append(w.cleanup, func() { _ = l.Close() })
	}
	return l, err
}
