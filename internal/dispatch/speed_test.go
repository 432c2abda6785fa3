package dispatch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/dispatch"
	"rosemarywind.example/rosemarywind/internal/run"
)

// unevenFleet is a leader with workers of different speed in one rack, and jobs that run on all of them.
type unevenFleet struct {
	t       *testing.T
	core    *dispatch.Core
	decoder *stubDecoder
	state   batch.State
	now     time.Time
	speeds  []float64
	slowFor time.Duration // what the workers that are slower than normal announce
	begun   time.Time
	running map[int][]unevenRun // by worker
}

// unevenRun is a run at work on a worker and its duration on a normal one.
type unevenRun struct {
	id       run.ID
	duration time.Duration
}

func newUnevenFleet(t *testing.T, speeds ...float64) *unevenFleet {
	t.Helper()
	d, err := batch.NewDeclaration(1, []batch.Queue{
		batch.NewQueue("q", "h", "/q/", "s").WithPolicy(1, attempts).WithObjective(3, time.Second, time.Second),
		batch.NewQueue("urgent", "h", "/u/", "s").WithPolicy(0, attempts).WithObjective(1.5, time.Second, time.Second),
	}, []batch.Service{batch.NewService("s", false, false)}, nil)
	require.NoError(t, err)
	f := &unevenFleet{
		t: t, core: dispatch.NewCore(dispatch.DefaultTiming(), 1, epoch), now: epoch, begun: epoch, speeds: speeds,
		decoder: &stubDecoder{declaration: d, byJob: map[string]batch.Spec{}}, running: map[int][]unevenRun{},
	}
	f.state, _ = batch.NewState(f.decoder).Apply(batch.NewDeclare(nil))
	for n := range speeds {
		f.core.Connect(f.host(n), uint64(n+1))
	}
	return f
}

func (f *unevenFleet) host(n int) string { return fmt.Sprintf("h%02d", n) }

func (f *unevenFleet) incarnation(n int) batch.Incarnation {
	return batch.NewIncarnation(f.host(n), "w"+f.host(n), 1)
}

// submit accepts a job of one step.
func (f *unevenFleet) submit(id, queue string, step batch.Step) {
	f.t.Helper()
	spec, err := batch.NewSpec(id, "", step)
	require.NoError(f.t, err)
	f.decoder.byJob[id] = spec
	f.state, _ = f.state.Apply(batch.NewSubmit(id, queue, "", nil, f.now))
}

// spread starts a job with a task on each worker. factor returns how many times as long as two seconds a task takes.
func (f *unevenFleet) spread(id string, factor func(worker int) float64) {
	f.t.Helper()
	f.submit(id, "q", batch.NewStep(len(f.speeds), batch.NewResources(1000, 1000, 1), 2*time.Second))
	var members []batch.Member
	for n := range f.speeds {
		members = append(members, batch.NewMember(n, 1, f.incarnation(n)))
		f.running[n] = append(f.running[n], unevenRun{
			run.NewID(batch.NewTaskID(id, 0, 0, n), 1), time.Duration(2 * factor(n) * float64(time.Second)),
		})
	}
	f.state, _ = f.state.Apply(batch.NewPlaceRuns(f.now, batch.NewGroup(batch.NewTaskID(id, 0, 0, 0), members...)))
}

// advance reports the progress of all runs after the given time, and makes a step.
func (f *unevenFleet) advance(d time.Duration) dispatch.Actions {
	f.now = f.now.Add(d)
	for n, s := range f.speeds {
		var running []run.Running
		for _, r := range f.running[n] {
			percent := int(100 * s * f.now.Sub(f.begun).Seconds() / r.duration.Seconds())
			running = append(running, run.NewRunning(r.id, "", min(percent, 100), 1000))
		}
		clock := f.now.Sub(epoch) + time.Second
		a := run.NewAnnouncement(f.incarnation(n), "s", "z", f.now.UnixMilli()).WithRack("r", []string{"a", "r"}).
			WithCapacity(batch.NewResources(32_000, 64_000, 8)).WithClock(clock)
		if s < 1 {
			a = a.WithSlowStart(f.slowFor)
		}
		f.core.Report(f.now, run.NewReport(f.host(n)).WithAnnouncement(a).
			WithList(run.NewList(f.incarnation(n), 1, clock, running, nil, nil)))
	}
	return f.core.Step(f.now, f.state)
}

