package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/placement"
	"rosemarywind.example/rosemarywind/internal/run"
)

// quarantine sets which workers are in quarantine.
func (f *fixture) quarantine(quarantined func(i int) bool) {
	for i, w := range f.workers {
		f.workers[i] = w.WithQuarantine(quarantined(i))
	}
}

// Guards against a job without any run for as long as the quarantine of every worker that fits lasts, up to 24 s, though
// the workers are idle and it was the tasks that failed.
func TestQuarantine(t *testing.T) {
	all := func(int) bool { return true }
	one := func() batch.Step { return batch.NewStep(1, gpus(8), time.Minute) }
	t.Run("used after a wait if no other worker fits", func(t *testing.T) {
		f := newFixture(t)
		f.quarantine(all)
		f.submit("j", scans, "b", one())
		f.decide()
		f.assertPlaced("j", 0)
		f.advance(2100 * time.Millisecond)
		f.decide()
		f.assertPlaced("j", 1)
	})
	t.Run("not used while another worker fits", func(t *testing.T) {
		f := newFixture(t)
		f.quarantine(func(i int) bool { return i != 5 })
		f.submit("j", scans, "b", one())
		f.advance(2100 * time.Millisecond)
		f.decide()
		assert.Equal(t, []string{"r2"}, f.racks("j"))
	})
	t.Run("not used on a busy service", func(t *testing.T) {
		f := newFixture(t)
		f.submit("busy", scans, "a", batch.NewStep(3, gpus(8), time.Hour))
		f.decide()
		f.quarantine(all)
		f.submit("j", scans, "b", one())
		f.advance(2100 * time.Millisecond)
		f.decide()
		f.assertPlaced("j", 0)
	})
	t.Run("not used beside a run of the same job", func(t *testing.T) {
		f := newFixture(t)
		f.submit("j", scans, "b", batch.NewStep(2, gpus(8), time.Minute))
		f.decide()
		f.end(batch.NewTaskID("j", 0, 0, 0), batch.Failed)
		f.quarantine(all)
		f.advance(2100 * time.Millisecond)
		f.decide()
		f.assertPlaced("j", 1)
	})
	t.Run("one task of a step at a time", func(t *testing.T) {
		f := newFixture(t)
		f.quarantine(all)
		f.submit("j", scans, "b", batch.NewStep(3, gpus(8), time.Minute))
		f.advance(2100 * time.Millisecond)
		f.decide()
		f.assertPlaced("j", 1)
		f.decide()
		f.assertPlaced("j", 1)
	})
	t.Run("a worker that failed one run comes first", func(t *testing.T) {
		f := newFixture(t)
		f.workers = []placement.Worker{f.workers[0].WithQuarantine(true), f.worker(5, true)}
		f.submit("j", scans, "b", one())
		f.advance(2100 * time.Millisecond)
		f.decide()
		assert.Equal(t, []string{"r2"}, f.racks("j"))
	})
	t.Run("after two crashes on one worker at a time", func(t *testing.T) {
		f := newFixture(t)
		f.submit("j", patient, "a", batch.NewStep(2, gpus(8), time.Minute))
		for range 2 {
			f.decide()
			f.assertPlaced("j", 2)
			f.advance(time.Second)
			for n := range 2 {
				f.crash(batch.NewTaskID("j", 0, 0, n))
			}
		}
		f.quarantine(all)
		f.advance(2100 * time.Millisecond)
		f.decide()
		f.assertPlaced("j", 1)
	})
}

// worker returns a worker of the fixture that failed a run lately or not.
func (f *fixture) worker(i int, suspect bool) placement.Worker {
	return placement.NewWorker(run.NewAnnouncement(incarnation(i), "s", "z", 1).
		WithRack(fmt.Sprintf("r%d", i/2), nil).WithCapacity(batch.NewResources(128_000, 256_000, 8)), suspect)
}
