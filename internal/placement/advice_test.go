package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/placement"
)

// decideWithVerdicts returns the plan under the given verdicts on workers, by number, for step 0 of job j.
func (f *fixture) decideWithVerdicts(verdicts map[int]placement.Verdict) placement.Plan {
	known := map[batch.Incarnation]placement.Verdict{}
	for n, v := range verdicts {
		known[incarnation(n)] = v
	}
	v := placement.NewView(f.now, f.state, f.workers, f.stopped, remoteFactor)
	return placement.Decide(v.WithVerdicts(placement.Verdicts{batch.NewTaskID("j", 0, 0, 0): known}))
}

// assertAsked checks that the plan's inquiry lists the given number of workers and none of those with a verdict.
func assertAsked(t *testing.T, p placement.Plan, want int, known ...int) {
	t.Helper()
	i, _ := p.Inquiry()
	assert.Len(t, i.Workers(), want)
	for _, n := range known {
		assert.NotContains(t, i.Workers(), incarnation(n))
	}
}

// startedOn returns the workers on which a plan starts tasks, once for each task.
func startedOn(p placement.Plan) (workers []batch.Incarnation) {
	for _, g := range p.Groups() {
		for _, m := range g.Members() {
			workers = append(workers, m.Worker())
		}
	}
	return workers
}

// Guards against tasks of an advised queue that start without the advisor's approval, and against inquiries that list
// more workers than a step needs or workers whose verdict is known.
func TestAdvice(t *testing.T) {
	f := newFixture(t)
	f.submit("j", advised, "a", batch.NewStep(2, gpus(8), time.Second))
	t.Run("no start without verdicts, inquiry limited by waiting tasks", func(t *testing.T) {
		p := f.decideWithVerdicts(nil)
		assert.Empty(t, startedOn(p))
		assertAsked(t, p, 4)
	})
	t.Run("start on an approved worker, inquiry for the rest", func(t *testing.T) {
		p := f.decideWithVerdicts(map[int]placement.Verdict{0: placement.Denied, 1: placement.Approved})
		assert.Equal(t, []batch.Incarnation{incarnation(1)}, startedOn(p))
		assertAsked(t, p, 2, 0, 1)
	})
	t.Run("inquiry about a worker whose ticket has expired", func(t *testing.T) {
		verdicts := map[int]placement.Verdict{5: placement.Expired}
		for n := range 5 {
			verdicts[n] = placement.Denied
		}
		p := f.decideWithVerdicts(verdicts)
		assert.Empty(t, startedOn(p))
		assertAsked(t, p, 1, 0, 1, 2, 3, 4)
	})
	t.Run("no inquiry when all tasks start", func(t *testing.T) {
		p := f.decideWithVerdicts(map[int]placement.Verdict{1: placement.Approved, 2: placement.Approved})
		assert.Len(t, startedOn(p), 2)
		assertAsked(t, p, 0)
	})
	t.Run("no inquiry for other queues", func(t *testing.T) {
		other := newFixture(t)
		other.submit("j", patient, "a", batch.NewStep(2, gpus(8), time.Second))
		p := other.decideWithVerdicts(nil)
		assert.Len(t, startedOn(p), 2)
		assertAsked(t, p, 0)
	})
}
