package edge

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatreel.example/kumquatreel/internal/base/clock"
	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/limit/quota"
	"kumquatreel.example/kumquatreel/internal/tier/belief"
	"kumquatreel.example/kumquatreel/internal/tier/mirror"
	"kumquatreel.example/kumquatreel/internal/tier/peers"
	"kumquatreel.example/kumquatreel/internal/tier/reader"
	"kumquatreel.example/kumquatreel/internal/tier/source"
	"kumquatreel.example/kumquatreel/internal/tier/table"
)

const (
	// watchBatchDelay is the pause after changes, so that changes in quick succession arrive in one call.
	watchBatchDelay = 120 * time.Millisecond
	// firstPageTimeout bounds the first call for a page; the timeout doubles with each further call. So a lost call is
	// retried soon, and a slow store gets the time that it needs. After maxPageAttempts calls the read starts again
	// from the first page.
	firstPageTimeout = 300 * time.Millisecond
	maxPageAttempts  = 4
	// pageRetryDelay is the time between two calls for a page.
	pageRetryDelay = 50 * time.Millisecond
	// turnInterval is how often a VM that does not call the store checks whether it may, startTurnInterval how often one does that has no
	// copy of the store yet.
	turnInterval      = 200 * time.Millisecond
	startTurnInterval = 10 * time.Millisecond
	// settleIntervals is how many heartbeat intervals of the servers after the store's return from an older copy the items that it has
	// lost are held. Entries of servers that have ended are removed after three intervals; entries of the others are back by then.
	settleIntervals = 5
	// heldAskInterval is the time between two requests to other VMs for what they hold.
	heldAskInterval = 500 * time.Millisecond
)

// syncMirror keeps the mirror up to date until ctx ends. It calls the store when it is this VM's turn; otherwise updates arrive from other
// VMs.
func (e *Edge) syncMirror(ctx context.Context) {
	var failedAt time.Time
	var caller reader.Caller
	for ctx.Err() == nil {
		now := time.Now()
		t := e.turn(now)
		t.Failed, t.SinceFailure = !failedAt.IsZero(), now.Sub(failedAt)
		if wait, may := t.Wait(); wait > 0 || !may {
			e.setWatching(false, nil)
			caller.Pause()
			interval := turnInterval
			if t.Empty {
				interval = startTurnInterval
			}
			if may {
				interval = min(interval, wait)
			}
			clock.Sleep(ctx, interval)
			continue
		}
		if t.Rank >= reader.NumWatchers && !t.Watching && !t.Empty && !t.Failed {
			e.log.Info(componentStore, "no other VM confirms the copy of the store, reading it", "unconfirmedMs", ms(t.Unconfirmed), "unwatchedMs",
				ms(t.Unwatched), "behindMs", ms(t.Behind), "rank", t.Rank)
		}
		err := e.syncOnce(ctx, &caller)
		if ctx.Err() != nil {
			return
		}
		e.setWatching(err == nil, err)
		failedAt = time.Time{}
		if err != nil {
			failedAt = time.Now()
		}
	}
}

// syncOnce reads the complete store if the mirror is empty or the store's history is gone, and otherwise waits for one
// batch of changes.
func (e *Edge) syncOnce(ctx context.Context, caller *reader.Caller) error {
	era, since := e.position()
	if since == 0 {
		return e.readAll(ctx)
	}
	call, began := caller.Next(), time.Now()
	wctx, cancel := context.WithTimeout(ctx, call.Timeout)
	defer cancel()
	batch, err := e.store.Watch(wctx, since, call.Wait)
	e.metrics.storeCall(err)
	if errors.Is(err, source.ErrCompacted) {
		e.log.Warn(componentStore, "store history is gone, reading everything again", "since", since)
		return e.readAll(ctx)
	}
	if err != nil {
		caller.Failed(call, time.Since(began))
		return errors.Errorf("watch store: %w", err)
	}
	if batch.Era != era {
		e.log.Warn(componentStore, "store has another era, reading everything again", "era", batch.Era, "before", era, "since", since)
		return e.readAll(ctx)
	}
	readAt := began.Add(caller.Answered(call, time.Since(began)))
	e.applyUpdate(mirror.Update{Era: batch.Era, Items: batch.Items, Since: since, AsOf: batch.AsOf, Watched: true}, "store")
	e.fleet.mu.Lock()
	e.fleet.fresh.Read(readAt)
	e.fleet.mu.Unlock()
	if len(batch.Items) > 0 {
		e.announce()
		clock.Sleep(ctx, watchBatchDelay)
	}
	return nil
}

