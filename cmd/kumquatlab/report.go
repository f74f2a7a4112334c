package main

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"

	"kumquatreel.example/kumquatreel/internal/lab/chart"
	"kumquatreel.example/kumquatreel/internal/tier/events"
)

type reportCommand struct {
	Log []string `long:"log" required:"yes" description:"log file of an edge VM; may be repeated"`
	Out string   `long:"out" default:"report.html" description:"HTML file to write the plots to"`
}

// Execute draws a run from its logs.
func (c *reportCommand) Execute([]string) error {
	lines, err := events.ReadFiles(c.Log)
	if err != nil {
		return errors.Errorf("report: %w", err)
	}
	run, err := chart.Collect(lines)
	if err != nil {
		return errors.Errorf("report: %w", err)
	}
	f, err := os.Create(c.Out)
	if err != nil {
		return errors.Errorf("report: %w", err)
	}
	if err := errors.Join(chart.Render(f, run), f.Close()); err != nil {
		return errors.Errorf("report: %w", err)
	}
	fmt.Printf("%s: %d seconds from %s\n", c.Out, run.Seconds(), run.Start().UTC().Format("2006-01-02 15:04:05"))
	return nil
}
