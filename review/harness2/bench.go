//go:build review

package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"kumquatreel.example/kumquatreel/platform/stand"
)

// The ports of all VMs, each on its own loopback address.
const (
	portClients   = 7001
	portReady     = 7002
	portPeers     = 7003
	portDirectory = 7004
	portMetrics   = 7005
	portGossip    = 7006
	portStore     = 7000
	portServer    = 7000
	// hostStore is the host number of the store, hostServers that of the first server.
	hostStore   = 250
	hostServers = 100
	readyWithin = 20 * time.Second
	hostName    = "search.example"
	program     = "target/kumquatreel"
)

// bench is a small deployment: VMs as processes, the other parts as stand-ins.
type bench struct {
	trouble bool
	began   time.Time
	dir     string
	net     string
	store   *stand.Store

	mu     sync.Mutex
	record io.Writer
	closes []func()
	vms    []*vm
	config map[string]any
	serial int
}

// vm is the process of one VM.
type vm struct {
	name, ip string
	settings map[string]any
	path     string
	cmd      *exec.Cmd
	exited   chan struct{}
}

func newBench(record io.Writer, trouble bool) (*bench, error) {
	b := &bench{trouble: trouble, began: time.Now(), record: record, config: map[string]any{}}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	b.dir = dir
	b.closes = append(b.closes, func() { _ = os.RemoveAll(dir) })
	for try := range 50 {
		n := (os.Getpid() + 41*try) % (200 * 250)
		b.net = fmt.Sprintf("127.%d.%d", 20+n/250, n%250)
		store, end, err := stand.NewStore(fmt.Sprintf("%s.%d:%d", b.net, hostStore, portStore))
		if err != nil {
			continue
		}
		b.store = store
		b.closes = append(b.closes, end)
		b.log("trouble %v", trouble)
		return b, nil
	}
	b.close()
	return nil, errors.New("no free loopback network")
}

// log writes a line to the record.
func (b *bench) log(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	line := strings.ReplaceAll(fmt.Sprintf(format, args...), b.net+".", "loopback.")
	_, _ = fmt.Fprintf(b.record, "%8.3f %s\n", time.Since(b.began).Seconds(), line)
}

func (b *bench) host(n int) string { return fmt.Sprintf("%s.%d", b.net, n) }

func (b *bench) atEnd(f func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closes = append(b.closes, f)
}

func (b *bench) close() {
	for _, v := range b.vms {
		v.kill()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(b.dir))
	}
	for i := len(b.closes) - 1; i >= 0; i-- {
		b.closes[i]()
	}
}

// publish stores the configuration with the next version and returns the time of its acknowledgement.
func (b *bench) publish() (time.Time, error) {
	b.serial += 3
	b.config["version"] = b.serial
	_, err := b.store.Put("op/config", b.config)
	b.log("configuration %d acknowledged", b.serial)
	return time.Now(), err
}

// addVMs adds VMs with the settings that the template makes of those of a small deployment.
func (b *bench) addVMs(n int, zones ...string) {
	seeds := []string{}
	for i := range min(3, n) {
		seeds = append(seeds, fmt.Sprintf("%s:%d", b.host(1+i), portPeers))
	}
	for i := range n {
		ip := b.host(1 + i)
		at := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
		name := fmt.Sprintf("front-%d", i)
		b.vms = append(b.vms, &vm{name: name, ip: ip, path: filepath.Join(b.dir, name+".jsonc"), settings: map[string]any{
			"name": name, "domain": zones[i%len(zones)], "region": "here", "address": ip, "callers": at(portClients), "ready": at(portReady),
			"peers": at(portPeers), "directory": at(portDirectory), "metrics": at(portMetrics), "gossipPort": portGossip, "seeds": seeds,
			"store": fmt.Sprintf("%s:%d", b.host(hostStore), portStore), "cpuShare": 0.4, "maxOpenFiles": 4100, "memoryMegabytes": 284,
			"drainMillis": 3000, "serverHeartbeatMillis": 1200, "graceSeconds": 6, "repeatRatio": 0.2, "repeatWindowSeconds": 10,
			"repeatSlack": 58, "rateOvershoot": 0.25, "rateSlack": 20, "firstStart": true, "keepSecondsMost": 5, "logLevel": "info",
		}})
	}
}

// start starts the process of a VM with the command of the deploy file.
func (b *bench) start(v *vm) error {
	raw, err := json.Marshal(v.settings)
	if err != nil {
		return err
	}
	if err := os.WriteFile(v.path, raw, 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(b.dir, v.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	v.cmd = exec.Command(program, "edge")
	v.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + b.dir, "KUMQUATREEL_CONFIG=" + v.path}
	v.cmd.Stdout, v.cmd.Stderr = out, out
	if err := v.cmd.Start(); err != nil {
		return err
	}
	_ = out.Close()
	v.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(v.cmd, v.exited)
	b.log("%s started", v.name)
	return nil
}

// startAll starts all VMs and waits until the platform finds them ready.
func (b *bench) startAll() error {
	for _, v := range b.vms {
		if err := b.start(v); err != nil {
			return err
		}
	}
	return b.awaitReady(b.vms...)
}

func (b *bench) awaitReady(vms ...*vm) error {
	for _, v := range vms {
		end := time.Now().Add(readyWithin)
		for !v.ready() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", v.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
		b.log("%s ready", v.name)
	}
	return nil
}

func (v *vm) ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/-/ready", v.ip, portReady), nil)
	if err != nil {
		return false
	}
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// running reports whether the process has not exited.
func (v *vm) running() bool {
	if v.exited == nil {
		return false
	}
	select {
	case <-v.exited:
		return false
	default:
		return true
	}
}

func (v *vm) kill() {
	if v.running() {
		_ = v.cmd.Process.Kill()
		<-v.exited
	}
}

func (v *vm) clientAddress() string { return net.JoinHostPort(v.ip, fmt.Sprint(portClients)) }
