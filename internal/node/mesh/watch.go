package mesh

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatreel.example/kumquatreel/internal/base/clock"
	"kumquatreel.example/kumquatreel/internal/fleet/agent"
	"kumquatreel.example/kumquatreel/internal/wire/netio"
)

// Reads of the platform are long polls: the platform answers at once when it has a newer document, and otherwise
// after longPollWait. longPollTimeoutMargin is added for the network delay.
const (
	keyConfiguration      = "configuration"
	keyVMs                = "vms"
	longPollWait          = 500 * time.Millisecond
	longPollTimeoutMargin = time.Second
	retryInterval         = 200 * time.Millisecond
	maxDocumentBytes      = 2 << 20
)

// Value is the platform's response to a read.
type Value struct {
	Revision int64  `json:"revision"`
	Value    string `json:"value"`
}

// watchLoop reads one document from the platform again and again while this VM is one of those that watch, or while
// no read by any VM is known within two thirds of the freshness limit.
func (m *Mesh) watchLoop(ctx context.Context, key string) {
	for ctx.Err() == nil {
		var active bool
		var after int64
		m.WithAgent(func(now clock.Instant, a *agent.Agent) {
			active = a.WatchesPlatform(now) || a.StaleFor(now, 2*m.settings.MaxStaleness()/3)
			// A document that was refused is read again only once there is a newer one.
			configuration, list := a.LastRead()
			after = configuration
			if key == keyVMs {
				after = list
			}
		})
		if !active {
			clock.Sleep(ctx, m.settings.ExchangeInterval())
			continue
		}
		if err := m.readDocument(ctx, key, after); err != nil {
			m.log.Debug("reading from the platform failed", "key", key, "reason", err)
			clock.Sleep(ctx, retryInterval)
		}
	}
}

// readDocument waits for a document newer than a revision and passes it to the agent.
func (m *Mesh) readDocument(ctx context.Context, key string, after int64) error {
	ctx, cancel := context.WithTimeout(ctx, longPollWait+longPollTimeoutMargin)
	defer cancel()
	requestedAt := m.clock.Now()
	path := "/v1/values/" + key + "?after=" + strconv.FormatInt(after, 10) +
		"&waitMillis=" + strconv.Itoa(int(longPollWait/time.Millisecond))
	var v Value
	err := netio.Get(ctx, m.client, m.settings.PlatformAddress(), path, &v, maxDocumentBytes)
	var status *netio.StatusError
	if errors.As(err, &status) && status.Status() == http.StatusNotModified {
		m.recordRead(key, requestedAt)
		return nil
	}
	if err != nil {
		return errors.Errorf("read %s from the platform: %w", key, err)
	}
	if key == keyVMs {
		m.step(agent.ListRead{Revision: v.Revision, Text: []byte(v.Value)})
	} else {
		m.step(agent.ConfigurationRead{Revision: v.Revision, Text: []byte(v.Value)})
	}
	m.recordRead(key, requestedAt)
	if v.Revision <= after {
		clock.Sleep(ctx, retryInterval)
	}
	return nil
}

// recordRead reports a successful read of the configuration to the agent, also when the configuration has not changed.
func (m *Mesh) recordRead(key string, requestedAt clock.Instant) {
	if key == keyConfiguration {
		m.step(agent.PlatformRead{RequestedAt: requestedAt})
	}
}
