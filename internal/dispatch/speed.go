package dispatch

import (
	"slices"
	"strings"
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/run"
	"rosemarywind.example/rosemarywind/internal/speed"
)

const (
	// minObservedPercent is the least progress, in percent, over which the speed of a run is observed.
	minObservedPercent = 4
	// settledPercent is the progress from which the time before a run's first progress, in which it may have waited for
	// other members or for its checkpoint, is left out.
	settledPercent = 12
)

// window is the part of a run over which its duration is observed.
type window struct {
	waiting sample // the latest one without progress of the run's own
	moving  sample // the first one with it
	last    sample // the latest one before the run is complete
	resumed bool
	fresh   bool // whether there is a later sample than those observed so far
}

// add takes in a sample of a run that began at the given percentage.
func (w *window) add(s sample, first int) {
	switch {
	case s.percent == fullProgress:
		return
	case s.percent == first:
		w.waiting, w.resumed = s, first > 0
		return
	case w.moving.at.IsZero():
		w.moving = s
	}
	w.last, w.fresh = s, true
}

// duration returns the duration of the whole run and the percentage of it that was observed; ok is false if too little
// was. A run that resumes loads its checkpoint before its first progress.
func (w *window) duration() (d time.Duration, percent int, ok bool) {
	begin := w.moving
	if !w.resumed && !w.waiting.at.IsZero() && w.last.percent-w.moving.percent < settledPercent {
		begin = w.waiting
	}
	percent = w.last.percent - begin.percent
	elapsed := w.last.at.Sub(begin.at)
	if begin.at.IsZero() || percent < minObservedPercent || elapsed < minRateWindow {
		return 0, 0, false
	}
	return elapsed * fullProgress / time.Duration(percent), percent, true
}

// observeSpeeds passes the durations of the runs that have been listed since the last step to the model.
func (c *Core) observeSpeeds(now time.Time, s batch.State) {
	slices.SortFunc(c.listed, compareIDs)
	for _, id := range c.listed {
		p, known := c.progress[id]
		if !known || !p.window.fresh {
			continue
		}
		p.window.fresh = false
		j, known := s.Job(id.Task().Job())
		if !known {
			continue
		}
		t, _ := j.Task(id.Task())
		if t.Phase() != batch.Placed || t.Run() != id.Run() || !c.showsSpeed(j, id, t.Worker()) {
			continue
		}
		if d, percent, ok := p.window.duration(); ok {
			c.speeds.Observe(now, speed.NewObservation(id, t.Worker(), s.CurrentQueue(j).Service(), d, percent))
			c.recordDuration(id.Task(), d)
		}
	}
	c.listed = c.listed[:0]
}

// showsSpeed reports whether the duration of a run shows the speed of its worker: it is neither long-running nor paced,
// nor away from its data or from the other members of its gang.
func (c *Core) showsSpeed(j *batch.Job, id run.ID, worker batch.Incarnation) bool {
	step := j.Spec().Steps()[id.Task().Step()]
	h, known := c.hosts[worker.Host()]
	if !known || step.LongRunning() || step.BestEffort() && h.pace != nil && h.pace.percent < fullPace {
		return false
	}
	rack := h.announcement.Rack()
	if step.Rack() != "" && step.Rack() != rack {
		return false
	}
	if !step.TightlyCoupled() {
		return true
	}
	// A gang on two racks shows it at its first or its last member, since members are placed rack by rack.
	for _, n := range []int{0, step.Count() - 1} {
		member, _ := j.Task(batch.NewTaskID(id.Task().Job(), id.Task().Occurrence(), id.Task().Step(), n))
		if other, known := c.hosts[member.Worker().Host()]; !known || other.announcement.Rack() != rack {
			return false
		}
	}
	return true
}

const (
	// speedCountInterval is the interval at which the workers are counted by class of speed.
	speedCountInterval = time.Second
	// speedLogInterval is the least time between two lines about the counts, which are logged when they change.
	speedLogInterval = 10 * time.Second
)

// speedLog holds when the workers were counted by class of speed last, and what was logged last.
type speedLog struct {
	countedAt time.Time
	loggedAt  time.Time
	line      string
}

// countSpeeds counts the workers by class of speed for the metrics and the log.
func (c *Core) countSpeeds(now time.Time, a *Actions) {
	if now.Sub(c.speedLog.countedAt) < speedCountInterval {
		return
	}
	c.speedLog.countedAt = now
	a.speeds = c.speeds.Estimates(now).Counts()
	if now.Sub(c.speedLog.loggedAt) < speedLogInterval {
		return
	}
	line := strings.Join(formatCounts(a.speeds), ", ")
	if line == c.speedLog.line {
		return
	}
	c.speedLog.loggedAt, c.speedLog.line = now, line
	c.logDecision(nil, now, run.ID{}, SpeedsLearned, line)
}

// SpeedsLearned is the kind of decision that records the number of workers by class of speed.
const SpeedsLearned = "speeds"

const (
	// moveInterval is the least interval between searches for runs to move to faster workers while no task waits.
	moveInterval = 500 * time.Millisecond
	// moveIntervalPerWorker is the least interval for each known worker, since a search passes over all of them.
	moveIntervalPerWorker = time.Millisecond
)

// beginMoveSearch reports whether it is time to look for runs to move, and if so records the time of the search.
func (c *Core) beginMoveSearch(now time.Time) bool {
	interval := max(moveInterval, time.Duration(len(c.hosts))*moveIntervalPerWorker)
	if now.Sub(c.movedAt) < interval || !c.speeds.Estimates(now).Differ() {
		return false
	}
	c.movedAt = now
	return true
}

// surelySlow reports whether the worker on a host is surely far slower than a normal one.
func (h *host) surelySlow(e speed.Estimates) bool {
	return e.Of(h.announcement.Incarnation()).SurelyBelow(slowRatio)
}

// movedFromSlow is the reason of a stop that moves a run to a faster worker.
const movedFromSlow = "its worker is slow, and a faster one is free"
