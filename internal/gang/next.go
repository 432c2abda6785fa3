package gang

import (
	"time"

	"rosemarywind.example/rosemarywind/internal/job"
	"rosemarywind.example/rosemarywind/internal/task"
)

// Next returns when Step is due again if nothing else happens.
func Next(j job.Job, p Progress, now time.Time) time.Time {
	next := now.Add(p.length / renewals)
	earlier := func(t time.Time) {
		if t.After(now) && t.Before(next) {
			next = t
		}
	}
	if j.State() == job.Reserved {
		earlier(p.began.Add(p.reserveWithin()))
	}
	for i := range p.members {
		m := &p.members[i]
		if !m.lastSent.IsZero() {
			earlier(m.lastSent.Add(resendAfter))
		}
		switch j.State() {
		case job.Started:
			if m.reported == task.Succeeded {
				continue
			}
			earlier(m.asked.Add(p.length / renewals))
			earlier(m.confirmed.ExpiresAt())
			if !m.denied.IsZero() {
				earlier(m.denied.Add(reportWithin))
			}
		case job.Stopping:
			earlier(m.granted.ExpiresAt())
		case job.Queued, job.Reserved, job.Done:
		}
	}
	return next
}
