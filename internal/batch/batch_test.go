package batch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/batch"
)

var (
	epoch  = time.Unix(1_800_000_000, 0)
	worker = batch.NewIncarnation("h", "w", 1)
)

// fakeDecoder looks up declarations by document and specs by job id.
type fakeDecoder struct {
	declarations map[string]batch.Declaration
	specs        map[string]batch.Spec
}

func (d *fakeDecoder) Declaration(document []byte) (batch.Declaration, error) {
	return d.declarations[string(document)], nil
}

func (d *fakeDecoder) Spec(id string, _ []byte) (batch.Spec, error) { return d.specs[id], nil }

func queue(name string) batch.Queue {
	return batch.NewQueue(name, "h", "/"+name+"/", "s").WithPolicy(1, 2).WithObjective(2, time.Second, time.Second)
}

func service() []batch.Service { return []batch.Service{batch.NewService("s", false, false)} }

// newState returns a state with one queue that allows two attempts, and a job with the given steps.
func newState(t *testing.T, steps ...batch.Step) batch.State {
	t.Helper()
	d, err := batch.NewDeclaration(1, []batch.Queue{queue("q")}, service(), nil)
	require.NoError(t, err)
	spec, err := batch.NewSpec("j", "", steps...)
	require.NoError(t, err)
	s := batch.NewState(&fakeDecoder{
		declarations: map[string]batch.Declaration{"1": d}, specs: map[string]batch.Spec{"j": spec},
	})
	s, _ = s.Apply(batch.NewDeclare([]byte("1")))
	s, r := s.Apply(batch.NewSubmit("j", "q", "", nil, epoch))
	require.Equal(t, batch.Accepted{}, r)
	return s
}

func task(step, index int) batch.TaskID { return batch.NewTaskID("j", 0, step, index) }

// placeRuns places a run of each given task of a step and reports whether the group was placed.
func placeRuns(s batch.State, step, run int, indexes ...int) (batch.State, bool) {
	var members []batch.Member
	for _, n := range indexes {
		members = append(members, batch.NewMember(n, run, worker))
	}
	s, r := s.Apply(batch.NewPlaceRuns(epoch, batch.NewGroup(task(step, 0), members...)))
	return s, r.(batch.RunsPlaced).Placed()[0]
}

func endRun(s batch.State, step, index, run int, outcome batch.RunOutcome, checkpoint string) batch.State {
	s, _ = s.Apply(batch.NewEndRuns(epoch, batch.NewEnd(task(step, index), run, outcome, checkpoint)))
	return s
}

func assertState(t *testing.T, s batch.State, want batch.JobState) {
	t.Helper()
	j, known := s.Job("j")
	require.True(t, known)
	assert.Equal(t, want, j.State())
}

func step(count int, opts ...batch.StepOption) batch.Step {
	return batch.NewStep(count, batch.NewResources(1000, 1000, 1), time.Second, opts...)
}

