package edge

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatreel.example/kumquatreel/internal/base/clock"
	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/limit/quota"
	"kumquatreel.example/kumquatreel/internal/tier/mirror"
	"kumquatreel.example/kumquatreel/internal/tier/peers"
	"kumquatreel.example/kumquatreel/internal/tier/source"
	"kumquatreel.example/kumquatreel/internal/tier/table"
)

const (
	// readers is how many VMs of the fleet watch the store; the others hear from them.
	storeWatchers = 3
	// watchWait is how long a watch waits for changes; a reader that hears nothing for a little longer counts as cut off.
	watchTimeout = 3 * time.Second
	// watchSlack is the time a watch may take beyond its wait.
	watchMargin = 600 * time.Millisecond
	// watchPause gathers changes that come in quick succession into one call.
	watchBatchDelay = 120 * time.Millisecond
	// pageLimit bounds the first call for a page, each further one may take twice as long: a store that was silent is asked
	// again soon, and one that is slow gets the time that it needs. After pageTries calls reading begins anew.
	firstPageTimeout = 300 * time.Millisecond
	maxPageAttempts  = 4
	// pagePause is the time between two tries.
	pageRetryDelay = 50 * time.Millisecond
	// retryPause is the time between calls that fail.
	storeRetryDelay = 250 * time.Millisecond
	// idleCheck is how often a VM that does not read looks whether it should.
	watchTurnInterval = 200 * time.Millisecond
	// joinWait is how long a new VM waits to hear news from others before it reads the store itself.
	minStoreDelay = 120 * time.Millisecond
	// joinMost is how long a new VM whose turn it is not waits for news before it reads the store all the same.
	maxStoreDelay = 1200 * time.Millisecond
)

// read keeps the mirror up to date: from the store where it is this VM's turn, else from other VMs.
func (e *Edge) syncMirror(ctx context.Context) {
	clock.Sleep(ctx, minStoreDelay)
	for ctx.Err() == nil {
		mayWait := e.revision() > 0 || time.Since(e.started) < maxStoreDelay
		if mayWait && !e.shouldWatch(time.Now()) {
			e.setWatching(false, nil)
			clock.Sleep(ctx, watchTurnInterval)
			continue
		}
		err := e.syncOnce(ctx)
		if ctx.Err() != nil {
			return
		}
		e.setWatching(err == nil, err)
		if err != nil {
			clock.Sleep(ctx, storeRetryDelay)
		}
	}
}

// readOnce reads everything if nothing is known yet, and else waits for one batch of changes.
func (e *Edge) syncOnce(ctx context.Context) error {
	since := e.revision()
	if since == 0 {
		return e.readAll(ctx)
	}
	wctx, cancel := context.WithTimeout(ctx, watchTimeout+watchMargin)
	defer cancel()
	items, asOf, err := e.store.Watch(wctx, since, watchTimeout)
	e.metrics.storeCall(err)
	if errors.Is(err, source.ErrCompacted) {
		e.log.Warn(componentStore, "history is gone, everything is read again", "since", since)
		return e.readAll(ctx)
	}
	if err != nil {
		return errors.Errorf("watch: %w", err)
	}
	e.mergeItems(items, since, asOf, false, "store")
	if len(items) > 0 {
		clock.Sleep(ctx, watchBatchDelay)
	}
	return nil
}

// readAll reads all pages. Each is taken as it comes, since a store may be slow; that nothing else is there is known
// when the last one has come.
func (e *Edge) readAll(ctx context.Context) error {
	var items []mirror.Item
	asOf, after := int64(0), ""
	for more := true; more; {
		page, err := e.readPage(ctx, after)
		if err != nil {
			return errors.Errorf("read all: %w", err)
		}
		if asOf == 0 {
			asOf = page.AsOf
		}
		e.mergeItems(page.Items, 0, 0, false, "store")
		items = append(items, page.Items...)
		if more = page.More; more {
			after = page.Items[len(page.Items)-1].Key
		}
	}
	e.mergeItems(items, 0, asOf, true, "store")
	return nil
}

// readPage reads one page, and tries again when no answer comes.
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

