//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"kumquatreel.example/kumquatreel/platform/stand"
)

const (
	hostName = "search.example"
	// The ports of a VM, the same on all.
	portClients, portReady, portPeers, portDirectory, portMetrics, portGossip = 7501, 7502, 7503, 7504, 7505, 7506
	portStore, portServer                                                     = 7500, 7500
	// startTime is how long a VM may take to be ready.
	startTime = 15 * time.Second
)

// fleet holds the stand-ins and the VMs.
type fleet struct {
	b       *bench
	net     string
	store   *stand.Store
	ledger  *stand.Ledger
	servers map[string]*stand.Server
	config  map[string]any
	version int
	vms     []*vm
}

// vm is one VM: its process, and the proxies through which it reaches the store and is reached by other VMs.
type vm struct {
	name, ip, zone string
	// behind is the address at which the VM itself listens for other VMs and at which it finds the store.
	behind       string
	settings     string
	process      *exec.Cmd
	exited       chan struct{}
	store, peers *proxy
}

// newFleet starts a store on a loopback network of its own.
func newFleet(b *bench) *fleet {
	f := &fleet{b: b, ledger: stand.NewLedger(), servers: make(map[string]*stand.Server)}
	for i := range 100 {
		f.net = fmt.Sprintf("127.%d.%d", 20+(os.Getpid()+i)%200, (os.Getpid()/200+7*i)%250)
		store, end, err := stand.NewStore(fmt.Sprintf("%s.250:%d", f.net, portStore))
		if err == nil {
			f.store = store
			b.onEnd(end)
			return f
		}
	}
	panic("no free address for the store")
}

// addServer starts a backend server and publishes it.
func (f *fleet) addServer(id, service, zone string, number, slots int) *stand.Server {
	s, end, err := stand.NewServer(fmt.Sprintf("%s.%d:%d", f.net, number, portServer), id, service, zone, slots, f.ledger)
	must(err)
	f.b.onEnd(end)
	f.servers[id] = s
	f.putServer(id, "ready")
	return s
}

func (f *fleet) putServer(id, state string) {
	k, v := f.servers[id].Entry(state)
	_, err := f.store.Put(k, v)
	must(err)
}

// publish stores the configuration as a new version and returns when that was acknowledged.
func (f *fleet) publish(what string) time.Time {
	f.version += 3
	f.config["version"] = f.version
	_, err := f.store.Put("op/config", f.config)
	must(err)
	f.b.note("configuration %d acknowledged: %s", f.version, what)
	return time.Now()
}

// addVM starts a VM of a zone. The first ones are the seeds. All its connections to the store and from other VMs go through proxies.
func (f *fleet) addVM(i int, zone string) *vm {
	v := &vm{name: fmt.Sprintf("vm%d", i), ip: fmt.Sprintf("%s.%d", f.net, 1+i), zone: zone}
	v.behind = fmt.Sprintf("%s.%d", f.net, 51+i)
	v.store = f.b.newProxy(fmt.Sprintf("%s:%d", v.behind, portStore), fmt.Sprintf("%s.250:%d", f.net, portStore))
	v.peers = f.b.newProxy(fmt.Sprintf("%s:%d", v.ip, portPeers), fmt.Sprintf("%s:%d", v.behind, portPeers))
	f.writeSettings(v, true)
	f.vms = append(f.vms, v)
	f.startProcess(v)
	f.b.onEnd(func() { f.noteFaults(v) })
	return v
}

