package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/placement"
	"rosemarywind.example/rosemarywind/internal/run"
	"rosemarywind.example/rosemarywind/internal/speed"
)

// remoteFactor is how many times as long a task takes outside the rack of its data.
const remoteFactor = 3

var epoch = time.Unix(1_800_000_000, 0)

// specDecoder is a decoder that returns prepared specs by job id and ignores the documents.
type specDecoder struct {
	declaration batch.Declaration
	specs       map[string]batch.Spec
}

func (s *specDecoder) Declaration([]byte) (batch.Declaration, error) { return s.declaration, nil }

func (s *specDecoder) Spec(id string, _ []byte) (batch.Spec, error) { return s.specs[id], nil }

// fixture holds a state at a virtual time and six workers in three racks, each with 8 accelerators, 128 cores and 256
// GB.
type fixture struct {
	t         *testing.T
	decoder   *specDecoder
	state     batch.State
	workers   []placement.Worker
	stopped   map[run.ID]bool // runs that were ordered to stop
	now       time.Time
	speeds    speed.Estimates
	slowdowns speed.Slowdowns
}

// The queues of a fixture.
const (
	urgent  = "urgent"
	patient = "patient"
	scans   = "scans"
	advised = "advised"
)

// guaranteed is the number of accelerators that each workspace of a fixture has guaranteed.
const guaranteed = 16

func newFixture(t *testing.T) *fixture {
	t.Helper()
	d, err := batch.NewDeclaration(1, []batch.Queue{
		batch.NewQueue(urgent, "h", "/u/", "s").WithPolicy(0, 2).WithObjective(1.5, 250*time.Millisecond, time.Second),
		batch.NewQueue(patient, "h", "/p/", "s").WithPolicy(1, 3).WithObjective(3, time.Second, time.Second),
		batch.NewQueue(scans, "h", "/s/", "s").WithPolicy(2, 3).WithObjective(3, 3*time.Second, time.Second),
		batch.NewQueue(advised, "h", "/a/", "s").WithPolicy(1, 3).WithObjective(3, time.Second, time.Second).WithRequiredAdvice(true),
	}, []batch.Service{batch.NewService("s", false, false)}, []batch.Workspace{
		batch.NewWorkspace("a", guaranteed, "ka"), batch.NewWorkspace("b", guaranteed, "kb"),
	})
	require.NoError(t, err)
	f := &fixture{
		t: t, decoder: &specDecoder{declaration: d, specs: map[string]batch.Spec{}}, now: epoch, stopped: map[run.ID]bool{},
	}
	f.state = batch.NewState(f.decoder)
	f.apply(batch.NewDeclare([]byte("d")))
	for i := range 6 {
		f.workers = append(f.workers, newWorker(i, false))
	}
	return f
}

// newWorker returns the worker with the given index.
func newWorker(i int, suspect bool) placement.Worker {
	rack := fmt.Sprintf("r%d", i/2)
	return placement.NewWorker(run.NewAnnouncement(incarnation(i), "s", "z", 1).
		WithRack(rack, []string{"a", rack}).WithCapacity(batch.NewResources(128_000, 256_000, 8)), suspect)
}

func incarnation(i int) batch.Incarnation {
	return batch.NewIncarnation(fmt.Sprintf("h%d", i), fmt.Sprintf("w%d", i), 1)
}

func (f *fixture) apply(c batch.Command) batch.Result {
	var r batch.Result
	f.state, r = f.state.Apply(c)
	return r
}

// submit accepts a job of the given steps.
func (f *fixture) submit(id, queue, workspace string, steps ...batch.Step) {
	f.t.Helper()
	s, err := batch.NewSpec(id, "", steps...)
	require.NoError(f.t, err)
	f.decoder.specs[id] = s
	f.apply(batch.NewSubmit(id, queue, workspace, nil, f.now))
}

// decide makes a decision, starts the runs of its plan and records the stops.
func (f *fixture) decide() placement.Plan {
	f.t.Helper()
	p := placement.Decide(placement.NewView(f.now, f.state, f.workers, f.stopped, remoteFactor).WithSpeeds(f.speeds).
		WithSlowdowns(f.slowdowns))
	for _, id := range p.Stops() {
		f.stopped[id] = true
	}
	if len(p.Groups()) > 0 {
		r, ok := f.apply(batch.NewPlaceRuns(f.now, p.Groups()...)).(batch.RunsPlaced)
		require.True(f.t, ok)
		assert.NotContains(f.t, r.Placed(), false)
	}
	f.assertCapacity()
	return p
}

// end applies the end of the current run of a task.
func (f *fixture) end(task batch.TaskID, how batch.RunOutcome) {
	f.t.Helper()
	j, known := f.state.Job(task.Job())
	require.True(f.t, known)
	t, _ := j.Task(task)
	f.apply(batch.NewEndRuns(f.now, batch.NewEnd(task, t.Run(), how, "")))
}

func (f *fixture) advance(d time.Duration) { f.now = f.now.Add(d) }

// assertCapacity checks that no worker exceeds its capacity and that no gang is placed in part.
func (f *fixture) assertCapacity() {
	f.t.Helper()
	used := map[batch.Incarnation]batch.Resources{}
	for _, j := range f.state.Jobs().All() {
		for k := range j.Open() {
			for i, s := range j.Spec().Steps() {
				placed := 0
				for _, t := range j.Tasks(k, i).All() {
					if t.Phase() == batch.Placed {
						placed++
						used[t.Worker()] = used[t.Worker()].Plus(s.Reserved())
					}
				}
				if s.Gang() {
					assert.Contains(f.t, []int{0, s.Count()}, placed, "gang of job %s", j.Spec().ID())
				}
			}
		}
	}
	for l, u := range used {
		assert.True(f.t, u.Fits(batch.NewResources(128_000, 256_000, 8)), "worker %s has %+v", l.ID(), u)
	}
}

// assertPlaced checks the number of placed tasks of a job's first occurrence.
func (f *fixture) assertPlaced(id string, want int) {
	f.t.Helper()
	assert.Len(f.t, f.racks(id), want, "placed tasks of job %s", id)
}

// racks returns the rack of each placed task of a job's first occurrence.
func (f *fixture) racks(id string) (racks []string) {
	j, known := f.state.Job(id)
	require.True(f.t, known)
	for i := range j.Spec().Steps() {
		for _, t := range j.Tasks(0, i).All() {
			if t.Phase() == batch.Placed {
				racks = append(racks, rackOf(t.Worker()))
			}
		}
	}
	return racks
}

func rackOf(l batch.Incarnation) string {
	for i := range 6 {
		if incarnation(i) == l {
			return fmt.Sprintf("r%d", i/2)
		}
	}
	return ""
}

// gpus returns n accelerators with one core and 1,000 MB each.
func gpus(n int) batch.Resources { return batch.NewResources(1000*n, 1000*n, n) }

// gang returns a step that is a tightly coupled gang.
func gang(count, accelerators int, estimate time.Duration, opts ...batch.StepOption) batch.Step {
	return batch.NewStep(count, gpus(accelerators), estimate,
		append([]batch.StepOption{batch.WithGang(true, true)}, opts...)...)
}
