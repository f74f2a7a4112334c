package runner

import (
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
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
}

// Main runs the command named in args and returns the exit code. It writes help to out and errors to errs.
func Main(program string, commands []Command, args []string, out, errs io.Writer) int {
	parser := flags.NewNamedParser(program, flags.HelpFlag|flags.PassDoubleDash)
	for _, c := range commands {
		if _, err := parser.AddCommand(c.Name, c.Short, c.Long, c.Run); err != nil {
			_, _ = fmt.Fprintf(errs, "%s: %v\n", program, err)
			return ExitFailed
		}
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
