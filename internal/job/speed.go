package job

// Speed says whether the members of a started job are throttled.
type Speed string

// The speeds of a job.
const (
	// Full is the speed of a job that was never throttled.
	Full Speed = ""
	// Throttling is a job that holds its accelerators until all of its members are throttled.
	Throttling Speed = "slowing"
	// Throttled is a job that holds no accelerators while its members wait at their workers.
	Throttled Speed = "throttled"
	// Resumed is a job that was given its accelerators back.
	Resumed Speed = "resumed"
)

// Follows reports whether a job may change to the speed from the given one.
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

// Speed returns whether the members are throttled.
func (j Job) Speed() Speed { return j.speed }

// HoldsAccelerators reports whether the job's members hold their accelerators or are about to; those of a throttled one do not.
func (j Job) HoldsAccelerators() bool { return j.Placed() && j.speed != Throttled }

// Releasing reports whether the job gives its accelerators up.
func (j Job) Releasing() bool {
	return j.HoldsAccelerators() && (j.state == Stopping || j.speed == Throttling)
}

// Throttle returns the job at another speed for the given reason; a job that is stopped keeps its speed.
func (j Job) Throttle(to Speed, reason string) Job {
	j.speed, j.reason = to, reason
	return j
}

// WithSpeed returns the job at the speed that a snapshot kept.
func (j Job) WithSpeed(s Speed) Job {
	j.speed = s
	return j
}
