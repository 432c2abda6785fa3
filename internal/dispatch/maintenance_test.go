package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/dispatch"
	"rosemarywind.example/rosemarywind/internal/run"
)

// maintenanceFixture is a fixture whose worker is on machine m1, with a wave of m1 and m2 that takes down one at a
// time.
type maintenanceFixture struct{ *fixture }

func newMaintenanceFixture(t *testing.T, jobSteps ...batch.Step) maintenanceFixture {
	t.Helper()
	f := newFixture(t, 1)
	f.apply(batch.NewEndRuns(f.now, batch.NewEnd(batch.NewTaskID("j", 0, 0, 0), 1, batch.Done, "")))
	if len(jobSteps) > 0 {
		f = newStepFixture(t, jobSteps[0])
		f.apply(batch.NewEndRuns(f.now, batch.NewEnd(batch.NewTaskID("j", 0, 0, 0), 1, batch.Done, "")))
	}
	f.apply(batch.NewStartWave(batch.NewWave(1, []string{"m1", "m2"}, 1, f.now.Add(20*time.Second))))
	return maintenanceFixture{f}
}

// stepLater advances time by half a second, reports the given number of runs of job k on m1, and runs a step.
func (f maintenanceFixture) stepLater(running int) dispatch.Actions {
	f.now = f.now.Add(500 * time.Millisecond)
	var list []run.Running
	for n := range running {
		list = append(list, run.NewRunning(run.NewID(batch.NewTaskID("k", 0, 0, n), 1), "", 100, 0))
	}
	f.core.Report(f.now, run.NewReport("h").WithAnnouncement(run.NewAnnouncement(f.incarnation, "s", "z", f.now.UnixMilli()).
		WithCapacity(batch.NewResources(1000, 1000, 8)).WithClock(f.now.Sub(epoch)).WithMachine("m1")).
		WithList(run.NewList(f.incarnation, 1, f.now.Sub(epoch), list, nil, nil)))
	return f.core.Step(f.now, f.state)
}

// takenDown returns the machines whose maintenance a step orders.
func takenDown(a dispatch.Actions) (list []string) {
	for _, m := range a.Maintenance() {
		list = append(list, m.Machine())
	}
	return list
}

// stoppedWithin returns how many runs of job k are stopped within the given number of steps.
func (f maintenanceFixture) stoppedWithin(steps, running int) (count int) {
	seen := map[run.ID]bool{}
	for range steps {
		for _, o := range f.stepLater(running).Orders() {
			if s, ok := o.Order().(run.Stop); ok && s.ID().Task().Job() == "k" {
				seen[s.ID()] = true
			}
		}
	}
	return len(seen)
}

// Guards against a wave that takes down more machines than allowed, stops work that could continue, or completes too
// early.
func TestMaintenance(t *testing.T) {
	t.Run("one machine at a time, the next after the first has returned", func(t *testing.T) {
		f := newMaintenanceFixture(t)
		assert.Equal(t, []string{"m1"}, takenDown(f.stepLater(0)))
		assert.Empty(t, takenDown(f.stepLater(0)))
		f.apply(batch.NewRecordMaintenance(1, "m1", f.incarnation))
		assert.Empty(t, takenDown(f.stepLater(0)))
		f.incarnation = batch.NewIncarnation("h", "w2", 2)
		assert.Equal(t, []string{"m2"}, takenDown(f.stepLater(0)))
		w, _ := f.state.Wave(1)
		assert.False(t, w.AllBegun())
		f.apply(batch.NewSkipMachine(1, "m2"))
		w, _ = f.state.Wave(1)
		assert.True(t, w.AllBegun())
	})
	t.Run("a failed attempt is repeated", func(t *testing.T) {
		f := newMaintenanceFixture(t)
		assert.Len(t, takenDown(f.stepLater(0)), 1)
		f.core.MaintenanceFailed(f.now.Add(-time.Second), "m1")
		assert.Equal(t, []string{"m1"}, takenDown(f.stepLater(0)))
	})
	t.Run("waits for a run without checkpoints as long as the wave allows", func(t *testing.T) {
		f := newMaintenanceFixture(t, batch.NewStep(1, batch.NewResources(1, 1, 0), time.Minute))
		assert.Zero(t, f.stoppedWithin(10, 1))
		assert.Equal(t, 1, f.stoppedWithin(12, 1))
	})
	t.Run("stops a run with checkpoints", func(t *testing.T) {
		f := newMaintenanceFixture(t, batch.NewStep(1, batch.NewResources(1, 1, 0), time.Minute, batch.WithCheckpoints(true)))
		assert.Equal(t, 1, f.stoppedWithin(1, 1))
	})
	t.Run("stops as many tasks of a service as it tolerates", func(t *testing.T) {
		f := newMaintenanceFixture(t, batch.NewStep(3, batch.NewResources(1, 1, 0), 0, batch.WithLongRunning(true, 1)))
		f.stepLater(3)
		assert.Equal(t, 1, f.stoppedWithin(4, 3))
	})
	t.Run("a new leader does not take a machine down under a run before its agent reports", func(t *testing.T) {
		f := newMaintenanceFixture(t, batch.NewStep(1, batch.NewResources(1, 1, 0), time.Minute))
		f.stepLater(1)
		f.core = dispatch.NewCore(dispatch.DefaultTiming(), 2, f.now)
		assert.Empty(t, takenDown(f.core.Step(f.now, f.state)))
		assert.Empty(t, takenDown(f.stepLater(1)))
		f.apply(batch.NewEndRuns(f.now, batch.NewEnd(batch.NewTaskID("k", 0, 0, 0), 1, batch.Done, "")))
		assert.Equal(t, []string{"m1"}, takenDown(f.stepLater(0)))
	})
	t.Run("a new leader takes an unknown machine down once its runs have lapsed", func(t *testing.T) {
		f := newMaintenanceFixture(t, batch.NewStep(1, batch.NewResources(1, 1, 0), time.Minute))
		f.stepLater(1)
		f.core = dispatch.NewCore(dispatch.DefaultTiming(), 2, f.now)
		f.core.Step(f.now, f.state)
		f.now = f.now.Add(6 * time.Second)
		a := f.core.Step(f.now, f.state)
		f.apply(batch.NewEndRuns(f.now, a.Ends()...))
		assert.Equal(t, []string{"m1"}, takenDown(f.core.Step(f.now, f.state)))
	})
	t.Run("no new run on a draining machine", func(t *testing.T) {
		f := newMaintenanceFixture(t)
		f.stepLater(0)
		f.apply(batch.NewSubmit("other", "q", "", nil, f.now))
		assert.Empty(t, f.stepLater(0).Groups())
	})
}

