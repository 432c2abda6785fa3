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

// countNotWorking counts the other tasks of a long-running step that are not working. The count of all tasks of the step is
// kept for the step of the core, and updated by countAsNotWorking.
func (c *Core) countNotWorking(j *batch.Job, id run.ID) (count int) {
	task := id.Task()
	count, known := c.notWorking[task.StepKey()]
	if !known {
		for n, t := range j.Tasks(task.Occurrence(), task.Step()).All() {
			other := run.NewID(batch.NewTaskID(task.Job(), task.Occurrence(), task.Step(), n), t.Run())
			if t.Phase() != batch.Placed || !c.isWorking(other) {
				count++
			}
		}
		c.notWorking[task.StepKey()] = count
	}
	if !c.isWorking(id) {
		count--
	}
	return count
}

// isWorking reports whether a placed run serves and was not told to stop.
func (c *Core) isWorking(id run.ID) bool {
	o := c.orders[id]
	return c.isServing(id) && (o == nil || o.stopOrderedAt.IsZero())
}

// isServing reports whether a placed run is complete, as that of a long-running task is while it serves. What was reported
// of a worker that is out of contact does not show that.
func (c *Core) isServing(id run.ID) bool {
	p, listed := c.progress[id]
	if !listed || p.percent() < fullProgress {
		return false
	}
	j, known := c.state.Job(id.Task().Job())
	if !known {
		return false
	}
	t, _ := j.Task(id.Task())
	h := c.hosts[t.Worker().Host()]
	return h != nil && h.connected && !h.unreachable
}

// countAsNotWorking updates the count of tasks that are not working before a run is told to stop or its end is recorded.
func (c *Core) countAsNotWorking(id run.ID) {
	key := id.Task().StepKey()
	if count, known := c.notWorking[key]; known && c.isWorking(id) {
		c.notWorking[key] = count + 1
	}
}
