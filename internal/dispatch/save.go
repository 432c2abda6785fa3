package dispatch

import (
	"slices"
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/run"
)

const (
	// saveInterval is how often checkpoints are committed; a run whose worker is lost repeats about as much.
	saveInterval = time.Second
	// maxSaved bounds the checkpoints of one commit, at 100 B each; with more runs, those saved longest ago come first.
	maxSaved = 128
)

// save chooses the checkpoints to commit, so that they outlive the worker and this leader.
func (c *Core) save(now time.Time, s batch.State) (marks []batch.RunCheckpoint) {
	if now.Sub(c.saved) < saveInterval {
		return nil
	}
	c.saved = now
	type candidate struct {
		mark batch.RunCheckpoint
		at   time.Time
	}
	var list []candidate
	for _, h := range sortedHosts(c.hosts) {
		if !h.current(c.fence) {
			continue
		}
		for _, r := range h.list.Running() {
			if unsaved(s, r, h.list.Incarnation()) {
				list = append(list, candidate{
					mark: batch.NewRunCheckpoint(r.ID().Task(), r.ID().Run(), r.Checkpoint()), at: c.note(r.ID()).saved,
				})
			}
		}
	}
	slices.SortStableFunc(list, func(a, b candidate) int { return a.at.Compare(b.at) })
	for _, e := range list[:min(len(list), maxSaved)] {
		c.note(run.NewID(e.mark.Task(), e.mark.Run())).saved = now
		marks = append(marks, e.mark)
	}
	return marks
}

// unsaved reports whether a listed run has a checkpoint that the state does not have.
func unsaved(s batch.State, r run.Running, life batch.Incarnation) bool {
	if r.Checkpoint() == "" || stray(s, r.ID(), life) {
		return false
	}
	id := r.ID().Task()
	j, _ := s.Job(id.Job())
	// The members of a gang share their checkpoint.
	if id.Index() > 0 && j.Spec().Steps()[id.Step()].Gang() {
		return false
	}
	return j.Active() && j.Checkpoint(id) != r.Checkpoint()
}
