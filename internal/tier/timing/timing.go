package timing

import "time"

const (
	// step is the fraction by which one answer moves an estimate.
	step = 0.04
	// highQuantile is the quantile beyond which a part counts as late.
	highQuantile = 0.93
	// wholeStep is the fraction by which the time that callers begin with gives way at each request.
	wholeStep = 1e-4
	// spentLeast is the fraction of it below which a difference means nothing.
	spentLeast = 0.008
	// least keeps the estimates from collapsing.
	least = 200 * time.Microsecond
)

// Estimator estimates the median and a high quantile of latencies; the zero value has none. It is driven under its owner's lock.
type Estimator struct {
	median time.Duration
	high   time.Duration
	whole  time.Duration
}

// Init sets the estimates for a kind of request that nothing is known of.
func (p *Estimator) Init(median time.Duration) {
	if p.median == 0 {
		p.median = max(least, median)
		p.high = 2 * p.median
	}
}

// Observe takes one latency.
func (p *Estimator) Observe(took time.Duration) {
	p.Init(took)
	p.median = move(p.median, took, 0.5)
	p.high = max(move(p.high, took, highQuantile), p.median)
}

// ObserveTimeout takes the time after which an answer was no longer waited for. It tells of the median only: a few silent servers must not
// make all others seem slow, but when most are slower than they are waited for, that must show.
func (p *Estimator) ObserveTimeout(waited time.Duration) {
	p.Init(waited)
	p.median = move(p.median, waited, 0.5)
	p.high = max(p.high, p.median)
}

// Elapsed takes the time that a caller has left and returns how much it has spent before it got here.
//
// Callers of one kind of request begin with the same time, so the longest seen is what they began with; it gives way
// slowly, in case that time is made shorter.
func (p *Estimator) Elapsed(left time.Duration) time.Duration {
	p.whole -= time.Duration(wholeStep * float64(p.whole))
	p.whole = max(p.whole, left)
	spent := p.whole - left
	if spent < time.Duration(spentLeast*float64(p.whole)) {
		return 0
	}
	return spent
}

// Median returns the middle latency.
func (p *Estimator) Median() time.Duration { return p.median }

// HighQuantile returns the latency beyond which a part counts as late.
func (p *Estimator) HighQuantile() time.Duration { return p.high }

// move takes an estimate of a quantile one step towards it: in balance, a share q of the latencies lies below.
func move(estimate, took time.Duration, q float64) time.Duration {
	delta := step * float64(estimate)
	if took > estimate {
		return estimate + time.Duration(delta*q)
	}
	return max(least, estimate-time.Duration(delta*(1-q)))
}
