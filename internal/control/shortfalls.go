package control

import (
	"rosemarywind.example/rosemarywind/internal/board"
	"rosemarywind.example/rosemarywind/internal/job"
)

// publishShortfalls publishes and logs the guarantees that cannot be held, and returns the explanations with the reason
// added for the queued jobs of these workspaces.
func (s *scheduler) publishShortfalls(explanations, shortfalls board.Table[string]) board.Table[string] {
	old, changed := s.control.board.shortfalls.Load(), false
	for name, reason := range shortfalls.All() {
		if previous, _ := old.Get(name); previous != reason {
			changed = true
			s.control.logger.Warn("guarantee cannot be held", "workspace", name, "reason", reason)
		}
	}
	for name := range old.All() {
		if _, ok := shortfalls.Get(name); !ok {
			changed = true
			s.control.logger.Info("guarantee can be held again", "workspace", name)
		}
	}
	if changed {
		s.control.board.shortfalls.Publish(shortfalls)
	}
	for id, j := range s.input.unfinished.All() {
		if reason, ok := shortfalls.Get(j.Spec().Workspace()); ok && j.State() == job.Queued {
			text, _ := explanations.Get(id)
			explanations = explanations.With(id, text+"; "+reason)
		}
	}
	return explanations
}
