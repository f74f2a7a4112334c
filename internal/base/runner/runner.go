package runner

import (
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
)

// The exit codes of a program.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// Command is one command of a program; Run must be a flags.Commander with its options as fields.
type Command struct {
	Name  string
	Short string
	Long  string
	Run   flags.Commander
}

// Main runs the command that args name, writes help to out and errors to errs, and returns the exit code.
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
