package control

import (
	"rosemarywind.example/rosemarywind/internal/board"
	"rosemarywind.example/rosemarywind/internal/job"
)

// tell publishes and logs which guarantees cannot be held, and adds that to the explanations of the jobs
// that wait in these workspaces.
func (s *scheduler) tell(explains, short board.Table[string]) board.Table[string] {
	old, changed := s.control.board.short.Load(), false
	for name, why := range short.All() {
		if before, _ := old.Get(name); before != why {
			changed = true
			s.control.logger.Warn("guarantee cannot be held", "workspace", name, "reason", why)
		}
	}
	for name := range old.All() {
		if _, still := short.Get(name); !still {
			changed = true
			s.control.logger.Info("guarantee can be held again", "workspace", name)
		}
	}
	if changed {
		s.control.board.short.Publish(short)
	}
	for id, j := range s.seen.unfinished.All() {
		if why, ok := short.Get(j.Spec().Workspace()); ok && j.State() == job.Queued {
			text, _ := explains.Get(id)
			explains = explains.With(id, text+"; "+why)
		}
	}
	return explains
}
