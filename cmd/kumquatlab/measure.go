package main

import (
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"

	"kumquatreel.example/kumquatreel/internal/lab/bench"
)

type measureCommand struct {
	Seed   uint64 `long:"seed" default:"1" description:"seed of the run"`
	JSON   bool   `long:"json" description:"print JSON"`
	Report string `long:"report" description:"folder to which pages of plots are written"`
	Args   struct {
		Names []string `positional-arg-name:"NAME" required:"1"`
	} `positional-args:"yes"`
}

// Execute runs the named measures and prints their reports.
func (c *measureCommand) Execute([]string) error {
	names := c.Args.Names
	if len(names) == 1 && names[0] == "all" {
		names = bench.Names()
	}
	for _, name := range names {
		r, err := bench.Run(name, c.Seed)
		if err != nil {
			return err
		}
		if err := c.print(r); err != nil {
			return err
		}
	}
	return nil
}

func (c *measureCommand) print(r bench.Report) error {
	if c.Report != "" {
		if err := bench.Plot(c.Report, r); err != nil {
			return errors.Errorf("report: %w", err)
		}
	}
	if !c.JSON {
		fmt.Print(bench.Table(r))
		return nil
	}
	raw, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return errors.Errorf("print: %w", err)
	}
	fmt.Println(string(raw))
	return nil
}
