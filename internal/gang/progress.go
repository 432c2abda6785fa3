package gang

import (
	"slices"
	"time"

	"rosemarywind.example/rosemarywind/internal/job"
	"rosemarywind.example/rosemarywind/internal/lease"
	"rosemarywind.example/rosemarywind/internal/task"
)

// sequenceBits leaves 2^32 sequence numbers to each term, so that those of a later leader are larger.
const sequenceBits = 32

// Progress is what the leader knows about the members of one reservation. It is immutable and not replicated, so a new
// leader starts with a new one.
type Progress struct {
	fencingToken  lease.FencingToken
	takenOverAt   time.Time
	leaseDuration time.Duration
	sequence      task.Sequence
	adopted       bool
	members       []memberProgress
}

// memberProgress is what the leader knows about one member.
type memberProgress struct {
	renewalSentAt time.Time
	pendingSince  time.Time // when the latest order was sent, zero once it is accepted
	// possibleLease is the longest lease that the worker may have granted, whichever of the orders reached it.
	possibleLease lease.Granted
	// confirmedLease lasts one lease duration from confirmedAt, when the worker's acceptance of the order numbered
	// confirmedSequence arrived; the sequence number is 0 before the first acceptance.
	confirmedLease    lease.Granted
	confirmedSequence task.Sequence
	confirmedAt       time.Time
	reserved          bool
	started           bool
	stopped           bool
	refusalReason     string    // why the worker refused to reserve or start
	refusedAt         time.Time // first refused renewal or throttling since one was accepted
	reportedState     task.State
	unreachable       bool
	evacuated         bool // whether the availability zone of the worker is evacuated
	throttle          throttleProgress
}

// NewProgress returns the progress of a reservation that the leader of a term takes over at now. An earlier leader may
// have renewed each lease until now, so each counts in full.
func NewProgress(j job.Job, term uint64, now time.Time) Progress {
	leaseDuration := j.LeaseDuration()
	p := Progress{
		fencingToken: j.FencingToken(), takenOverAt: now, leaseDuration: leaseDuration, sequence: task.Sequence(term << sequenceBits),
		members: make([]memberProgress, len(j.Members())),
	}
	for i := range p.members {
		m := &p.members[i]
		m.possibleLease, m.confirmedLease, m.confirmedAt = lease.NewGranted(now, leaseDuration), lease.NewGranted(now, leaseDuration), now
	}
	return p
}

// Adopted returns a copy for a reservation that an earlier leader made. Step stops the job if it was not started, since
// the new leader does not know how much of the leases is left.
func (p Progress) Adopted() Progress {
	p.adopted = true
	return p
}

// FencingToken returns the fencing token of the reservation, by which replies to an earlier one are told apart.
func (p Progress) FencingToken() lease.FencingToken { return p.fencingToken }

// Failed reports whether the worker reported that the task of the member with the given index failed.
func (p Progress) Failed(index int) bool { return p.members[index].reportedState == task.Failed }

// WithReply returns a copy that records the agent's reply, received at now, to an order.
func (p Progress) WithReply(index int, o task.Order, r task.Reply, now time.Time) Progress {
	switch r.Answer() {
	case task.Accepted:
		return p.withMember(index, func(m *memberProgress) { m.recordAccepted(o, p.leaseDuration, now) })
	case task.Refused:
		return p.withMember(index, func(m *memberProgress) { m.recordRefused(o, r.Message(), now) })
	case task.Unanswered:
		return p
	default:
		return p
	}
}

// WithSent returns a copy that records an order sent at now.
func (p Progress) WithSent(index int, o task.Order, now time.Time) Progress {
	switch t := o.(type) {
	case task.Reserve:
		p.sequence = max(p.sequence, t.Sequence())
	case task.Renew:
		p.sequence = max(p.sequence, t.Sequence())
	case task.Throttle:
		p.sequence = max(p.sequence, t.Sequence())
	case task.Start, task.Stop:
	}
	return p.withMember(index, func(m *memberProgress) {
		m.pendingSince = now
		if t, ok := o.(task.Throttle); ok {
			m.throttle = m.throttle.withSent(t.Sequence(), t.Percent())
		}
		if t, ok := o.(task.Renew); ok && t.BaseSequence() != 0 {
			m.renewalSentAt = now
			countsFrom := m.confirmedAt.Add(min(now.Sub(m.confirmedAt), p.leaseDuration/renewalsPerLease))
			m.possibleLease = m.possibleLease.Later(lease.NewGranted(countsFrom, p.leaseDuration))
		}
	})
}

