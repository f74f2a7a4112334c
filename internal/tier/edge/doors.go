package edge

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatreel.example/kumquatreel/internal/conf/setup"
	"kumquatreel.example/kumquatreel/internal/limit/hold"
	"kumquatreel.example/kumquatreel/internal/tier/admit"
	"kumquatreel.example/kumquatreel/internal/tier/link"
	"kumquatreel.example/kumquatreel/internal/tier/table"
	"kumquatreel.example/kumquatreel/internal/wire/guard"
)

// The doors of a VM: its listeners.
const (
	doorClients hold.Door = iota
	doorReady
	doorDirectory
	doorPeers
	doorMetrics
	numDoors
)

const (
	// minConnections and minSideConnections are the lower bounds.
	minConnections, minSideConnections = 64, 16
	// clientMemoryPart is the part of the memory that clients may make the VM hold.
	clientMemoryPart = 5
	// maxHeadBytes bounds the request line and the headers of a request if no limit is published, headSlackBytes is added to a published one, which
	// clients may count without the request line.
	maxHeadBytes, headSlackBytes = 64 << 10, 8 << 10
	// minPieceBytes and maxPieceBytes bound the pieces in which a body is read.
	minPieceBytes, maxPieceBytes = 4 << 10, 32 << 10
	// shardBytes is what a running query takes for each of its shards, beside its answers.
	shardBytes = 1 << 10
	// sideWriteTimeout is how long an answer may be written at the other doors.
	sideWriteTimeout = 5 * time.Second
)

// connPercent is the percentage of the file descriptors that connections at each door may use. One connection more takes the place of another. All
// clients ask the directory, and many VMs fetch a change from one at the same time; the rest is for connections to servers.
var connPercent = [numDoors]int{doorClients: 40, doorDirectory: 8, doorPeers: 8, doorReady: 1, doorMetrics: 1}

// holdLimits returns the limits of what clients make a VM hold.
func holdLimits(s setup.Settings) hold.Limits {
	l := hold.Limits{Bytes: s.MemoryBytes() / clientMemoryPart, Conns: make([]int, numDoors)}
	for d := range l.Conns {
		l.Conns[d] = max(minSideConnections, connPercent[d]*s.MaxOpenFiles()/100)
	}
	l.Conns[doorClients] = max(minConnections, l.Conns[doorClients])
	return l
}

// headLimits returns the limits of the head of a request.
func (e *Edge) headLimits() guard.HeadLimits {
	l := guard.HeadLimits{Lines: e.settings.Load().MaxHeadLines(), Bytes: maxHeadBytes}
	if t := e.dispatch.current(); t != nil && t.Limits().MaxHeaderBytes > 0 {
		l.Bytes = t.Limits().MaxHeaderBytes + headSlackBytes
	}
	return l
}

// wrapListener returns a listener of a door that counts what clients make the VM hold.
func (e *Edge) wrapListener(l net.Listener, door hold.Door) net.Listener {
	return e.keeper.Listener(l, door, e.headLimits)
}

// closedCounts counts the connections and requests that were closed or refused since the last report, by cause.
type closedCounts struct {
	room, full, head atomic.Int64
}

func (e *Edge) connectionClosed(c guard.Cause) {
	e.metrics.connectionClosed(c)
	switch c {
	case guard.CauseRoom:
		e.closed.room.Add(1)
	case guard.CauseFull:
		e.closed.full.Add(1)
	case guard.CauseHead:
		e.closed.head.Add(1)
	}
}

// reportClosed logs how many connections and requests were closed or refused since the last call.
func (e *Edge) reportClosed() {
	room, full, head := e.closed.room.Swap(0), e.closed.full.Swap(0), e.closed.head.Swap(0)
	if room+full+head > 0 {
		e.log.Warn(componentTraffic, "callers beyond the limits", "gaveWay", room, "noRoom", full, "heads", head)
	}
}

// side returns the handler of a door that clients aren't sent to. Its answers cost little, so that a connection may be closed for others.
func side(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if g := guard.FromContext(r.Context()); g != nil {
			g.Complete(r.ContentLength)
			g.Enter(hold.StageAnswering)
		}
		h.ServeHTTP(w, r)
	})
}

// beginRequest says that the head of a request has arrived, and returns a refusal if it has too many lines.
func (e *Edge) beginRequest(r *http.Request) *refusal {
	g := guard.FromContext(r.Context())
	if g == nil {
		return nil
	}
	g.Complete(r.ContentLength)
	if hasBody(r) {
		g.Enter(hold.StageBody)
	} else {
		g.Enter(hold.StageWorking)
	}
	lines := 0
	for _, values := range r.Header {
		lines += len(values)
	}
	if lines > e.settings.Load().MaxHeadLines() {
		return &refusal{status: http.StatusRequestHeaderFieldsTooLarge, text: "the head has too many lines", ends: true}
	}
	return nil
}

// holdQuery takes room for the parts of a request, or returns a refusal.
func holdQuery(r *http.Request, route *table.Route) *refusal {
	g := guard.FromContext(r.Context())
	if g == nil {
		return nil
	}
	g.Enter(hold.StageWorking)
	if !g.Grow(shardBytes * int64(max(1, len(route.Shards())))) {
		return noRoom()
	}
	return nil
}

func noRoom() *refusal {
	return &refusal{
		status: http.StatusServiceUnavailable, text: "the VM has no room", retryAfter: admit.MinRetryAfter, ends: true,
	}
}

// readBody reads the body of a request in pieces, or returns a refusal if it is too large, has no room or does not arrive in time.
func readBody(r *http.Request, published table.Limits) ([][]byte, *refusal) {
	if !hasBody(r) {
		return nil, nil
	}
	limit := published.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if r.ContentLength > limit {
		return nil, &refusal{status: http.StatusRequestEntityTooLarge, text: "the body is too large"}
	}
	left := limit
	if r.ContentLength >= 0 {
		left = r.ContentLength
	}
	g := guard.FromContext(r.Context())
	var pieces [][]byte
	for size := int64(minPieceBytes); ; size = min(2*size, maxPieceBytes) {
		// The byte beyond shows whether the body ends.
		size := min(size, left+1)
		if g != nil && !g.Grow(size) {
			if g.Evicted() {
				return nil, slowBody()
			}
			return nil, noRoom()
		}
		piece := make([]byte, size)
		n, err := link.Fill(r.Body, piece)
		left -= int64(n)
		if n > 0 {
			pieces = append(pieces, piece[:n])
		}
		switch {
		case left < 0:
			return nil, &refusal{status: http.StatusRequestEntityTooLarge, text: "the body is too large"}
		case errors.Is(err, io.EOF):
			return pieces, nil
		case err != nil:
			return nil, slowBody()
		}
	}
}

func slowBody() *refusal {
	return &refusal{status: http.StatusRequestTimeout, text: "the body did not arrive", retryAfter: admit.MinRetryAfter, ends: true}
}
