package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/run"
)

// imageDecoder is a decoder that returns prepared specs by job id.
type imageDecoder struct {
	declaration batch.Declaration
	specs       map[string]batch.Spec
}

func (d *imageDecoder) Declaration([]byte) (batch.Declaration, error) { return d.declaration, nil }

func (d *imageDecoder) Spec(id string, _ []byte) (batch.Spec, error) { return d.specs[id], nil }

// imageFleet is a leader with workers in one rack that run tasks with images.
type imageFleet struct {
	t       *testing.T
	core    *Core
	decoder *imageDecoder
	state   batch.State
	now     time.Time
	hosts   int
	kinds   map[string]int // decisions by kind
	// durations holds the durations of the tasks that end, by job and by index.
	durations map[string]map[int]time.Duration
	listed    map[run.ID]time.Time // when a run was listed first
	ended     int64
}

func newImageFleet(t *testing.T, hosts int) *imageFleet {
	t.Helper()
	d, err := batch.NewDeclaration(1, []batch.Queue{
		batch.NewQueue("q", "h", "/q/", "s").WithPolicy(1, 3).WithObjective(3, time.Second, time.Second),
	}, []batch.Service{batch.NewService("s", false, false)}, nil)
	require.NoError(t, err)
	f := &imageFleet{
		t: t, core: NewCore(DefaultTiming(), 1, start), now: start, hosts: hosts, kinds: map[string]int{},
		decoder: &imageDecoder{d, map[string]batch.Spec{}}, durations: map[string]map[int]time.Duration{}, listed: map[run.ID]time.Time{},
	}
	f.state, _ = batch.NewState(f.decoder).Apply(batch.NewDeclare(nil))
	for n := range hosts {
		f.core.Connect(f.incarnation(n).Host(), uint64(n+1))
	}
	return f
}

func (f *imageFleet) incarnation(n int) batch.Incarnation {
	return batch.NewIncarnation(fmt.Sprintf("h%d", n), fmt.Sprintf("w%d", n), 1)
}

// submit accepts a job of one step.
func (f *imageFleet) submit(id string, step batch.Step) {
	f.t.Helper()
	spec, err := batch.NewSpec(id, "", step)
	require.NoError(f.t, err)
	f.decoder.specs[id], f.durations[id] = spec, map[int]time.Duration{}
	f.state, _ = f.state.Apply(batch.NewSubmit(id, "q", "", nil, f.now))
}

// place starts the tasks of a job, one on each of the given hosts.
func (f *imageFleet) place(id string, hosts ...int) {
	f.t.Helper()
	var members []batch.Member
	for n, host := range hosts {
		members = append(members, batch.NewMember(n, 1, f.incarnation(host)))
	}
	f.state, _ = f.state.Apply(batch.NewPlaceRuns(f.now, batch.NewGroup(batch.NewTaskID(id, 0, 0, 0), members...)))
}

// advance lists all placed runs each second, with the tail latency of a serving task from its host.
func (f *imageFleet) advance(seconds int, latency func(host int) int) (a Actions) {
	for range seconds {
		f.now = f.now.Add(time.Second)
		for n := range f.hosts {
			clock := f.now.Sub(start) + time.Second
			running, finished := f.list(n, latency(n))
			f.core.Report(f.now, run.NewReport(f.incarnation(n).Host()).
				WithAnnouncement(run.NewAnnouncement(f.incarnation(n), "s", "z", f.now.UnixMilli()).WithRack("r", nil).
					WithCapacity(batch.NewResources(32_000, 64_000, 8)).WithClock(clock)).
				WithList(run.NewList(f.incarnation(n), 1, clock, running, finished, nil)))
		}
		a = f.core.Step(f.now, f.state)
		f.state, _ = f.state.Apply(batch.NewEndRuns(f.now, a.Ends()...))
		for _, d := range a.Decisions() {
			f.kinds[d.Kind()]++
		}
	}
	return a
}

// list returns the runs of a host and those that have ended there. A task without a duration stays at one percent.
func (f *imageFleet) list(host, latency int) (running []run.Running, finished []run.Finished) {
	for _, j := range f.state.Jobs().All() {
		eachPlaced(j, func(id run.ID, t batch.Task) {
			if t.Worker() != f.incarnation(host) {
				return
			}
			if f.listed[id].IsZero() {
				f.listed[id] = f.now
			}
			percent := 1
			if d := f.durations[id.Task().Job()][id.Task().Index()]; d > 0 {
				percent = int(100 * f.now.Sub(f.listed[id]) / d)
			}
			if percent < fullProgress {
				running = append(running, run.NewRunning(id, "", percent, latency))
				return
			}
			f.ended++
			finished = append(finished, run.NewFinished(f.ended, batch.NewEnd(id.Task(), id.Run(), batch.Done, "")))
		})
	}
	return running, finished
}

