package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/run"
)

// announce reports the worker with the given millicores in a session, with the given runs in progress.
func (f *fixture) announce(session uint64, millicores int, running ...run.ID) {
	f.now = f.now.Add(100 * time.Millisecond)
	var list []run.Running
	for _, id := range running {
		list = append(list, run.NewRunning(id, "", 0, 0))
	}
	f.core.Connect("h", session)
	f.core.Report(f.now, run.NewReport("h").WithAnnouncement(run.NewAnnouncement(f.incarnation, "s", "z", f.now.UnixMilli()).
		WithCapacity(batch.NewResources(millicores, 1000, 8)).WithClock(f.now.Sub(epoch))).
		WithList(run.NewList(f.incarnation, 1, f.now.Sub(epoch), list, nil, nil)))
}

// assertPlaces checks whether the next step places the second job, which needs one millicore.
func (f *fixture) assertPlaces(want bool) {
	f.t.Helper()
	f.now = f.now.Add(100 * time.Millisecond)
	groups := f.core.Step(f.now, f.state).Groups()
	assert.Equal(f.t, want, len(groups) > 0)
}

// Guards against a start that brings a worker over a capacity that has shrunk while it runs.
func TestShrunkCapacity(t *testing.T) {
	running := run.NewID(batch.NewTaskID("j", 0, 0, 0), 1)
	newBusy := func(t *testing.T) *fixture {
		f := newFixture(t, 1)
		f.announce(1, 2, running)
		f.apply(batch.NewSubmit("other", "q", "", nil, f.now))
		return f
	}
	t.Run("no placement until it grows again", func(t *testing.T) {
		f := newBusy(t)
		f.announce(1, 1, running)
		f.assertPlaces(false)
		f.announce(1, 0, running)
		f.assertPlaces(false)
		f.announce(1, 2, running)
		f.assertPlaces(true)
	})
	t.Run("a run that is being stopped still counts", func(t *testing.T) {
		f := newBusy(t)
		f.announce(1, 1, running)
		f.apply(batch.NewCancel("j", f.now))
		f.assertPlaces(false)
		f.apply(batch.NewEndRuns(f.now, batch.NewEnd(running.Task(), 1, batch.Stopped, "")))
		f.assertPlaces(true)
	})
	placed := batch.NewGroup(batch.NewTaskID("other", 0, 0, 0), batch.NewMember(0, 1, batch.NewIncarnation("h", "w", 1)))
	second := run.NewID(batch.NewTaskID("other", 0, 0, 0), 1)
	t.Run("no start of a run that was placed before", func(t *testing.T) {
		f := newBusy(t)
		f.apply(batch.NewPlaceRuns(f.now, placed))
		f.core.RunsCommitted(placed)
		f.announce(1, 1, running)
		assert.Empty(t, f.starts())
		f.assertEnds(second)
	})
	t.Run("no second start of a run whose first was lost", func(t *testing.T) {
		f := newBusy(t)
		f.apply(batch.NewPlaceRuns(f.now, placed))
		f.core.RunsCommitted(placed)
		require.Equal(t, []run.ID{second}, f.starts())
		f.announce(2, 1, running)
		for range 5 {
			assert.Empty(t, f.starts())
		}
		f.assertStopOrdered(second)
	})
}

// assertEnds checks that a step within a second ends a run as lost.
func (f *fixture) assertEnds(id run.ID) {
	f.t.Helper()
	for range 10 {
		f.now = f.now.Add(100 * time.Millisecond)
		for _, e := range f.core.Step(f.now, f.state).Ends() {
			if run.NewID(e.Task(), e.Run()) == id {
				assert.Equal(f.t, batch.Lost, e.Outcome())
				return
			}
		}
	}
	assert.Fail(f.t, "the run does not end", "run %v", id)
}

// assertStopOrdered checks that a step within two seconds orders a run to stop.
func (f *fixture) assertStopOrdered(id run.ID) {
	f.t.Helper()
	for range 20 {
		f.now = f.now.Add(100 * time.Millisecond)
		for _, o := range f.core.Step(f.now, f.state).Orders() {
			if s, ok := o.Order().(run.Stop); ok && s.ID() == id {
				return
			}
		}
	}
	assert.Fail(f.t, "the run is not stopped", "run %v", id)
}

// Guards against runs that are placed on a worker that is known to be down, where they wait until it is back.
func TestUnreachableWorker(t *testing.T) {
	f := newFixture(t, 1)
	running := run.NewID(batch.NewTaskID("j", 0, 0, 0), 1)
	f.announce(1, 1000, running)
	f.apply(batch.NewSubmit("other", "q", "", nil, f.now))
	f.core.Report(f.now, run.NewReport("h").WithUnreachable())
	f.assertPlaces(false)
	f.announce(1, 1000, running)
	f.assertPlaces(true)
}
