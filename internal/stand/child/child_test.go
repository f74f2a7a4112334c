package child_test

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"kumquatreel.example/kumquatreel/internal/stand/child"
)

// parentEnv makes the test's program the parent of a child that runs for a minute.
const parentEnv = "KUMQUATREEL_TEST_PARENT"

func TestMain(m *testing.M) {
	if os.Getenv(parentEnv) == "" {
		os.Exit(m.Run())
	}
	cmd := child.Command(context.Background(), "sleep", "60")
	if err := cmd.Start(); err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	fmt.Println(cmd.Process.Pid)
	_ = cmd.Wait()
}

// Guards against programs under test that outlive a test that is killed.
func TestEndsWithParent(t *testing.T) {
	parent := exec.CommandContext(t.Context(), os.Args[0])
	parent.Env = append(os.Environ(), parentEnv+"=1")
	out, err := parent.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := parent.Start(); err != nil {
		t.Fatal(err)
	}
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	pid, err := strconv.Atoi(strings.TrimSpace(line))
	if err != nil {
		t.Fatal(err)
	}
	if err := parent.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	_ = parent.Wait()
	for end := time.Now().Add(5 * time.Second); running(pid); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			_ = syscall.Kill(pid, syscall.SIGKILL)
			t.Fatal("the child runs 5 s after its parent was killed")
		}
	}
}

// running reports whether a process runs: it is there, and not only until its exit status is read.
func running(pid int) bool {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return false
	}
	state := strings.Fields(string(raw[strings.LastIndexByte(string(raw), ')')+1:]))[0]
	return state != "Z" && state != "X"
}