// writeSettings writes the settings of a VM. first says that the whole fleet starts for the first time.
func (f *fleet) writeSettings(v *vm, first bool) {
	var seeds []string
	for j := range 3 {
		seeds = append(seeds, fmt.Sprintf("%s.%d:%d", f.net, 1+j, portPeers))
	}
	at := func(port int) string { return fmt.Sprintf("%s:%d", v.ip, port) }
	// As platform/settings.jsonc renders the settings of a small deployment.
	text, err := json.MarshalIndent(map[string]any{
		"name": v.name, "domain": v.zone, "region": "here", "address": v.ip, "callers": at(portClients), "ready": at(portReady),
		"peers": fmt.Sprintf("%s:%d", v.behind, portPeers), "directory": at(portDirectory), "metrics": at(portMetrics), "gossipPort": portGossip,
		"seeds": seeds, "store": fmt.Sprintf("%s:%d", v.behind, portStore), "cpuShare": 0.4, "maxOpenFiles": 4100, "memoryMegabytes": 284,
		"drainMillis": 3000, "serverHeartbeatMillis": 1200, "graceSeconds": 6, "repeatRatio": 0.2, "repeatWindowSeconds": 10,
		"repeatSlack": 58, "rateOvershoot": 0.25, "rateSlack": 20, "firstStart": first, "keepSecondsMost": 5, "logLevel": "info",
	}, "", "  ")
	must(err)
	v.settings = filepath.Join(f.b.temp, v.name+".jsonc")
	must(os.WriteFile(v.settings, text, 0o600))
}

// startProcess starts the process of a VM with the command of the deploy file.
func (f *fleet) startProcess(v *vm) {
	out, err := os.OpenFile(filepath.Join(f.b.temp, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	cmd := exec.Command("target/kumquatreel", "edge")
	cmd.Env = append(os.Environ(), "KUMQUATREEL_CONFIG="+v.settings)
	cmd.Stdout, cmd.Stderr = out, out
	must(cmd.Start())
	exited := make(chan struct{})
	v.process, v.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(exited)
	}()
	f.b.onEnd(func() {
		_ = cmd.Process.Signal(syscall.SIGKILL)
		<-exited
	})
}

// waitReady waits until all VMs are ready.
func (f *fleet) waitReady() {
	for _, v := range f.vms {
		end := time.Now().Add(startTime)
		for !isReady(v) {
			if time.Now().After(end) {
				panic(v.name + " is not ready:\n" + f.log(v))
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	f.b.note("%d VMs are ready", len(f.vms))
}

func isReady(v *vm) bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get(fmt.Sprintf("http://%s:%d/-/ready", v.ip, portReady))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// log returns what a VM has logged.
func (f *fleet) log(v *vm) string {
	raw, err := os.ReadFile(filepath.Join(f.b.temp, v.name+".log"))
	must(err)
	return string(raw)
}

// watchers returns the VMs that watch the store now, by their last log line about it.
func (f *fleet) watchers() []*vm {
	var out []*vm
	for _, v := range f.vms {
		watching := false
		for line := range strings.SplitSeq(f.log(v), "\n") {
			switch {
			case strings.Contains(line, `"watching the store"`):
				watching = true
			case strings.Contains(line, `"other VMs watch the store"`), strings.Contains(line, `"store cannot be read"`):
				watching = false
			}
		}
		if watching {
			out = append(out, v)
		}
	}
	return out
}

// noteLogs copies the lines of the VMs' logs that contain one of some texts to the record.
func (f *fleet) noteLogs(texts ...string) {
	for _, v := range f.vms {
		for line := range strings.SplitSeq(f.log(v), "\n") {
			for _, t := range texts {
				if strings.Contains(line, t) {
					f.b.note("log of %s: %s", v.name, line)
					break
				}
			}
		}
	}
}

// noteFaults copies what a process says of faults of its own to the record.
func (f *fleet) noteFaults(v *vm) {
	for line := range strings.SplitSeq(f.log(v), "\n") {
		for _, text := range []string{"panic", "fatal error", "DATA RACE"} {
			if strings.Contains(line, text) {
				f.b.note("log of %s: %s", v.name, line)
			}
		}
	}
}

// names returns the names of VMs.
func names(vms []*vm) string {
	var out []string
	for _, v := range vms {
		out = append(out, v.name)
	}
	return strings.Join(out, ", ")
}

// portOf is used by clients: it returns the address of a VM for clients.
func (v *vm) clients() string { return net.JoinHostPort(v.ip, fmt.Sprint(portClients)) }
