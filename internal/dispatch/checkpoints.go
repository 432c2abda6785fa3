package dispatch

import (
	"slices"
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/run"
)

const (
	// saveInterval is the interval between commits of checkpoints. A run whose worker is lost repeats about as much
	// work.
	saveInterval = time.Second
	// maxCheckpoints bounds the checkpoints in one commit, at about 100 B each. If there are more, the runs whose
	// checkpoint was committed longest ago come first.
	maxCheckpoints = 128
)

// chooseCheckpoints returns the checkpoints to commit, so that they survive the loss of the worker and of this
// leader.
func (c *Core) chooseCheckpoints(now time.Time, s batch.State) (marks []batch.RunCheckpoint) {
	if now.Sub(c.lastSave) < saveInterval {
		return nil
	}
	c.lastSave = now
	type candidate struct {
		mark batch.RunCheckpoint
		at   time.Time
	}
	var list []candidate
	for _, h := range sortedHosts(c.hosts) {
		if !h.hasCurrentList(c.fencingToken) {
			continue
		}
		for _, r := range h.list.Running() {
			if unsaved(s, r, h.list.Incarnation()) {
				list = append(list, candidate{
					mark: batch.NewRunCheckpoint(r.ID().Task(), r.ID().Run(), r.Checkpoint()), at: c.ordersOf(r.ID()).savedAt,
				})
			}
		}
	}
	slices.SortStableFunc(list, func(a, b candidate) int { return a.at.Compare(b.at) })
	for _, e := range list[:min(len(list), maxCheckpoints)] {
		c.ordersOf(run.NewID(e.mark.Task(), e.mark.Run())).savedAt = now
		marks = append(marks, e.mark)
	}
	return marks
}

// unsaved reports whether a listed run has a checkpoint that is not committed yet.
func unsaved(s batch.State, r run.Running, incarnation batch.Incarnation) bool {
	if r.Checkpoint() == "" || unplaced(s, r.ID(), incarnation) {
		return false
	}
	id := r.ID().Task()
	j, _ := s.Job(id.Job())
	// The members of a gang share one checkpoint, that of the first member.
	if id.Index() > 0 && j.Spec().Steps()[id.Step()].Gang() {
		return false
	}
	return j.Active() && j.Checkpoint(id) != r.Checkpoint()
}

// withoutOlderCheckpoint returns the end without its checkpoint if another member of its gang was stopped in the same run: a
// stop saves a new checkpoint, and the members that end by themselves after it list earlier ones. A leader that takes
// over meanwhile does not know of the stop, and the gang repeats up to one checkpoint interval.
func (c *Core) withoutOlderCheckpoint(e batch.End) batch.End {
	j, known := c.state.Job(e.Task().Job())
	if !known || e.Checkpoint() == "" || !j.Spec().Steps()[e.Task().Step()].Gang() {
		return e
	}
	key := e.Task().StepKey()
	switch {
	case e.Outcome() == batch.Stopped:
		c.stoppedGangs[key] = e.Run()
	case c.stoppedGangs[key] == e.Run():
		return batch.NewEnd(e.Task(), e.Run(), e.Outcome(), "")
	}
	return e
}

// forgetStoppedGangs drops what is known of the gangs of jobs that have ended.
func (c *Core) forgetStoppedGangs(s batch.State) {
	for key := range c.stoppedGangs {
		if j, known := s.Job(key.Job()); !known || !j.Active() {
			delete(c.stoppedGangs, key)
		}
	}
}
