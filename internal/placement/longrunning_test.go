package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/placement"
	"rosemarywind.example/rosemarywind/internal/run"
)

// countStops returns how many runs of a long-running job a decision stops while only the first servingCount
// tasks of the job are serving.
func (f *fixture) countStops(job string, servingCount int) (count int) {
	f.t.Helper()
	runs := map[run.ID]bool{}
	for n := range servingCount {
		runs[run.NewID(batch.NewTaskID(job, 0, 0, n), 1)] = true
	}
	v := placement.NewView(f.now, f.state, f.workers, f.stopped, remoteFactor)
	p := placement.Decide(v.WithForecast(placement.NewForecast(nil, nil).WithServing(runs)))
	for _, id := range p.Stops() {
		if id.Task().Job() == job {
			count++
		}
	}
	return count
}

func longRunningStep(count, accelerators, mayMiss int) batch.Step {
	return batch.NewStep(count, gpus(accelerators), 0, batch.WithLongRunning(true, mayMiss))
}

// Guards against long-running tasks that keep guaranteed accelerators from their workspaces, and against more of them
// preempted at once than their step allows.
func TestLongRunning(t *testing.T) {
	t.Run("starts at once on an empty service", func(t *testing.T) {
		f := newFixture(t)
		f.submit("service", scans, "b", longRunningStep(3, 8, 1))
		f.decide()
		f.assertPlaced("service", 3)
	})
	t.Run("leaves guaranteed accelerators free above half of all in use", func(t *testing.T) {
		f := newFixture(t)
		f.submit("service", scans, "b", longRunningStep(6, 8, 1))
		f.decide()
		f.assertPlaced("service", 3)
	})
	t.Run("preempted for a guarantee only up to its limit", func(t *testing.T) {
		for mayMiss, want := range map[int]int{1: 1, 2: 2, 0: 4} {
			f := newFixture(t)
			f.submit("service", scans, "b", longRunningStep(6, 4, mayMiss))
			f.decide()
			f.assertPlaced("service", 6)
			f.submit("fill", scans, "b", batch.NewStep(6, gpus(4), time.Minute))
			f.decide()
			f.submit("urgent", urgent, "a", gang(2, 8, time.Second))
			assert.LessOrEqual(t, f.countStops("service", 6), want, "may miss %d", mayMiss)
		}
	})
	t.Run("not preempted while another task is not serving", func(t *testing.T) {
		f := newFixture(t)
		f.submit("service", scans, "b", longRunningStep(6, 4, 1))
		f.decide()
		f.submit("urgent", urgent, "a", gang(6, 8, time.Second))
		assert.Zero(t, f.countStops("service", 5))
	})
}

// Guards against a long-running task that stays away from a mostly idle service for as long as every rack is reserved for
// urgent gangs, because other tasks of its job run.
func TestLongRunningTaskReturns(t *testing.T) {
	f := newFixture(t)
	for rack := range 3 {
		f.submit(fmt.Sprintf("busy-%d", rack), urgent, "c",
			batch.NewStep(1, gpus(4), time.Minute, batch.WithLabel(fmt.Sprintf("r%d", rack))))
	}
	f.submit("service", scans, "b", longRunningStep(2, 4, 1))
	f.decide()
	f.assertPlaced("service", 2)
	for n := range 3 {
		f.submit(fmt.Sprintf("gang-%d", n), urgent, "c", gang(2, 8, 20*time.Second))
	}
	f.decide()
	f.end(batch.NewTaskID("service", 0, 0, 0), batch.Failed)
	f.advance(500 * time.Millisecond)
	f.decide()
	f.assertPlaced("service", 1)
	f.advance(time.Second)
	f.decide()
	f.assertPlaced("service", 2)
}