// maintenanceOf returns the waves and machines of the maintenance that a step orders.
func maintenanceOf(a dispatch.Actions) map[string]int64 {
	list := map[string]int64{}
	for _, m := range a.Maintenance() {
		list[m.Machine()] = m.Wave()
	}
	return list
}

// Guards against a wave that takes down machines which are drained for another one, beyond its own limit, and against
// machines of two waves that get no runs any more.
func TestOverlappingWaves(t *testing.T) {
	// Wave 1 is that of the fixture, with m1 and m2, one at a time.
	newOverlapping := func(t *testing.T) maintenanceFixture {
		f := newMaintenanceFixture(t)
		assert.Equal(t, map[string]int64{"m1": 1}, maintenanceOf(f.stepLater(0)))
		f.apply(batch.NewStartWave(batch.NewWave(2, []string{"m1", "m2", "m3"}, 3, f.now.Add(20*time.Second))))
		return f
	}
	t.Run("each machine for one wave at a time", func(t *testing.T) {
		f := newOverlapping(t)
		assert.Equal(t, map[string]int64{"m2": 2, "m3": 2}, maintenanceOf(f.stepLater(0)))
		f.apply(batch.NewRecordMaintenance(2, "m2", batch.Incarnation{}))
		assert.Empty(t, maintenanceOf(f.stepLater(0)), "m1 is still down for wave 1")
	})
	t.Run("none beyond the limit of a wave that waits", func(t *testing.T) {
		f := maintenanceFixture{newStepFixture(t, batch.NewStep(1, batch.NewResources(1, 1, 0), time.Minute))}
		f.apply(batch.NewEndRuns(f.now, batch.NewEnd(batch.NewTaskID("j", 0, 0, 0), 1, batch.Done, "")))
		f.apply(batch.NewStartWave(batch.NewWave(1, []string{"m2", "m1"}, 1, f.now.Add(20*time.Second))))
		assert.Equal(t, map[string]int64{"m2": 1}, maintenanceOf(f.stepLater(1)))
		f.apply(batch.NewStartWave(batch.NewWave(2, []string{"m1"}, 1, f.now.Add(20*time.Second))))
		assert.Empty(t, maintenanceOf(f.stepLater(1)), "the run on m1 goes on")
		f.apply(batch.NewEndRuns(f.now, batch.NewEnd(batch.NewTaskID("k", 0, 0, 0), 1, batch.Done, "")))
		assert.Equal(t, map[string]int64{"m1": 2}, maintenanceOf(f.stepLater(0)))
	})
	t.Run("the other wave follows", func(t *testing.T) {
		f := newOverlapping(t)
		f.stepLater(0)
		f.apply(batch.NewRecordMaintenance(1, "m1", f.incarnation))
		f.incarnation = batch.NewIncarnation("h", "w2", 2)
		assert.Equal(t, map[string]int64{"m1": 2}, maintenanceOf(f.stepLater(0)))
		f.apply(batch.NewRecordMaintenance(2, "m1", f.incarnation))
		f.apply(batch.NewRecordMaintenance(2, "m2", batch.Incarnation{}))
		assert.Equal(t, map[string]int64{"m2": 1}, maintenanceOf(f.stepLater(0)))
	})
	t.Run("the machine gets runs after both", func(t *testing.T) {
		f := newOverlapping(t)
		f.stepLater(0)
		for wave := int64(1); wave <= 2; wave++ {
			f.apply(batch.NewRecordMaintenance(wave, "m1", f.incarnation))
			f.incarnation = batch.NewIncarnation("h", "w", 2+wave)
			f.stepLater(0)
		}
		f.apply(batch.NewSubmit("other", "q", "", nil, f.now))
		assert.NotEmpty(t, f.stepLater(0).Groups())
	})
}