// Guards against a job whose reported state contradicts the progress of its tasks.
func TestJobStates(t *testing.T) {
	t.Run("completes after all steps in dependency order", func(t *testing.T) {
		s := newState(t, step(1), step(1, batch.WithAfter(0)))
		assertState(t, s, batch.Queued)
		s, _ = placeRuns(s, 0, 1, 0)
		assertState(t, s, batch.Running)
		s = endRun(s, 0, 0, 1, batch.Done, "")
		j, _ := s.Job("j")
		assert.True(t, j.Ready(0, 1))
		s, _ = placeRuns(s, 1, 1, 0)
		s = endRun(s, 1, 0, 1, batch.Done, "")
		assertState(t, s, batch.Completed)
	})
	t.Run("fails after all attempts, of which only failed runs count", func(t *testing.T) {
		s := newState(t, step(1))
		for run, outcome := range []batch.RunOutcome{batch.Lost, batch.Stopped, batch.Failed, batch.Lapsed, batch.Failed} {
			assertState(t, s, map[bool]batch.JobState{true: batch.Queued, false: batch.Running}[run == 0])
			var ok bool
			s, ok = placeRuns(s, 0, run+1, 0)
			require.True(t, ok)
			s = endRun(s, 0, 0, run+1, outcome, "")
		}
		assertState(t, s, batch.JobFailed)
	})
	t.Run("a cancelled job starts no more runs", func(t *testing.T) {
		s := newState(t, step(1))
		s, r := s.Apply(batch.NewCancel("j", epoch))
		assert.True(t, r.(batch.Cancelled).Known())
		assertState(t, s, batch.JobCancelled)
		_, ok := placeRuns(s, 0, 1, 0)
		assert.False(t, ok)
		_, r = s.Apply(batch.NewCancel("other", epoch))
		assert.False(t, r.(batch.Cancelled).Known())
	})
	t.Run("a repeated submission does not change the job", func(t *testing.T) {
		s := newState(t, step(1))
		s, _ = placeRuns(s, 0, 1, 0)
		s, r := s.Apply(batch.NewSubmit("j", "q", "", nil, epoch.Add(time.Second)))
		assert.True(t, r.(batch.Accepted).Known())
		assertState(t, s, batch.Running)
	})
	t.Run("a long-running task has unlimited attempts", func(t *testing.T) {
		s := newState(t, step(1, batch.WithLongRunning(true, 0)))
		for run := 1; run < 6; run++ {
			s, _ = placeRuns(s, 0, run, 0)
			s = endRun(s, 0, 0, run, batch.Failed, "")
		}
		assertState(t, s, batch.Running)
	})
	t.Run("a long-running task can run again after any outcome", func(t *testing.T) {
		s := newState(t, step(1, batch.WithLongRunning(true, 0)))
		for run, outcome := range []batch.RunOutcome{batch.Done, batch.Stopped, batch.Done} {
			var ok bool
			s, ok = placeRuns(s, 0, run+1, 0)
			require.True(t, ok)
			s = endRun(s, 0, 0, run+1, outcome, "")
		}
		assertState(t, s, batch.Running)
	})
}

// Guards against a task that is placed twice, and against recording the end of one run for another run.
func TestRuns(t *testing.T) {
	s := newState(t, step(2))
	s, ok := placeRuns(s, 0, 1, 0)
	require.True(t, ok)
	t.Run("a placed task is not placed again", func(t *testing.T) {
		_, ok := placeRuns(s, 0, 2, 0)
		assert.False(t, ok)
	})
	t.Run("a group with one placed task is not placed at all", func(t *testing.T) {
		after, ok := placeRuns(s, 0, 2, 1, 0)
		assert.False(t, ok)
		j, _ := after.Job("j")
		assert.Equal(t, batch.Waiting, j.Tasks(0, 0).At(1).Phase())
	})
	t.Run("the end of another run is ignored", func(t *testing.T) {
		after := endRun(s, 0, 0, 7, batch.Done, "")
		j, _ := after.Job("j")
		assert.Equal(t, batch.Placed, j.Tasks(0, 0).At(0).Phase())
	})
	t.Run("a run number is not used twice", func(t *testing.T) {
		after := endRun(s, 0, 0, 1, batch.Lost, "")
		_, ok := placeRuns(after, 0, 1, 0)
		assert.False(t, ok)
		_, ok = placeRuns(after, 0, 2, 0)
		assert.True(t, ok)
	})
}

