package job

// Speed is the state of a started job as to throttling.
type Speed string

// The speeds of a job.
const (
	// Full is the speed of a job that was never throttled.
	Full Speed = ""
	// Throttling is the speed of a job that holds its accelerators until all its members are throttled.
	Throttling Speed = "slowing"
	// Throttled is the speed of a job that holds no accelerators while its members wait at their workers.
	Throttled Speed = "throttled"
	// Resumed is the speed of a job that got its accelerators back after it was throttled.
	Resumed Speed = "resumed"
)

// Follows reports whether a job may change from speed old to speed s.
func (s Speed) Follows(old Speed) bool {
	switch s {
	case Throttling:
		return old == Full || old == Resumed
	case Throttled:
		return old == Throttling
	case Resumed:
		return old == Throttled
	case Full:
	}
	return false
}

// Speed returns the speed of the job, Full for one that was not throttled since it was placed.
func (j Job) Speed() Speed { return j.speed }

// HoldsAccelerators reports whether the members hold accelerators or are about to: whether the job is placed and not
// throttled.
func (j Job) HoldsAccelerators() bool { return j.Placed() && j.speed != Throttled }

// Releasing reports whether the members still hold accelerators but are being stopped or throttled.
func (j Job) Releasing() bool {
	return j.HoldsAccelerators() && (j.state == Stopping || j.speed == Throttling)
}

// Throttle returns a copy at another speed for the given reason. Stop keeps the speed, so a throttled job that is stopping
// holds no accelerators.
func (j Job) Throttle(to Speed, reason string) Job {
	j.speed, j.reason = to, reason
	return j
}

// WithSpeed returns a copy at the speed that a snapshot stored.
func (j Job) WithSpeed(s Speed) Job {
	j.speed = s
	return j
}
