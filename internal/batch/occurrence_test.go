package batch_test

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/batch"
)

// endless is the largest number of occurrences that a JSON number holds exactly.
const endless = 1<<53 - 1

// newScheduled returns a state with a job of one step that runs a number of times, once a minute.
func newScheduled(t *testing.T, occurrences int, first batch.Step) batch.State {
	t.Helper()
	d, err := batch.NewDeclaration(1, []batch.Queue{queue("q")}, service(), nil)
	require.NoError(t, err)
	spec, err := batch.NewSpec("j", "", first)
	require.NoError(t, err)
	s := batch.NewState(&fakeDecoder{
		declarations: map[string]batch.Declaration{"1": d},
		specs:        map[string]batch.Spec{"j": spec.WithSchedule(occurrences, epoch, time.Minute)},
	})
	s, _ = s.Apply(batch.NewDeclare([]byte("1")))
	s, r := s.Apply(batch.NewSubmit("j", "q", "", nil, epoch))
	require.Equal(t, batch.Accepted{}, r)
	return s
}

// placeOccurrence places a run of the only task of an occurrence and reports whether it was placed.
func placeOccurrence(s batch.State, occurrence int) (batch.State, bool) {
	s, r := s.Apply(batch.NewPlaceRuns(epoch, batch.NewGroup(batch.NewTaskID("j", occurrence, 0, 0), batch.NewMember(0, 1, worker))))
	return s, r.(batch.RunsPlaced).Placed()[0]
}

// runOccurrence places the only task of an occurrence and ends it as done.
func runOccurrence(t *testing.T, s batch.State, occurrence int) batch.State {
	t.Helper()
	s, placed := placeOccurrence(s, occurrence)
	require.True(t, placed)
	s, _ = s.Apply(batch.NewEndRuns(epoch, batch.NewEnd(batch.NewTaskID("j", occurrence, 0, 0), 1, batch.Done, "")))
	return s
}

// assertDue checks which occurrences may run at a time.
func assertDue(t *testing.T, s batch.State, at time.Time, want ...int) {
	t.Helper()
	j, _ := s.Job("j")
	assert.Equal(t, want, slices.Collect(j.Due(at)))
}

func assertPhase(t *testing.T, s batch.State, occurrence int, want batch.Phase) {
	t.Helper()
	j, _ := s.Job("j")
	progress, known := j.Task(batch.NewTaskID("j", occurrence, 0, 0))
	require.True(t, known)
	assert.Equal(t, want, progress.Phase())
}

// Guards against a job with an endless schedule that ends each control process which applies it, and against one that
// takes more memory the longer its schedule is.
func TestEndlessSchedule(t *testing.T) {
	t.Run("runs on", func(t *testing.T) {
		s := newScheduled(t, endless, step(1))
		for k := range 1000 {
			s = runOccurrence(t, s, k)
		}
		assertState(t, s, batch.Running)
		assertPhase(t, s, 999, batch.Ended)
		assertPhase(t, s, 1000, batch.Waiting)
		assertPhase(t, s, endless-1, batch.Waiting)
		assertDue(t, s, epoch.Add(1001*time.Minute), 1000, 1001)
		assert.Empty(t, batch.SnapshotJob(jobOf(t, s)).Tasks())
	})
	t.Run("few occurrences at a time", func(t *testing.T) {
		s := newScheduled(t, endless, step(1))
		due := slices.Collect(jobOf(t, s).Due(epoch.AddDate(100, 0, 0)))
		require.NotEmpty(t, due)
		assert.LessOrEqual(t, len(due), 1000)
		for _, k := range due {
			var placed bool
			s, placed = placeOccurrence(s, k)
			require.True(t, placed)
		}
		assert.Equal(t, due, slices.Collect(jobOf(t, s).Due(epoch.AddDate(100, 0, 0))))
	})
	t.Run("one far ahead is not placed", func(t *testing.T) {
		_, placed := placeOccurrence(newScheduled(t, endless, step(1)), endless-1)
		assert.False(t, placed)
	})
	t.Run("more open ones of a leader without the bound", func(t *testing.T) {
		s := newScheduled(t, endless, step(1))
		for k := range 400 {
			var placed bool
			s, placed = placeOccurrence(s, k)
			require.True(t, placed)
		}
		assert.Len(t, slices.Collect(jobOf(t, s).Due(epoch.AddDate(100, 0, 0))), 400)
	})
	t.Run("due times far in the future", func(t *testing.T) {
		spec := jobOf(t, newScheduled(t, endless, step(1))).Spec()
		assert.True(t, spec.Due(endless-1).After(epoch.AddDate(100, 0, 0)))
		assert.True(t, spec.WithSchedule(3, epoch, math.MaxInt64).Due(2).After(epoch.AddDate(100, 0, 0)))
	})
}

func jobOf(t *testing.T, s batch.State) *batch.Job {
	t.Helper()
	j, known := s.Job("j")
	require.True(t, known)
	return j
}