// readAll reads all pages of the store. Each page is merged when it arrives, because the store may be slow, unless its era is new. Items
// that are not in the store are removed from the mirror after the last page. It returns an error if the store does not hold what is known
// of its era, or has changed its era meanwhile.
func (e *Edge) readAll(ctx context.Context) error {
	var items []mirror.Item
	before, known := e.position()
	asOf, era, after := int64(0), int64(0), ""
	for more := true; more; {
		page, err := e.readPage(ctx, after)
		if err != nil {
			return errors.Errorf("read store: %w", err)
		}
		if asOf == 0 {
			asOf, era = page.AsOf, page.Era
		}
		if page.Era != era {
			return errors.Newf("read store: its era has changed from %d to %d meanwhile", era, page.Era)
		}
		e.applyUpdate(mirror.Update{Era: era, Items: page.Items}, "store")
		items = append(items, page.Items...)
		if more = page.More; more {
			after = page.Items[len(page.Items)-1].Key
		}
	}
	changed := e.applyUpdate(mirror.Update{Era: era, Items: items, AsOf: asOf, Complete: true}, "store")
	e.log.Info(componentStore, "store read completely", "revision", asOf, "era", era, "before", known, "eraBefore", before,
		"items", len(items), "changed", changed)
	if era < before || era == before && asOf < known {
		return errors.Newf("read store: it is at revision %d of era %d, behind %d of era %d", asOf, era, known, before)
	}
	return nil
}

// readPage reads the page after a key, with retries. It returns the last error after maxPageAttempts failed calls.
func (e *Edge) readPage(ctx context.Context, after string) (page source.Page, err error) {
	for attempt := range maxPageAttempts {
		if attempt > 0 && !clock.Sleep(ctx, pageRetryDelay) {
			break
		}
		pctx, cancel := context.WithTimeout(ctx, firstPageTimeout<<attempt)
		page, err = e.store.Page(pctx, after)
		cancel()
		e.metrics.storeCall(err)
		if err == nil {
			return page, nil
		}
	}
	return source.Page{}, err
}

// turn describes this VM to package reader, but for its past calls. The VMs of the core group come first; a VM that leaves is not counted.
func (e *Edge) turn(now time.Time) reader.Turn {
	self := e.settings.Load().Name()
	c := e.core()
	era, revision := e.position()
	t := reader.Turn{
		Alone: true, Watching: e.watching.Load(), Empty: revision == 0, Age: now.Sub(e.started), First: e.readsFirst(),
		Demanded: e.dispatch.awaiting.Load() > 0,
		Spread:   float64(ident.Score("reader", string(self))%1024) / 1024,
	}
	core, others := []ident.VM{}, []ident.VM{}
	if c.IncludesSelf() {
		core = append(core, self)
	} else {
		others = append(others, self)
	}
	watched, behind := false, false
	e.fleet.mu.Lock()
	for _, m := range e.fleet.peers.Alive(now) {
		d := m.Digest()
		t.Alone = false
		watched = watched || d.WatchesStore
		if d.Lacked(era, revision) {
			behind = true
		} else if at, ok := m.ReadAt(); ok && d.Era == era {
			e.fleet.fresh.Hear(at)
		}
		switch {
		case d.Phase == peers.PhaseLeaving:
		case c.Has(d.VM):
			core = append(core, d.VM)
		default:
			others = append(others, d.VM)
		}
	}
	fresh := &e.fleet.fresh
	fresh.Observe(now, watched, behind)
	t.Unconfirmed, t.Unwatched, t.Behind = fresh.Unconfirmed(now), fresh.Unwatched(now), fresh.Behind(now)
	e.fleet.mu.Unlock()
	if c.IncludesSelf() {
		t.Rank = slices.Index(ident.Rank("reader", core), self)
	} else {
		t.Rank = len(core) + slices.Index(ident.Rank("reader", others), self)
	}
	return t
}

// readsFirst reports whether this VM is among those that read the store first when all start together: the first seeds by rank.
func (e *Edge) readsFirst() bool {
	ranked := ident.Rank("reader", e.seedHosts())
	return slices.Contains(ranked[:min(reader.NumWatchers, len(ranked))], e.settings.Load().Address())
}

