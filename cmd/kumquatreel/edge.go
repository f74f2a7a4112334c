package main

import (
	"crypto/rand"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"kumquatreel.example/kumquatreel/internal/base/sink"
	"kumquatreel.example/kumquatreel/internal/conf/setup"
	"kumquatreel.example/kumquatreel/internal/tier/edge"
	"kumquatreel.example/kumquatreel/internal/tier/logs"
	"kumquatreel.example/kumquatreel/platform"
)

// programBytes is what the program takes beside the memory that the runtime counts.
const programBytes = 20 << 20

type edgeCommand struct {
	Settings string `long:"settings" env:"KUMQUATREEL_CONFIG" required:"yes" description:"file with the VM's settings"`
}

// Execute runs a VM on the users' platform until SIGTERM or SIGINT, then shuts it down gracefully; another SIGINT ends the process at once,
// another SIGTERM doesn't, since a platform may repeat it. SIGHUP reloads the settings.
func (c *edgeCommand) Execute([]string) error {
	// SIGHUP would end the process until it is asked for, and an operator may ask all processes of a name to reload.
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	settings, err := setup.Load(c.Settings)
	if err != nil {
		return errors.Errorf("edge: %w", err)
	}
	level, err := log.ParseLevel(settings.LogLevel())
	if err != nil {
		return errors.Errorf("edge: log level: %w", err)
	}
	// The runtime collects harder before the memory of the VM is used up. It doesn't count the pages of the program itself.
	debug.SetMemoryLimit(max(settings.MemoryBytes()/2, min(settings.MemoryBytes()/5*4, settings.MemoryBytes()-programBytes)))
	out, closeOut := sink.Open(os.Stdout, logs.LostLines)
	logger, flush := logs.New(out, level)
	closeLog := func() {
		flush()
		closeOut()
	}
	defer closeLog()
	store, closeStore := platform.NewStore(settings.StoreAddress())
	defer closeStore()
	opts := edge.Options{Path: c.Settings, Names: platform.Names(), Store: store, Decode: platform.Decode, Log: logger, LostLogLines: out.Lost}
	if _, err := rand.Read(opts.Seed[:]); err != nil {
		return errors.Errorf("edge: %w", err)
	}
	e, kill, err := edge.New(settings, opts)
	if err != nil {
		return errors.Errorf("edge: %w", err)
	}
	defer kill()
	for s := range signals {
		if s != syscall.SIGHUP {
			break
		}
		e.Reload("SIGHUP")
	}
	go func() {
		for s := range signals {
			if s == syscall.SIGINT {
				closeLog()
				os.Exit(1)
			}
			logger.Info("process", "signal ignored while leaving", "signal", s.String())
		}
	}()
	e.Shutdown(settings.GracePeriod())
	return nil
}
