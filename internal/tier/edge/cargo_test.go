package edge

import (
	"context"
	"testing"
	"time"

	"kumquatreel.example/kumquatreel/internal/limit/cargo"
	"kumquatreel.example/kumquatreel/internal/tier/gather"
)

// assertNoCargo checks that no request counts any more, soon: a request may end before its last attempt does.
func assertNoCargo(t *testing.T, d *dispatch) {
	t.Helper()
	n := 1
	for end := time.Now().Add(time.Second); n > 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
		d.mu.Lock()
		n = d.cargo.Len()
		d.mu.Unlock()
	}
	if n != 0 {
		t.Errorf("%d servers count requests that have ended", n)
	}
}

// The bytes of a request count at a server from the choice on. Guards against bytes that stay counted after attempts that end, are denied or
// never start: the server would get one request at a time for ever.
func TestCargo(t *testing.T) {
	t.Run("ends with an attempt", func(t *testing.T) {
		e, rq := newTestEdge(t, closedAddress(t), closedAddress(t))
		rq.body = [][]byte{make([]byte, 1<<20)}
		e.run(context.Background(), rq)
		assertNoCargo(t, e.dispatch)
	})
	t.Run("ends if the first attempts cannot make an answer", func(t *testing.T) {
		e, rq := newTestEdge(t, closedAddress(t), closedAddress(t))
		e.dispatch.cargo.Take("b-1", 1)
		e.dispatch.serverHold = 1
		if out := e.run(context.Background(), rq); out.sends != 0 || out.skipped.Loaded != 1 {
			t.Errorf("%d sends, skipped %+v, want none and a server with too many bytes", out.sends, out.skipped)
		}
		e.dispatch.cargo.Release("b-1", 1)
		assertNoCargo(t, e.dispatch)
	})
	t.Run("ends if the retry budget denies the attempt", func(t *testing.T) {
		d := newTestDispatch(t, "a", "b")
		d.cargo, d.serverHold = cargo.Meter{}, 100
		c := &chooser{dispatch: d, typical: typical, maxWait: typical, bytes: 90}
		c.Choose(start, "books", nil, gather.CauseFirst)
		c.Choose(start, "books", nil, gather.CauseLate)
		if _, capacity := c.Choose(start, "books", nil, gather.CauseLate); capacity != gather.CapacityLater {
			t.Errorf("capacity is %v, want some later", capacity)
		}
		for d.retries.Take(start, "books", 1, false) {
		}
		if c.AllowRetry(start, "books", gather.CauseLate) {
			t.Fatal("the retry budget has no end")
		}
		if n := d.cargo.Len(); n != 1 {
			t.Errorf("%d servers count the request, want only the first", n)
		}
		c.dropChosen()
		assertNoCargo(t, d)
	})
}
