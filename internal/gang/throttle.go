package gang

import (
	"rosemarywind.example/rosemarywind/internal/job"
	"rosemarywind.example/rosemarywind/internal/task"
)

const fullSpeed = 100

// throttleProgress is what the leader knows of the speed of one member: the newest order that the worker
// accepted, which set percent. The mark is 0 when there is none.
type throttleProgress struct {
	mark    task.Sequence
	percent int
	// doubt is the mark of the newest order that may still change percent; an older answer says nothing.
	doubt task.Sequence
}

func (t throttleProgress) sent(m task.Sequence, percent int) throttleProgress {
	if percent != t.percent {
		t.doubt = m
	}
	return t
}

func (t throttleProgress) accepted(m task.Sequence, percent int) throttleProgress {
	if m > t.mark {
		t.mark, t.percent = m, percent
	}
	return t
}

// settled reports whether the member has the speed; a job that was never throttled needs no order. A member
// that has another speed is not renewed, so a gang of which a part waits ends with the lease at the latest.
func (t throttleProgress) settled(s job.Speed) bool {
	return s == job.Full || t.mark > 0 && t.mark >= t.doubt && t.percent == percentOf(s)
}

func percentOf(s job.Speed) int {
	switch s {
	case job.Throttling, job.Throttled:
		return 0
	case job.Full, job.Resumed:
	}
	return fullSpeed
}
