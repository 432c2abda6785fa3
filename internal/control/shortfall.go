package control

import (
	"maps"

	"rosemarywind.example/rosemarywind/internal/board"
	"rosemarywind.example/rosemarywind/internal/job"
)

// tell publishes and logs which guarantees cannot be held, and adds that to the explanations of the jobs
// that wait in these workspaces.
func (s *scheduler) tell(explains board.Table[string], short map[string]string) board.Table[string] {
	old := *s.control.board.short.Load()
	for name, why := range short {
		if old[name] != why {
			s.control.logger.Warn("guarantee cannot be held", "workspace", name, "reason", why)
		}
	}
	for name := range old {
		if _, still := short[name]; !still {
			s.control.logger.Info("guarantee can be held again", "workspace", name)
		}
	}
	if !maps.Equal(old, short) {
		s.control.board.short.Publish(&short)
	}
	for id, j := range s.seen.unfinished.All() {
		if why, ok := short[j.Spec().Workspace()]; ok && j.State() == job.Queued {
			text, _ := explains.Get(id)
			explains = explains.With(id, text+"; "+why)
		}
	}
	return explains
}
