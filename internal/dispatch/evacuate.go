package dispatch

import (
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/run"
)

// lastCall is how long before its worker may be gone a task that lasts is moved in any case.
const lastCall = time.Second

// evacuate returns why a lasting task leaves a worker that is about to go, or an empty string: it moves while as many
// others of its step work as they need. Other runs stay, since workers often stay longer than they promise.
func (c *Core) evacuate(now time.Time, j *batch.Job, id run.ID, h *host) string {
	step := j.Spec().Steps()[id.Task().Step()]
	if h == nil || !h.announcement.Draining() || !step.LongRunning() {
		return ""
	}
	gone := h.announcedAt.Add(h.announcement.Remaining())
	if c.away(j, id) < max(step.MaxUnavailable(), 1) || now.After(gone.Add(-lastCall)) {
		return "its worker leaves"
	}
	return ""
}

// away counts the other tasks of a lasting step that are not at work.
func (c *Core) away(j *batch.Job, id run.ID) (count int) {
	task := id.Task()
	for n, t := range j.Tasks(task.Occurrence(), task.Step()) {
		other := run.NewID(batch.NewTaskID(task.Job(), task.Occurrence(), task.Step(), n), t.Run())
		p, listed := c.progress[other]
		o := c.ordered[other]
		stopped := o != nil && !o.stopped.IsZero()
		if n != task.Index() && (t.Phase() != batch.Placed || !listed || p.percent() < whole || stopped) {
			count++
		}
	}
	return count
}
