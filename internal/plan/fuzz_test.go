package plan_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"rosemarywind.example/rosemarywind/internal/fuzzing"
	"rosemarywind.example/rosemarywind/internal/job"
	"rosemarywind.example/rosemarywind/internal/plan"
)

// Guards against shared accelerators, partial gangs, guarantees that cannot be reclaimed and starvation,
// under any order of arrivals, ends, losses, late stops and changes of leader.
func TestAnyOrder(t *testing.T) {
	steps := fuzzing.NewCounter(t)
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(steps.Actions(map[string]func(*rapid.T){
			"":       func(*rapid.T) { w.check() },
			"submit": w.submitAny,
			"burst": func(t *rapid.T) {
				for range rapid.IntRange(2, 8).Draw(t, "burst") {
					w.submitAny(t)
				}
			},
			"decide": func(*rapid.T) { w.decide() },
			"settle": func(*rapid.T) { w.settle() },
			"pass": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "minutes")) * time.Minute)
			},
			"end": func(t *rapid.T) {
				if ids := w.ids(job.Reserved, job.Started, job.Queued); len(ids) > 0 {
					delete(w.jobs, rapid.SampledFrom(ids).Draw(t, "id"))
				}
			},
			"lose":   func(t *rapid.T) { w.down[rapid.SampledFrom(w.workers).Draw(t, "worker").Name()] = true },
			"heal":   func(*rapid.T) { clear(w.down) },
			"lead":   func(*rapid.T) { w.planner = plan.New() },
			"recall": func(t *rapid.T) { w.recall(t) },
		}))
		w.finishAll()
	})
}
