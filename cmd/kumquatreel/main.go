// Command kumquatreel runs an entry VM of the query tier and speaks to one.
package main

import (
	"fmt"
	"os"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"kumquatreel.example/kumquatreel/internal/base/runner"
)

// version is the version that the program reports.
const version = "0.1.0"

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	return runner.Main("kumquatreel", []runner.Command{
		{
			Name: "serve", Short: "Run an entry VM",
			Long: "Runs the process of one entry VM until it gets SIGTERM or SIGINT, then shuts down without cutting a request.\n\nExample: kumquatreel serve --settings examples/registry/vm0.jsonc",
			Run:  &serveCommand{},
		},
		{
			Name: "edge", Short: "Run an entry VM on the users' platform",
			Long: "Runs the process of one entry VM that sends requests directly to backend servers, until it gets SIGTERM or SIGINT; SIGHUP reads the settings again.\n\nExample: kumquatreel edge --settings /etc/kumquatreel/settings.jsonc",
			Run:  &edgeCommand{},
		},
		{
			Name: "check", Short: "Check settings and documents",
			Long: "Names every fault in settings files, their template, the deploy file and published documents; exits with 1 when there is one.\n\nExample: kumquatreel check --kind configuration examples/registry/configuration.json",
			Run:  &checkCommand{},
		},
		{
			Name: "demo", Short: "Show the system at work",
			Long: "Runs a platform, backend servers and three entry VMs in this process over loopback and tells what happens.\n\nExample: kumquatreel demo",
			Run:  &demoCommand{},
		},
		{
			Name: "query", Short: "Send a request",
			Long: "Asks the directory for an address, sends one request and prints the answer.\n\nExample: KUMQUATREEL_KEY=secret-team0 kumquatreel query --seed 127.0.0.1:7402 --team team0 --route lookup",
			Run:  &queryCommand{},
		},
		{
			Name: "status", Short: "Show a VM's view",
			Long: "Prints what one VM says of itself and the fleet.\n\nExample: kumquatreel status --operator 127.0.0.1:7404",
			Run:  &statusCommand{},
		},
		{
			Name: "ready", Short: "Ask whether a VM is ready",
			Long: "Succeeds when a VM serves callers and holds its share of the fleet's work.\n\nExample: kumquatreel ready --operator 127.0.0.1:7404",
			Run:  &readyCommand{},
		},
		{
			Name: "explain", Short: "Explain a request",
			Long: "Prints what was done for one request: what was sent where, why, and what came back. With --operator it asks a VM that dispatches through owners; else it looks in the logs of edge VMs.\n\nExamples: kumquatreel explain --operator 127.0.0.1:7404 vm0-0a1b-1\nkumquatreel explain --log vm0.log --log vm1.log 9c41d07be2a35f68",
			Run:  &explainCommand{},
		},
		{
			Name: "version", Short: "Show the version",
			Long: "Prints the program's version.\n\nExample: kumquatreel version",
			Run:  &versionCommand{},
		},
	}, args, os.Stdout, os.Stderr)
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