// serving returns a step of serving tasks with a target of 100 ms for their tail latency, and filling one of best-effort
// tasks of an image.
func serving(count int) batch.Step {
	return batch.NewStep(count, batch.NewResources(1000, 1000, 1), 0, batch.WithLongRunning(true, 0), batch.WithImage("web", latencyTarget))
}

func filling(count int, image string) batch.Step {
	return batch.NewStep(count, batch.NewResources(1000, 1000, 1), time.Hour, batch.WithBestEffort(true), batch.WithImage(image, 0))
}

// Guards against a disturbing image that is not noticed from the workers' lists, against its neighbour that is blamed, and
// against more of it beside serving tasks while a worker is free. Load: serving tasks on four of five workers for a minute,
// two of them beside one best-effort image and two beside another, of which one doubles the tail latency.
func TestDisturbingImageIsKeptApart(t *testing.T) {
	for name, c := range map[string]struct {
		image string
		want  int
	}{
		"disturbing": {"loud", 4},
		"quiet":      {"quiet", 0},
	} {
		t.Run(name, func(t *testing.T) {
			f := newImageFleet(t, 5)
			f.submit("web", serving(4))
			f.place("web", 0, 1, 2, 3)
			f.submit("loud", filling(2, "loud"))
			f.place("loud", 0, 1)
			f.submit("quiet", filling(2, "quiet"))
			f.place("quiet", 2, 3)
			a := f.advance(60, func(host int) int { return []int{70, 70, 35, 35, 0}[host] })
			assert.Equal(t, 1, a.Pairs())
			assert.Equal(t, 1, f.kinds[PairLearned])
			assert.Zero(t, f.kinds[PairForgotten])
			f.submit("more", filling(1, c.image))
			a = f.advance(1, func(int) int { return 35 })
			require.Len(t, a.Groups(), 1)
			require.Len(t, a.Groups()[0].Members(), 1)
			assert.Equal(t, f.incarnation(c.want), a.Groups()[0].Members()[0].Worker())
		})
	}
}

// Guards against a best-effort image that is blamed while it stands still. Load: as above, but the tail latency stays over
// its target, so that the pace of the best-effort tasks is 0.
func TestPausedImageDisturbsNobody(t *testing.T) {
	f := newImageFleet(t, 4)
	f.submit("web", serving(4))
	f.place("web", 0, 1, 2, 3)
	f.submit("loud", filling(2, "loud"))
	f.place("loud", 0, 1)
	a := f.advance(120, func(host int) int { return []int{150, 150, 35, 35}[host] })
	assert.Zero(t, a.Pairs())
}

// Guards against slowdowns of tasks that end which are not taken from the ends of their runs. Load: 16 jobs of one image,
// one after the other, with a task on each of four workers; two of these, by turns, run another image, beside which a task
// takes twice as long or as long as elsewhere.
func TestSlowdownOfTasksThatEnd(t *testing.T) {
	for name, c := range map[string]struct {
		beside time.Duration
		pairs  int
	}{
		"slowed down": {2 * normalDuration, 1},
		"undisturbed": {normalDuration, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f := newImageFleet(t, 4)
			for k := range 16 {
				f.playJob(fmt.Sprintf("j%d", k), [][2]int{{0, 2}, {1, 3}, {0, 1}, {2, 3}}[k%4], c.beside)
			}
			assert.Equal(t, c.pairs, f.advance(1, idle).Pairs())
		})
	}
}

// normalDuration is the duration of a task that is not slowed down.
const normalDuration = 8 * time.Second

func idle(int) int { return 0 }

// playJob runs a job of image a with a task on each worker to its end, and one of image b on two workers.
func (f *imageFleet) playJob(id string, shared [2]int, beside time.Duration) {
	f.submit(id+"b", batch.NewStep(2, batch.NewResources(1000, 1000, 1), beside, batch.WithImage("b", 0)))
	f.place(id+"b", shared[:]...)
	f.submit(id, batch.NewStep(4, batch.NewResources(1000, 1000, 1), normalDuration, batch.WithImage("a", 0)))
	f.place(id, 0, 1, 2, 3)
	for n := range 4 {
		f.durations[id][n] = normalDuration
	}
	for n, host := range shared {
		f.durations[id][host], f.durations[id+"b"][n] = beside, beside
	}
	f.advance(int(beside.Seconds())+2, idle)
}