// myTurn reports whether this VM should watch the store: it is among the first by rank of the core, or nobody who lives is watching.
func (e *Edge) shouldWatch(now time.Time) bool {
	self := e.settings.Load().Name()
	c := e.core()
	var names []ident.VM
	if c.IncludesSelf() {
		names = append(names, self)
	}
	watching := false
	e.fleet.mu.Lock()
	for _, m := range e.fleet.peers.Alive(now) {
		d := m.Digest()
		if c.Has(d.VM) && d.Phase != peers.PhaseLeaving {
			names = append(names, d.VM)
		}
		watching = watching || d.WatchesStore
	}
	e.fleet.mu.Unlock()
	if !watching && e.revision() > 0 {
		return true
	}
	ranked := ident.Rank("reader", names)
	return slices.Contains(ranked[:min(storeWatchers, len(ranked))], self)
}

func (e *Edge) setWatching(watching bool, err error) {
	if e.watching.Swap(watching) == watching {
		return
	}
	switch {
	case err != nil:
		e.log.Warn(componentStore, "store lost", "error", err.Error(), "revision", e.revision())
	case watching:
		e.log.Info(componentStore, "watching the store", "revision", e.revision())
	default:
		e.log.Info(componentStore, "other VMs watch the store", "revision", e.revision())
	}
}

func (e *Edge) revision() int64 {
	e.mirrorMu.Lock()
	defer e.mirrorMu.Unlock()
	return e.mirror.AsOf()
}

// take merges items into the mirror and carries out what is new. The lock is held throughout, so that changes are carried out in order.
func (e *Edge) mergeItems(items []mirror.Item, since, asOf int64, complete bool, from string) {
	e.mirrorMu.Lock()
	defer e.mirrorMu.Unlock()
	var fresh []mirror.Item
	if complete {
		fresh = e.mirror.Replace("", items, asOf)
	} else {
		fresh = e.mirror.Merge(items, since, asOf)
	}
	now := time.Now()
	for _, it := range fresh {
		ev, err := e.decode(it)
		if err != nil {
			e.log.Warn(componentStore, "item ignored", "key", it.Key, "revision", it.Revision, "error", err.Error())
		}
		e.applyEvent(now, ev, it.Revision, from)
	}
}

func (e *Edge) applyEvent(now time.Time, ev source.Event, revision int64, from string) {
	d := e.dispatch
	switch ev := ev.(type) {
	case source.TablePublished:
		e.applyTable(now, table.New(ev.Text), revision, from)
	case source.ServerPublished:
		d.mu.Lock()
		fresh := d.roster.Update(now, ev.Entry)
		if fresh {
			d.places.Forget(ev.Entry.Server)
			d.gate.Forget(ev.Entry.Server)
		}
		d.mu.Unlock()
		e.log.Info(componentServers, "server seen", "server", ev.Entry.Server, "service", ev.Entry.Service, "new", fresh,
			"leaving", ev.Entry.Leaving, "coldMs", ms(ev.Entry.ColdFor), "revision", revision, "from", from)
	case source.ServerRemoved:
		d.mu.Lock()
		known := d.roster.Member(ev.Server) != nil
		d.roster.Remove(now, ev.Server)
		d.mu.Unlock()
		if known {
			e.log.Info(componentServers, "server's entry removed", "server", ev.Server, "revision", revision, "from", from)
		}
	case source.DomainOut:
		e.setDomainOut(ev.Domain, true, revision)
	case source.DomainIn:
		e.setDomainOut(ev.Domain, false, revision)
	case source.Ignored:
	}
}

func (e *Edge) setDomainOut(domain ident.Domain, out bool, revision int64) {
	e.dispatch.mu.Lock()
	changed := e.dispatch.roster.SetDomainOut(domain, out)
	e.dispatch.mu.Unlock()
	if changed {
		e.log.Info(componentServers, "failure domain changed", "domain", domain, "out", out, "revision", revision)
	}
}

func (e *Edge) applyTable(now time.Time, t *table.Table, revision int64, from string) {
	limits := make(map[ident.Team]quota.Limit)
	for _, team := range t.Teams() {
		limits[team.Name] = quota.Limit{Rate: team.Rate, Burst: team.Burst}
	}
	e.quotaMu.Lock()
	e.quota.SetLimits(now, limits)
	e.quotaMu.Unlock()
	e.dispatch.mu.Lock()
	e.dispatch.table = t
	e.dispatch.mu.Unlock()
	e.metrics.version.Set(float64(t.Version()))
	e.log.Info(componentStore, "configuration in force", "version", t.Version(), "revision", revision, "from", from)
}
