package plan_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"rosemarywind.example/rosemarywind/internal/fuzzing"
	"rosemarywind.example/rosemarywind/internal/job"
	"rosemarywind.example/rosemarywind/internal/plan"
)

// TestRandomOperations guards against accelerators that are assigned twice, gangs placed in part, guarantees that
// cannot be reclaimed, and starvation. It applies arrivals, ends, lost workers, delayed stops and changes of leader
// in random order.
func TestRandomOperations(t *testing.T) {
	steps := fuzzing.NewCounter(t)
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(steps.CountActions(map[string]func(*rapid.T){
			"":       func(*rapid.T) { w.check() },
			"submit": w.submitAny,
			"burst": func(t *rapid.T) {
				for range rapid.IntRange(2, 8).Draw(t, "burst") {
					w.submitAny(t)
				}
			},
			"decide":       func(*rapid.T) { w.decide() },
			"startAndStop": func(*rapid.T) { w.completeTransitions() },
			"passTime": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "minutes")) * time.Minute)
			},
			"end": func(t *rapid.T) {
				if ids := w.ids(job.Reserved, job.Started, job.Queued); len(ids) > 0 {
					delete(w.jobs, rapid.SampledFrom(ids).Draw(t, "id"))
				}
			},
			"loseWorker": func(t *rapid.T) {
				w.unreachable[rapid.SampledFrom(w.workers).Draw(t, "worker").Name()] = true
			},
			"healWorkers":  func(*rapid.T) { clear(w.unreachable) },
			"leaderChange": func(*rapid.T) { w.planner = plan.New() },
			"reclaim":      func(t *rapid.T) { w.reclaimGuarantees(t) },
		}))
		w.finishAll()
	})
}