// Guards against members of a gang that end, count failures or resume independently of each other.
func TestGang(t *testing.T) {
	gang := step(2, batch.WithGang(true, false), batch.WithCheckpoints(true))
	t.Run("one member that is done completes the gang", func(t *testing.T) {
		s, _ := placeRuns(newState(t, gang), 0, 1, 0, 1)
		assertState(t, endRun(s, 0, 1, 1, batch.Done, ""), batch.Completed)
	})
	t.Run("failures of two members in one run count as one attempt", func(t *testing.T) {
		s, _ := placeRuns(newState(t, gang), 0, 1, 0, 1)
		s = endRun(s, 0, 0, 1, batch.Failed, "")
		s = endRun(s, 0, 1, 1, batch.Failed, "")
		assertState(t, s, batch.Running)
		s, _ = placeRuns(s, 0, 2, 0, 1)
		assertState(t, endRun(s, 0, 1, 2, batch.Failed, ""), batch.JobFailed)
	})
	t.Run("all members share one checkpoint", func(t *testing.T) {
		s, _ := placeRuns(newState(t, gang), 0, 1, 0, 1)
		s = endRun(s, 0, 1, 1, batch.Stopped, "c1")
		j, _ := s.Job("j")
		assert.Equal(t, "c1", j.Checkpoint(task(0, 0)))
		assert.Equal(t, "c1", j.Checkpoint(task(0, 1)))
	})
	t.Run("the checkpoint of a later end counts after a lost member without one", func(t *testing.T) {
		s, _ := placeRuns(newState(t, gang), 0, 1, 0, 1)
		s = endRun(s, 0, 0, 1, batch.Lost, "")
		s = endRun(s, 0, 1, 1, batch.Broken, "c1")
		j, _ := s.Job("j")
		assert.Equal(t, "c1", j.Checkpoint(task(0, 0)))
	})
	t.Run("an earlier checkpoint of a lost member does not outlast a later one", func(t *testing.T) {
		s, _ := placeRuns(newState(t, gang), 0, 1, 0, 1)
		s, _ = s.Apply(batch.NewSaveCheckpoints(batch.NewRunCheckpoint(task(0, 1), 1, "c50")))
		s = endRun(s, 0, 0, 1, batch.Lost, "c30")
		s = endRun(s, 0, 1, 1, batch.Broken, "c50")
		j, _ := s.Job("j")
		assert.Equal(t, "c50", j.Checkpoint(task(0, 0)))
	})
}

// Guards against an older declaration that replaces a newer one, and against an invalid one that is accepted.
func TestDeclarations(t *testing.T) {
	t.Run("an equal version changes nothing", func(t *testing.T) {
		first, err := batch.NewDeclaration(5, []batch.Queue{queue("a")}, service(), nil)
		require.NoError(t, err)
		same, err := batch.NewDeclaration(5, []batch.Queue{queue("b")}, service(), nil)
		require.NoError(t, err)
		s := batch.NewState(&fakeDecoder{declarations: map[string]batch.Declaration{"first": first, "same": same}})
		s, _ = s.Apply(batch.NewDeclare([]byte("first")))
		s, r := s.Apply(batch.NewDeclare([]byte("same")))
		assert.Equal(t, int64(5), r.(batch.Declared).Version())
		assert.Equal(t, "first", string(s.Document()))
	})
	for name, c := range map[string]struct {
		queues     []batch.Queue
		workspaces []batch.Workspace
	}{
		"unknown service": {queues: []batch.Queue{batch.NewQueue("q", "h", "/", "x").WithObjective(1, 0, time.Second)}},
		"no timeout":      {queues: []batch.Queue{batch.NewQueue("q", "h", "/", "s")}},
		"same prefix":     {queues: []batch.Queue{queue("a"), batch.NewQueue("b", "h", "/a/", "s").WithObjective(1, 0, time.Second)}},
		"no prefix":       {queues: []batch.Queue{batch.NewQueue("q", "h", "", "s").WithObjective(1, 0, time.Second)}},
		"shared key":      {workspaces: []batch.Workspace{batch.NewWorkspace("a", 0, "k"), batch.NewWorkspace("b", 0, "k")}},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := batch.NewDeclaration(1, c.queues, service(), c.workspaces)
			assert.Error(t, err)
		})
	}
	t.Run("an empty key admits nobody", func(t *testing.T) {
		d, err := batch.NewDeclaration(1, nil, service(), []batch.Workspace{batch.NewWorkspace("a", 0, "", "k")})
		require.NoError(t, err)
		_, ok := d.Owner("")
		assert.False(t, ok)
		owner, ok := d.Owner("k")
		assert.True(t, ok)
		assert.Equal(t, "a", owner)
	})
	t.Run("the longest prefix wins", func(t *testing.T) {
		d, err := batch.NewDeclaration(1, []batch.Queue{queue("a"), batch.NewQueue("b", "h", "/a/b/", "s").WithObjective(1, 0, time.Second)}, service(), nil)
		require.NoError(t, err)
		q, rest, ok := d.QueueAt("h", "/a/b/x")
		assert.True(t, ok)
		assert.Equal(t, "b", q.Name())
		assert.Equal(t, "x", rest)
		_, _, ok = d.QueueAt("other", "/a/")
		assert.False(t, ok)
	})
}

