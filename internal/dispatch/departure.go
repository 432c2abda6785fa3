package dispatch

import (
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/run"
)

// departureMargin is the time before a worker's earliest departure at which its long-running tasks move in any case.
const departureMargin = time.Second

// departureReason returns why a long-running task has to leave a draining worker, or an empty string. The task
// moves while fewer other tasks of its step are not working than the step tolerates, and in any case if all others
// work or departureMargin is reached. Other runs stay, since workers often stay longer than announced.
func (c *Core) departureReason(now time.Time, j *batch.Job, id run.ID, h *host) string {
	step := j.Spec().Steps()[id.Task().Step()]
	if h == nil || !h.announcement.Draining() || !step.LongRunning() {
		return ""
	}
	leavesAt := h.announcedAt.Add(h.announcement.Remaining())
	if c.countNotWorking(j, id) < max(step.MaxUnavailable(), 1) || now.After(leavesAt.Add(-departureMargin)) {
		return "its worker leaves"
	}
	return ""
}

// countNotWorking counts the other tasks of a long-running step that are not working.
func (c *Core) countNotWorking(j *batch.Job, id run.ID) (count int) {
	task := id.Task()
	for n, t := range j.Tasks(task.Occurrence(), task.Step()).All() {
		other := run.NewID(batch.NewTaskID(task.Job(), task.Occurrence(), task.Step(), n), t.Run())
		p, listed := c.progress[other]
		o := c.orders[other]
		stopped := o != nil && !o.stopOrderedAt.IsZero()
		if n != task.Index() && (t.Phase() != batch.Placed || !listed || p.percent() < fullProgress || stopped) {
			count++
		}
	}
	return count
}
