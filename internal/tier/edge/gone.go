package edge

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/tier/link"
	"kumquatreel.example/kumquatreel/internal/tier/roster"
)

var errGone = errors.New("server has started again since the request was sent")

// flight is an attempt in flight to one start of a server.
type flight struct {
	start roster.Start
	end   context.CancelCauseFunc
}

// follow returns a context that ends once the start of the server that an attempt goes to has certainly ended, and a function that ends it.
func (d *dispatch) follow(ctx context.Context, s sending) (context.Context, func()) {
	ctx, end := context.WithCancelCause(ctx)
	f := &flight{start: s.start, end: end}
	server := s.target.Server
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.flights == nil {
		d.flights = make(map[ident.Server][]*flight)
	}
	d.flights[server] = append(d.flights[server], f)
	return ctx, func() {
		end(nil)
		d.mu.Lock()
		defer d.mu.Unlock()
		d.flights[server] = slices.DeleteFunc(d.flights[server], func(o *flight) bool { return o == f })
		if len(d.flights[server]) == 0 {
			delete(d.flights, server)
		}
	}
}

// endStart ends the attempts in flight to a start of a server. The caller holds the lock.
func (d *dispatch) endStart(s ident.Server, start roster.Start) {
	for _, f := range d.flights[s] {
		if f.start == start {
			f.end(errGone)
		}
	}
}

// lostWithServer reports whether a call got no answer because its server is gone, and names the cause in its result. The silence of one start says
// nothing of the next.
func lostWithServer(ctx context.Context, res *link.Result) bool {
	if res.Answer != nil || !errors.Is(context.Cause(ctx), errGone) {
		return false
	}
	res.Err, res.Unresponsive = errGone, false
	return true
}
