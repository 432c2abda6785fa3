package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/run"
)

// reportLeaving reports a list of the worker with the given run in progress, and that the worker leaves.
func (f *fixture) reportLeaving(id run.ID) {
	f.now = f.now.Add(500 * time.Millisecond)
	f.core.Report(f.now, run.NewReport("h").WithAnnouncement(run.NewAnnouncement(f.incarnation, "s", "z", f.now.UnixMilli()).
		WithCapacity(batch.NewResources(1000, 1000, 8)).WithClock(f.now.Sub(epoch))).WithTerminating().
		WithList(run.NewList(f.incarnation, 1, f.now.Sub(epoch), []run.Running{run.NewRunning(id, "", 50, 0)}, nil, nil)))
}

// Guards against a task that runs twice because its worker stays for some seconds after the notice of its termination.
func TestLeavingWorkerStays(t *testing.T) {
	id := run.NewID(batch.NewTaskID("j", 0, 0, 0), 1)
	t.Run("still at work", func(t *testing.T) {
		f := newFixture(t, 1)
		for range 12 {
			f.reportLeaving(id)
			assert.Empty(t, f.core.Step(f.now, f.state).Ends())
		}
	})
	t.Run("no list after the notice", func(t *testing.T) {
		f := newFixture(t, 1)
		f.reportLeaving(id)
		f.now = f.now.Add(3 * time.Second)
		assert.Empty(t, f.core.Step(f.now, f.state).Ends(), "its lease has not ended")
	})
	t.Run("ended", func(t *testing.T) {
		f := newFixture(t, 1)
		f.reportLeaving(id)
		f.core.Report(f.now, run.NewReport("h").WithTerminating().WithExited())
		f.assertEnds(id)
	})
	t.Run("the notice was of an earlier worker", func(t *testing.T) {
		f := newFixture(t, 1)
		f.reportLeaving(id)
		f.apply(batch.NewEndRuns(f.now, batch.NewEnd(id.Task(), 1, batch.Lost, "")))
		assert.Empty(t, f.core.Step(f.now, f.state).Groups(), "it leaves")
		f.reportEnds(1, false, nil)
		assert.Len(t, f.core.Step(f.now, f.state).Groups(), 1)
	})
	t.Run("the next incarnation stays", func(t *testing.T) {
		f := newFixture(t, 1)
		f.core.Report(f.now, run.NewReport("h").WithTerminating().WithExited())
		f.reportNext(nil)
		assert.Empty(t, f.core.Step(f.now, f.state).Ends(), "the run is stopped at the next incarnation first")
	})
}
