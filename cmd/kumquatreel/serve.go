package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"kumquatreel.example/kumquatreel/internal/base/clock"
	"kumquatreel.example/kumquatreel/internal/base/sink"
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
	level, err := log.ParseLevel(settings.LogLevel())
	if err != nil {
		return errors.Errorf("serve: log level: %w", err)
	}
	logOptions := log.Options{Level: level, ReportTimestamp: true, Formatter: log.LogfmtFormatter}
	out, closeLog := sink.Open(os.Stderr, func(lost int64) []byte {
		var b bytes.Buffer
		log.NewWithOptions(&b, logOptions).Warn("log lines lost", "count", lost)
		return b.Bytes()
	})
	defer closeLog()
	opts := daemon.Options{Network: netio.TCP{}, Clock: &clock.System{}, Log: log.NewWithOptions(out, logOptions), LostLogLines: out.Lost}
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
