package dispatch

import "time"

// Timing holds the durations and factors that a core keeps to.
type Timing struct {
	lease     time.Duration
	far       float64
	keepEnded time.Duration
}

// DefaultTiming returns a lease of 5 s, a factor of 3 away from the data, and ended jobs kept for 180 s.
func DefaultTiming() Timing {
	return Timing{lease: 5 * time.Second, far: 3, keepEnded: 180 * time.Second}
}

// WithLease returns the timing with the length of the leases, which workers may shorten.
func (t Timing) WithLease(d time.Duration) Timing {
	t.lease = d
	return t
}

// WithFar returns the timing with the factor by which a task is slower away from its data.
func (t Timing) WithFar(x float64) Timing {
	t.far = x
	return t
}

// WithKeepEnded returns the timing with how long ended jobs are kept.
func (t Timing) WithKeepEnded(d time.Duration) Timing {
	t.keepEnded = d
	return t
}

const (
	// slowestClock is the rate of the slowest clock that a worker may have.
	slowestClock = 0.98
	// lapseMargin covers timers that fire late at a worker.
	lapseMargin = 300 * time.Millisecond
	// holdInterval is how often a lease is extended.
	holdInterval = time.Second
	// stopInterval is how often a stop is repeated until the run has ended.
	stopInterval = 700 * time.Millisecond
	// silence is how long a worker may not be heard before it gets no new runs and no lease; it announces itself each 1.5 s.
	silence = 3200 * time.Millisecond
	// unanswered is how long a start may be in no list before the run is stopped.
	unanswered = 2500 * time.Millisecond
	// leavingTime is how long a worker may still work after it said that it ends.
	leavingTime = time.Second
	// forgetInterval is how often ended jobs are looked for.
	forgetInterval = 20 * time.Second
	// tickInterval is how often a core wants to decide while runs are placed or wait.
	tickInterval = 250 * time.Millisecond
)
