package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/dispatch"
	"rosemarywind.example/rosemarywind/internal/run"
)

// fixture is a leader with one worker, whose reports the test supplies.
type fixture struct {
	t           *testing.T
	now         time.Time
	core        *dispatch.Core
	state       batch.State
	incarnation batch.Incarnation
	decoder     *stubDecoder
	ended       int64 // number of the end listed last
}

// newFixture returns a fixture with a job of the given number of tasks, all placed on the worker.
func newFixture(t *testing.T, tasks int) *fixture {
	t.Helper()
	d, err := batch.NewDeclaration(1, []batch.Queue{
		batch.NewQueue("q", "h", "/q/", "s").WithPolicy(1, attempts).WithObjective(3, time.Second, time.Second),
		batch.NewQueue("advised", "h", "/a/", "s").WithPolicy(1, attempts).WithObjective(3, time.Second, time.Second).WithRequiredAdvice(true),
	}, []batch.Service{batch.NewService("s", false, false)}, nil)
	require.NoError(t, err)
	spec, err := batch.NewSpec("j", "", batch.NewStep(tasks, batch.NewResources(1, 1, 0), time.Second, batch.WithCheckpoints(true)))
	require.NoError(t, err)
	other, err := batch.NewSpec("other", "", batch.NewStep(1, batch.NewResources(1, 1, 0), time.Second))
	require.NoError(t, err)
	decoder := &stubDecoder{declaration: d, byJob: map[string]batch.Spec{"j": spec, "other": other}}
	f := &fixture{
		t: t, decoder: decoder, now: epoch, core: dispatch.NewCore(dispatch.DefaultTiming(), 1, epoch), incarnation: batch.NewIncarnation("h", "w", 1),
		state: batch.NewState(decoder),
	}
	f.apply(batch.NewDeclare(nil))
	f.apply(batch.NewSubmit("j", "q", "", nil, f.now))
	var members []batch.Member
	for n := range tasks {
		members = append(members, batch.NewMember(n, 1, f.incarnation))
	}
	f.apply(batch.NewPlaceRuns(f.now, batch.NewGroup(batch.NewTaskID("j", 0, 0, 0), members...)))
	f.core.Connect("h", 1)
	f.core.Report(f.now, run.NewReport("h").WithAnnouncement(run.NewAnnouncement(f.incarnation, "s", "z", 1).
		WithCapacity(batch.NewResources(1000, 1000, 8)).WithClock(time.Second)))
	return f
}

func (f *fixture) apply(c batch.Command) { f.state, _ = f.state.Apply(c) }

// reportCheckpoints reports one run for each checkpoint.
func (f *fixture) reportCheckpoints(checkpoints ...string) {
	var running []run.Running
	for n, c := range checkpoints {
		running = append(running, run.NewRunning(run.NewID(batch.NewTaskID("j", 0, 0, n), 1), c, 50, 0))
	}
	f.core.Report(f.now, run.NewReport("h").WithList(run.NewList(f.incarnation, 1, 2*time.Second, running, nil, nil)))
}

// commitCheckpoints advances time by a second, runs a step and commits its checkpoints.
func (f *fixture) commitCheckpoints() (marks []batch.RunCheckpoint) {
	f.now = f.now.Add(time.Second)
	marks = f.core.Step(f.now, f.state).Checkpoints()
	f.apply(batch.NewSaveCheckpoints(marks...))
	return marks
}

func (f *fixture) assertSaved(want string) {
	f.t.Helper()
	j, _ := f.state.Job("j")
	assert.Equal(f.t, want, j.Checkpoint(batch.NewTaskID("j", 0, 0, 0)))
}

