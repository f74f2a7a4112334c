// Command kumquatreel runs an entry VM of the query tier and speaks to one.
package main

import (
	"fmt"
	"os"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
)

// version is the version that the program reports.
const version = "0.1.0"

const (
	exitFailed = 1
	exitUsage  = 2
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	parser := flags.NewNamedParser("kumquatreel", flags.HelpFlag|flags.PassDoubleDash)
	for _, c := range []struct {
		name, short, long string
		command           any
	}{
		{"serve", "Run an entry VM", "Runs the process of one entry VM until it gets SIGTERM or SIGINT, then shuts down without cutting a request.\n\nExample: kumquatreel serve --settings examples/registry/vm0.jsonc", &serveCommand{}},
		{"check", "Check settings and documents", "Names every fault in settings files and published documents; exits with 1 when there is one.\n\nExample: kumquatreel check --kind configuration examples/registry/configuration.json", &checkCommand{}},
		{"demo", "Show the system at work", "Runs a platform, backend servers and three entry VMs in this process over loopback and tells what happens.\n\nExample: kumquatreel demo", &demoCommand{}},
		{"query", "Send a request", "Asks the directory for an address, sends one request and prints the answer.\n\nExample: KUMQUATREEL_KEY=secret-team0 kumquatreel query --seed 127.0.0.1:7402 --team team0 --route lookup", &queryCommand{}},
		{"status", "Show a VM's view", "Prints what one VM says of itself and the fleet.\n\nExample: kumquatreel status --operator 127.0.0.1:7404", &statusCommand{}},
		{"ready", "Ask whether a VM is ready", "Succeeds when a VM serves callers and holds its share of the fleet's work.\n\nExample: kumquatreel ready --operator 127.0.0.1:7404", &readyCommand{}},
		{"explain", "Explain a request", "Prints what a VM did for one recent request: what was sent where, why, and what came back.\n\nExample: kumquatreel explain --operator 127.0.0.1:7404 vm0-0a1b-1", &explainCommand{}},
		{"version", "Show the version", "Prints the program's version.\n\nExample: kumquatreel version", &versionCommand{}},
	} {
		if _, err := parser.AddCommand(c.name, c.short, c.long, c.command); err != nil {
			fmt.Fprintln(os.Stderr, "kumquatreel:", err)
			return exitFailed
		}
	}
	_, err := parser.ParseArgs(args)
	return exitCode(err)
}

func exitCode(err error) int {
	var usage *flags.Error
	switch {
	case err == nil:
		return 0
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Println(usage.Message)
		return 0
	case errors.As(err, &usage):
		fmt.Fprintln(os.Stderr, "kumquatreel:", usage.Message)
		return exitUsage
	}
	fmt.Fprintln(os.Stderr, "kumquatreel:", err)
	return exitFailed
}

func newLogger(level string) (*log.Logger, error) {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		return nil, errors.Errorf("log level: %w", err)
	}
	return log.NewWithOptions(os.Stderr, log.Options{Level: parsed, ReportTimestamp: true, Formatter: log.LogfmtFormatter}), nil
}

type versionCommand struct{}

// Execute prints the version.
func (*versionCommand) Execute([]string) error {
	fmt.Println("kumquatreel", version)
	return nil
}
