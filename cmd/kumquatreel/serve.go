package main

import (
	"context"
	"crypto/rand"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatreel.example/kumquatreel/internal/base/clock"
	"kumquatreel.example/kumquatreel/internal/conf/config"
	"kumquatreel.example/kumquatreel/internal/node/daemon"
	"kumquatreel.example/kumquatreel/internal/wire/netio"
)

// shutdownTimeout bounds the graceful shutdown.
const shutdownTimeout = 30 * time.Second

type serveCommand struct {
	Settings string `long:"settings" required:"yes" description:"file with the VM's settings"`
}

// Execute runs a VM until SIGTERM or SIGINT, then shuts it down gracefully; a second signal ends the shutdown at once.
func (c *serveCommand) Execute([]string) error {
	settings, err := config.Load(c.Settings)
	if err != nil {
		return errors.Errorf("serve: %w", err)
	}
	logger, err := newLogger(settings.LogLevel())
	if err != nil {
		return errors.Errorf("serve: %w", err)
	}
	opts := daemon.Options{Network: netio.TCP{}, Clock: &clock.System{}, Log: logger}
	if _, err := rand.Read(opts.Seed[:]); err != nil {
		return errors.Errorf("serve: %w", err)
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	d, kill, err := daemon.New(settings, opts)
	if err != nil {
		return errors.Errorf("serve: %w", err)
	}
	<-signals
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	go func() {
		<-signals
		cancel()
	}()
	defer kill()
	if err := d.Shutdown(ctx); err != nil {
		return errors.Errorf("serve: %w", err)
	}
	return nil
}
