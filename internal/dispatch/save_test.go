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

// bench is a leader with one worker, whose lists are written by hand.
type bench struct {
	t       *testing.T
	now     time.Time
	core    *dispatch.Core
	state   batch.State
	life    batch.Incarnation
	decoder *specs
}

// newBench returns a bench with a job of so many tasks, all placed on the worker.
func newBench(t *testing.T, tasks int) *bench {
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
	decoder := &specs{declaration: d, specs: map[string]batch.Spec{"j": spec, "other": other}}
	b := &bench{
		t: t, decoder: decoder, now: epoch, core: dispatch.NewCore(dispatch.DefaultTiming(), 1, epoch), life: batch.NewIncarnation("h", "w", 1),
		state: batch.NewState(decoder),
	}
	b.apply(batch.NewDeclare(nil))
	b.apply(batch.NewSubmit("j", "q", "", nil, b.now))
	var members []batch.Member
	for n := range tasks {
		members = append(members, batch.NewMember(n, 1, b.life))
	}
	b.apply(batch.NewPlaceRuns(b.now, batch.NewGroup(batch.NewTaskID("j", 0, 0, 0), members...)))
	b.core.Connect("h", 1)
	b.core.Report(b.now, run.NewReport("h").WithAnnouncement(run.NewAnnouncement(b.life, "s", "z", 1).
		WithCapacity(batch.NewResources(1000, 1000, 8)).WithClock(time.Second)))
	return b
}

func (b *bench) apply(c batch.Command) { b.state, _ = b.state.Apply(c) }

// list reports runs with a checkpoint each.
func (b *bench) list(checkpoints ...string) {
	var running []run.Running
	for n, c := range checkpoints {
		running = append(running, run.NewRunning(run.NewID(batch.NewTaskID("j", 0, 0, n), 1), c, 50, 0))
	}
	b.core.Report(b.now, run.NewReport("h").WithList(run.NewList(b.life, 1, 2*time.Second, running, nil, nil)))
}

// save lets a second pass, and commits the checkpoints that the leader chooses.
func (b *bench) save() (marks []batch.RunCheckpoint) {
	b.now = b.now.Add(time.Second)
	marks = b.core.Step(b.now, b.state).Marks()
	b.apply(batch.NewSaveCheckpoints(marks...))
	return marks
}

func (b *bench) assertSaved(want string) {
	b.t.Helper()
	j, _ := b.state.Job("j")
	assert.Equal(b.t, want, j.Checkpoint(batch.NewTaskID("j", 0, 0, 0)))
}

// Guards against work that is repeated from its beginning when a worker and the leader are lost together, because its
// checkpoints were only in the leader's memory.
func TestSavedCheckpoints(t *testing.T) {
	t.Run("committed once a second while they change", func(t *testing.T) {
		b := newBench(t, 1)
		b.list("a")
		assert.Len(t, b.save(), 1)
		b.assertSaved("a")
		assert.Empty(t, b.save())
		b.list("b")
		assert.Empty(t, b.core.Step(b.now, b.state).Marks())
		b.save()
		b.assertSaved("b")
	})
	t.Run("none of a run that is not placed there", func(t *testing.T) {
		b := newBench(t, 1)
		b.apply(batch.NewEndRuns(b.now, batch.NewEnd(batch.NewTaskID("j", 0, 0, 0), 1, batch.Lost, "")))
		b.list("a")
		assert.Empty(t, b.save())
	})
	t.Run("those saved longest ago first, within a bound", func(t *testing.T) {
		const tasks = 300
		b := newBench(t, tasks)
		saved := map[batch.TaskID]bool{}
		for turn := range 3 {
			var checkpoints []string
			for n := range tasks {
				checkpoints = append(checkpoints, fmt.Sprintf("%d/%d", turn, n))
			}
			b.list(checkpoints...)
			marks := b.save()
			assert.Less(t, len(marks), tasks)
			for _, m := range marks {
				saved[m.Task()] = true
			}
		}
		assert.Len(t, saved, tasks)
	})
}
