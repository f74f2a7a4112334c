package main

import (
	"bytes"
	"context"
	"errors"
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

	"kumquatreel.example/kumquatreel/internal/stand/child"
	"kumquatreel.example/kumquatreel/internal/wire/netio"
)

// portsPerScript is the number of consecutive ports reserved for one script.
const portsPerScript = 120

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
			for i := range portsPerScript {
				env.Setenv(fmt.Sprintf("PORT%d", i), strconv.Itoa(port+i))
			}
			env.Setenv("PATH", filepath.Dir(lab)+string(os.PathListSeparator)+env.Getenv("PATH"))
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"start":    scriptStart,
			"start-to": scriptStartTo,
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

// buildLab builds kumquatlab, whose stand-ins the scripts start beside the program under test.
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

// freePorts returns the first of portsPerScript consecutive ports on which nothing listens.
func freePorts(t *testing.T) int {
	t.Helper()
	for ; nextPort < 32000; nextPort += portsPerScript {
		if allFree(nextPort) {
			nextPort += portsPerScript
			return nextPort - portsPerScript
		}
	}
	t.Fatal("no consecutive free ports from 21000 to 32000")
	return 0
}

func allFree(port int) bool {
	for i := range portsPerScript {
		l, err := netio.TCP{}.Listen("127.0.0.1:" + strconv.Itoa(port+i))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// scriptStart runs a program in the background under a name, until the script ends: start vm0 kumquatreel serve ….
func scriptStart(ts *testscript.TestScript, _ bool, args []string) {
	log, err := os.Create(ts.MkAbs(args[0] + ".log"))
	ts.Check(err)
	startProgram(ts, args, log, func() { _ = log.Close() })
}

// scriptStartTo is scriptStart for a program the reader of whose output is away or stuck: start-to gone vm0 kumquatreel serve ….
func scriptStartTo(ts *testscript.TestScript, _ bool, args []string) {
	kind, err := child.OutputString(args[0])
	ts.Check(err)
	out, closeOut, err := child.OpenOutput(kind)
	ts.Check(err)
	startProgram(ts, args[1:], out, closeOut)
}

// startProgram runs args[1] with the rest of args as its arguments, under the name args[0], until the script ends.
func startProgram(ts *testscript.TestScript, args []string, out *os.File, closeOut func()) {
	path, err := exec.LookPath(args[1])
	if err != nil {
		path = filepath.Join(filepath.SplitList(ts.Getenv("PATH"))[0], args[1])
	}
	cmd := child.Command(context.Background(), path, args[2:]...)
	cmd.Dir = ts.MkAbs(".")
	cmd.Stdout, cmd.Stderr = out, out
	exit := ts.MkAbs(args[0] + ".exit")
	if err := os.Remove(exit); !errors.Is(err, os.ErrNotExist) {
		ts.Check(err)
	}
	ts.Check(cmd.Start())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = cmd.Wait()
		_ = os.WriteFile(exit, []byte(cmd.ProcessState.String()+"\n"), 0o600)
	}()
	ts.Check(os.WriteFile(ts.MkAbs(args[0]+".pid"), []byte(strconv.Itoa(cmd.Process.Pid)), 0o600))
	ts.Defer(func() {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		<-ended
		closeOut()
	})
}

// scriptGone waits, for at most 1 min, until the named background process has ended, and its file vm0.exit says how: gone vm0.
func scriptGone(ts *testscript.TestScript, _ bool, args []string) {
	for deadline := time.Now().Add(time.Minute); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if raw, err := os.ReadFile(ts.MkAbs(args[0] + ".exit")); err == nil && len(raw) > 0 {
			return
		}
	}
	ts.Fatalf("process %s did not end within 1 min", args[0])
}

// scriptSend sends a request, with a file as its body if one is given, to a stand-in's control address:
// lab-put ADDRESS PATH FILE.
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

// scriptPause waits for a duration: pause 2s.
func scriptPause(ts *testscript.TestScript, _ bool, args []string) {
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	time.Sleep(d)
}

// scriptSignal sends a signal to the named background process: freeze vm1.
func scriptSignal(sig syscall.Signal) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		raw, err := os.ReadFile(ts.MkAbs(args[0] + ".pid"))
		ts.Check(err)
		pid, err := strconv.Atoi(string(raw))
		ts.Check(err)
		ts.Check(syscall.Kill(pid, sig))
	}
}

// scriptReplace replaces the first occurrence of a text in a file: replace FILE OLD NEW.
func scriptReplace(ts *testscript.TestScript, _ bool, args []string) {
	file := ts.MkAbs(args[0])
	raw, err := os.ReadFile(file)
	ts.Check(err)
	ts.Check(os.WriteFile(file, []byte(strings.Replace(string(raw), args[1], args[2], 1)), 0o600))
}

// scriptUntil repeats a program until it succeeds, for at most 30 s: until kumquatreel query ….
func scriptUntil(ts *testscript.TestScript, neg bool, args []string) {
	deadline := time.Now().Add(30 * time.Second)
	for time.Now().Before(deadline) {
		if err := ts.Exec(args[0], args[1:]...); (err == nil) != neg {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	ts.Fatalf("%v did not have the expected result within 30 s", args)
}