// setWatching records whether this VM watches the store, logs a change and tells the other VMs of it; err is the reason if the watch has failed.
func (e *Edge) setWatching(watching bool, err error) {
	if e.watching.Swap(watching) == watching {
		return
	}
	e.announce()
	switch {
	case err != nil:
		e.log.Warn(componentStore, "store cannot be read", "error", err.Error(), "revision", e.revision())
	case watching:
		e.log.Info(componentStore, "watching the store", "revision", e.revision())
	default:
		e.log.Info(componentStore, "other VMs watch the store", "revision", e.revision())
	}
}

// storeAge returns the time since the mirror was last known to hold all that the store does.
func (e *Edge) storeAge(now time.Time) time.Duration {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	return e.fleet.fresh.Age(now)
}

// revision returns the revision of the store up to which the mirror is complete, 0 if it is empty.
func (e *Edge) revision() int64 {
	_, revision := e.position()
	return revision
}

// position returns the era and the revision of the store up to which the mirror is complete; the revision is 0 if it is empty.
func (e *Edge) position() (era, revision int64) {
	e.mirrorMu.Lock()
	defer e.mirrorMu.Unlock()
	return e.mirror.Era(), e.mirror.AsOf()
}

// applyUpdate merges an update into the mirror and applies what is new. The lock is held throughout, so that changes are applied in
// order. from names the source of the update in the log. It returns the number of changes.
func (e *Edge) applyUpdate(u mirror.Update, from string) int {
	e.mirrorMu.Lock()
	defer e.mirrorMu.Unlock()
	now, before := time.Now(), e.mirror.Era()
	changed, ok := e.mirror.Apply(u)
	if !ok {
		e.log.Info(componentStore, "update of another era not applied", "era", u.Era, "inForce", before, "complete", u.Complete, "from", from)
		return 0
	}
	if e.mirror.Era() != before {
		e.eraAt = now
	}
	if era := e.mirror.Era(); era != before && before > 0 {
		e.log.Warn(componentStore, "store has come back from an older copy", "era", era, "before", before, "revision", u.AsOf,
			"changed", len(changed), "holding", e.mirror.Holding(), "from", from)
	}
	if !e.mirror.Holding() {
		e.settleAt = time.Time{}
	} else if e.settleAt.IsZero() || e.mirror.Era() != before {
		e.settleAt = now.Add(e.settleTime())
	}
	for _, it := range e.mirror.Refused() {
		e.refuseItem(it, from)
	}
	e.applyItems(now, changed, from)
	return len(changed)
}

// refuseItem records that a later state of a configuration cannot be used, so that the one in force stays. The caller holds the lock of the mirror.
func (e *Edge) refuseItem(it mirror.Item, from string) {
	reason := "its version is lower than the one in force"
	if _, err := e.decode(it); err != nil {
		reason = err.Error()
	} else if it.Removed {
		reason = "it has been removed"
	}
	e.refused = &belief.Refused{Key: it.Key, Revision: it.Revision, Reason: reason}
	e.log.Error(componentStore, "item ignored", "key", it.Key, "revision", it.Revision, "error", reason, "inForce", e.dispatch.version(), "from", from)
}

// refusedConfig returns the configuration that could not be used since the one in force was published, or nil.
func (e *Edge) refusedConfig() *belief.Refused {
	e.mirrorMu.Lock()
	defer e.mirrorMu.Unlock()
	return e.refused
}

// settleTime is how long items that the store has lost are held.
func (e *Edge) settleTime() time.Duration {
	return settleIntervals * e.settings.Load().ServerHeartbeat()
}

// wantsHeld reports whether this VM may lack items that others hold since the store's return, and is to ask for them now.
func (e *Edge) wantsHeld(now time.Time) bool {
	e.mirrorMu.Lock()
	defer e.mirrorMu.Unlock()
	recent := now.Sub(e.started) < e.settleTime() || now.Sub(e.eraAt) < e.settleTime()
	if !recent || !e.settleAt.IsZero() || now.Sub(e.heldAskedAt) < heldAskInterval {
		return false
	}
	e.heldAskedAt = now
	return true
}

// holding reports whether items are held that the store has lost.
func (e *Edge) holding() bool {
	e.mirrorMu.Lock()
	defer e.mirrorMu.Unlock()
	return !e.settleAt.IsZero()
}

