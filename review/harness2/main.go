//go:build review

package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
	// maxRun ends a case that hangs.
	maxRun = 115 * time.Second
)

// scenario runs a case and returns what broke the rule, empty if it held.
type scenario func(b *bench) (broken string, err error)

// scenarios holds the cases by name. Each file of a case adds its own.
var scenarios = make(map[string]scenario)

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness2 SCENARIO DIR")
		os.Exit(exitNotRun)
	}
	os.Exit(runScenario(scenarios[os.Args[1]], os.Args[2]))
}

func runScenario(s scenario, dir string) int {
	record, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		return exitNotRun
	}
	defer func() { _ = record.Close() }()
	b, err := newBench(record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		return exitNotRun
	}
	defer b.close()
	type result struct {
		broken string
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := s(b)
		done <- result{broken, err}
	}()
	select {
	case r := <-done:
		switch {
		case r.err != nil:
			b.log("cannot run: %v", r.err)
			fmt.Fprintln(os.Stderr, "cannot run:", r.err)
			return exitNotRun
		case r.broken != "":
			b.log("rule broken: %s", r.broken)
			fmt.Println("rule broken:", r.broken)
			return exitBroken
		}
		b.log("rule held")
		fmt.Println("rule held")
		return exitHeld
	case <-time.After(maxRun):
		b.log("cannot run: the case did not end in %v", maxRun)
		return exitNotRun
	}
}
