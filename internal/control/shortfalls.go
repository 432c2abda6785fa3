package control

import (
	"rosemarywind.example/rosemarywind/internal/board"
	"rosemarywind.example/rosemarywind/internal/job"
)

// publishShortfalls publishes and logs the guarantees that cannot be held, and returns the explanations with the reason
// added for the queued jobs of these workspaces. It publishes first, so that metrics and health already agree with a
// logged line.
func (s *scheduler) publishShortfalls(explanations, shortfalls board.Table[string]) board.Table[string] {
	old := s.control.board.shortfalls.Load()
	if !sameReasons(old, shortfalls) {
		s.control.board.shortfalls.Publish(shortfalls)
		s.logShortfalls(old, shortfalls)
	}
	for id, j := range s.input.unfinished.All() {
		if reason, ok := shortfalls.Get(j.Spec().Workspace()); ok && j.State() == job.Queued {
			text, _ := explanations.Get(id)
			explanations = explanations.With(id, text+"; "+reason)
		}
	}
	return explanations
}

// sameReasons reports whether two tables hold the same reasons for the same workspaces.
func sameReasons(a, b board.Table[string]) bool {
	if a.Len() != b.Len() {
		return false
	}
	for name, reason := range a.All() {
		if other, ok := b.Get(name); !ok || other != reason {
			return false
		}
	}
	return true
}

// logShortfalls logs each guarantee that cannot be held any more, or for another reason, and each that can be again.
func (s *scheduler) logShortfalls(old, shortfalls board.Table[string]) {
	for name, reason := range shortfalls.All() {
		if previous, _ := old.Get(name); previous != reason {
			s.control.logger.Warn("guarantee cannot be held", "workspace", name, "reason", reason)
		}
	}
	for name := range old.All() {
		if _, ok := shortfalls.Get(name); !ok {
			s.control.logger.Info("guarantee can be held again", "workspace", name)
		}
	}
}
