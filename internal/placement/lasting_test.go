package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/placement"
	"rosemarywind.example/rosemarywind/internal/run"
)

// stopsFor decides with the given lasting runs of a job at work, and returns how many are stopped.
func (w *world) stopsFor(job string, working int) (count int) {
	w.t.Helper()
	runs := map[run.ID]bool{}
	for n := range working {
		runs[run.NewID(batch.NewTaskID(job, 0, 0, n), 1)] = true
	}
	v := placement.NewView(w.now, w.state, w.workers, w.told, far)
	p := placement.Decide(v.WithForecast(placement.NewForecast(nil, nil).WithWorking(runs)))
	for _, id := range p.Stops() {
		if id.Task().Job() == job {
			count++
		}
	}
	return count
}

func service(count, accelerators, mayMiss int) batch.Step {
	return batch.NewStep(count, gpus(accelerators), 0, batch.WithLongRunning(true, mayMiss))
}

// Guards against services of long-running tasks that keep guaranteed accelerators, and against more of their tasks
// stopped at once than they bear.
func TestLasting(t *testing.T) {
	t.Run("starts at once beside batch work", func(t *testing.T) {
		w := newWorld(t)
		w.submit("service", scans, "b", service(3, 8, 1))
		w.decide()
		w.assertPlaced("service", 3)
	})
	t.Run("leaves guaranteed accelerators free once half are in use", func(t *testing.T) {
		w := newWorld(t)
		w.submit("service", scans, "b", service(6, 8, 1))
		w.decide()
		w.assertPlaced("service", 3)
	})
	t.Run("stopped for a guarantee only as far as it bears", func(t *testing.T) {
		for mayMiss, want := range map[int]int{1: 1, 2: 2, 0: 4} {
			w := newWorld(t)
			w.submit("service", scans, "b", service(6, 4, mayMiss))
			w.decide()
			w.assertPlaced("service", 6)
			w.submit("fill", scans, "b", batch.NewStep(6, gpus(4), time.Minute))
			w.decide()
			w.submit("urgent", urgent, "a", gang(2, 8, time.Second))
			assert.LessOrEqual(t, w.stopsFor("service", 6), want, "may miss %d", mayMiss)
		}
	})
	t.Run("not stopped while others of it are away", func(t *testing.T) {
		w := newWorld(t)
		w.submit("service", scans, "b", service(6, 4, 1))
		w.decide()
		w.submit("urgent", urgent, "a", gang(6, 8, time.Second))
		assert.Zero(t, w.stopsFor("service", 5))
	})
}
