package child

import (
	"context"
	"os/exec"
	"syscall"
)

// Command returns a command that runs a program until it ends, ctx ends or this process does.
func Command(ctx context.Context, program string, args ...string) *exec.Cmd {
	cmd := exec.CommandContext(ctx, program, args...)
	// The kernel sends the signal when the thread that has started the process ends. The runtime keeps its threads.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return cmd
}
