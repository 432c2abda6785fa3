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
)

// far is how many times as long a task takes away from its data.
const far = 3

var epoch = time.Unix(1_800_000_000, 0)

// specs is a decoder whose documents are the names of specs.
type specs struct {
	declaration batch.Declaration
	specs       map[string]batch.Spec
}

func (s *specs) Declaration([]byte) (batch.Declaration, error) { return s.declaration, nil }

func (s *specs) Spec(id string, _ []byte) (batch.Spec, error) { return s.specs[id], nil }

// world is a state and its workers, six of three racks with eight accelerators, 128 cores and 256 GB each.
type world struct {
	t       *testing.T
	decoder *specs
	state   batch.State
	workers []placement.Worker
	told    map[run.ID]bool // runs that were told to stop
	now     time.Time
}

// The queues of a world.
const (
	urgent  = "urgent"
	patient = "patient"
	scans   = "scans"
	advised = "advised"
)

const guaranteed = 16

func newWorld(t *testing.T) *world {
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
	w := &world{t: t, decoder: &specs{declaration: d, specs: map[string]batch.Spec{}}, now: epoch, told: map[run.ID]bool{}}
	w.state = batch.NewState(w.decoder)
	w.apply(batch.NewDeclare([]byte("d")))
	for i := range 6 {
		rack := fmt.Sprintf("r%d", i/2)
		w.workers = append(w.workers, placement.NewWorker(run.NewAnnouncement(life(i), "s", "z", 1).
			WithRack(rack, []string{"a", rack}).WithCapacity(batch.NewResources(128_000, 256_000, 8)), false))
	}
	return w
}

func life(i int) batch.Incarnation { return batch.NewIncarnation(fmt.Sprintf("h%d", i), fmt.Sprintf("w%d", i), 1) }

func (w *world) apply(c batch.Command) batch.Result {
	var r batch.Result
	w.state, r = w.state.Apply(c)
	return r
}

// submit accepts a job of the given steps.
func (w *world) submit(id, queue, workspace string, steps ...batch.Step) {
	w.t.Helper()
	s, err := batch.NewSpec(id, "", steps...)
	require.NoError(w.t, err)
	w.decoder.specs[id] = s
	w.apply(batch.NewSubmit(id, queue, workspace, nil, w.now))
}

// decide takes a decision and begins what it chose.
func (w *world) decide() placement.Plan {
	w.t.Helper()
	p := placement.Decide(placement.NewView(w.now, w.state, w.workers, w.told, far))
	for _, id := range p.Stops() {
		w.told[id] = true
	}
	if len(p.Groups()) > 0 {
		r, ok := w.apply(batch.NewPlaceRuns(w.now, p.Groups()...)).(batch.RunsPlaced)
		require.True(w.t, ok)
		assert.NotContains(w.t, r.Placed(), false)
	}
	w.assertCapacity()
	return p
}

// end ends the run of a task.
func (w *world) end(task batch.TaskID, how batch.RunOutcome) {
	w.t.Helper()
	j, known := w.state.Job(task.Job())
	require.True(w.t, known)
	t, _ := j.Task(task)
	w.apply(batch.NewEndRuns(w.now, batch.NewEnd(task, t.Run(), how, "")))
}

func (w *world) pass(d time.Duration) { w.now = w.now.Add(d) }

// assertCapacity checks that no worker has more than it can hold, and no gang is placed in part.
func (w *world) assertCapacity() {
	w.t.Helper()
	used := map[batch.Incarnation]batch.Resources{}
	for _, j := range w.state.Jobs().All() {
		for k := range j.Spec().Occurrences() {
			for i, s := range j.Spec().Steps() {
				placed := 0
				for _, t := range j.Tasks(k, i) {
					if t.Phase() == batch.Placed {
						placed++
						used[t.Worker()] = used[t.Worker()].Plus(s.Reserved())
					}
				}
				if s.Gang() {
					assert.Contains(w.t, []int{0, s.Count()}, placed, "gang of job %s", j.Spec().ID())
				}
			}
		}
	}
	for l, u := range used {
		assert.True(w.t, u.Fits(batch.NewResources(128_000, 256_000, 8)), "worker %s has %+v", l.ID(), u)
	}
}

// assertPlaced checks how many tasks of a job are placed.
func (w *world) assertPlaced(id string, want int) {
	w.t.Helper()
	assert.Len(w.t, w.racks(id), want, "placed tasks of job %s", id)
}

// racks returns the rack of each placed task of a job.
func (w *world) racks(id string) (racks []string) {
	j, known := w.state.Job(id)
	require.True(w.t, known)
	for i := range j.Spec().Steps() {
		for _, t := range j.Tasks(0, i) {
			if t.Phase() == batch.Placed {
				racks = append(racks, rackOf(t.Worker()))
			}
		}
	}
	return racks
}

func rackOf(l batch.Incarnation) string {
	for i := range 6 {
		if life(i) == l {
			return fmt.Sprintf("r%d", i/2)
		}
	}
	return ""
}

func gpus(n int) batch.Resources { return batch.NewResources(1000*n, 1000*n, n) }

func gang(count, accelerators int, estimate time.Duration, opts ...batch.StepOption) batch.Step {
	return batch.NewStep(count, gpus(accelerators), estimate, append([]batch.StepOption{batch.WithGang(true, true)}, opts...)...)
}
