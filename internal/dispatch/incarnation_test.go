package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/dispatch"
	"rosemarywind.example/rosemarywind/internal/run"
)

// nextIncarnation is the worker of the fixture after a restart under the same ID.
var nextIncarnation = batch.NewIncarnation("h", "w", 2)

// reportNext reports the list of the worker's next incarnation.
func (f *fixture) reportNext(running []run.Running, finished ...run.Finished) {
	f.now = f.now.Add(100 * time.Millisecond)
	f.core.Report(f.now, run.NewReport("h").WithAnnouncement(run.NewAnnouncement(nextIncarnation, "s", "z", 1).
		WithCapacity(batch.NewResources(1000, 1000, 8)).WithClock(time.Second)).
		WithList(run.NewList(nextIncarnation, 1, time.Second, running, finished, nil)))
}

// assertCommits checks the ends that the next step commits, commits them, and checks that it acknowledged none before.
func (f *fixture) assertCommits(want ...batch.End) {
	f.t.Helper()
	a := f.core.Step(f.now, f.state)
	assert.Equal(f.t, want, a.Ends())
	assert.Zero(f.t, lastAcknowledged(a.Orders()))
	f.apply(batch.NewEndRuns(f.now, a.Ends()...))
}

// lastAcknowledged returns the highest number that lease renewals acknowledge.
func lastAcknowledged(orders []dispatch.AddressedOrder) (number int64) {
	for _, o := range orders {
		if r, ok := o.Order().(run.RenewLease); ok {
			number = max(number, r.Acknowledged())
		}
	}
	return number
}

// assertAcknowledges checks the number up to which the next step acknowledges the listed ends.
func (f *fixture) assertAcknowledges(want int64) {
	f.t.Helper()
	f.now = f.now.Add(100 * time.Millisecond)
	assert.Equal(f.t, want, lastAcknowledged(f.core.Step(f.now, f.state).Orders()))
}

// Guards against a run that is started again though a restarted worker has carried it out: its start reached the new
// incarnation, which has the same ID, before that incarnation was announced.
func TestEndAtNextIncarnation(t *testing.T) {
	id := run.NewID(batch.NewTaskID("j", 0, 0, 0), 1)
	for _, outcome := range []batch.RunOutcome{batch.Done, batch.Failed, batch.Stopped} {
		t.Run(string(outcome), func(t *testing.T) {
			f := newFixture(t, 1)
			end := batch.NewEnd(id.Task(), 1, outcome, "")
			f.reportNext(nil, run.NewFinished(1, end))
			f.assertCommits(end)
			f.assertAcknowledges(1)
		})
	}
	t.Run("stopped there while it runs", func(t *testing.T) {
		f := newFixture(t, 1)
		f.reportNext([]run.Running{run.NewRunning(id, "", 50, 0)})
		assert.Equal(t, []run.ID{id}, f.stops())
		f.assertCommits()
	})
	t.Run("a completed job stays so", func(t *testing.T) {
		f := newFixture(t, 1)
		end := batch.NewEnd(id.Task(), 1, batch.Done, "")
		f.reportNext(nil, run.NewFinished(1, end))
		f.assertCommits(end)
		j, known := f.state.Job("j")
		require.True(t, known)
		assert.Equal(t, batch.Completed, j.State())
	})
}