// Guards against occurrences that are lost, run twice or end the job too early when they overlap.
func TestOccurrences(t *testing.T) {
	t.Run("completed after the last one", func(t *testing.T) {
		s := newScheduled(t, 3, step(1))
		assertDue(t, s, epoch.Add(time.Hour), 0, 1, 2)
		s = runOccurrence(t, s, 1)
		assertDue(t, s, epoch.Add(time.Hour), 0, 2)
		s = runOccurrence(t, s, 2)
		assertState(t, s, batch.Running)
		assertDue(t, s, epoch, 0)
		s = runOccurrence(t, s, 0)
		assertState(t, s, batch.Completed)
		assertPhase(t, s, 1, batch.Ended)
	})
	t.Run("not due yet", func(t *testing.T) {
		assertDue(t, newScheduled(t, 3, step(1)), epoch.Add(90*time.Second), 0, 1)
	})
	t.Run("no second run", func(t *testing.T) {
		s := runOccurrence(t, newScheduled(t, 3, step(1)), 0)
		_, placed := placeOccurrence(s, 0)
		assert.False(t, placed)
	})
	t.Run("a task of a closed occurrence has no record of crashes", func(t *testing.T) {
		s, placed := placeOccurrence(newScheduled(t, 3, step(1)), 0)
		require.True(t, placed)
		id := batch.NewTaskID("j", 0, 0, 0)
		s, _ = s.Apply(batch.NewRecordCrashes(epoch, batch.NewRunCrash(id, 1, "h", batch.CrashedAlone)))
		assert.True(t, jobOf(t, s).HasCrashes())
		s, _ = s.Apply(batch.NewEndRuns(epoch, batch.NewEnd(id, 1, batch.Done, "")))
		assert.False(t, jobOf(t, s).HasCrashes())
	})
}

// Guards against a command that ends each control process which applies it.
func TestMalformedGroups(t *testing.T) {
	for name, g := range map[string]batch.Group{
		"occurrence": batch.NewGroup(batch.NewTaskID("j", 3, 0, 0), batch.NewMember(0, 1, worker)),
		"step":       batch.NewGroup(batch.NewTaskID("j", 0, 1, 0), batch.NewMember(0, 1, worker)),
		"task":       batch.NewGroup(batch.NewTaskID("j", 0, 0, 0), batch.NewMember(1, 1, worker)),
		"below 0":    batch.NewGroup(batch.NewTaskID("j", 0, 0, 0), batch.NewMember(-1, 1, worker)),
	} {
		t.Run(name, func(t *testing.T) {
			s := newScheduled(t, 3, step(1))
			_, r := s.Apply(batch.NewPlaceRuns(epoch, g))
			assert.Equal(t, []bool{false}, r.(batch.RunsPlaced).Placed())
		})
	}
}

// Guards against a report of a task that no job has, on which each leader in turn ends.
func TestMalformedTasks(t *testing.T) {
	for name, id := range map[string]batch.TaskID{
		"occurrence": batch.NewTaskID("j", -1, 0, 0), "step": batch.NewTaskID("j", 0, -1, 0), "task": batch.NewTaskID("j", 0, 0, -1),
	} {
		t.Run(name, func(t *testing.T) {
			_, known := jobOf(t, newScheduled(t, 3, step(1))).Task(id)
			assert.False(t, known)
		})
	}
}

// Guards against a job with more tasks than the control hosts have memory for, and against one that was accepted before
// the limit and cannot be read from the log any more.
func TestTooManyTasks(t *testing.T) {
	for name, steps := range map[string][]batch.Step{
		"in one step":   {step(1 << 53)},
		"in two steps":  {step(2_000_000), step(2_000_000)},
		"the sum wraps": {step(math.MaxInt), step(math.MaxInt), step(4)},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := batch.NewSpec("j", "", steps...)
			assert.ErrorContains(t, err, "tasks")
		})
	}
	for name, c := range map[string]struct {
		steps    []batch.Step
		accepted bool
	}{
		"up to the limit": {[]batch.Step{step(50_000), step(50_000)}, true},
		"beyond it":       {[]batch.Step{step(50_000), step(50_001)}, false},
	} {
		t.Run(name, func(t *testing.T) {
			s, err := batch.NewSpec("j", "", c.steps...)
			require.NoError(t, err)
			assert.Equal(t, c.accepted, s.CheckSubmission() == nil)
			assertState(t, newState(t, c.steps...), batch.Queued)
		})
	}
	t.Run("negative interval", func(t *testing.T) {
		s, err := batch.NewSpec("j", "", step(1))
		require.NoError(t, err)
		assert.NoError(t, s.WithSchedule(2, epoch, 0).CheckSubmission())
		assert.Error(t, s.WithSchedule(2, epoch, -time.Second).CheckSubmission())
	})
}
