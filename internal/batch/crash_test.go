package batch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/batch"
)

// crash places a run of the first task of the first step, ends it as lost, and records the crash of its worker.
func crash(t *testing.T, s batch.State, run int, host string, phase batch.CrashPhase) batch.State {
	t.Helper()
	s, ok := placeRuns(s, 0, run, 0)
	require.True(t, ok)
	s = recordCrash(s, 0, run, host, phase)
	return endRun(s, 0, 0, run, batch.Lost, "")
}

func recordCrash(s batch.State, index, run int, host string, phase batch.CrashPhase) batch.State {
	s, _ = s.Apply(batch.NewRecordCrashes(epoch.Add(time.Second), batch.NewRunCrash(task(0, index), run, host, phase)))
	return s
}

// assertCrashes checks the record of the first task of the first step.
func assertCrashes(t *testing.T, s batch.State, crashes, confirmed int) {
	t.Helper()
	j, _ := s.Job("j")
	assert.Equal(t, crashes, j.Crashes(task(0, 0)).Crashes())
	assert.Equal(t, confirmed, j.Crashes(task(0, 0)).Confirmed())
}

// assertGivenUpAfter records crashes on another host each, and checks that the last one fails the job.
func assertGivenUpAfter(t *testing.T, s batch.State, phases ...batch.CrashPhase) {
	t.Helper()
	for n, p := range phases {
		j, _ := s.Job("j")
		require.True(t, j.Active(), "before crash %d", n+1)
		s = crash(t, s, n+1, string(rune('a'+n)), p)
	}
	assertState(t, s, batch.JobFailed)
	j, _ := s.Job("j")
	assert.True(t, j.EndedAt().Equal(epoch.Add(time.Second)))
}

// Guards against a task that crashes its workers and is started again without end.
func TestTaskGivenUpAfterCrashes(t *testing.T) {
	alone, among, later := batch.CrashedAlone, batch.CrashedAmongOthers, batch.CrashedLater
	t.Run("crashes alone", func(t *testing.T) {
		assertGivenUpAfter(t, newState(t, step(1)), alone, alone, alone)
	})
	t.Run("first crash among others", func(t *testing.T) {
		assertGivenUpAfter(t, newState(t, step(1)), among, alone, alone)
	})
	t.Run("crashes that others may have caused", func(t *testing.T) {
		assertGivenUpAfter(t, newState(t, step(1)), among, among, alone, among)
	})
	t.Run("crashes after some work", func(t *testing.T) {
		assertGivenUpAfter(t, newState(t, step(1)), later, later, later, later)
	})
	t.Run("long-running task", func(t *testing.T) {
		assertGivenUpAfter(t, newState(t, step(1, batch.WithLongRunning(true, 0))), alone, alone, alone)
	})
	t.Run("crash that is reported after the end of the run", func(t *testing.T) {
		s, _ := placeRuns(newState(t, step(1)), 0, 1, 0)
		s = recordCrash(endRun(s, 0, 0, 1, batch.Lost, ""), 0, 1, "a", alone)
		assertCrashes(t, s, 1, 1)
	})
}

// Guards against giving up a task that was only unlucky.
func TestTaskNotGivenUp(t *testing.T) {
	alone, later := batch.CrashedAlone, batch.CrashedLater
	t.Run("losses without a crash", func(t *testing.T) {
		s := newState(t, step(1))
		for run := 1; run <= 10; run++ {
			s, _ = placeRuns(s, 0, run, 0)
			s = endRun(s, 0, 0, run, batch.Lost, "")
		}
		assertState(t, s, batch.Running)
	})
	t.Run("crashes on one host confirm nothing", func(t *testing.T) {
		s := newState(t, step(1))
		for run := 1; run <= 3; run++ {
			s = crash(t, s, run, "a", alone)
		}
		assertCrashes(t, s, 3, 1)
		assertState(t, s, batch.Running)
	})
	t.Run("a run counts once", func(t *testing.T) {
		s := crash(t, newState(t, step(1)), 1, "a", alone)
		for range 5 {
			s = recordCrash(s, 0, 1, "b", alone)
		}
		assertCrashes(t, s, 1, 1)
	})
	t.Run("a gang counts once for all members", func(t *testing.T) {
		s, _ := placeRuns(newState(t, step(3, batch.WithGang(true, false))), 0, 1, 0, 1, 2)
		for n := range 3 {
			s = recordCrash(s, n, 1, string(rune('a'+n)), alone)
		}
		assertCrashes(t, s, 1, 1)
	})
	t.Run("progress between crashes", func(t *testing.T) {
		s := newState(t, step(1, batch.WithCheckpoints(true)))
		for run := 1; run <= 8; run++ {
			s, _ = placeRuns(s, 0, run, 0)
			s, _ = s.Apply(batch.NewSaveCheckpoints(batch.NewRunCheckpoint(task(0, 0), run, string(rune('a'+run)))))
			s = recordCrash(s, 0, run, "a", later)
			s = endRun(s, 0, 0, run, batch.Lost, "")
		}
		assertCrashes(t, s, 1, 0)
	})
	t.Run("long-running task that was at work", func(t *testing.T) {
		s := newState(t, step(1, batch.WithLongRunning(true, 0)))
		s = crash(t, crash(t, s, 1, "a", alone), 2, "b", alone)
		s = crash(t, s, 3, "c", later)
		assertCrashes(t, s, 0, 0)
		assertState(t, s, batch.Running)
	})
	t.Run("run that was never placed", func(t *testing.T) {
		s := recordCrash(newState(t, step(1)), 0, 1, "a", alone)
		assertCrashes(t, s, 0, 0)
	})
	t.Run("unknown job or task", func(t *testing.T) {
		s := newState(t, step(1))
		s, r := s.Apply(batch.NewRecordCrashes(epoch, batch.NewRunCrash(batch.NewTaskID("other", 0, 0, 0), 1, "a", alone),
			batch.NewRunCrash(task(0, 7), 1, "a", alone)))
		assert.Empty(t, r.(batch.CrashesRecorded).GivenUp())
		assertState(t, s, batch.Queued)
	})
}