// Guards against work that is repeated from the beginning when a worker and the leader are lost together. It happens
// if checkpoints are only in the leader's memory.
func TestSavedCheckpoints(t *testing.T) {
	t.Run("committed once a second while they change", func(t *testing.T) {
		f := newFixture(t, 1)
		f.reportCheckpoints("a")
		assert.Len(t, f.commitCheckpoints(), 1)
		f.assertSaved("a")
		assert.Empty(t, f.commitCheckpoints())
		f.reportCheckpoints("b")
		assert.Empty(t, f.core.Step(f.now, f.state).Checkpoints())
		f.commitCheckpoints()
		f.assertSaved("b")
	})
	t.Run("none of a run that is not placed on the worker", func(t *testing.T) {
		f := newFixture(t, 1)
		f.apply(batch.NewEndRuns(f.now, batch.NewEnd(batch.NewTaskID("j", 0, 0, 0), 1, batch.Lost, "")))
		f.reportCheckpoints("a")
		assert.Empty(t, f.commitCheckpoints())
	})
	t.Run("bounded per commit, least recently committed first", func(t *testing.T) {
		const tasks = 300
		f := newFixture(t, tasks)
		saved := map[batch.TaskID]bool{}
		for round := range 3 {
			var checkpoints []string
			for n := range tasks {
				checkpoints = append(checkpoints, fmt.Sprintf("%d/%d", round, n))
			}
			f.reportCheckpoints(checkpoints...)
			marks := f.commitCheckpoints()
			assert.Less(t, len(marks), tasks)
			for _, m := range marks {
				saved[m.Task()] = true
			}
		}
		assert.Len(t, saved, tasks)
	})
}

// Guards against a preempted gang that repeats up to a whole checkpoint interval: the checkpoint that a stop has saved
// must not be replaced by earlier ones that the other members list at their ends, in whichever order the ends come.
func TestCheckpointOfStoppedGang(t *testing.T) {
	for _, first := range []int{0, 1} {
		t.Run(fmt.Sprintf("member %d ends first", first), func(t *testing.T) {
			f := newFixture(t, 1)
			f.submitGang("gang")
			f.end("gang", first, 1, batch.Stopped, "new")
			f.end("gang", 1-first, 1, batch.Broken, "old")
			f.assertCheckpoint("gang", "new")

			f.placeGang("gang", 2)
			f.end("gang", first, 2, batch.Broken, "second")
			f.end("gang", 1-first, 2, batch.Stopped, "third")
			f.assertCheckpoint("gang", "third")

			f.placeGang("gang", 3)
			f.end("gang", first, 3, batch.Broken, "fourth")
			f.assertCheckpoint("gang", "fourth")
		})
	}
}

// submitGang accepts a job of one gang of two tasks with checkpoints, and places its first run.
func (f *fixture) submitGang(id string) {
	f.t.Helper()
	spec, err := batch.NewSpec(id, "", batch.NewStep(2, batch.NewResources(1, 1, 0), time.Second, batch.WithGang(true, false), batch.WithCheckpoints(true)))
	require.NoError(f.t, err)
	f.decoder.byJob[id] = spec
	f.apply(batch.NewSubmit(id, "q", "", nil, f.now))
	f.placeGang(id, 1)
}

func (f *fixture) placeGang(id string, number int) {
	f.apply(batch.NewPlaceRuns(f.now, batch.NewGroup(batch.NewTaskID(id, 0, 0, 0),
		batch.NewMember(0, number, f.incarnation), batch.NewMember(1, number, f.incarnation))))
}

// end lets the worker list the end of a run, and commits what the leader makes of it.
func (f *fixture) end(id string, index, number int, outcome batch.RunOutcome, checkpoint string) {
	f.t.Helper()
	f.now = f.now.Add(100 * time.Millisecond)
	f.ended++
	var running []run.Running
	j, _ := f.state.Job(id)
	for n, t := range j.Tasks(0, 0).In(batch.Placed) {
		if n != index {
			running = append(running, run.NewRunning(run.NewID(batch.NewTaskID(id, 0, 0, n), t.Run()), "", 50, 0))
		}
	}
	finished := []run.Finished{run.NewFinished(f.ended, batch.NewEnd(batch.NewTaskID(id, 0, 0, index), number, outcome, checkpoint))}
	clock := 2*time.Second + f.now.Sub(epoch)
	f.core.Report(f.now, run.NewReport("h").WithList(run.NewList(f.incarnation, 1, clock, running, finished, nil)))
	for _, e := range f.core.Step(f.now, f.state).Ends() {
		if e.Task().Job() == id {
			f.apply(batch.NewEndRuns(f.now, e))
		}
	}
	after, _ := f.state.Job(id)
	task, _ := after.Task(batch.NewTaskID(id, 0, 0, index))
	require.Equal(f.t, batch.Waiting, task.Phase())
}

func (f *fixture) assertCheckpoint(id, want string) {
	f.t.Helper()
	j, _ := f.state.Job(id)
	assert.Equal(f.t, want, j.Checkpoint(batch.NewTaskID(id, 0, 0, 0)))
}
