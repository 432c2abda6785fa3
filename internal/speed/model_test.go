package speed_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/run"
	"rosemarywind.example/rosemarywind/internal/speed"
)

var epoch = time.Unix(1_800_000_000, 0)

// fleet observes generated runs on workers of given speeds.
type fleet struct {
	model    *speed.Model
	random   *rand.Rand
	now      time.Time
	speeds   []float64
	restarts int64
	jobs     int
	live     []run.ID
}

func newFleet(seed uint64, count int, speeds ...float64) *fleet {
	f := &fleet{model: speed.NewModel(), random: rand.New(rand.NewPCG(seed, 1)), now: epoch}
	for n := range count {
		f.speeds = append(f.speeds, speeds[n%len(speeds)])
	}
	return f
}

func (f *fleet) incarnation(worker int) batch.Incarnation {
	return batch.NewIncarnation(fmt.Sprintf("h%d", worker), fmt.Sprintf("w%d", worker), 1+f.restarts)
}

// task returns the duration of a task on a normal worker: with a spread of 30 percent, and 3 in 100 seven times as long.
func (f *fleet) task(mean time.Duration) time.Duration {
	d := float64(mean) * math.Exp(0.3*f.random.NormFloat64())
	if f.random.Float64() < 0.03 {
		d *= 7
	}
	return time.Duration(d)
}

// observe observes a run of a job's only step.
func (f *fleet) observe(job string, index, worker int, task time.Duration) {
	id := run.NewID(batch.NewTaskID(job, 0, 0, index), 1)
	f.live = append(f.live, id)
	f.model.Observe(f.now, speed.NewObservation(id, f.incarnation(worker), "s", time.Duration(float64(task)/f.speeds[worker]), 30))
}

// play runs jobs of width tasks on random workers, one after the other, and ends their runs.
func (f *fleet) play(jobs, width int) {
	for range jobs {
		f.jobs++
		f.live = nil
		mean := time.Duration(1+f.random.IntN(10)) * time.Second
		for n, w := range f.random.Perm(len(f.speeds))[:width] {
			f.observe(fmt.Sprintf("j%d", f.jobs), n, w, f.task(mean))
		}
		f.now = f.now.Add(300 * time.Millisecond)
		f.model.Estimates(f.now)
		for _, id := range f.live {
			f.model.End(f.now, id)
		}
		f.live = nil
	}
	f.now = f.now.Add(time.Second)
}

func (f *fleet) of(worker int) speed.Estimate {
	return f.model.Estimates(f.now).Of(f.incarnation(worker))
}

// assertLearned asserts that the speeds of most workers are estimated to within a third of their speed, and that hardly any fast worker
// counts as slow or the reverse.
func assertLearned(t *testing.T, f *fleet) {
	t.Helper()
	near, reversed := 0, 0
	for n, actual := range f.speeds {
		e := f.of(n)
		if math.Abs(math.Log(e.Relative()/actual)) < 0.33 {
			near++
		}
		if actual > 1 && e.Class() == speed.Slow || actual < 1 && e.Class() == speed.Fast {
			reversed++
		}
	}
	assert.Greater(t, near, len(f.speeds)*2/3)
	assert.LessOrEqual(t, reversed, len(f.speeds)/30)
}

func assertAllNormal(t *testing.T, f *fleet) {
	t.Helper()
	for n := range f.speeds {
		assert.InDelta(t, 1, f.of(n).Relative(), 1e-9, "worker %d", n)
	}
	assert.False(t, f.model.Estimates(f.now).Differ())
}

// Guards against urgent gangs on slow workers because speeds are learned too late, or not at all beside tasks of very
// different length: about a minute of work for each worker has to do.
func TestSpeedsLearned(t *testing.T) {
	for seed := range uint64(5) {
		f := newFleet(seed, 66, 0.6, 1, 1.6)
		f.play(60, 5)
		assertLearned(t, f)
	}
}

// Guards against uneven use of workers that do not differ, after few runs and after many.
func TestAlikeWorkers(t *testing.T) {
	for seed := range uint64(5) {
		for _, jobs := range []int{10, 60, 400} {
			f := newFleet(seed, 70, 1)
			f.play(jobs, 6)
			assertAllNormal(t, f)
		}
	}
}

