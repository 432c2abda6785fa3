package batch_test

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

const (
	// largeTasks is the largest number of tasks of a new job.
	largeTasks = 100_000
	// stateBytes bounds what large jobs may take in the state: a control host spends at most 128 MB on everything.
	stateBytes = 32 << 20
)

// allocated returns the number of bytes that f allocates.
func allocated(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// Guards against a state that grows with the product of the tasks and times of jobs, and against commands that copy all
// tasks of a step for each run that begins or ends.
func TestLargeJobs(t *testing.T) {
	t.Run("accepted", func(t *testing.T) {
		spec, err := batch.NewSpec("", "", step(largeTasks))
		require.NoError(t, err)
		d, err := batch.NewDeclaration(1, []batch.Queue{queue("q")}, service(), nil)
		require.NoError(t, err)
		decoder := &fakeDecoder{declarations: map[string]batch.Declaration{"1": d}, specs: map[string]batch.Spec{}}
		for n := range 100 {
			decoder.specs[strconv.Itoa(n)] = spec.WithSchedule(300, epoch, time.Second)
		}
		s, _ := batch.NewState(decoder).Apply(batch.NewDeclare([]byte("1")))
		bytes := allocated(func() {
			for id := range decoder.specs {
				s, _ = s.Apply(batch.NewSubmit(id, "q", "", nil, epoch))
			}
		})
		assert.Equal(t, 100, s.Jobs().Len())
		assert.Less(t, bytes, uint64(stateBytes))
	})
	t.Run("one task of each time has begun", func(t *testing.T) {
		s := newScheduled(t, 300, step(largeTasks))
		bytes := allocated(func() {
			for k := range slices.Collect(jobOf(t, s).Due(epoch.Add(24 * time.Hour))) {
				s, _ = placeOccurrence(s, k)
			}
		})
		assert.Less(t, bytes, uint64(stateBytes))
	})
	t.Run("many runs begin and end", func(t *testing.T) {
		const runs = 500
		s := newState(t, step(largeTasks))
		var members []batch.Member
		var ends []batch.End
		for n := range runs {
			members = append(members, batch.NewMember(n, 1, worker))
			ends = append(ends, batch.NewEnd(task(0, n), 1, batch.Done, ""))
		}
		bytes := allocated(func() {
			s, _ = s.Apply(batch.NewPlaceRuns(epoch, batch.NewGroup(task(0, 0), members...)))
			s, _ = s.Apply(batch.NewEndRuns(epoch, ends...))
		})
		assert.Less(t, bytes, uint64(stateBytes))
		assert.Equal(t, runs, jobOf(t, s).Tasks(0, 0).Count(batch.Ended))
		assert.Equal(t, largeTasks-runs, jobOf(t, s).Tasks(0, 0).Count(batch.Waiting))
	})
}

// Guards against counts, indexes or tasks that differ between the blocks of a list and a plain list.
func TestTaskList(t *testing.T) {
	for _, size := range []int{1, 127, 128, 129, 300} {
		t.Run(strconv.Itoa(size), func(t *testing.T) {
			s := newState(t, step(size))
			last := size - 1
			s, placed := placeRuns(s, 0, 3, 0, last)
			require.Equal(t, size > 1, placed, "two tasks, or the same one twice")
			if !placed {
				s, _ = placeRuns(s, 0, 3, 0)
			}
			s = endRun(s, 0, 0, 3, batch.Lost, "")
			l := jobOf(t, s).Tasks(0, 0)
			assertList(t, l, size)
			assert.Equal(t, 3, l.MaxRun())
			assert.True(t, epoch.Equal(l.WaitingSince()))
			s = endRun(s, 0, last, 3, batch.Done, "")
			assertList(t, jobOf(t, s).Tasks(0, 0), size)
			var b batch.TaskListBuilder
			for _, t := range jobOf(t, s).Tasks(0, 0).All() {
				b.Add(t, 1)
			}
			assert.Equal(t, jobOf(t, s).Tasks(0, 0), b.Build())
		})
	}
	t.Run("built from many equal tasks", func(t *testing.T) {
		var b batch.TaskListBuilder
		b.Add(batch.RestoreTask(batch.Ended, 1, worker, epoch, 0, 0, ""), 1)
		b.Add(batch.RestoreTask(batch.Waiting, 0, batch.Incarnation{}, time.Time{}, 0, 0, ""), 1000)
		l := b.Build()
		assertList(t, l, 1001)
		assert.Equal(t, 1000, l.Count(batch.Waiting))
	})
}

// assertList checks that all ways to look at a list agree.
func assertList(t *testing.T, l batch.TaskList, size int) {
	t.Helper()
	require.Equal(t, size, l.Len())
	next := 0
	byPhase := map[batch.Phase][]int{}
	for n, task := range l.All() {
		assert.Equal(t, next, n)
		assert.Equal(t, task, l.At(n))
		byPhase[task.Phase()] = append(byPhase[task.Phase()], n)
		next++
	}
	assert.Equal(t, size, next)
	for _, p := range []batch.Phase{batch.Waiting, batch.Placed, batch.Ended} {
		var indexes []int
		for n := range l.In(p) {
			indexes = append(indexes, n)
		}
		assert.Equal(t, byPhase[p], indexes, "phase %s", p)
		assert.Equal(t, len(indexes), l.Count(p), "phase %s", p)
	}
}
