package main

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"

	"kumquatreel.example/kumquatreel/internal/conf/config"
	"kumquatreel.example/kumquatreel/internal/conf/jsonc"
	"kumquatreel.example/kumquatreel/internal/conf/schema"
	"kumquatreel.example/kumquatreel/internal/conf/setup"
	"kumquatreel.example/kumquatreel/platform/deploy"
)

type checkCommand struct {
	Kind string `long:"kind" choice:"settings" choice:"edge" choice:"template" choice:"deploy" choice:"configuration" choice:"vms" default:"settings" description:"kind of the files"`
	Root string `long:"root" default:"." description:"folder to which the paths in a deploy file are relative"`
	Args struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes"`
}

// Execute prints every fault in the files and returns an error if there is one.
func (c *checkCommand) Execute([]string) error {
	failed := 0
	for _, file := range c.Args.Files {
		err := c.check(file)
		if err == nil {
			fmt.Printf("%s: sound\n", file)
			continue
		}
		failed++
		var faults jsonc.FaultErrors
		if !errors.As(err, &faults) {
			fmt.Printf("%s: %v\n", file, err)
			continue
		}
		for _, f := range faults {
			fmt.Printf("%s: %s\n", file, f)
		}
	}
	if failed > 0 {
		return errors.Newf("%d of %d files have faults", failed, len(c.Args.Files))
	}
	return nil
}

func (c *checkCommand) check(file string) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return errors.Errorf("read: %w", err)
	}
	switch c.Kind {
	case "configuration":
		_, err = schema.Parse(1, raw)
	case "edge":
		_, err = setup.Parse(raw)
	case "template":
		err = deploy.CheckTemplate(raw)
	case "deploy":
		err = deploy.CheckFile(raw, c.Root)
	case "vms":
		_, err = schema.ParseVMs(1, raw)
	default:
		_, err = config.Parse(raw)
	}
	return err
}
