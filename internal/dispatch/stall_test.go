package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/run"
)

// reportProgress advances time by half a second and reports the progress of the first task, in percent.
func (f *fixture) reportProgress(percent int) {
	f.now = f.now.Add(500 * time.Millisecond)
	id := run.NewID(batch.NewTaskID("j", 0, 0, 0), 1)
	f.core.Report(f.now, run.NewReport("h").WithAnnouncement(run.NewAnnouncement(f.incarnation, "s", "z", f.now.UnixMilli()).
		WithCapacity(batch.NewResources(1000, 1000, 8)).WithClock(f.now.Sub(epoch))))
	f.core.Report(f.now, run.NewReport("h").WithList(run.NewList(f.incarnation, 1, f.now.Sub(epoch),
		[]run.Running{run.NewRunning(id, "", percent, 0)}, nil, nil)))
}

// stops returns the runs that the leader orders to stop.
func (f *fixture) stops() (ids []run.ID) {
	for _, o := range f.core.Step(f.now, f.state).Orders() {
		if s, ok := o.Order().(run.Stop); ok {
			ids = append(ids, s.ID())
		}
	}
	return ids
}

// firstStop returns the time of the first stop order, given the progress at each half second, or 0 if there is none.
func (f *fixture) firstStop(percents ...int) time.Duration {
	for _, n := range percents {
		f.reportProgress(n)
		if len(f.stops()) > 0 {
			return f.now.Sub(epoch)
		}
	}
	return 0
}

// Guards against runs that wait on a worker where they are stalled, and against stopping a stalled run so far along
// that waiting is cheaper.
func TestStalledRun(t *testing.T) {
	t.Run("stopped soon when little work is lost", func(t *testing.T) {
		at := newFixture(t, 1).firstStop(0, 20, 40, 40, 40, 40, 40, 40, 40, 40)
		assert.Positive(t, at)
		assert.LessOrEqual(t, at, 4*time.Second)
	})
	t.Run("not stopped while it progresses", func(t *testing.T) {
		assert.Zero(t, newFixture(t, 1).firstStop(0, 10, 20, 30, 40, 50, 60, 70, 80, 90))
	})
	t.Run("not stopped if its progress never changes", func(t *testing.T) {
		assert.Zero(t, newFixture(t, 1).firstStop(50, 50, 50, 50, 50, 50, 50, 50, 50))
	})
	t.Run("not stopped while it loads a checkpoint", func(t *testing.T) {
		assert.Zero(t, newFixture(t, 1).firstStop(30, 30, 40, 50, 60, 70, 80))
	})
}

// Guards against new runs on a worker with a stalled run.
func TestNoStartBesideStalledRun(t *testing.T) {
	f := newFixture(t, 1)
	for _, n := range []int{20, 40, 40, 40, 40, 40, 40} {
		f.reportProgress(n)
	}
	f.apply(batch.NewSubmit("other", "q", "", nil, f.now))
	assert.Empty(t, f.core.Step(f.now, f.state).Groups())
}

// newGang returns a fixture in which the gang of two members of job "gang" runs on the worker.
func newGang(t *testing.T) *fixture {
	t.Helper()
	f := newFixture(t, 1)
	spec, err := batch.NewSpec("gang", "", batch.NewStep(2, batch.NewResources(1, 1, 0), 5*time.Second,
		batch.WithGang(true, false), batch.WithCheckpoints(true)))
	require.NoError(t, err)
	f.decoder.byJob["gang"] = spec
	f.apply(batch.NewEndRuns(f.now, batch.NewEnd(batch.NewTaskID("j", 0, 0, 0), 1, batch.Done, "")))
	f.apply(batch.NewSubmit("gang", "q", "", nil, f.now))
	f.apply(batch.NewPlaceRuns(f.now, batch.NewGroup(batch.NewTaskID("gang", 0, 0, 0),
		batch.NewMember(0, 1, f.incarnation), batch.NewMember(1, 1, f.incarnation))))
	return f
}