// Guards against alike workers that seem to differ because the tasks of a step on one worker begin late together: their
// errors are the same, so that many of them say no more than a few.
func TestTasksThatDeviateTogether(t *testing.T) {
	for seed := range uint64(5) {
		f := newFleet(seed, 70, 1)
		for n := range 60 {
			f.jobs++
			for i, w := range f.random.Perm(len(f.speeds))[:5] {
				delay := math.Exp(0.4 * f.random.NormFloat64())
				for k := range 8 {
					f.observe(fmt.Sprintf("j%d", n), 8*i+k, w, time.Duration(delay*float64(f.task(3*time.Second))))
				}
			}
			f.now = f.now.Add(300 * time.Millisecond)
			assertAllNormal(t, f)
			for _, id := range f.live {
				f.model.End(f.now, id)
			}
			f.live = nil
		}
	}
}

// Guards against a worker that counts as slow because of one task that is long by itself.
func TestSingleLongTask(t *testing.T) {
	f := newFleet(1, 66, 0.6, 1, 1.6)
	f.play(80, 5)
	before := f.of(1).Relative()
	for n := range 5 {
		task := 2 * time.Second
		if n == 0 {
			task *= 7
		}
		f.observe("long", n, 1+3*n, task)
	}
	f.now = f.now.Add(time.Second)
	assert.InEpsilon(t, before, f.of(1).Relative(), 0.15)
	assert.NotEqual(t, speed.Slow, f.of(1).Class())
}

// Guards against a single defective worker that is missed since all others are alike.
func TestSingleSlowWorker(t *testing.T) {
	f := newFleet(2, 30, 1)
	f.speeds[4] = 0.2
	f.play(60, 8)
	assert.True(t, f.of(4).SurelyBelow(0.4), f.of(4).Relative())
	assert.InDelta(t, 1, f.of(5).Relative(), 1e-9)
}

// Guards against full trust in what was learned of a worker's earlier incarnation, and against losing it.
func TestNewIncarnation(t *testing.T) {
	f := newFleet(3, 66, 0.5, 1, 2)
	f.play(120, 5)
	before := f.of(0).Relative()
	f.restarts++
	after := f.of(0).Relative()
	assert.Less(t, before, 0.7)
	assert.Greater(t, after, before)
	assert.Less(t, after, 0.95)
}

// Guards against estimates that last for ever: a worker that has not been observed for hours is not surely slow.
func TestAge(t *testing.T) {
	f := newFleet(4, 66, 0.5, 1, 2)
	f.play(80, 5)
	assert.Equal(t, speed.Slow, f.of(0).Class())
	f.now = f.now.Add(3 * time.Hour)
	f.observe("later", 0, 1, time.Second)
	f.observe("later", 1, 2, time.Second)
	assert.Equal(t, speed.Normal, f.of(0).Class())
	assert.Greater(t, f.of(0).Age(f.now), 2*time.Hour)
}

// Guards against durations of steps that are those on the fastest worker.
func TestDuration(t *testing.T) {
	f := newFleet(5, 66, 0.6, 1, 1.6)
	f.play(80, 5)
	for n := range 6 {
		f.observe("wide", n, n, 4*time.Second)
	}
	f.now = f.now.Add(time.Second)
	f.model.Estimates(f.now)
	d, ok := f.model.Duration("wide", 0)
	assert.True(t, ok)
	assert.InEpsilon(t, 4, d.Seconds(), 0.2)
	_, ok = f.model.Duration("unknown", 0)
	assert.False(t, ok)
}

// Guards against a model that grows with all jobs that there have been.
func TestForget(t *testing.T) {
	f := newFleet(6, 12, 0.6, 1, 1.6)
	f.play(30, 5)
	f.observe("live", 0, 0, time.Second)
	f.observe("live", 1, 1, time.Second)
	f.model.Forget(f.now, func(job string) bool { return job == "live" })
	assert.Equal(t, 1, f.model.Steps())
	assert.Equal(t, 12, f.model.Workers())
	later := f.now.Add(3 * time.Hour)
	f.model.Forget(later, func(job string) bool { return job == "live" })
	assert.Equal(t, 2, f.model.Workers(), "those with runs at work stay")
	f.model.Forget(later, func(string) bool { return false })
	assert.Equal(t, 0, f.model.Steps())
	assert.Equal(t, 0, f.model.Workers())
}

// Guards against estimates that are not numbers since all tasks have been exactly alike for a long time.
func TestExactlyAlikeTasks(t *testing.T) {
	f := newFleet(7, 12, 1)
	for n := range 3000 {
		f.jobs++
		for i := range 12 {
			f.observe(fmt.Sprintf("j%d", n), i, i, 3*time.Second)
		}
		f.now = f.now.Add(300 * time.Millisecond)
		f.model.Estimates(f.now)
		for _, id := range f.live {
			f.model.End(f.now, id)
		}
		f.live = nil
	}
	f.now = f.now.Add(time.Second)
	assertAllNormal(t, f)
}
