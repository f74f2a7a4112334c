// Command kumquatlab runs stand-ins for the platform and the backend servers,
// sends load to a deployment, measures the system and draws runs from logs.
package main

import (
	"os"

	"kumquatreel.example/kumquatreel/internal/base/runner"
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	return runner.Main("kumquatlab", []runner.Command{
		{
			Name: "example", Short: "Write an example deployment",
			Long: "Writes the configuration, the list of VMs and the settings of an example.\n\nExample: kumquatlab example --deployment wheels --dir examples/wheels",
			Run:  &exampleCommand{},
		},
		{
			Name: "platform", Short: "Run the platform stand-in",
			Long: "Serves published documents and, on a second address, controls that simulate outages and stale reads.\n\nExample: kumquatlab platform --dir examples/registry --listen 127.0.0.1:7400 --control 127.0.0.1:7401",
			Run:  &platformCommand{}, Daemon: true,
		},
		{
			Name: "backend", Short: "Run backend server stand-ins",
			Long: "Serves the backend servers of an example deployment until SIGTERM or SIGINT.\n\nExample: kumquatlab backend --deployment registry",
			Run:  &backendCommand{}, Daemon: true,
		},
		{
			Name: "run", Short: "Run a complete example",
			Long: "Runs platform, backend servers and entry VMs of an example in one process until SIGTERM or SIGINT.\n\nExample: kumquatlab run --deployment registry",
			Run:  &runCommand{}, Daemon: true,
		},
		{
			Name: "measure", Short: "Measure the system",
			Long: "Runs measures and prints each figure beside its target and its baselines; 'all' runs all of them.\n\nExample: kumquatlab measure refuse tail --seed 1 --report report",
			Run:  &measureCommand{},
		},
		{
			Name: "load", Short: "Load a deployment",
			Long: "Sends requests at a fixed rate for a bounded time and prints a summary of the results.\n\nExample: kumquatlab load --seed-address 127.0.0.1:7402 --team team0 --route lookup --rate 20 --for 5s",
			Run:  &loadCommand{},
		},
		{
			Name: "report", Short: "Draw a run",
			Long: "Draws latency, coverage, refusals and adopted configurations over time from the logs of edge VMs.\n\nExample: kumquatlab report --log vm0.log --log vm1.log --out report.html",
			Run:  &reportCommand{},
		},
	}, args, os.Stdout, os.Stderr)
}
