//go:build review

package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// The exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxRunTime bounds a script.
const maxRunTime = 110 * time.Second

// cases are the scripts by name. Each returns whether the rule was broken.
var cases = map[string]func(*bench) bool{
	"cut":       runCut,
	"alone":     runAlone,
	"forgotten": runForgotten,
	"splice":    runSplice,
	"promise":   runPromise,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness3 CASE FOLDER")
		os.Exit(exitFailed)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

func run(f func(*bench) bool, dir string) (code int) {
	b, err := newBench(dir, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer b.close()
	timeout := time.AfterFunc(maxRunTime, func() {
		b.note("the script took too long")
		b.close()
		os.Exit(exitFailed)
	})
	defer timeout.Stop()
	defer func() {
		if p := recover(); p != nil {
			b.note("could not run: %v", p)
			code = exitFailed
		}
	}()
	if f(b) {
		b.note("result: the rule was broken")
		return exitBroken
	}
	b.note("result: the rule held")
	return exitHeld
}

// bench is one run of a script.
type bench struct {
	trouble bool
	temp    string
	start   time.Time

	mu     sync.Mutex
	record *os.File
	ends   []func()
}

func newBench(dir string, trouble bool) (*bench, error) {
	record, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	b := &bench{trouble: trouble, temp: temp, start: time.Now(), record: record}
	b.onEnd(func() { _ = os.RemoveAll(temp) })
	b.note("trouble: %t", trouble)
	return b, nil
}

// note writes a line to the record, with the time since the start, and to standard output.
func (b *bench) note(format string, args ...any) {
	line := b.write(format, args...)
	if len(line) < 200 && os.Getenv("QUIET") == "" {
		fmt.Print(line)
	}
}

// write writes a line to the record only, and returns it.
func (b *bench) write(format string, args ...any) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	line := fmt.Sprintf("%7.3f %s\n", time.Since(b.start).Seconds(), fmt.Sprintf(format, args...))
	_, _ = b.record.WriteString(line)
	return line
}

// onEnd adds a function that is called at the end, the last one first.
func (b *bench) onEnd(f func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ends = append(b.ends, f)
}

func (b *bench) close() {
	b.mu.Lock()
	ends := b.ends
	b.ends = nil
	b.mu.Unlock()
	for i := len(ends) - 1; i >= 0; i-- {
		ends[i]()
	}
}

// must ends the script if there is an error.
func must(err error) {
	if err != nil {
		panic(err)
	}
}
