package runner

import (
	"fmt"
	"io"
	"log"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"kumquatreel.example/kumquatreel/internal/base/sink"
)

// Exit codes of a program: success, an error of the command, and a wrong command line.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// Command is one command of a program. Run holds the command's options as fields with go-flags tags; Short and Long are its help.
type Command struct {
	Name  string
	Short string
	Long  string
	Run   flags.Commander
	// Daemon is set for a command that runs until it is told to end, whatever becomes of the readers of its output.
	Daemon bool
}

// Main runs the command named in args and returns the exit code. It writes help to out and errors to errs; those of a daemon, and what the standard
// library logs there, never wait for errs.
func Main(program string, commands []Command, args []string, out, errs io.Writer) int {
	parser := flags.NewNamedParser(program, flags.HelpFlag|flags.PassDoubleDash)
	for _, c := range commands {
		if _, err := parser.AddCommand(c.Name, c.Short, c.Long, c.Run); err != nil {
			_, _ = fmt.Fprintf(errs, "%s: %v\n", program, err)
			return ExitFailed
		}
	}
	closeErrs := func() {}
	defer func() { closeErrs() }()
	parser.CommandHandler = func(run flags.Commander, args []string) error {
		if slices.ContainsFunc(commands, func(c Command) bool { return c.Run == run && c.Daemon }) {
			errs, closeErrs = sink.Open(errs, nil)
			log.SetOutput(errs)
		}
		return run.Execute(args)
	}
	_, err := parser.ParseArgs(args)
	var usage *flags.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(out, usage.Message)
		return ExitOK
	case errors.As(err, &usage):
		_, _ = fmt.Fprintf(errs, "%s: %s\n", program, usage.Message)
		return ExitUsage
	}
	_, _ = fmt.Fprintf(errs, "%s: %v\n", program, err)
	return ExitFailed
}
