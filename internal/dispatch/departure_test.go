package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/run"
)

// newStepFixture returns a fixture with a second job, k, of one step whose tasks are all placed on the worker.
func newStepFixture(t *testing.T, step batch.Step) *fixture {
	t.Helper()
	f := newFixture(t, 1)
	spec, err := batch.NewSpec("k", "", step)
	require.NoError(t, err)
	f.decoder.byJob["k"] = spec
	f.apply(batch.NewSubmit("k", "q", "", nil, f.now))
	var members []batch.Member
	for n := range step.Count() {
		members = append(members, batch.NewMember(n, 1, f.incarnation))
	}
	f.apply(batch.NewPlaceRuns(f.now, batch.NewGroup(batch.NewTaskID("k", 0, 0, 0), members...)))
	return f
}

// stopsWhenDraining reports the progress of k's runs before and after the worker starts draining, and returns how
// many of them are stopped.
func (f *fixture) stopsWhenDraining(remaining time.Duration, before, after int, count int) (stops int) {
	for i, percent := range []int{before, after} {
		f.now = f.now.Add(time.Second)
		a := run.NewAnnouncement(f.incarnation, "s", "z", f.now.UnixMilli()).WithClock(f.now.Sub(epoch))
		if i > 0 {
			a = a.WithDraining(remaining)
		}
		var running []run.Running
		for n := range count {
			running = append(running, run.NewRunning(run.NewID(batch.NewTaskID("k", 0, 0, n), 1), "", percent, 0))
		}
		f.core.Report(f.now, run.NewReport("h").WithAnnouncement(a).
			WithList(run.NewList(f.incarnation, 1, f.now.Sub(epoch), running, nil, nil)))
	}
	for _, id := range f.stops() {
		if id.Task().Job() == "k" {
			stops++
		}
	}
	return stops
}

// Guards against services that lose their tasks with a leaving worker, services with more tasks missing at once than
// they tolerate, and batch work that is stopped although its worker may stay long enough to finish it.
func TestDepartureOfWorkers(t *testing.T) {
	t.Run("batch tasks stay", func(t *testing.T) {
		batchStep := batch.NewStep(1, batch.NewResources(1, 1, 0), time.Second)
		assert.Zero(t, newStepFixture(t, batchStep).stopsWhenDraining(2*time.Second, 0, 5, 1))
	})
	longRunning := batch.NewStep(3, batch.NewResources(1, 1, 0), 0, batch.WithLongRunning(true, 2))
	t.Run("a service moves as many tasks at once as it tolerates", func(t *testing.T) {
		assert.Equal(t, 2, newStepFixture(t, longRunning).stopsWhenDraining(9*time.Second, 100, 100, 3))
	})
	t.Run("a service moves all tasks shortly before the worker leaves", func(t *testing.T) {
		assert.Equal(t, 3, newStepFixture(t, longRunning).stopsWhenDraining(500*time.Millisecond, 100, 100, 3))
	})
}