// gangStops returns the members that are ordered to stop, given the progress of both at each half second.
func (f *fixture) gangStops(percents ...[2]int) (ids []run.ID) {
	for _, p := range percents {
		f.now = f.now.Add(500 * time.Millisecond)
		var running []run.Running
		for n, percent := range p {
			running = append(running, run.NewRunning(run.NewID(batch.NewTaskID("gang", 0, 0, n), 1), "", percent, 0))
		}
		f.core.Report(f.now, run.NewReport("h").WithAnnouncement(run.NewAnnouncement(f.incarnation, "s", "z", f.now.UnixMilli()).
			WithCapacity(batch.NewResources(1000, 1000, 8)).WithClock(f.now.Sub(epoch))))
		f.core.Report(f.now, run.NewReport("h").WithList(run.NewList(f.incarnation, 1, f.now.Sub(epoch), running, nil, nil)))
		ids = append(ids, f.stops()...)
	}
	return ids
}

// Guards against a gang that is stopped shortly before its end, again in each run, because its faster members are complete
// and wait for a slower one.
func TestCompleteGangMember(t *testing.T) {
	t.Run("waits for a slower member", func(t *testing.T) {
		assert.Empty(t, newGang(t).gangStops(
			[2]int{0, 0}, [2]int{30, 20}, [2]int{60, 40}, [2]int{90, 55}, [2]int{100, 60}, [2]int{100, 65}, [2]int{100, 70},
			[2]int{100, 75}, [2]int{100, 80}, [2]int{100, 85}, [2]int{100, 90}, [2]int{100, 95}, [2]int{100, 100}))
	})
	t.Run("stopped if the other member is stalled", func(t *testing.T) {
		assert.NotEmpty(t, newGang(t).gangStops(
			[2]int{0, 0}, [2]int{30, 20}, [2]int{60, 40}, [2]int{90, 55}, [2]int{100, 60}, [2]int{100, 60}, [2]int{100, 60},
			[2]int{100, 60}, [2]int{100, 60}, [2]int{100, 60}, [2]int{100, 60}))
	})
	t.Run("stopped if all are complete and none ends", func(t *testing.T) {
		assert.NotEmpty(t, newGang(t).gangStops(
			[2]int{0, 0}, [2]int{40, 40}, [2]int{80, 80}, [2]int{100, 100}, [2]int{100, 100}, [2]int{100, 100}, [2]int{100, 100},
			[2]int{100, 100}, [2]int{100, 100}))
	})
}

// Guards against a resumed gang that is stopped while its members load their checkpoint and wait for the last one to be
// present, which takes longer than the time after which a run counts as stalled.
func TestResumedGangWaitsForMembers(t *testing.T) {
	f := newGang(t)
	assert.Empty(t, f.gangStops([2]int{0, 0}, [2]int{20, 20}, [2]int{40, 40}))
	f.apply(batch.NewEndRuns(f.now, batch.NewEnd(batch.NewTaskID("gang", 0, 0, 0), 1, batch.Stopped, "c"),
		batch.NewEnd(batch.NewTaskID("gang", 0, 0, 1), 1, batch.Stopped, "c")))
	f.apply(batch.NewPlaceRuns(f.now, batch.NewGroup(batch.NewTaskID("gang", 0, 0, 0),
		batch.NewMember(0, 2, f.incarnation), batch.NewMember(1, 2, f.incarnation))))
	first := run.NewID(batch.NewTaskID("gang", 0, 0, 0), 2)
	for range 8 {
		f.now = f.now.Add(500 * time.Millisecond)
		f.core.Report(f.now, run.NewReport("h").WithList(run.NewList(f.incarnation, 1, f.now.Sub(epoch),
			[]run.Running{run.NewRunning(first, "c", 40, 0)}, nil, settledBy(laterOrder, first))))
		assert.NotContains(t, f.stops(), first)
	}
}