// WithReport returns a copy that records a report about a member; reports with other fencing tokens are ignored.
func (p Progress) WithReport(r task.Report) Progress {
	i := r.ID().Index()
	if r.FencingToken() != p.fencingToken || i < 0 || i >= len(p.members) {
		return p
	}
	if old := p.members[i].reportedState; old.Final() || old == r.State() {
		return p
	}
	return p.withMember(i, func(m *memberProgress) { m.reportedState = r.State() })
}

// WithUnreachable returns a copy in which the worker of a member is marked as unreachable, or as reachable again.
func (p Progress) WithUnreachable(index int, unreachable bool) Progress {
	if p.members[index].unreachable == unreachable {
		return p
	}
	return p.withMember(index, func(m *memberProgress) { m.unreachable = unreachable })
}

// WithEvacuated returns a copy in which the availability zone of a member's worker is marked as evacuated or not.
func (p Progress) WithEvacuated(index int, evacuated bool) Progress {
	if p.members[index].evacuated == evacuated {
		return p
	}
	return p.withMember(index, func(m *memberProgress) { m.evacuated = evacuated })
}

// pendingInEvacuatedZone reports whether a member of a started gang has not begun in an evacuated zone. What an earlier
// leader may have ordered counts as begun, unless the worker still reports a reservation when an answer to that order is
// overdue.
func (p Progress) pendingInEvacuatedZone(m *memberProgress, now time.Time) bool {
	if !m.evacuated || m.started || m.reportedState == task.Running {
		return false
	}
	return !p.adopted || m.reportedState == task.Reserved && !now.Before(p.takenOverAt.Add(resendInterval))
}

func (p Progress) withMember(index int, change func(*memberProgress)) Progress {
	p.members = slices.Clone(p.members)
	change(&p.members[index])
	return p
}

// allAnswered reports whether each member that has not succeeded accepted an order of this leader. Until then no lease is
// extended, since a member may have been lost while there was no leader, and the others must not run on without it.
func (p Progress) allAnswered() bool {
	for i := range p.members {
		if m := &p.members[i]; m.confirmedSequence == 0 && m.reportedState != task.Succeeded {
			return false
		}
	}
	return true
}

// reserveTimeout returns how long accelerators are held for a gang that cannot be completed. Half of the lease is left
// for the commit of the start and for the start itself.
func (p Progress) reserveTimeout() time.Duration { return min(maxReserveTime, p.leaseDuration/2) }

func (m *memberProgress) recordAccepted(o task.Order, leaseDuration time.Duration, now time.Time) {
	m.pendingSince = time.Time{}
	switch t := o.(type) {
	case task.Reserve:
		m.reserved = true
		m.possibleLease = m.possibleLease.Later(lease.NewGranted(now, leaseDuration))
		m.confirm(t.Sequence(), leaseDuration, now)
	case task.Renew:
		m.refusedAt = time.Time{}
		m.confirm(t.Sequence(), leaseDuration, now)
	case task.Start:
		m.started = true
	case task.Stop:
		m.stopped = true
	case task.Throttle:
		m.refusedAt = time.Time{}
		m.throttle = m.throttle.withAccepted(t.Sequence(), t.Percent())
	}
}

// confirm lets renewals count from the reply to the order with the largest sequence number; the worker accepted the order
// before now.
func (m *memberProgress) confirm(s task.Sequence, leaseDuration time.Duration, now time.Time) {
	if s > m.confirmedSequence {
		m.confirmedSequence, m.confirmedAt, m.confirmedLease = s, now, lease.NewGranted(now, leaseDuration)
	}
}

// recordRefused ignores the refusal of a Reserve or Start that was already accepted: it answers a duplicate.
func (m *memberProgress) recordRefused(o task.Order, message string, now time.Time) {
	switch o.(type) {
	case task.Reserve:
		if !m.reserved {
			m.refusalReason = message
		}
	case task.Start:
		if !m.started {
			m.refusalReason = message
		}
	case task.Renew, task.Throttle:
		if m.refusedAt.IsZero() {
			m.refusedAt = now
		}
	case task.Stop:
	}
}

// released reports whether the member can no longer hold accelerators at the given time.
func (m *memberProgress) released(now time.Time) bool {
	return m.stopped || m.reportedState.Final() || m.possibleLease.Expired(now)
}
