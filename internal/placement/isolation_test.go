package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/placement"
)

// crash ends the run of a task as lost, and records that its worker crashed soon after the start.
func (f *fixture) crash(task batch.TaskID) {
	f.t.Helper()
	t := f.task(task)
	f.apply(batch.NewRecordCrashes(f.now, batch.NewRunCrash(task, t.Run(), t.Worker().Host(), batch.CrashedAmongOthers)))
	f.end(task, batch.Lost)
}

func (f *fixture) task(id batch.TaskID) batch.Task {
	j, _ := f.state.Job(id.Job())
	t, _ := j.Task(id)
	return t
}

// assertWaits checks that a step waits for the given reason.
func assertWaits(t *testing.T, p placement.Plan, job string, want placement.Reason) {
	t.Helper()
	for _, w := range p.Waits() {
		if w.Step().Job() == job {
			assert.Equal(t, want, w.Reason())
			return
		}
	}
	assert.Fail(t, "the step does not wait", "job %s", job)
}

// oneTask returns a step of one small task, of which a worker holds several.
func oneTask() batch.Step {
	return batch.NewStep(1, batch.NewResources(1000, 1000, 1), 10*time.Second)
}

// Guards against a task that is blamed again and again for the crashes of its neighbour on the worker, since both start
// there together after each crash.
func TestIsolation(t *testing.T) {
	suspect := batch.NewTaskID("suspect", 0, 0, 0)
	// onlyWorker leaves one worker in the view, on which the task was placed when the worker crashed.
	onlyWorker := func(t *testing.T) *fixture {
		f := newFixture(t)
		f.workers = f.workers[:1]
		f.submit("suspect", patient, "a", oneTask())
		f.decide()
		f.crash(suspect)
		return f
	}
	t.Run("no start beside a recent one", func(t *testing.T) {
		f := onlyWorker(t)
		f.submit("other", urgent, "a", oneTask())
		p := f.decide()
		f.assertPlaced("other", 1)
		f.assertPlaced("suspect", 0)
		assertWaits(t, p, "suspect", placement.NotIsolated)
		f.advance(placement.StartupTime)
		f.decide()
		f.assertPlaced("suspect", 1)
	})
	t.Run("no other start beside it", func(t *testing.T) {
		f := onlyWorker(t)
		f.decide()
		f.assertPlaced("suspect", 1)
		f.submit("other", urgent, "a", oneTask())
		f.decide()
		f.assertPlaced("other", 0)
		f.advance(placement.StartupTime)
		f.decide()
		f.assertPlaced("other", 1)
	})
	t.Run("neither in one decision", func(t *testing.T) {
		f := onlyWorker(t)
		f.submit("other", patient, "a", oneTask())
		f.decide()
		j, _ := f.state.Job("other")
		assert.NotEqual(t, f.task(suspect).Phase() == batch.Placed, j.HasPlaced())
	})
	t.Run("on another host, with the fewest runs", func(t *testing.T) {
		f := newFixture(t)
		f.submit("suspect", patient, "a", oneTask())
		f.decide()
		first := f.task(suspect).Worker()
		f.submit("neighbours", patient, "a", batch.NewStep(4, batch.NewResources(1000, 1000, 8), time.Minute))
		f.decide()
		f.advance(placement.StartupTime)
		f.crash(suspect)
		f.decide()
		assert.NotEqual(t, first, f.task(suspect).Worker())
		j, _ := f.state.Job("neighbours")
		for _, n := range j.Tasks(0, 0).All() {
			assert.NotEqual(t, n.Worker(), f.task(suspect).Worker())
		}
	})
	t.Run("not for ever", func(t *testing.T) {
		f := onlyWorker(t)
		for n := range 4 {
			f.submit(string(rune('a'+n)), urgent, "a", oneTask())
			f.decide()
			f.advance(time.Second)
		}
		f.decide()
		f.assertPlaced("suspect", 1)
	})
	t.Run("the limit per worker counts tasks with and without crashes", func(t *testing.T) {
		f := newFixture(t)
		f.workers = f.workers[:1]
		f.submit("suspect", patient, "a", batch.NewStep(3, batch.NewResources(1000, 1000, 1), time.Minute, batch.WithMaxPerWorker(1)))
		f.decide()
		f.assertPlaced("suspect", 1)
		f.crash(suspect)
		f.decide()
		f.assertPlaced("suspect", 1)
	})
	t.Run("a gang as a whole", func(t *testing.T) {
		f := newFixture(t)
		f.submit("suspect", patient, "a", batch.NewStep(3, batch.NewResources(1000, 1000, 4), time.Minute, batch.WithGang(true, false)))
		f.decide()
		f.crash(suspect)
		for n := 1; n < 3; n++ {
			f.end(batch.NewTaskID("suspect", 0, 0, n), batch.Broken)
		}
		f.submit("other", urgent, "a", batch.NewStep(6, batch.NewResources(1000, 1000, 1), time.Minute, batch.WithMaxPerWorker(1)))
		f.decide()
		f.assertPlaced("other", 6)
		f.assertPlaced("suspect", 0)
	})
	t.Run("after two crashes on one worker at a time", func(t *testing.T) {
		f := newFixture(t)
		f.submit("suspect", patient, "a", batch.NewStep(2, batch.NewResources(1000, 1000, 8), time.Minute))
		for range 2 {
			f.decide()
			f.assertPlaced("suspect", 2)
			f.advance(placement.StartupTime)
			for n := range 2 {
				f.crash(batch.NewTaskID("suspect", 0, 0, n))
			}
		}
		f.decide()
		f.assertPlaced("suspect", 1)
		f.advance(placement.StartupTime)
		f.decide()
		f.assertPlaced("suspect", 2)
	})
}