// settle ends the holding of what the store has lost, once servers and operator have had time to publish it again.
func (e *Edge) settle(now time.Time) {
	e.mirrorMu.Lock()
	defer e.mirrorMu.Unlock()
	if e.settleAt.IsZero() || now.Before(e.settleAt) {
		return
	}
	e.settleAt = time.Time{}
	changed := e.mirror.Settle()
	e.log.Info(componentStore, "what the store has lost is no longer held", "era", e.mirror.Era(), "changed", len(changed))
	e.applyItems(now, changed, "store")
}

// applyItems applies changed items. The caller holds the lock of the mirror. A configuration comes into force after all else: requests may
// wait for it, and must not be sent where the other items forbid it.
func (e *Edge) applyItems(now time.Time, items []mirror.Item, from string) {
	tables := make(map[int64]source.Event)
	for _, it := range items {
		ev, err := e.decode(it)
		if err != nil {
			e.log.Warn(componentStore, "item ignored", "key", it.Key, "revision", it.Revision, "error", err.Error())
		}
		if _, ok := ev.(source.TablePublished); ok {
			tables[it.Revision] = ev
			continue
		}
		e.applyEvent(now, ev, it.Revision, from)
	}
	for _, revision := range slices.Sorted(maps.Keys(tables)) {
		e.applyEvent(now, tables[revision], revision, from)
	}
}

// applyEvent applies one change of the store to the state of the VM.
func (e *Edge) applyEvent(now time.Time, ev source.Event, revision int64, from string) {
	d := e.dispatch
	switch ev := ev.(type) {
	case source.TablePublished:
		e.tableRevision = max(e.tableRevision, revision)
		if e.refused != nil && e.refused.Revision < revision {
			e.refused = nil
		}
		e.applyTable(now, table.New(ev.Text), revision, from)
	case source.ServerPublished:
		d.mu.Lock()
		if start, ended := d.roster.Ended(ev.Entry); ended {
			d.endStart(ev.Entry.Server, start)
		}
		lostAt := d.roster.LostAt(ev.Entry.Server)
		fresh := d.roster.Update(now, ev.Entry)
		if fresh {
			d.balancer.Forget(ev.Entry.Server)
			d.warmupLimiter.Forget(ev.Entry.Server)
		}
		d.pacer.Begin(ev.Entry.Server, ev.Entry.Start().String(), lostAt)
		d.mu.Unlock()
		e.log.Info(componentServers, "server entry published", "server", ev.Entry.Server, "service", ev.Entry.Service, "new", fresh,
			"leaving", ev.Entry.Leaving, "coldMs", ms(ev.Entry.ColdFor), "revision", revision, "from", from)
	case source.ServerRemoved:
		d.mu.Lock()
		known := d.roster.Member(ev.Server) != nil
		d.roster.Remove(now, ev.Server)
		d.mu.Unlock()
		if known {
			e.log.Info(componentServers, "server entry removed", "server", ev.Server, "revision", revision, "from", from)
		}
	case source.DomainOut:
		e.setDomainOut(ev.Domain, true, revision)
	case source.DomainIn:
		e.setDomainOut(ev.Domain, false, revision)
	case source.Ignored:
	}
}

// setDomainOut records whether a failure domain is out of service.
func (e *Edge) setDomainOut(domain ident.Domain, out bool, revision int64) {
	e.dispatch.mu.Lock()
	changed := e.dispatch.roster.SetDomainOut(domain, out)
	e.dispatch.mu.Unlock()
	if changed {
		e.log.Info(componentServers, "failure domain changed", "domain", domain, "out", out, "revision", revision)
	}
}

// applyTable puts a published configuration into force, unless a newer one is.
func (e *Edge) applyTable(now time.Time, t *table.Table, revision int64, from string) {
	if current := e.dispatch.current(); current != nil && current.Version() > t.Version() {
		e.log.Error(componentStore, "configuration is older than the one in force, ignored", "version", t.Version(),
			"inForce", current.Version(), "revision", revision, "from", from)
		return
	}
	limits := make(map[ident.Team]quota.Limit)
	for _, team := range t.Teams() {
		limits[team.Name] = quota.Limit{Rate: team.Rate, Burst: team.Burst}
	}
	e.quotaMu.Lock()
	e.quota.SetLimits(now, limits)
	e.quotaMu.Unlock()
	e.dispatch.setTable(t)
	e.metrics.version.Set(float64(t.Version()))
	e.log.Info(componentStore, "configuration in force", "version", t.Version(), "revision", revision, "from", from)
}
