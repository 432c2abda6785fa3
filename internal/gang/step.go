package gang

import (
	"fmt"
	"time"

	"rosemarywind.example/rosemarywind/internal/job"
	"rosemarywind.example/rosemarywind/internal/task"
)

const (
	// resendAfter is longer than an agent takes to answer an order.
	resendAfter = 4 * time.Second
	// reserveWithin bounds how long accelerators are held for a gang that cannot be completed.
	reserveWithin = 20 * time.Second
	// renewals is the number of tries to renew within one lease.
	renewals    = 4
	maxAttempts = 5
)

// Step returns what the leader does next for a job that holds accelerators.
func Step(j job.Job, p Progress, now time.Time) []Action {
	switch j.State() {
	case job.Reserved:
		return reserved(j, p, now)
	case job.Started:
		return started(j, p, now)
	case job.Stopping:
		return stopping(j, p, now)
	case job.Queued, job.Done:
		return nil
	}
	return nil
}

// Next returns when Step is due again if nothing else happens.
func Next(j job.Job, p Progress, now time.Time) time.Time {
	next := now.Add(p.length / renewals)
	for i := range p.members {
		m := &p.members[i]
		if due := m.lastSent.Add(resendAfter); !m.lastSent.IsZero() && due.After(now) && due.Before(next) {
			next = due
		}
		if due := m.granted.OverAt(); j.State() == job.Stopping && due.After(now) && due.Before(next) {
			next = due
		}
	}
	if due := p.began.Add(reserveWithin); j.State() == job.Reserved && due.After(now) && due.Before(next) {
		next = due
	}
	return next
}

func reserved(j job.Job, p Progress, now time.Time) (actions []Action) {
	ready := 0
	for i, m := range j.Members() {
		k := &p.members[i]
		switch {
		case k.refusal != "":
			return []Action{Stop{reason: fmt.Sprintf("worker %s refused member %d: %s", m.Worker(), i, k.refusal)}}
		case k.reported.Final():
			return []Action{Stop{reason: fmt.Sprintf("the reservation of member %d ended: %s", i, k.reported)}}
		case k.reserved:
			ready++
		case due(k, now):
			actions = append(actions, Send{worker: m.Worker(), order: task.NewReserve(
				task.NewID(j.Spec().ID(), i), j.Fence(), m.Accelerators(), p.length, j.Spec().Payload())})
		}
	}
	if ready == len(p.members) {
		return []Action{Start{}}
	}
	if !now.Before(p.began.Add(reserveWithin)) {
		return []Action{Stop{reason: "not all members could be reserved in time"}}
	}
	return actions
}

func started(j job.Job, p Progress, now time.Time) (actions []Action) {
	succeeded, silent := 0, 0
	for i, m := range j.Members() {
		k := &p.members[i]
		if k.reported == task.Succeeded {
			succeeded++
			continue
		}
		if k.silent {
			silent++
		}
		switch {
		case k.reported.Final():
			return []Action{Stop{reason: fmt.Sprintf("member %d on worker %s ended: %s", i, m.Worker(), k.reported)}}
		case k.refusal != "":
			return []Action{Stop{reason: fmt.Sprintf("worker %s refused to start member %d: %s", m.Worker(), i, k.refusal)}}
		case k.granted.Over(now):
			return []Action{Stop{reason: fmt.Sprintf("the lease of member %d on worker %s is over", i, m.Worker())}}
		case !k.started && due(k, now):
			actions = append(actions, Send{worker: m.Worker(), order: task.NewStart(task.NewID(j.Spec().ID(), i), j.Fence())})
		case k.started && !now.Before(k.asked.Add(p.length/renewals)) && due(k, now):
			actions = append(actions, Send{
				worker: m.Worker(), order: task.NewRenew(task.NewID(j.Spec().ID(), i), j.Fence(), p.length),
			})
		}
	}
	if succeeded == len(p.members) {
		return []Action{End{result: job.Succeeded, reason: "all members succeeded"}}
	}
	if silent > 0 && silent+succeeded < len(p.members) {
		return []Action{Stop{reason: "a member's worker does not answer"}}
	}
	return actions
}

func stopping(j job.Job, p Progress, now time.Time) (actions []Action) {
	over := 0
	for i, m := range j.Members() {
		k := &p.members[i]
		switch {
		case k.over(now):
			over++
		case due(k, now):
			actions = append(actions, Send{worker: m.Worker(), order: task.NewStop(
				task.NewID(j.Spec().ID(), i), j.Fence(), j.Spec().Checkpointable())})
		}
	}
	if over == len(p.members) {
		return []Action{ending(j, p)}
	}
	return actions
}

// ending decides what becomes of a job whose members are all over.
func ending(j job.Job, p Progress) Action {
	switch {
	case j.Reason() == job.CancelReason:
		return End{result: job.Cancelled, reason: job.CancelReason}
	case j.Attempts() == 0:
		return Requeue{reason: j.Reason()}
	case failedItself(p):
		return End{result: job.Failed, reason: j.Reason()}
	case !j.Spec().Idempotent():
		return End{result: job.MayHaveRun, reason: j.Reason()}
	case j.Attempts() >= maxAttempts:
		return End{result: job.Failed, reason: fmt.Sprintf("%d attempts: %s", j.Attempts(), j.Reason())}
	default:
		return Requeue{reason: j.Reason()}
	}
}

// failedItself reports whether a member ended by its own failure.
func failedItself(p Progress) bool {
	for i := range p.members {
		if p.members[i].reported == task.Failed {
			return true
		}
	}
	return false
}

// due reports whether no order is under way to the member.
func due(m *memberProgress, now time.Time) bool {
	return m.lastSent.IsZero() || !now.Before(m.lastSent.Add(resendAfter))
}
