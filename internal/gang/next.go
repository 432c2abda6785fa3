package gang

import (
	"time"

	"rosemarywind.example/rosemarywind/internal/job"
	"rosemarywind.example/rosemarywind/internal/task"
)

// NextStepAt returns when Step must be called again if no reply, report or change of the job arrives before.
func NextStepAt(j job.Job, p Progress, now time.Time) time.Time {
	next := now.Add(p.leaseDuration / renewalsPerLease)
	earlier := func(t time.Time) {
		if t.After(now) && t.Before(next) {
			next = t
		}
	}
	if j.State() == job.Reserved {
		earlier(p.takenOverAt.Add(p.reserveTimeout()))
	}
	for i := range p.members {
		m := &p.members[i]
		if !m.pendingSince.IsZero() {
			earlier(m.pendingSince.Add(resendInterval))
		}
		switch j.State() {
		case job.Started:
			if m.reportedState == task.Succeeded {
				continue
			}
			earlier(m.renewalSentAt.Add(p.leaseDuration / renewalsPerLease))
			earlier(m.confirmedLease.ExpiresAt())
			if !m.refusedAt.IsZero() {
				earlier(m.refusedAt.Add(endReportTimeout))
			}
		case job.Stopping:
			earlier(m.possibleLease.ExpiresAt())
		case job.Queued, job.Reserved, job.Done:
		}
	}
	return next
}
