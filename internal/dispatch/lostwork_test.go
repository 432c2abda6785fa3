package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/dispatch"
	"rosemarywind.example/rosemarywind/internal/run"
)

// Guards against lost work that operators do not see, or see under a wrong cause.
func TestLostWork(t *testing.T) {
	assertLost := func(t *testing.T, f *fixture, e batch.End, want float64, cause dispatch.LossCause) {
		t.Helper()
		f.now = f.now.Add(2 * time.Second)
		f.core.Report(f.now, run.NewReport("h").WithList(run.NewList(f.incarnation, 1, 2*time.Second, nil, []run.Finished{run.NewFinished(1, e)}, nil)))
		lost, by := 0.0, dispatch.LossCause("")
		for _, d := range f.core.Step(f.now, f.state).Decisions() {
			if d.Kind() == dispatch.WorkLost {
				lost, by = d.LostWork()
			}
		}
		assert.InDelta(t, want, lost, 0.0001)
		assert.Equal(t, cause, by)
	}
	id := batch.NewTaskID("j", 0, 0, 0)
	const coreSeconds = 2 * 0.001 // of a task with one thousandth of a core
	t.Run("nothing by a run that is done", func(t *testing.T) {
		assertLost(t, newFixture(t, 1), batch.NewEnd(id, 1, batch.Done, ""), 0, "")
	})
	t.Run("nothing by a run that saved a checkpoint", func(t *testing.T) {
		assertLost(t, newFixture(t, 1), batch.NewEnd(id, 1, batch.Stopped, "saved"), 0, "")
	})
	t.Run("by a failure", func(t *testing.T) {
		assertLost(t, newFixture(t, 1), batch.NewEnd(id, 1, batch.Failed, ""), coreSeconds, dispatch.ByFailure)
	})
	t.Run("by another member", func(t *testing.T) {
		assertLost(t, newFixture(t, 1), batch.NewEnd(id, 1, batch.Broken, ""), coreSeconds, dispatch.ByGang)
	})
	t.Run("by a lease", func(t *testing.T) {
		assertLost(t, newFixture(t, 1), batch.NewEnd(id, 1, batch.Lapsed, ""), coreSeconds, dispatch.ByWorker)
	})
	t.Run("by a cancellation", func(t *testing.T) {
		f := newFixture(t, 1)
		f.apply(batch.NewCancel("j", f.now))
		assertLost(t, f, batch.NewEnd(id, 1, batch.Stopped, ""), coreSeconds, dispatch.ByJob)
	})
}
