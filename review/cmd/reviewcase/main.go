//go:build review

// Command reviewcase runs one script case of the review: it starts the project's program for each VM, with stand-ins for the
// clients, the backend servers and the platform in its own process, and checks one rule.
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. With TROUBLE=0 it leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRun bounds a case.
const maxRun = 115 * time.Second

// cases holds the cases by name. Each returns the violations that it has seen.
var cases = make(map[string]func(w *world, trouble bool) ([]string, error))

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: reviewcase CASE FOLDER")
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	w, end, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot start:", err)
		return exitNotRun
	}
	defer end()
	time.AfterFunc(maxRun, func() {
		fmt.Fprintln(os.Stderr, "the case took too long")
		end()
		os.Exit(exitNotRun)
	})
	violations, err := cases[os.Args[1]](w, trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		return exitNotRun
	}
	for _, v := range violations {
		w.record("VIOLATION %s", v)
	}
	fmt.Printf("trouble %v: %d violations\n", trouble, len(violations))
	for _, v := range violations[:min(len(violations), 5)] {
		fmt.Println(v)
	}
	if len(violations) > 0 {
		return exitBroken
	}
	return exitHeld
}
