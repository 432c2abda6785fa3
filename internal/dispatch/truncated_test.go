package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/dispatch"
	"rosemarywind.example/rosemarywind/internal/run"
)

// reportEnds reports a list of the given ends, without runs in progress, in which later ends may be missing.
func (f *fixture) reportEnds(token uint64, truncated bool, settled []run.Settled, ends ...run.Finished) {
	f.now = f.now.Add(100 * time.Millisecond)
	f.core.Report(f.now, run.NewReport("h").WithAnnouncement(run.NewAnnouncement(f.incarnation, "s", "z", f.now.UnixMilli()).
		WithCapacity(batch.NewResources(1000, 1000, 8)).WithClock(f.now.Sub(epoch))).
		WithList(run.NewList(f.incarnation, token, f.now.Sub(epoch), nil, ends, settled).WithTruncated(truncated)))
}

// Guards against a task that runs again although its run has ended, because the worker lists only some ends at a time and
// that end is not among them yet.
func TestEndsBeyondList(t *testing.T) {
	first, second := run.NewID(batch.NewTaskID("j", 0, 0, 0), 1), run.NewID(batch.NewTaskID("j", 0, 0, 1), 1)
	done := []batch.End{batch.NewEnd(first.Task(), 1, batch.Done, ""), batch.NewEnd(second.Task(), 1, batch.Done, "")}
	t.Run("at the leader that started the run", func(t *testing.T) {
		f := newFixture(t, 2)
		f.reportEnds(1, false, nil)
		f.core.RunsCommitted(batch.NewGroup(first.Task(), batch.NewMember(0, 1, f.incarnation), batch.NewMember(1, 1, f.incarnation)))
		assert.Len(t, f.starts(), 2)
		f.reportEnds(1, true, settledBy(laterOrder, first, second), run.NewFinished(1, done[0]))
		f.assertCommits(done[0])
		f.reportEnds(1, false, settledBy(laterOrder, first, second), run.NewFinished(2, done[1]))
		f.assertCommitted(done[1])
	})
	t.Run("at the next leader", func(t *testing.T) {
		f := newFixture(t, 2)
		f.core = dispatch.NewCore(dispatch.DefaultTiming(), 2, f.now)
		f.core.Connect("h", 1)
		f.reportEnds(2, true, nil, run.NewFinished(1, done[0]))
		f.assertCommits(done[0])
		f.reportEnds(2, false, nil, run.NewFinished(2, done[1]))
		f.assertCommitted(done[1])
	})
	t.Run("at the next incarnation of the worker", func(t *testing.T) {
		f := newFixture(t, 2)
		f.incarnation = nextIncarnation
		f.reportEnds(1, true, settledBy(laterOrder, first, second), run.NewFinished(1, done[0]))
		f.assertCommits(done[0])
		f.reportEnds(1, false, settledBy(laterOrder, first, second), run.NewFinished(2, done[1]))
		f.assertCommitted(done[1])
	})
	t.Run("lost once all ends are listed", func(t *testing.T) {
		f := newFixture(t, 2)
		f.core = dispatch.NewCore(dispatch.DefaultTiming(), 2, f.now)
		f.core.Connect("h", 1)
		f.reportEnds(2, false, nil, run.NewFinished(1, done[0]))
		f.assertCommits(done[0], batch.NewEnd(second.Task(), 1, batch.Lost, ""))
	})
}

// assertCommitted checks the ends that the next step commits.
func (f *fixture) assertCommitted(want ...batch.End) {
	f.t.Helper()
	assert.Equal(f.t, want, f.core.Step(f.now, f.state).Ends())
}
