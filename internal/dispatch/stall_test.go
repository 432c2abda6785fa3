package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

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
