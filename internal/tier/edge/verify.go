package edge

import (
	"context"
	"net/http"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/base/sets"
	"kumquatreel.example/kumquatreel/internal/tier/header"
	"kumquatreel.example/kumquatreel/internal/tier/link"
	"kumquatreel.example/kumquatreel/internal/tier/roster"
)

const (
	// verifyInterval is the time between two health requests to a server that may have started again, and the time in which each is to be answered.
	verifyInterval = 300 * time.Millisecond
	// maxVerifyTries bounds the health requests after one answer of such a server.
	maxVerifyTries = 10
)

// mayBeCold reports whether a server gets requests at the rate of a cold one: it is cold, or it was lost and may have started again. The
// caller holds the lock.
func (d *dispatch) mayBeCold(now time.Time, m *roster.Member) bool {
	if m.Cold(now) {
		return true
	}
	return d.coldRate(m.Entry().Service) > 0 && m.MayHaveRestarted(now, d.table.Service(m.Entry().Service).ColdFor)
}

// beginVerify reports whether a server that has answered is to be asked for its health, since it may have started again and be cold, and nobody does. The
// caller holds the lock, and calls endVerify later.
func (d *dispatch) beginVerify(now time.Time, server ident.Server) bool {
	if d.verifying.Has(server) || !d.wantsHealth(now, server) {
		return false
	}
	if d.verifying == nil {
		d.verifying = make(sets.Set[ident.Server])
	}
	return d.verifying.Add(server)
}

func (d *dispatch) endVerify(server ident.Server) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.verifying, server)
}

// wantsHealth reports whether a health request may be sent to a server that may be cold. The caller holds the lock.
func (d *dispatch) wantsHealth(now time.Time, server ident.Server) bool {
	m := d.roster.Member(server)
	return m != nil && !m.Cold(now) && d.mayBeCold(now, m) && d.table.Service(m.Entry().Service).HealthPath != "" &&
		!d.roster.Resting(now, server) && d.pacer.Delay(now, server, false) <= 0
}

// verify asks a server for its health until it answers, so that it gets all its requests again if it has not started again or is not cold: while it
// counts as cold it may get too few requests to ask on their answers.
func (e *Edge) verify(service ident.Service, s sending) {
	d := e.dispatch
	defer d.endVerify(s.target.Server)
	for range maxVerifyTries {
		next := time.Now().Add(verifyInterval)
		if e.askHealth(service, s) {
			return
		}
		time.Sleep(time.Until(next))
		d.mu.Lock()
		wanted := d.wantsHealth(time.Now(), s.target.Server)
		d.mu.Unlock()
		if !wanted {
			return
		}
	}
}

// askHealth sends a health request to a server and reports whether it has told its state.
func (e *Edge) askHealth(service ident.Service, s sending) bool {
	path := e.dispatch.current().Service(service).HealthPath
	ctx, cancel := context.WithTimeout(context.Background(), verifyInterval)
	defer cancel()
	res := e.exchange(ctx, link.Call{
		Target: s.target, Method: http.MethodGet, Head: []byte("GET " + path + " HTTP/1.1\r\nHost: " + s.target.Address + "\r\n"),
		Deadline: time.Now().Add(verifyInterval), MaxConnections: s.connections, Permit: &link.Permit{},
	})
	defer res.Answer.Release()
	coldFor, verified := e.dispatch.observeHealth(time.Now(), s, res, e.names)
	e.log.Info(componentServers, "server was lost, asked for its health", "server", s.target.Server, "service", service,
		"verified", verified, "coldMs", ms(coldFor))
	return verified
}

// observeHealth applies the answer to a health request and returns how long the server stays cold, and whether it has answered for itself.
func (d *dispatch) observeHealth(now time.Time, s sending, res link.Result, names header.Names) (coldFor time.Duration, verified bool) {
	if res.Answer == nil || res.Answer.Header.Get(names.Server) != string(s.target.Server) || res.Answer.Header.Get(names.NotRun) != "" {
		return 0, false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if left, ok := header.ParseMillis(res.Answer.Header.Get(names.ColdMs)); ok {
		d.roster.MarkCold(now, s.target.Server, left)
		coldFor = left
	}
	verified = d.roster.Verify(s.target.Server, s.start, res.Opened)
	if verified && coldFor <= 0 {
		d.warmupLimiter.Forget(s.target.Server)
	}
	return coldFor, verified
}
