package placement_test

import (
	"runtime"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/batch"
)

// decisionBytes bounds what a decision may allocate: a control host spends at most 128 MB on everything.
const decisionBytes = 64 << 20

// allocated returns the number of bytes that f allocates.
func allocated(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// submitScheduled accepts a job that is due many times already.
func (f *fixture) submitScheduled(id string, times int, steps ...batch.Step) {
	f.t.Helper()
	s, err := batch.NewSpec(id, "", steps...)
	require.NoError(f.t, err)
	f.decoder.specs[id] = s.WithSchedule(times, f.now.Add(-time.Hour), 10*time.Millisecond)
	f.apply(batch.NewSubmit(id, scans, "a", nil, f.now))
}

// smallTasks returns a step of small tasks, of which a worker of the fixture holds thousands.
func smallTasks(count int, opts ...batch.StepOption) batch.Step {
	return batch.NewStep(count, batch.NewResources(10, 16, 0), 2*time.Second, opts...)
}

// steps returns count steps of small tasks, each of which may run at once.
func steps(count, tasks int, opts ...batch.StepOption) (list []batch.Step) {
	for range count {
		list = append(list, smallTasks(tasks, opts...))
	}
	return list
}

// Guards against a step that does not begin because another one of its job has thousands of tasks that wait for capacity.
func TestStepBesideManyTasks(t *testing.T) {
	f := newFixture(t)
	f.submit("full", patient, "b", batch.NewStep(6, batch.NewResources(64_000, 1000, 8), time.Hour))
	f.decide()
	f.submit("mixed", patient, "a", batch.NewStep(50_000, gpus(1), time.Hour), smallTasks(3))
	f.decide()
	j, known := f.state.Job("mixed")
	require.True(t, known)
	assert.Zero(t, j.Tasks(0, 0).Count(batch.Placed))
	assert.Equal(t, 3, j.Tasks(0, 1).Count(batch.Placed))
}

// Guards against a step that never begins because its job has many others that no worker could run.
func TestUnsuitableSteps(t *testing.T) {
	runnable := batch.NewStep(1, gpus(1), time.Second)
	for name, others := range map[string][]batch.Step{
		"without a worker that has the label": steps(400, 1, batch.WithLabel("z")),
		"gangs of more accelerators than all": slices.Repeat([]batch.Step{gang(7, 8, time.Second)}, 400),
	} {
		for scheduled, times := range map[string]int{"once": 1, "scheduled": 300} {
			t.Run(name+", "+scheduled, func(t *testing.T) {
				f := newFixture(t)
				f.submitScheduled("mixed", times, append(slices.Clone(others), runnable)...)
				f.decide()
				f.assertPlaced("mixed", 1)
			})
		}
	}
}

// Guards against a decision whose memory or time grows with the product of the tasks, steps, times and jobs that callers
// ask for, so that each leader in turn runs out of memory and no job of anyone begins.
func TestLargeRequests(t *testing.T) {
	const times = 300
	unmatched := batch.WithLabel("z")
	for name, submit := range map[string]func(f *fixture){
		"tasks and times, for no worker":  func(f *fixture) { f.submitScheduled("large", times, smallTasks(100_000, unmatched)) },
		"tasks and times, for any worker": func(f *fixture) { f.submitScheduled("large", times, smallTasks(100_000)) },
		"one gang and times": func(f *fixture) {
			f.submitScheduled("large", times, smallTasks(100_000, batch.WithGang(true, false)))
		},
		"small gangs and times": func(f *fixture) {
			f.submitScheduled("large", times, steps(10, 10_000, batch.WithGang(true, true))...)
		},
		"steps and times, for no worker":  func(f *fixture) { f.submitScheduled("large", times, steps(10_000, 10, unmatched)...) },
		"steps and times, for any worker": func(f *fixture) { f.submitScheduled("large", times, steps(10_000, 10)...) },
		"jobs, tasks and times": func(f *fixture) {
			for n := range 20 {
				f.submitScheduled("large"+strconv.Itoa(n), times, smallTasks(100_000, unmatched))
			}
		},
		"urgent tasks": func(f *fixture) { f.submit("large", urgent, "a", smallTasks(100_000)) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			submit(f)
			f.submit("other", patient, "b", batch.NewStep(1, gpus(1), time.Second))
			for range 4 {
				startedAt := time.Now()
				bytes := allocated(func() { f.decideWithin(decisionTime) })
				t.Logf("decided in %s with %.1f MB", time.Since(startedAt).Round(time.Microsecond), float64(bytes)/(1<<20))
				assert.Less(t, bytes, uint64(decisionBytes))
				f.decide()
				f.advance(250 * time.Millisecond)
			}
			f.assertPlaced("other", 1)
		})
	}
}
