package timing

import "time"

const (
	// stepFraction is the fraction of an estimate by which one latency moves it, before weighting by the quantile.
	stepFraction = 0.04
	// highQuantile is the quantile of the latencies beyond which a part is late.
	highQuantile = 0.93
	// budgetDecayFraction is the fraction by which the estimated time budget decays with each request.
	budgetDecayFraction = 1e-4
	// minElapsedFraction is the fraction of the time budget below which an elapsed time is not significant and counts as 0.
	minElapsedFraction = 0.008
	// minEstimate bounds the estimates from below. Without it they could collapse, since their steps are proportional to them.
	minEstimate = 200 * time.Microsecond
)

// Estimator estimates the median and a high quantile of latencies, and the time budget with which requests start. The zero value has
// no estimates. It is not safe for concurrent use.
type Estimator struct {
	median time.Duration
	high   time.Duration
	budget time.Duration
}

// Init sets the initial estimates from an assumed median. It does nothing if there are estimates.
func (e *Estimator) Init(median time.Duration) {
	if e.median == 0 {
		e.median = max(minEstimate, median)
		e.high = 2 * e.median
	}
}

// Observe updates the estimates with the latency of one answer.
func (e *Estimator) Observe(latency time.Duration) {
	e.Init(latency)
	e.median = stepQuantile(e.median, latency, 0.5)
	e.high = max(stepQuantile(e.high, latency, highQuantile), e.median)
}

// ObserveTimeout updates the median with the time waited for an answer that did not arrive. The high quantile only follows if the
// median exceeds it: a few unresponsive servers must not make all others appear slow. The median must rise, however, if most servers
// are slower than the time that is waited for them.
func (e *Estimator) ObserveTimeout(waited time.Duration) {
	e.Init(waited)
	e.median = stepQuantile(e.median, waited, 0.5)
	e.high = max(e.high, e.median)
}

// Elapsed returns how much of a client's time budget had elapsed when its request arrived, given the time remaining.
//
// Clients use the same time budget for all requests of one kind, so the longest remaining time seen is the estimate of the budget. The
// estimate decays slowly, in case clients begin to use a shorter one.
func (e *Estimator) Elapsed(remaining time.Duration) time.Duration {
	e.budget -= time.Duration(budgetDecayFraction * float64(e.budget))
	e.budget = max(e.budget, remaining)
	elapsed := e.budget - remaining
	if elapsed < time.Duration(minElapsedFraction*float64(e.budget)) {
		return 0
	}
	return elapsed
}

// Median returns the estimate of the median latency.
func (e *Estimator) Median() time.Duration { return e.median }

// HighQuantile returns the latency beyond which a part is late.
func (e *Estimator) HighQuantile() time.Duration { return e.high }

// stepQuantile moves an estimate of the q-quantile by one step: up by a fraction proportional to q if the latency is above the
// estimate, down by one proportional to 1-q otherwise. In equilibrium, a fraction q of the latencies lies below the estimate.
func stepQuantile(estimate, latency time.Duration, q float64) time.Duration {
	delta := stepFraction * float64(estimate)
	if latency > estimate {
		return estimate + time.Duration(delta*q)
	}
	return max(minEstimate, estimate-time.Duration(delta*(1-q)))
}
