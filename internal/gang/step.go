package gang

import (
	"fmt"
	"time"

	"rosemarywind.example/rosemarywind/internal/job"
	"rosemarywind.example/rosemarywind/internal/task"
)

const (
	// resendInterval is the time after which an order that was not accepted is sent again; an agent answers in less.
	resendInterval = 4 * time.Second
	// maxReserveTime leaves time to send a reservation twice. Afterwards an urgent job that waits for an unreachable worker
	// is placed elsewhere.
	maxReserveTime = 5 * time.Second
	// endReportTimeout is how long the report of a member's end may take to arrive after the worker refused a renewal.
	endReportTimeout = 3 * time.Second
	// renewalsPerLease is the number of renewals that are tried within one lease.
	renewalsPerLease = 4
	// clockMarginPercent is the part by which a renewal shortens the time since the order that it counts from. That time
	// passes on the worker's clock too, and the clock margin of a lease covers one lease duration only.
	clockMarginPercent = 5
	maxAttempts        = 5
	// minRetryDelay and maxRetryDelay limit the delay before a gang that could not be reserved is placed again; urgent jobs
	// must start within 6.5 s.
	minRetryDelay = 250 * time.Millisecond
	maxRetryDelay = 4 * time.Second
)

// Step returns the actions that are due for a placed job at now, nil if there are none or the job is not placed.
func Step(j job.Job, p Progress, now time.Time) []Action {
	switch j.State() {
	case job.Reserved:
		return stepReserved(j, p, now)
	case job.Started:
		return stepStarted(j, p, now)
	case job.Stopping:
		return stepStopping(j, p, now)
	case job.Queued, job.Done:
		return nil
	}
	return nil
}

func stepReserved(j job.Job, p Progress, now time.Time) (actions []Action) {
	if p.adopted {
		return []Action{Stop{reason: "the leader changed while the members were being reserved"}}
	}
	reserved := 0
	for i, m := range j.Members() {
		mp := &p.members[i]
		switch {
		case mp.evacuated:
			return []Action{Stop{reason: zoneEvacuated(m.Worker(), i)}}
		case mp.refusalReason != "":
			return []Action{Stop{reason: fmt.Sprintf("worker %s refused member %d: %s", m.Worker(), i, mp.refusalReason)}}
		case mp.reportedState.Final():
			return []Action{Stop{reason: fmt.Sprintf("the reservation of member %d ended: %s", i, mp.reportedState)}}
		case mp.reserved:
			reserved++
		case canSend(mp, now):
			actions = append(actions, Send{worker: m.Worker(), order: task.NewReserve(
				task.NewID(j.Spec().ID(), i), j.FencingToken(), p.sequence+1, m.Accelerators(), p.leaseDuration, j.Spec().Payload())})
		}
	}
	if !now.Before(p.takenOverAt.Add(p.reserveTimeout())) {
		return []Action{Stop{reason: "not all members could be reserved in time"}}
	}
	if reserved == len(p.members) {
		return []Action{Start{}}
	}
	return actions
}

func stepStarted(j job.Job, p Progress, now time.Time) (actions []Action) {
	succeeded, unreachable, confirmed, answered := 0, 0, 0, p.allAnswered()
	for i, m := range j.Members() {
		mp := &p.members[i]
		if mp.reportedState == task.Succeeded {
			succeeded++
			continue
		}
		if mp.unreachable {
			unreachable++
		}
		if mp.throttle.confirmed(j.Speed()) {
			confirmed++
		}
		if reason := lossReason(mp, now); reason != "" {
			return []Action{Stop{reason: fmt.Sprintf("member %d on worker %s: %s", i, m.Worker(), reason)}}
		}
		if p.pendingInEvacuatedZone(mp, now) {
			return []Action{Stop{reason: zoneEvacuated(m.Worker(), i)}}
		}
		if o := p.nextOrder(j, i, answered, now); o != nil {
			actions = append(actions, Send{worker: m.Worker(), order: o})
		}
	}
	if succeeded == len(p.members) {
		return []Action{End{result: job.Succeeded, reason: "all members succeeded"}}
	}
	if unreachable > 0 && unreachable+succeeded < len(p.members) {
		return []Action{Stop{reason: "a member's worker does not answer"}}
	}
	if j.Speed() == job.Throttling && confirmed+succeeded == len(p.members) {
		return []Action{MarkThrottled{}}
	}
	return actions
}

