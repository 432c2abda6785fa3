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
	// maxReserveTime leaves time to send a reservation twice; urgent work that waits for a worker that does not
	// answer is placed elsewhere afterwards.
	maxReserveTime = 5 * time.Second
	// reportWithin is how long after a refused renewal the report of the member's end may take to arrive.
	reportWithin = 3 * time.Second
	// renewals is the number of tries to renew within one lease.
	renewals = 4
	// sinceMarginPercent shortens what a renewal adds to the moment that it counts from, since that part
	// passes on the worker's clock as well and the margin of the lease covers one lease only.
	sinceMarginPercent = 5
	maxAttempts        = 5
	// firstPause and longestPause bound the wait before a gang that could not be reserved is placed again;
	// urgent work must start within 6.5 s.
	firstPause   = 250 * time.Millisecond
	longestPause = 4 * time.Second
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

func reserved(j job.Job, p Progress, now time.Time) (actions []Action) {
	if p.adopted {
		return []Action{Stop{reason: "the leader changed while the members were being reserved"}}
	}
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
				task.NewID(j.Spec().ID(), i), j.Fence(), p.mark+1, m.Accelerators(), p.length, j.Spec().Payload())})
		}
	}
	if !now.Before(p.began.Add(p.reserveWithin())) {
		return []Action{Stop{reason: "not all members could be reserved in time"}}
	}
	if ready == len(p.members) {
		return []Action{Start{}}
	}
	return actions
}

func started(j job.Job, p Progress, now time.Time) (actions []Action) {
	succeeded, silent, settled, complete := 0, 0, 0, p.complete()
	for i, m := range j.Members() {
		k := &p.members[i]
		if k.reported == task.Succeeded {
			succeeded++
			continue
		}
		if k.silent {
			silent++
		}
		if k.throttle.settled(j.Speed()) {
			settled++
		}
		if reason := lost(k, now); reason != "" {
			return []Action{Stop{reason: fmt.Sprintf("member %d on worker %s: %s", i, m.Worker(), reason)}}
		}
		if o := p.order(j, i, complete, now); o != nil {
			actions = append(actions, Send{worker: m.Worker(), order: o})
		}
	}
	if succeeded == len(p.members) {
		return []Action{End{result: job.Succeeded, reason: "all members succeeded"}}
	}
	if silent > 0 && silent+succeeded < len(p.members) {
		return []Action{Stop{reason: "a member's worker does not answer"}}
	}
	if j.Speed() == job.Slowing && settled+succeeded == len(p.members) {
		return []Action{Release{}}
	}
	return actions
}

// lost returns why a member of a started gang counts as lost, or an empty string.
func lost(m *memberProgress, now time.Time) string {
	switch {
	case m.reported.Final():
		return "ended: " + string(m.reported)
	case m.refusal != "":
		return "refused to start: " + m.refusal
	case !m.denied.IsZero() && !now.Before(m.denied.Add(reportWithin)):
		return "its renewal or throttling was refused"
	case m.confirmed.Expired(now):
		return "its lease is over"
	default:
		return ""
	}
}

// order returns the order that a member of a started gang is due, nil when there is none.
func (p Progress) order(j job.Job, i int, complete bool, now time.Time) task.Order {
	m, id := &p.members[i], task.NewID(j.Spec().ID(), i)
	switch {
	case !due(m, now):
		return nil
	case m.anchor == 0:
		return task.NewRenew(id, p.fence, p.mark+1, 0, p.length)
	case !complete:
		return nil
	case !m.started:
		return task.NewStart(id, p.fence)
	case !m.throttle.settled(j.Speed()):
		return task.NewThrottle(id, p.fence, p.mark+1, percentOf(j.Speed()))
	case now.Before(m.asked.Add(p.length / renewals)):
		return nil
	default:
		passed := min(now.Sub(m.anchorAt), p.length/renewals)
		return task.NewRenew(id, p.fence, p.mark+1, m.anchor, p.length+passed-passed*sinceMarginPercent/100)
	}
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
		return []Action{ending(j, p, now)}
	}
	return actions
}

// ending decides what becomes of a job whose members are all over.
func ending(j job.Job, p Progress, now time.Time) Action {
	failed, succeeded := 0, 0
	for i := range p.members {
		switch p.members[i].reported {
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
		return Requeue{reason: j.Reason(), notBefore: now.Add(pause(j.Setbacks()))}
	case failed > 0:
		return End{result: job.Failed, reason: j.Reason()}
	case !j.Spec().Idempotent():
		return End{result: job.MayHaveRun, reason: j.Reason()}
	case j.Attempts() >= maxAttempts:
		return End{result: job.Failed, reason: fmt.Sprintf("%d attempts: %s", j.Attempts(), j.Reason())}
	default:
		return Requeue{reason: j.Reason(), notBefore: now.Add(pause(j.Setbacks()))}
	}
}

// pause returns how long a job waits after the given number of reservations in a row that were not started.
func pause(setbacks int) time.Duration {
	d := firstPause
	for range setbacks {
		if d = 2 * d; d >= longestPause {
			return longestPause
		}
	}
	return d
}

// due reports whether no order is under way to the member.
func due(m *memberProgress, now time.Time) bool {
	return m.lastSent.IsZero() || !now.Before(m.lastSent.Add(resendAfter))
}
