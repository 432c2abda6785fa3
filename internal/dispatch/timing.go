package dispatch

import "time"

// Timing holds the configurable durations and factors of a core.
type Timing struct {
	lease        time.Duration
	remoteFactor float64
	keepEnded    time.Duration
}

// DefaultTiming returns a lease of 5 s, a remote factor of 3, and 180 s for which ended jobs are kept.
func DefaultTiming() Timing {
	return Timing{lease: 5 * time.Second, remoteFactor: 3, keepEnded: 180 * time.Second}
}

// WithLease returns the timing with the given lease duration, which workers may shorten.
func (t Timing) WithLease(d time.Duration) Timing {
	t.lease = d
	return t
}

// WithRemoteFactor returns the timing with the factor by which a task slows down away from its data.
func (t Timing) WithRemoteFactor(x float64) Timing {
	t.remoteFactor = x
	return t
}

// WithKeepEnded returns the timing with the time for which ended jobs are kept.
func (t Timing) WithKeepEnded(d time.Duration) Timing {
	t.keepEnded = d
	return t
}

const (
	// minClockRate is the rate of the slowest worker clock.
	minClockRate = 0.98
	// leaseMargin covers timers that fire late on a worker.
	leaseMargin = 300 * time.Millisecond
	// holdInterval is the interval at which a lease is extended.
	holdInterval = time.Second
	// stopInterval is the interval at which a stop is repeated until the run has ended.
	stopInterval = 700 * time.Millisecond
	// silenceTimeout is the time without a report after which a worker gets no new runs and no lease; workers announce
	// themselves every 1.5 s.
	silenceTimeout = 3200 * time.Millisecond
	// startTimeout is the time after which a run that is in no list is stopped.
	startTimeout = 2500 * time.Millisecond
	// forgetInterval is the interval between searches for ended jobs to drop.
	forgetInterval = 20 * time.Second
	// stepInterval is the longest time between two steps.
	stepInterval = 250 * time.Millisecond
)
