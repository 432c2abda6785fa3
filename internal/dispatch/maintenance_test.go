package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/dispatch"
	"rosemarywind.example/rosemarywind/internal/run"
)

// yard is a bench whose worker is on machine m1, and a wave of m1 and m2, one at a time.
type yard struct{ *bench }

func newYard(t *testing.T, steps ...batch.Step) yard {
	t.Helper()
	b := newBench(t, 1)
	b.apply(batch.NewEndRuns(b.now, batch.NewEnd(batch.NewTaskID("j", 0, 0, 0), 1, batch.Done, "")))
	if len(steps) > 0 {
		b = newStepBench(t, steps[0])
		b.apply(batch.NewEndRuns(b.now, batch.NewEnd(batch.NewTaskID("j", 0, 0, 0), 1, batch.Done, "")))
	}
	b.apply(batch.NewStartWave(batch.NewWave(1, []string{"m1", "m2"}, 1, b.now.Add(20*time.Second))))
	return yard{b}
}

// turn lets half a second pass, with the given runs of job k at work on m1.
func (y yard) turn(running int) dispatch.Actions {
	y.now = y.now.Add(500 * time.Millisecond)
	var list []run.Running
	for n := range running {
		list = append(list, run.NewRunning(run.NewID(batch.NewTaskID("k", 0, 0, n), 1), "", 100, 0))
	}
	y.core.Report(y.now, run.NewReport("h").WithAnnouncement(run.NewAnnouncement(y.life, "s", "z", y.now.UnixMilli()).
		WithCapacity(batch.NewResources(1000, 1000, 8)).WithClock(y.now.Sub(epoch)).WithMachine("m1")).
		WithList(run.NewList(y.life, 1, y.now.Sub(epoch), list, nil, nil)))
	return y.core.Step(y.now, y.state)
}

// takenDown returns the machines that a step takes down.
func takenDown(a dispatch.Actions) (list []string) {
	for _, m := range a.Maintenance() {
		list = append(list, m.Machine())
	}
	return list
}

// stopped returns how many runs of job k are stopped within so many turns.
func (y yard) stopped(turns, running int) (count int) {
	seen := map[run.ID]bool{}
	for range turns {
		for _, o := range y.turn(running).Orders() {
			if s, ok := o.Order().(run.Stop); ok && s.ID().Task().Job() == "k" {
				seen[s.ID()] = true
			}
		}
	}
	return len(seen)
}

// Guards against a wave that takes down more machines than it may, that ends work which could go on, or that is said to
// be complete too early.
func TestMaintenance(t *testing.T) {
	t.Run("one after the other, the next when the first is back", func(t *testing.T) {
		y := newYard(t)
		assert.Equal(t, []string{"m1"}, takenDown(y.turn(0)))
		assert.Empty(t, takenDown(y.turn(0)))
		y.apply(batch.NewRecordMaintenance(1, "m1", y.life))
		assert.Empty(t, takenDown(y.turn(0)))
		y.life = batch.NewIncarnation("h", "w2", 2)
		assert.Equal(t, []string{"m2"}, takenDown(y.turn(0)))
		w, _ := y.state.Wave(1)
		assert.False(t, w.AllBegun())
		y.apply(batch.NewSkipMachine(1, "m2"))
		w, _ = y.state.Wave(1)
		assert.True(t, w.AllBegun())
	})
	t.Run("a failed attempt is repeated", func(t *testing.T) {
		y := newYard(t)
		assert.Len(t, takenDown(y.turn(0)), 1)
		y.core.MaintenanceFailed(y.now.Add(-time.Second), "m1")
		assert.Equal(t, []string{"m1"}, takenDown(y.turn(0)))
	})
	t.Run("waits for a run that keeps nothing, as long as the wave bears", func(t *testing.T) {
		y := newYard(t, batch.NewStep(1, batch.NewResources(1, 1, 0), time.Minute))
		assert.Zero(t, y.stopped(10, 1))
		assert.Equal(t, 1, y.stopped(12, 1))
	})
	t.Run("stops a run that keeps checkpoints", func(t *testing.T) {
		y := newYard(t, batch.NewStep(1, batch.NewResources(1, 1, 0), time.Minute, batch.WithCheckpoints(true)))
		assert.Equal(t, 1, y.stopped(1, 1))
	})
	t.Run("stops as many tasks of a service as it bears", func(t *testing.T) {
		y := newYard(t, batch.NewStep(3, batch.NewResources(1, 1, 0), 0, batch.WithLongRunning(true, 1)))
		y.turn(3)
		assert.Equal(t, 1, y.stopped(4, 3))
	})
	t.Run("nothing new begins on it", func(t *testing.T) {
		y := newYard(t)
		y.turn(0)
		y.apply(batch.NewSubmit("other", "q", "", nil, y.now))
		assert.Empty(t, y.turn(0).Groups())
	})
}
