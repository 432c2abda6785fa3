package gang

import (
	"rosemarywind.example/rosemarywind/internal/job"
	"rosemarywind.example/rosemarywind/internal/task"
)

const fullSpeedPercent = 100

// throttleProgress is what the leader knows about the speed of one member: the sequence number of the newest Throttle
// that the worker accepted, 0 if there is none, and the percentage that it set.
type throttleProgress struct {
	sequence task.Sequence
	percent  int
	// latestConflicting is the sequence number of the newest order sent with another percentage. It may still arrive, so
	// the acceptance of an older order does not confirm the speed.
	latestConflicting task.Sequence
}

func (t throttleProgress) withSent(s task.Sequence, percent int) throttleProgress {
	if percent != t.percent {
		t.latestConflicting = s
	}
	return t
}

func (t throttleProgress) withAccepted(s task.Sequence, percent int) throttleProgress {
	if s > t.sequence {
		t.sequence, t.percent = s, percent
	}
	return t
}

// confirmed reports whether the member is confirmed to run at the speed; a job that was never throttled needs no order.
// The lease of a member without it is not renewed, so a gang in which only some members are throttled ends with the lease
// at the latest.
func (t throttleProgress) confirmed(s job.Speed) bool {
	return s == job.Full || t.sequence > 0 && t.sequence >= t.latestConflicting && t.percent == percentOf(s)
}

func percentOf(s job.Speed) int {
	switch s {
	case job.Throttling, job.Throttled:
		return 0
	case job.Full, job.Resumed:
	}
	return fullSpeedPercent
}