func zoneEvacuated(worker string, index int) string {
	return fmt.Sprintf("the availability zone of worker %s was evacuated before member %d began", worker, index)
}

// lossReason returns why a member of a started gang counts as lost, empty if it does not.
func lossReason(m *memberProgress, now time.Time) string {
	switch {
	case m.reportedState.Final():
		return "ended: " + string(m.reportedState)
	case m.refusalReason != "":
		return "refused to start: " + m.refusalReason
	case !m.refusedAt.IsZero() && !now.Before(m.refusedAt.Add(endReportTimeout)):
		return "its renewal or throttling was refused"
	case m.confirmedLease.Expired(now):
		return "its lease is over"
	default:
		return ""
	}
}

// nextOrder returns the order to send to a member of a started gang, nil if none is due.
func (p Progress) nextOrder(j job.Job, i int, answered bool, now time.Time) task.Order {
	m, id := &p.members[i], task.NewID(j.Spec().ID(), i)
	switch {
	case !canSend(m, now):
		return nil
	case m.confirmedSequence == 0:
		return task.NewRenew(id, p.fencingToken, p.sequence+1, 0, p.leaseDuration)
	case !answered:
		return nil
	case !m.started && !m.evacuated:
		return task.NewStart(id, p.fencingToken)
	case !m.throttle.confirmed(j.Speed()):
		return task.NewThrottle(id, p.fencingToken, p.sequence+1, percentOf(j.Speed()))
	case now.Before(m.renewalSentAt.Add(p.leaseDuration / renewalsPerLease)):
		return nil
	default:
		elapsed := min(now.Sub(m.confirmedAt), p.leaseDuration/renewalsPerLease)
		return task.NewRenew(id, p.fencingToken, p.sequence+1, m.confirmedSequence, p.leaseDuration+elapsed-elapsed*clockMarginPercent/100)
	}
}

func stepStopping(j job.Job, p Progress, now time.Time) (actions []Action) {
	released := 0
	for i, m := range j.Members() {
		mp := &p.members[i]
		switch {
		case mp.released(now):
			released++
		case canSend(mp, now):
			actions = append(actions, Send{worker: m.Worker(), order: task.NewStop(
				task.NewID(j.Spec().ID(), i), j.FencingToken(), j.Spec().Checkpointable())})
		}
	}
	if released == len(p.members) {
		return []Action{finalAction(j, p, now)}
	}
	return actions
}

// finalAction ends a stopping job or queues it again, after all members have released their accelerators.
func finalAction(j job.Job, p Progress, now time.Time) Action {
	failed, succeeded := 0, 0
	for i := range p.members {
		switch p.members[i].reportedState {
		case task.Failed:
			failed++
		case task.Succeeded:
			succeeded++
		case task.Reserved, task.Running, task.Stopped, task.Expired:
		}
	}
	switch {
	case succeeded == len(p.members):
		return End{result: job.Succeeded, reason: "all members succeeded"}
	case j.Reason() == job.CancelReason:
		return End{result: job.Cancelled, reason: job.CancelReason}
	case j.Attempts() == 0:
		return Requeue{reason: j.Reason(), notBefore: now.Add(retryDelay(j.FailedReservations()))}
	case failed > 0:
		return End{result: job.Failed, reason: j.Reason()}
	case !j.Spec().Idempotent():
		return End{result: job.MayHaveRun, reason: j.Reason()}
	case j.Attempts() >= maxAttempts:
		return End{result: job.Failed, reason: fmt.Sprintf("%d attempts: %s", j.Attempts(), j.Reason())}
	default:
		return Requeue{reason: j.Reason(), notBefore: now.Add(retryDelay(j.FailedReservations()))}
	}
}

// retryDelay returns the delay before the next placement after consecutive reservations that were not started; it doubles
// with each of them.
func retryDelay(failedReservations int) time.Duration {
	d := minRetryDelay
	for range failedReservations {
		if d = 2 * d; d >= maxRetryDelay {
			return maxRetryDelay
		}
	}
	return d
}

// canSend reports whether the latest order to the member was accepted, or was sent at least resendInterval ago.
func canSend(m *memberProgress, now time.Time) bool {
	return m.pendingSince.IsZero() || !now.Before(m.pendingSince.Add(resendInterval))
}
