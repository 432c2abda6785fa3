package gang

import (
	"slices"
	"time"

	"rosemarywind.example/rosemarywind/internal/job"
	"rosemarywind.example/rosemarywind/internal/lease"
	"rosemarywind.example/rosemarywind/internal/task"
)

// Progress is what the leader knows of the members of one reservation; it is immutable and lost with the leader.
type Progress struct {
	fence   lease.Fence
	began   time.Time
	length  time.Duration
	members []memberProgress
}

// memberProgress is what the leader knows of one member.
type memberProgress struct {
	asked    time.Time
	lastSent time.Time
	granted  lease.Granted
	reserved bool
	started  bool
	stopped  bool
	refusal  string
	reported task.State
	silent   bool
}

// NewProgress returns the progress of a reservation that this leader takes up now; an earlier leader
// may have renewed each lease until now, so each counts in full.
func NewProgress(j job.Job, length time.Duration, now time.Time) Progress {
	p := Progress{fence: j.Fence(), began: now, length: length, members: make([]memberProgress, len(j.Members()))}
	for i := range p.members {
		p.members[i].granted = lease.NewGranted(now, length)
	}
	return p
}

// Fence returns the fencing number of the reservation.
func (p Progress) Fence() lease.Fence { return p.fence }

// WithReply returns the progress after an agent answered an order at the given time.
func (p Progress) WithReply(index int, o task.Order, r task.Reply, now time.Time) Progress {
	return p.edit(index, func(m *memberProgress) {
		if r.Answer() == task.Unanswered {
			return
		}
		m.lastSent = time.Time{}
		accepted := r.Answer() == task.Accepted
		switch o.(type) {
		case task.Reserve:
			m.reserved = accepted
			m.granted = lease.NewGranted(now, p.length)
			m.refuse(accepted, r.Message())
		case task.Start:
			m.started = accepted
			m.refuse(accepted, r.Message())
		case task.Renew:
			if accepted {
				m.granted = lease.NewGranted(now, p.length)
			}
		case task.Stop:
			m.stopped = accepted
		case task.Throttle:
		}
	})
}

// WithSent returns the progress after an order was sent at the given time.
func (p Progress) WithSent(index int, o task.Order, now time.Time) Progress {
	return p.edit(index, func(m *memberProgress) {
		m.lastSent = now
		if _, ok := o.(task.Renew); ok {
			m.asked = now
		}
	})
}

// WithReport returns the progress after a report about a member; reports of other fences are ignored.
func (p Progress) WithReport(r task.Report) Progress {
	if r.Fence() != p.fence || r.ID().Index() >= len(p.members) {
		return p
	}
	return p.edit(r.ID().Index(), func(m *memberProgress) {
		if !m.reported.Final() {
			m.reported = r.State()
		}
	})
}

// WithSilence returns the progress with a member marked as unreachable or reachable again.
func (p Progress) WithSilence(index int, silent bool) Progress {
	if p.members[index].silent == silent {
		return p
	}
	return p.edit(index, func(m *memberProgress) { m.silent = silent })
}

func (p Progress) edit(index int, f func(*memberProgress)) Progress {
	p.members = slices.Clone(p.members)
	f(&p.members[index])
	return p
}

func (m *memberProgress) refuse(accepted bool, message string) {
	if !accepted {
		m.refusal = message
	}
}

// over reports whether the member can no longer hold accelerators.
func (m *memberProgress) over(now time.Time) bool {
	return m.stopped || m.reported.Final() || m.granted.Over(now)
}
