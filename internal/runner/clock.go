package runner

import "time"

// workerClock estimates the clock of the worker's current incarnation from its latest reading. A start order that waited
// while the agent was paused may be read before the worker's next announcement, and that worker may have restarted under the
// same ID: it cannot tell from its own clock that the lease in the order has ended.
type workerClock struct {
	reading time.Duration
	at      time.Time // a time not later than that of the reading
}

// observe takes in a reading of the clock, and ignores the value 0, which stands for none.
func (c *workerClock) observe(reading time.Duration, at time.Time) {
	if reading > 0 && at.After(c.at) {
		c.reading, c.at = reading, at
	}
}

// endOf returns the time at which a lease ends that is given as a reading of the clock; ok is false if no reading is known.
func (c *workerClock) endOf(lease time.Duration) (end time.Time, ok bool) {
	return c.at.Add(lease - c.reading), !c.at.IsZero()
}

// ended reports whether a lease that is given as a reading of the clock has ended.
func (c *workerClock) ended(now time.Time, lease time.Duration) bool {
	end, ok := c.endOf(lease)
	return ok && !now.Before(end)
}

// reset drops the reading, which was that of an earlier incarnation.
func (c *workerClock) reset() { *c = workerClock{} }
