package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"kumquatreel.example/kumquatreel/internal/base/sink"
	"kumquatreel.example/kumquatreel/internal/stand/local"
	"kumquatreel.example/kumquatreel/internal/stand/sample"
	"kumquatreel.example/kumquatreel/internal/stand/server"
	"kumquatreel.example/kumquatreel/internal/stand/store"
	"kumquatreel.example/kumquatreel/internal/wire/netio"
)

const (
	configurationFile = "configuration.json"
	vmsFile           = "vms.json"
	readyTimeout      = 30 * time.Second
)

// deploymentOption holds the options that select an example deployment.
type deploymentOption struct {
	Name string `long:"deployment" choice:"small" choice:"registry" choice:"wheels" default:"small" description:"example deployment"`
	Port int    `long:"port" default:"7400" description:"first of the loopback ports to use"`
}

func (o deploymentOption) deployment() sample.Deployment {
	switch o.Name {
	case "registry":
		return sample.Registry(o.Port)
	case "wheels":
		return sample.Wheels(o.Port)
	}
	return sample.Small(o.Port)
}

// waitForSignal prints a line that says what runs, and waits for SIGTERM or SIGINT.
func waitForSignal(running ...any) {
	out, closeOut := sink.Open(os.Stdout, nil)
	defer closeOut()
	_, _ = fmt.Fprintln(out, running...)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
}

type exampleCommand struct {
	deploymentOption
	Dir string `long:"dir" required:"yes" description:"folder to write to"`
}

// Execute writes the files of an example deployment.
func (c *exampleCommand) Execute([]string) error {
	if err := os.MkdirAll(c.Dir, 0o755); err != nil {
		return errors.Errorf("example: %w", err)
	}
	d := c.deployment()
	files := map[string]string{
		configurationFile: sample.JSON(d.Document()),
		vmsFile:           sample.JSON(d.List()),
	}
	for i := range d.VMs {
		text := d.Settings(i)
		files[string(text.Name)+".jsonc"] = "// Settings of one VM; what is 0 or empty here takes its default.\n" + sample.JSON(text)
	}
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(c.Dir, name), []byte(text+"\n"), 0o600); err != nil {
			return errors.Errorf("example: %w", err)
		}
	}
	return nil
}

type platformCommand struct {
	Dir     string `long:"dir" required:"yes" description:"folder with configuration.json and vms.json"`
	Listen  string `long:"listen" default:"127.0.0.1:7400" description:"address for reads and watches"`
	Control string `long:"control" default:"127.0.0.1:7401" description:"address for the controls of outages and stale reads"`
}

// Execute serves the documents of a folder until SIGTERM or SIGINT.
func (c *platformCommand) Execute([]string) error {
	p := store.New()
	for key, name := range map[string]string{local.KeyConfiguration: configurationFile, local.KeyVMs: vmsFile} {
		raw, err := os.ReadFile(filepath.Join(c.Dir, name))
		if err != nil {
			return errors.Errorf("platform: %w", err)
		}
		p.Put(key, string(raw))
	}
	for address, handler := range map[string]http.Handler{c.Listen: p.Handler(), c.Control: p.Control()} {
		if _, _, err := netio.Serve(netio.TCP{}, address, handler); err != nil {
			return errors.Errorf("platform: %w", err)
		}
	}
	waitForSignal("platform ready")
	return nil
}

type backendCommand struct {
	deploymentOption
	Warm bool   `long:"warm" description:"start with warm servers"`
	Seed uint64 `long:"seed" default:"1" description:"seed of the service times"`
}

// Execute serves the backend servers of an example until SIGTERM or SIGINT.
func (c *backendCommand) Execute([]string) error {
	d := c.deployment()
	doc := d.Document()
	for i, m := range d.Models(doc, c.Seed) {
		s := server.New(m)
		if c.Warm {
			s.Warm()
		}
		_, stop, err := s.Start(netio.TCP{}, doc.Servers[i].Address)
		if err != nil {
			return errors.Errorf("backend: %w", err)
		}
		defer stop()
	}
	waitForSignal("backend servers ready")
	return nil
}

type runCommand struct {
	deploymentOption
}

// Execute runs a complete example until SIGTERM or SIGINT.
func (c *runCommand) Execute([]string) error {
	out, closeLog := sink.Open(os.Stderr, nil)
	defer closeLog()
	logger := log.NewWithOptions(out, log.Options{ReportTimestamp: true, Formatter: log.LogfmtFormatter})
	fleet, stop, err := local.Start(c.deployment(), local.Options{Network: local.TCP, Log: logger, Warm: true, Seed: 1})
	if err != nil {
		return errors.Errorf("run: %w", err)
	}
	defer stop()
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	if err := fleet.WaitReady(ctx); err != nil {
		return errors.Errorf("run: %w", err)
	}
	waitForSignal("ready: callers use", fleet.Deployment.List().VMs[0].Client)
	return nil
}