// Guards against specs whose steps cannot be ordered, and against task ids that are parsed wrongly.
func TestSpecs(t *testing.T) {
	for name, steps := range map[string][]batch.Step{
		"no step":      nil,
		"no task":      {step(0)},
		"a later step": {step(1, batch.WithAfter(1)), step(1)},
		"itself":       {step(1, batch.WithAfter(0))},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := batch.NewSpec("j", "", steps...)
			assert.Error(t, err)
		})
	}
	t.Run("critical path of dependent steps", func(t *testing.T) {
		s, err := batch.NewSpec("j", "", step(1), step(1), step(1, batch.WithAfter(0, 1)))
		require.NoError(t, err)
		assert.Equal(t, 5*time.Second, s.CriticalPath(func(i int) time.Duration { return time.Duration(i+1) * time.Second }))
	})
	t.Run("critical path from each step", func(t *testing.T) {
		s, err := batch.NewSpec("j", "", step(1), step(1, batch.WithAfter(0)), step(1), step(1, batch.WithAfter(1, 2)))
		require.NoError(t, err)
		assert.Equal(t, []time.Duration{7, 6, 7, 4}, s.CriticalPaths(func(i int) time.Duration { return time.Duration(i + 1) }))
	})
	t.Run("task id round trip", func(t *testing.T) {
		id := batch.NewTaskID("5c0e", 1, 2, 17)
		read, err := batch.ParseTaskID(id.String())
		require.NoError(t, err)
		assert.Equal(t, id, read)
		for _, text := range []string{"", "a.b", "a.1.2", "a.1.2.x", "a.1.2.-3", ".1.2.3"} {
			_, err := batch.ParseTaskID(text)
			assert.Error(t, err, text)
		}
	})
}

// Guards against ended jobs that are never deleted, and against deleting active jobs or jobs with placed runs.
func TestPruneJobs(t *testing.T) {
	s, _ := placeRuns(newState(t, step(1)), 0, 1, 0)
	prune := batch.NewPruneJobs(epoch.Add(time.Hour))
	s, _ = s.Apply(prune)
	assertState(t, s, batch.Running)
	s, _ = s.Apply(batch.NewCancel("j", epoch))
	s, _ = s.Apply(prune)
	assertState(t, s, batch.JobCancelled)
	s = endRun(s, 0, 0, 1, batch.Stopped, "")
	s, _ = s.Apply(prune)
	_, known := s.Job("j")
	assert.False(t, known)
}

// Guards against a job that is reported as invalid because its queue was removed between the check and the commit.
func TestUndeclaredQueue(t *testing.T) {
	s := newState(t, step(1))
	next, r := s.Apply(batch.NewSubmit("other", "gone", "", nil, epoch))
	assert.Equal(t, batch.Undeclared{}, r)
	_, known := next.Job("other")
	assert.False(t, known)
}
