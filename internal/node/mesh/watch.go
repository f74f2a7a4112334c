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

const (
	keyConfiguration = "configuration"
	keyVMs           = "vms"
	watchWait        = 500 * time.Millisecond
	watchSlack       = time.Second
	retryWait        = 200 * time.Millisecond
	maxDocument      = 2 << 20
)

// Value is what the platform answers to a read.
type Value struct {
	Revision int64  `json:"revision"`
	Value    string `json:"value"`
}

// watchLoop reads one document from the platform for as long as this VM is one of those that watch.
func (m *Mesh) watchLoop(ctx context.Context, key string) {
	for ctx.Err() == nil {
		var watches bool
		var after int64
		m.WithAgent(func(now clock.Instant, a *agent.Agent) {
			watches = a.WatchesPlatform(now) || a.StaleFor(now, 2*m.settings.MaxStaleness()/3)
			after = a.Documents().Revision
			if key == keyVMs {
				after = a.Documents().ListRevision
			}
		})
		if !watches {
			clock.Sleep(ctx, m.settings.ExchangeInterval())
			continue
		}
		if err := m.read(ctx, key, after); err != nil {
			m.log.Debug("platform not read", "key", key, "reason", err)
			clock.Sleep(ctx, retryWait)
		}
	}
}

// read waits for a document newer than a revision and tells the agent of it.
func (m *Mesh) read(ctx context.Context, key string, after int64) error {
	ctx, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
	defer cancel()
	asked := m.clock.Now()
	path := "/v1/values/" + key + "?after=" + strconv.FormatInt(after, 10) +
		"&waitMillis=" + strconv.Itoa(int(watchWait/time.Millisecond))
	var v Value
	err := netio.Get(ctx, m.client, m.settings.PlatformAddress(), path, &v, maxDocument)
	var status *netio.StatusError
	if errors.As(err, &status) && status.Status() == http.StatusNotModified {
		m.readOK(key, asked)
		return nil
	}
	if err != nil {
		return errors.Errorf("read %s: %w", key, err)
	}
	if key == keyVMs {
		m.step(agent.ListRead{Revision: v.Revision, Text: []byte(v.Value)})
	} else {
		m.step(agent.ConfigurationRead{Revision: v.Revision, Text: []byte(v.Value)})
	}
	m.readOK(key, asked)
	if v.Revision <= after {
		clock.Sleep(ctx, retryWait)
	}
	return nil
}

// readOK counts a read of the configuration as news, whether or not it brought a new one.
func (m *Mesh) readOK(key string, asked clock.Instant) {
	if key == keyConfiguration {
		m.step(agent.PlatformRead{RequestedAt: asked})
	}
}
