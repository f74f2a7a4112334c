// Command kumquatlab runs the stand-ins as processes of their own, loads a
// deployment and measures the system.
package main

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
)

const (
	exitFailed = 1
	exitUsage  = 2
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	parser := flags.NewNamedParser("kumquatlab", flags.HelpFlag|flags.PassDoubleDash)
	for _, c := range []struct {
		name, short, long string
		command           any
	}{
		{"example", "Write an example deployment", "Writes the configuration, the list of VMs and the settings of an example.\n\nExample: kumquatlab example --deployment wheels --dir examples/wheels", &exampleCommand{}},
		{"platform", "Run the platform stand-in", "Serves published documents, and switches for outages and staleness on a second address.\n\nExample: kumquatlab platform --dir examples/registry --listen 127.0.0.1:7400 --control 127.0.0.1:7401", &platformCommand{}},
		{"backend", "Run backend server stand-ins", "Serves the backend servers of an example deployment until a signal.\n\nExample: kumquatlab backend --deployment registry", &backendCommand{}},
		{"run", "Run a whole example", "Runs platform, backend servers and entry VMs of an example in one process until a signal.\n\nExample: kumquatlab run --deployment registry", &runCommand{}},
		{"measure", "Measure the system", "Runs measures and prints each figure beside its target and its baselines; 'all' runs every one.\n\nExample: kumquatlab measure refuse tail --seed 1 --report report", &measureCommand{}},
		{"load", "Load a deployment", "Sends requests at a fixed rate for a bounded time and prints what came back.\n\nExample: kumquatlab load --seed-address 127.0.0.1:7402 --team team0 --route lookup --rate 20 --for 5s", &loadCommand{}},
	} {
		if _, err := parser.AddCommand(c.name, c.short, c.long, c.command); err != nil {
			fmt.Fprintln(os.Stderr, "kumquatlab:", err)
			return exitFailed
		}
	}
	_, err := parser.ParseArgs(args)
	var usage *flags.Error
	switch {
	case err == nil:
		return 0
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Println(usage.Message)
		return 0
	case errors.As(err, &usage):
		fmt.Fprintln(os.Stderr, "kumquatlab:", usage.Message)
		return exitUsage
	}
	fmt.Fprintln(os.Stderr, "kumquatlab:", err)
	return exitFailed
}
