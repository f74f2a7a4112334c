package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"kumquatreel.example/kumquatreel/internal/wire/netio"
)

// portsByScript is how many consecutive ports one script may use.
const portsByScript = 120

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"kumquatreel": main,
	})
}

func TestScripts(t *testing.T) {
	lab := buildLab(t)
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			port := freePorts(t)
			env.Setenv("PORT", strconv.Itoa(port))
			for i := range portsByScript {
				env.Setenv(fmt.Sprintf("PORT%d", i), strconv.Itoa(port+i))
			}
			env.Setenv("PATH", filepath.Dir(lab)+string(os.PathListSeparator)+env.Getenv("PATH"))
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"start":    scriptStart,
			"pause":    scriptPause,
			"resume":   scriptSignal(syscall.SIGCONT),
			"freeze":   scriptSignal(syscall.SIGSTOP),
			"end":      scriptSignal(syscall.SIGTERM),
			"crash":    scriptSignal(syscall.SIGKILL),
			"replace":  scriptReplace,
			"until":    scriptUntil,
			"gone":     scriptGone,
			"lab-post": scriptSend(http.MethodPost),
			"lab-put":  scriptSend(http.MethodPut),
		},
	})
}

// buildLab builds the stand-ins' program, which scripts start beside the program under test.
func buildLab(t *testing.T) string {
	t.Helper()
	out := filepath.Join(t.TempDir(), "kumquatlab")
	raw, err := exec.CommandContext(t.Context(), "go", "build", "-o", out, "../kumquatlab").CombinedOutput()
	if err != nil {
		t.Fatalf("build kumquatlab: %v\n%s", err, raw)
	}
	return out
}

var nextPort = 21000

// freePorts finds a run of ports that nobody listens on.
func freePorts(t *testing.T) int {
	t.Helper()
	for ; nextPort < 32000; nextPort += portsByScript {
		if allFree(nextPort) {
			nextPort += portsByScript
			return nextPort - portsByScript
		}
	}
	t.Fatal("no run of free ports")
	return 0
}

func allFree(port int) bool {
	for i := range portsByScript {
		l, err := netio.TCP{}.Listen("127.0.0.1:" + strconv.Itoa(port+i))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// scriptStart runs a program in the background under a name until the script ends, as in: start vm0 kumquatreel serve ….
func scriptStart(ts *testscript.TestScript, _ bool, args []string) {
	path, err := exec.LookPath(args[1])
	if err != nil {
		path = filepath.Join(filepath.SplitList(ts.Getenv("PATH"))[0], args[1])
	}
	log, err := os.Create(ts.MkAbs(args[0] + ".log"))
	ts.Check(err)
	cmd := exec.CommandContext(context.Background(), path, args[2:]...)
	cmd.Dir = ts.MkAbs(".")
	cmd.Stdout, cmd.Stderr = log, log
	ts.Check(cmd.Start())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = cmd.Wait()
	}()
	ts.Check(os.WriteFile(ts.MkAbs(args[0]+".pid"), []byte(strconv.Itoa(cmd.Process.Pid)), 0o600))
	ts.Defer(func() {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		<-ended
		_ = log.Close()
	})
}

// scriptGone waits until the background process of a name has ended, as in: gone vm0.
func scriptGone(ts *testscript.TestScript, _ bool, args []string) {
	raw, err := os.ReadFile(ts.MkAbs(args[0] + ".pid"))
	ts.Check(err)
	pid, err := strconv.Atoi(string(raw))
	ts.Check(err)
	for limit := time.Now().Add(time.Minute); time.Now().Before(limit); time.Sleep(50 * time.Millisecond) {
		if syscall.Kill(pid, 0) != nil {
			return
		}
	}
	ts.Fatalf("%s has not ended", args[0])
}

// scriptSend sends a file, or nothing, to a stand-in's switch, as in: lab-put ADDRESS PATH FILE.
func scriptSend(method string) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		var body []byte
		if len(args) > 2 {
			raw, err := os.ReadFile(ts.MkAbs(args[2]))
			ts.Check(err)
			body = raw
		}
		req, err := http.NewRequestWithContext(context.Background(), method, "http://"+args[0]+args[1], bytes.NewReader(body))
		ts.Check(err)
		resp, err := http.DefaultClient.Do(req)
		ts.Check(err)
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			ts.Fatalf("%s answered %s", args[1], resp.Status)
		}
	}
}

// scriptPause waits for a span, as in: pause 2s.
func scriptPause(ts *testscript.TestScript, _ bool, args []string) {
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	time.Sleep(d)
}

// scriptSignal sends a signal to the background process of a name, as in: freeze vm1.
func scriptSignal(sig syscall.Signal) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		raw, err := os.ReadFile(ts.MkAbs(args[0] + ".pid"))
		ts.Check(err)
		pid, err := strconv.Atoi(string(raw))
		ts.Check(err)
		ts.Check(syscall.Kill(pid, sig))
	}
}

// scriptReplace replaces the first text in a file by the second, as in: replace file old new.
func scriptReplace(ts *testscript.TestScript, _ bool, args []string) {
	file := ts.MkAbs(args[0])
	raw, err := os.ReadFile(file)
	ts.Check(err)
	ts.Check(os.WriteFile(file, []byte(strings.Replace(string(raw), args[1], args[2], 1)), 0o600))
}

// scriptUntil repeats a program until it succeeds, for at most 30 s, as in: until kumquatreel query ….
func scriptUntil(ts *testscript.TestScript, neg bool, args []string) {
	limit := time.Now().Add(30 * time.Second)
	for time.Now().Before(limit) {
		if err := ts.Exec(args[0], args[1:]...); (err == nil) != neg {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	ts.Fatalf("%v did not come about in time", args)
}
