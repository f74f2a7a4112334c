// Command kumquatreel runs an entry VM of the query tier, checks its settings and sends requests to VMs.
package main

import (
	"fmt"
	"os"

	"kumquatreel.example/kumquatreel/internal/base/runner"
)

const version = "0.1.0"

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	return runner.Main("kumquatreel", []runner.Command{
		{
			Name: "serve", Short: "Run an entry VM",
			Long: "Runs the process of one entry VM until it gets SIGTERM or SIGINT, then shuts down gracefully: requests in progress are completed.\n\nExample: kumquatreel serve --settings examples/registry/vm0.jsonc",
			Run:  &serveCommand{}, Daemon: true,
		},
		{
			Name: "edge", Short: "Run an entry VM on the users' platform",
			Long: "Runs the process of one entry VM that sends requests directly to backend servers, until it gets SIGTERM or SIGINT, then shuts down within the grace period; another SIGINT ends it at once. SIGHUP reloads the settings.\n\nExample: kumquatreel edge --settings /etc/kumquatreel/settings.jsonc",
			Run:  &edgeCommand{}, Daemon: true,
		},
		{
			Name: "check", Short: "Check settings and documents",
			Long: "Prints every fault in settings files, their template, the deploy file and published documents; exits with 1 if there is one.\n\nExample: kumquatreel check --kind configuration examples/registry/configuration.json",
			Run:  &checkCommand{},
		},
		{
			Name: "demo", Short: "Show the system on a small deployment",
			Long: "Runs a platform, backend servers and three entry VMs in this process over loopback, sends requests and prints the results.\n\nExample: kumquatreel demo",
			Run:  &demoCommand{}, Daemon: true,
		},
		{
			Name: "query", Short: "Send a request",
			Long: "Asks the directory for an address, sends one request and prints the answer.\n\nExample: KUMQUATREEL_KEY=secret-team0 kumquatreel query --seed 127.0.0.1:7402 --team team0 --route lookup",
			Run:  &queryCommand{},
		},
		{
			Name: "status", Short: "Show the status of a VM",
			Long: "Prints the status of one VM and its view of the fleet.\n\nExample: kumquatreel status --operator 127.0.0.1:7404",
			Run:  &statusCommand{},
		},
		{
			Name: "beliefs", Short: "Show what an edge VM believes",
			Long: "Prints what one edge VM believes of the servers, the teams, the store and the other VMs, with sources and ages, and why a server gets no requests.\n\nExample: kumquatreel beliefs --metrics 127.0.0.1:9464 --service books",
			Run:  &beliefsCommand{},
		},
		{
			Name: "where", Short: "Show where a request would go",
			Long: "Prints where a request would go now by the decisions of one edge VM: the server that would get each part, what was passed over and why, and whether it would be refused. Nothing is sent and no token is taken.\n\nExample: kumquatreel where --metrics 127.0.0.1:9464 --host search.example --path /all/x --team tailors --remaining 250ms",
			Run:  &whereCommand{},
		},
		{
			Name: "ready", Short: "Check whether a VM is ready",
			Long: "Succeeds if a VM serves clients and holds its share of the fleet's work.\n\nExample: kumquatreel ready --operator 127.0.0.1:7404",
			Run:  &readyCommand{},
		},
		{
			Name: "explain", Short: "Explain a request",
			Long: "Prints how one request was handled: what was sent where, why, and the results. With --operator it asks a VM that dispatches through owners; otherwise it searches the logs of edge VMs.\n\nExamples: kumquatreel explain --operator 127.0.0.1:7404 vm0-0a1b-1\nkumquatreel explain --log vm0.log --log vm1.log 9c41d07be2a35f68",
			Run:  &explainCommand{},
		},
		{
			Name: "version", Short: "Show the version",
			Long: "Prints the program's version.\n\nExample: kumquatreel version",
			Run:  &versionCommand{},
		},
	}, args, os.Stdout, os.Stderr)
}

type versionCommand struct{}

// Execute prints the version.
func (*versionCommand) Execute([]string) error {
	fmt.Println("kumquatreel", version)
	return nil
}
