package pacer

import "time"

//go:generate go tool -modfile=../../../tools/go.mod enumer -type=Use -trimprefix=Use -transform=title-lower -output=enums.go

// Use is what a request is sent for.
type Use int

// The uses.
const (
	// UseFirst is the first attempt at a part.
	UseFirst Use = iota
	// UseHedge is an attempt beside one that is late.
	UseHedge
	// UseRetry is an attempt after all others have ended.
	UseRetry
)

// Counts counts requests by use.
type Counts struct {
	First, Hedges, Retries int
}

// Add counts one request.
func (c *Counts) Add(u Use) {
	switch u {
	case UseHedge:
		c.Hedges++
	case UseRetry:
		c.Retries++
	default:
		c.First++
	}
}

// Total returns the number of all requests.
func (c Counts) Total() int { return c.First + c.Hedges + c.Retries }

// Change is a change of the belief about a server, or nil.
type Change interface{ change() }

// Named says that a server names a limit, which was another one or none before.
type Named struct {
	// Rate is the limit and Before the previous one in requests per second, or -1 if there was none.
	Rate, Before float64
}

// Ended says that a server no longer names a limit.
type Ended struct {
	// Rate is the last limit in requests per second, Lasted the time since the first, and Sent counts the requests sent meanwhile.
	Rate   float64
	Lasted time.Duration
	Sent   Counts
}

func (Named) change() {}
func (Ended) change() {}
