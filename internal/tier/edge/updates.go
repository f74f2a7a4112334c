package edge

import (
	"compress/gzip"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatreel.example/kumquatreel/internal/tier/belief"
	"kumquatreel.example/kumquatreel/internal/tier/mirror"
	"kumquatreel.example/kumquatreel/internal/tier/peers"
)

const (
	// updateTimeout bounds the time to fetch updates from another VM.
	updateTimeout = time.Second
	// fetchPatience is the time after which updates that have not arrived are fetched from another VM too, maxFetches bounds the fetches at once:
	// each may hold the complete store.
	fetchPatience = 400 * time.Millisecond
	maxFetches    = 2
	// maxUpdateSize bounds the size of updates in bytes.
	maxUpdateSize = 64 << 20
	// updatesPath is the HTTP path at which VMs serve updates to each other.
	updatesPath = "/news"
)

// updates holds the items of the store that one VM sends to another.
type updates struct {
	// Complete says that the items are the complete content of the store, not only changes.
	Complete bool          `json:"whole"`
	Era      int64         `json:"era"`
	AsOf     int64         `json:"asOf"`
	Items    []mirror.Item `json:"items"`
	// Refused is a later configuration that the sender can't use, as the receiver won't hear of it from the store.
	Refused *belief.Refused `json:"refused,omitempty"`
}

// lacks reports whether another VM has something of the store that this one lacks. A VM that has started since what the store has lost was
// written may have read the store, and lack that.
func (e *Edge) lacks(now time.Time, d peers.Digest) bool {
	era, revision := e.position()
	if d.Newer(era, revision, e.dispatch.version()) {
		return true
	}
	return d.Era == era && d.Holding && e.wantsHeld(now)
}

// newUpdateClient returns a client that opens a connection for each fetch: one that has been idle may have gone silent, and only a timeout would
// show it.
func newUpdateClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
}

// startFetch starts to fetch updates from a VM, unless they are being fetched from it, or were asked of another one just before.
func (e *Edge) startFetch(now time.Time, from peers.Digest) {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	if len(e.fleet.fetches) >= maxFetches {
		return
	}
	for vm, began := range e.fleet.fetches {
		if vm == from.VM || now.Sub(began) < fetchPatience {
			return
		}
	}
	e.fleet.fetches[from.VM] = now
	go func() {
		err := e.fetchUpdates(from)
		e.fleet.mu.Lock()
		delete(e.fleet.fetches, from.VM)
		e.fleet.mu.Unlock()
		if err != nil {
			e.log.Warn(componentFleet, "cannot fetch updates", "from", from.VM, "error", err.Error())
		}
	}()
}

// fetchUpdates fetches the items that are newer than this VM's revision from another VM and merges them. If that VM is at no newer
// revision, it fetches all items, as that VM has some that the store has lost.
func (e *Edge) fetchUpdates(from peers.Digest) error {
	ctx, cancel := context.WithTimeout(context.Background(), updateTimeout)
	defer cancel()
	era, since := e.position()
	if from.Era == era && from.Revision <= since {
		since = 0
	}
	_, port, err := net.SplitHostPort(e.settings.Load().PeerAddress())
	if err != nil {
		return errors.Errorf("parse own address for VMs: %w", err)
	}
	u := url.URL{
		Scheme: "http", Host: net.JoinHostPort(from.Address, port), Path: updatesPath,
		RawQuery: url.Values{"since": {strconv.FormatInt(since, 10)}, "era": {strconv.FormatInt(era, 10)}}.Encode(),
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return errors.Errorf("build request: %w", err)
	}
	resp, err := e.fleet.client.Do(req)
	if err != nil {
		return errors.Errorf("request updates from %s: %w", from.VM, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("request updates from %s: status %d", from.VM, resp.StatusCode)
	}
	var n updates
	if err := json.NewDecoder(http.MaxBytesReader(nil, resp.Body, maxUpdateSize)).Decode(&n); err != nil {
		return errors.Errorf("decode updates from %s: %w", from.VM, err)
	}
	e.applyUpdate(mirror.Update{Era: n.Era, Items: n.Items, Since: since, AsOf: n.AsOf, Complete: n.Complete}, string(from.VM))
	e.adoptRefused(n.Refused)
	return nil
}

// adoptRefused records that another VM can't use a configuration that is later than the one in force here. That one counts as published again at the
// revision of the other: the mirror keeps it in the other's place.
func (e *Edge) adoptRefused(r *belief.Refused) {
	e.mirrorMu.Lock()
	defer e.mirrorMu.Unlock()
	if r != nil && r.Revision >= e.tableRevision && (e.refused == nil || r.Revision > e.refused.Revision) {
		e.refused = r
	}
}

// serveUpdates sends another VM the changes since a revision of an era, or the complete content of the store if that is another era or
// some removals since that revision are no longer known.
func (e *Edge) serveUpdates(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		http.Error(w, "since is not a number", http.StatusBadRequest)
		return
	}
	era, err := e.requestedEra(r)
	if err != nil {
		http.Error(w, "era is not a number", http.StatusBadRequest)
		return
	}
	e.mirrorMu.Lock()
	n := updates{Era: e.mirror.Era(), AsOf: e.mirror.AsOf(), Refused: e.refused}
	if era != n.Era || since < e.mirror.CompactRevision() {
		since, n.Complete = 0, true
	}
	n.Items = e.mirror.Since(since)
	e.mirrorMu.Unlock()
	if n.Complete {
		n.Items = slices.DeleteFunc(n.Items, func(it mirror.Item) bool { return it.Removed && it.Listed == nil })
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Encoding", "gzip")
	z := gzip.NewWriter(w)
	if err := errors.Join(json.NewEncoder(z).Encode(n), z.Close()); err != nil {
		e.log.Warn(componentFleet, "cannot send updates", "error", err.Error())
	}
}

// requestedEra returns the era for which another VM requests updates. VMs of earlier releases name none and have seen only one.
func (e *Edge) requestedEra(r *http.Request) (int64, error) {
	text := r.URL.Query().Get("era")
	if text == "" {
		era, _ := e.position()
		return era, nil
	}
	era, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, errors.Errorf("parse era: %w", err)
	}
	return era, nil
}
