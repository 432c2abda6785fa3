package gang

import (
	"slices"
	"time"

	"rosemarywind.example/rosemarywind/internal/job"
	"rosemarywind.example/rosemarywind/internal/lease"
	"rosemarywind.example/rosemarywind/internal/task"
)

// termBits leaves 2^32 marks to each term of the leader, so that the marks of a later leader are larger.
const termBits = 32

// Progress is what the leader knows of the members of one reservation; it is immutable and lost with the leader.
type Progress struct {
	fence   lease.FencingToken
	began   time.Time
	length  time.Duration
	mark    task.Mark
	adopted bool
	members []memberProgress
}

// memberProgress is what the leader knows of one member.
type memberProgress struct {
	asked    time.Time
	lastSent time.Time
	// granted bounds how long the worker may hold the member, whichever of the orders reached it.
	granted lease.Granted
	// confirmed is when the worker's acceptance of the order marked anchor was known, and counts for one lease.
	confirmed lease.Granted
	anchor    task.Mark
	anchorAt  time.Time
	reserved  bool
	started   bool
	stopped   bool
	refusal   string
	denied    time.Time
	reported  task.State
	silent    bool
	throttle  throttleProgress
}

// NewProgress returns the progress of a reservation that the leader of a term takes up now; an earlier leader
// may have renewed each lease until now, so each counts in full.
func NewProgress(j job.Job, term uint64, now time.Time) Progress {
	length := j.Lease()
	p := Progress{
		fence: j.Fence(), began: now, length: length, mark: task.Mark(term << termBits),
		members: make([]memberProgress, len(j.Members())),
	}
	for i := range p.members {
		m := &p.members[i]
		m.granted, m.confirmed, m.anchorAt = lease.NewGranted(now, length), lease.NewGranted(now, length), now
	}
	return p
}

// Adopted returns the progress of a reservation that an earlier leader made; it is released if it was not started,
// since nobody knows how much of its leases is left.
func (p Progress) Adopted() Progress {
	p.adopted = true
	return p
}

// Fence returns the fencing number of the reservation.
func (p Progress) Fence() lease.FencingToken { return p.fence }

// Failed reports whether the member with the given index ended by its own failure.
func (p Progress) Failed(index int) bool { return p.members[index].reported == task.Failed }

// WithReply returns the progress after an agent answered an order at the given time.
func (p Progress) WithReply(index int, o task.Order, r task.Reply, now time.Time) Progress {
	switch r.Answer() {
	case task.Accepted:
		return p.edit(index, func(m *memberProgress) { m.accept(o, p.length, now) })
	case task.Refused:
		return p.edit(index, func(m *memberProgress) { m.refuse(o, r.Message(), now) })
	case task.Unanswered:
		return p
	default:
		return p
	}
}

// WithSent returns the progress after an order was sent at the given time.
func (p Progress) WithSent(index int, o task.Order, now time.Time) Progress {
	switch t := o.(type) {
	case task.Reserve:
		p.mark = max(p.mark, t.Mark())
	case task.Renew:
		p.mark = max(p.mark, t.Mark())
	case task.Throttle:
		p.mark = max(p.mark, t.Mark())
	case task.Start, task.Stop:
	}
	return p.edit(index, func(m *memberProgress) {
		m.lastSent = now
		if t, ok := o.(task.Throttle); ok {
			m.throttle = m.throttle.sent(t.Mark(), t.Percent())
		}
		if t, ok := o.(task.Renew); ok && t.Since() != 0 {
			m.asked = now
			counts := m.anchorAt.Add(min(now.Sub(m.anchorAt), p.length/renewals))
			m.granted = m.granted.Later(lease.NewGranted(counts, p.length))
		}
	})
}

// WithReport returns the progress after a report about a member; reports of other fences are ignored.
func (p Progress) WithReport(r task.Report) Progress {
	i := r.ID().Index()
	if r.Fence() != p.fence || i < 0 || i >= len(p.members) {
		return p
	}
	if old := p.members[i].reported; old.Final() || old == r.State() {
		return p
	}
	return p.edit(i, func(m *memberProgress) { m.reported = r.State() })
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

// complete reports whether each member that has not succeeded answered this leader. Until then no lease
// is extended, so that a member that was lost while nobody led does not keep the others running.
func (p Progress) complete() bool {
	for i := range p.members {
		if m := &p.members[i]; m.anchor == 0 && m.reported != task.Succeeded {
			return false
		}
	}
	return true
}

// reserveWithin bounds how long accelerators are held for a gang that cannot be completed. Half of the lease
// is left for the commit of the start and for the start itself.
func (p Progress) reserveWithin() time.Duration { return min(maxReserveTime, p.length/2) }

func (m *memberProgress) accept(o task.Order, length time.Duration, now time.Time) {
	m.lastSent = time.Time{}
	switch t := o.(type) {
	case task.Reserve:
		m.reserved = true
		m.granted = m.granted.Later(lease.NewGranted(now, length))
		m.confirm(t.Mark(), length, now)
	case task.Renew:
		m.denied = time.Time{}
		m.confirm(t.Mark(), length, now)
	case task.Start:
		m.started = true
	case task.Stop:
		m.stopped = true
	case task.Throttle:
		m.denied = time.Time{}
		m.throttle = m.throttle.accepted(t.Mark(), t.Percent())
	}
}

// confirm takes the newest answer as the moment that renewals count from; the worker took the order before it.
func (m *memberProgress) confirm(mark task.Mark, length time.Duration, now time.Time) {
	if mark > m.anchor {
		m.anchor, m.anchorAt, m.confirmed = mark, now, lease.NewGranted(now, length)
	}
}

// refuse ignores the refusal of a copy of an order that was accepted.
func (m *memberProgress) refuse(o task.Order, message string, now time.Time) {
	switch o.(type) {
	case task.Reserve:
		if !m.reserved {
			m.refusal = message
		}
	case task.Start:
		if !m.started {
			m.refusal = message
		}
	case task.Renew, task.Throttle:
		if m.denied.IsZero() {
			m.denied = now
		}
	case task.Stop:
	}
}

// over reports whether the member can no longer hold accelerators.
func (m *memberProgress) over(now time.Time) bool {
	return m.stopped || m.reported.Final() || m.granted.Expired(now)
}
