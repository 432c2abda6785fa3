package dispatch

import (
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/run"
)

const (
	// lingerTime is how much longer than it promised a leaving worker is expected to stay.
	lingerTime = 1500 * time.Millisecond
	// lastCall is how long before its worker may be gone a task that lasts is moved in any case.
	lastCall = time.Second
	// sunkShare is how far a run may be, in percent, to be begun anew elsewhere rather than hope that its worker stays.
	sunkShare = 50
)

// evacuate returns why a run leaves a worker that is about to go, or an empty string. Tasks that last move while as many
// others of their step work as they need; others move if they cannot end in time and keep nothing of what they did.
func (c *Core) evacuate(now time.Time, j *batch.Job, id run.ID, h *host) string {
	if h == nil || !h.announcement.Draining() {
		return ""
	}
	step := j.Spec().Steps()[id.Task().Step()]
	gone := h.announcedAt.Add(h.announcement.Remaining())
	switch {
	case step.Lasting():
		if c.away(j, id) < max(step.MayMiss(), 1) || now.After(gone.Add(-lastCall)) {
			return "its worker leaves"
		}
	case step.Checkpoints():
	default:
		p, listed := c.progress[id]
		if !listed || p.percent() >= sunkShare {
			return ""
		}
		if ends, ok := p.ends(); ok && ends.After(gone.Add(lingerTime)) {
			return "its worker leaves before it can end"
		}
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
