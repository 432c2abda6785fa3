package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/run"
)

// newStepBench returns a bench whose job has one step, all of it placed on the worker.
func newStepBench(t *testing.T, step batch.Step) *bench {
	t.Helper()
	b := newBench(t, 1)
	spec, err := batch.NewSpec("k", "", step)
	require.NoError(t, err)
	b.decoder.specs["k"] = spec
	b.apply(batch.NewSubmit("k", "q", "", nil, b.now))
	var members []batch.Member
	for n := range step.Count() {
		members = append(members, batch.NewMember(n, 1, b.life))
	}
	b.apply(batch.NewPlaceRuns(b.now, batch.NewGroup(batch.NewTaskID("k", 0, 0, 0), members...)))
	return b
}

// drain lets the worker say that it leaves in a while, with its runs so far, and returns how many of job k are stopped.
func (b *bench) drain(remaining time.Duration, before, after int, count int) (stops int) {
	for i, percent := range []int{before, after} {
		b.now = b.now.Add(time.Second)
		a := run.NewAnnouncement(b.life, "s", "z", b.now.UnixMilli()).WithClock(b.now.Sub(epoch))
		if i > 0 {
			a = a.WithDraining(remaining)
		}
		var running []run.Running
		for n := range count {
			running = append(running, run.NewRunning(run.NewID(batch.NewTaskID("k", 0, 0, n), 1), "", percent, 0))
		}
		b.core.Report(b.now, run.NewReport("h").WithAnnouncement(a).
			WithList(run.NewList(b.life, 1, b.now.Sub(epoch), running, nil, nil)))
	}
	for _, id := range b.stops() {
		if id.Task().Job() == "k" {
			stops++
		}
	}
	return stops
}

// Guards against services that lose their tasks with a leaving worker, those of which more are away at once than they
// bear, and batch work that is thrown away on a worker that may stay long enough.
func TestEvacuation(t *testing.T) {
	t.Run("batch work stays", func(t *testing.T) {
		plain := batch.NewStep(1, batch.NewResources(1, 1, 0), time.Second)
		assert.Zero(t, newStepBench(t, plain).drain(2*time.Second, 0, 5, 1))
	})
	lasts := batch.NewStep(3, batch.NewResources(1, 1, 0), 0, batch.WithLongRunning(true, 2))
	t.Run("a service, as many tasks at once as it bears", func(t *testing.T) {
		assert.Equal(t, 2, newStepBench(t, lasts).drain(9*time.Second, 100, 100, 3))
	})
	t.Run("a service, all when time is running out", func(t *testing.T) {
		assert.Equal(t, 3, newStepBench(t, lasts).drain(500*time.Millisecond, 100, 100, 3))
	})
}