// workersOf returns the indexes of the workers on which a step places runs of a job.
func (f *unevenFleet) workersOf(a dispatch.Actions, job string) (list []int) {
	for _, g := range a.Groups() {
		for _, m := range g.Members() {
			if g.Task(m).Job() == job {
				list = append(list, f.index(m.Worker()))
			}
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}

func (f *unevenFleet) index(w batch.Incarnation) int {
	for n := range f.speeds {
		if f.incarnation(n) == w {
			return n
		}
	}
	return -1
}

func sameLength(int) float64 { return 1 }

// Guards against speeds that are learned from ends only: three jobs have been at work for 0.7 s, and an urgent gang goes
// to the fast workers.
func TestUrgentGangAfterFirstReports(t *testing.T) {
	f := newUnevenFleet(t, 0.5, 1, 0.5, 1, 2, 1, 0.5, 2, 1, 0.5, 1, 2)
	for n := range 3 {
		f.spread(fmt.Sprintf("j%d", n), sameLength)
	}
	f.advance(0)
	f.advance(700 * time.Millisecond)
	f.submit("gang", "urgent", batch.NewStep(3, batch.NewResources(4000, 4000, 5), time.Second, batch.WithGang(true, true)))
	assert.Equal(t, []int{4, 7, 11}, f.workersOf(f.advance(300*time.Millisecond), "gang"))
}

// Guards against a worker that is avoided because of one task that is long by itself.
func TestLongTaskDoesNotMarkItsWorker(t *testing.T) {
	f := newUnevenFleet(t, 1, 1, 1, 1, 1, 1, 1, 1)
	for n := range 3 {
		f.spread(fmt.Sprintf("j%d", n), func(worker int) float64 {
			if n == 0 && worker == 3 {
				return 7
			}
			return 1
		})
	}
	f.advance(0)
	f.advance(700 * time.Millisecond)
	f.submit("gang", "urgent", batch.NewStep(4, batch.NewResources(4000, 4000, 5), time.Second, batch.WithGang(true, true)))
	assert.Equal(t, []int{0, 1, 2, 3}, f.workersOf(f.advance(300*time.Millisecond), "gang"))
}

// Guards against the neglect of a worker that is far slower than all others for all tasks.
func TestDefectiveWorkerIsTheLastChoice(t *testing.T) {
	f := newUnevenFleet(t, 1, 1, 0.15, 1, 1, 1, 1, 1)
	for n := range 5 {
		f.spread(fmt.Sprintf("j%d", n), sameLength)
	}
	f.advance(0)
	f.advance(700 * time.Millisecond)
	f.submit("wide", "q", batch.NewStep(7, batch.NewResources(4000, 4000, 3), time.Second, batch.WithGang(true, true)))
	assert.Equal(t, []int{0, 1, 3, 4, 5, 6, 7}, f.workersOf(f.advance(300*time.Millisecond), "wide"))
}

// Guards against workers that count as slow for good because they were slow after their start, as all of a zone are that
// has been without power: they are as good as others once that time is over.
func TestSlowStartTeachesNoSpeed(t *testing.T) {
	f := newUnevenFleet(t, 0.5, 0.5, 0.5, 0.5, 1, 1, 1, 1)
	f.slowFor = time.Minute
	for n := range 5 {
		f.spread(fmt.Sprintf("j%d", n), sameLength)
	}
	f.advance(0)
	f.advance(700 * time.Millisecond)
	f.slowFor = 0
	f.submit("wide", "urgent", batch.NewStep(4, batch.NewResources(4000, 4000, 3), time.Second, batch.WithGang(true, true)))
	assert.Equal(t, []int{0, 1, 2, 3}, f.workersOf(f.advance(100*time.Millisecond), "wide"))
}
