package plan_test

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rosemarywind.example/rosemarywind/internal/fleet"
	"rosemarywind.example/rosemarywind/internal/job"
	"rosemarywind.example/rosemarywind/internal/plan"
	"rosemarywind.example/rosemarywind/internal/workspace"
)

// world carries decisions out on a model of the cluster and checks each against the guarantees of the planner.
type world struct {
	t           *rapid.T
	planner     *plan.Planner
	workers     []fleet.Worker
	workspaces  []workspace.Workspace
	jobs        map[string]job.Job
	unreachable map[string]bool
	now         time.Time
	submitted   int
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, planner: plan.New(), jobs: map[string]job.Job{}, unreachable: map[string]bool{}, now: startTime}
	w.workers = workersOf(rapid.IntRange(2, 11).Draw(t, "workers"), rapid.IntRange(1, 3).Draw(t, "zones"))
	for i := range rapid.IntRange(0, 4).Draw(t, "workspaces") {
		s := workspace.New(fmt.Sprintf("s%d", i), "t", w.drawShape(), workspace.Limits{})
		if plan.CheckGuarantees(w.workers, append(slices.Clone(w.workspaces), s)) == nil {
			w.workspaces = append(w.workspaces, s)
		}
	}
	return w
}

func (w *world) drawShape() workspace.Shape {
	adjacency := rapid.SampledFrom([]workspace.Adjacency{
		workspace.SameWorker, workspace.SameRack, workspace.SameZone, workspace.Anywhere,
	}).Draw(w.t, "adjacency")
	return shapeOf(w.t, rapid.IntRange(1, 4).Draw(w.t, "members"), rapid.IntRange(1, 8).Draw(w.t, "accelerators"), adjacency)
}

func (w *world) submit(workspaceName string, s workspace.Shape, opts ...job.SpecOption) string {
	w.submitted++
	spec, err := job.NewSpec(fmt.Sprintf("j%04d", w.submitted), workspaceName, s, w.now, opts...)
	require.NoError(w.t, err)
	w.jobs[spec.ID()] = job.New(spec)
	return spec.ID()
}

func (w *world) submitAny(t *rapid.T) {
	workspaceName := rapid.SampledFrom([]string{"s0", "s1", "s2", "s3", "unknown"}).Draw(t, "space")
	w.submit(workspaceName, w.drawShape(),
		job.WithUrgency(rapid.SampledFrom([]job.Urgency{job.Urgent, job.Patient}).Draw(t, "urgency")),
		job.WithIdempotent(rapid.Bool().Draw(t, "idempotent")),
		job.WithCheckpointable(rapid.Bool().Draw(t, "checkpointable")),
		job.WithThrottleable(rapid.Bool().Draw(t, "throttleable")),
		job.WithRunTime(time.Duration(rapid.IntRange(0, 100).Draw(t, "declared"))*time.Minute))
}

func (w *world) ids(states ...job.State) (ids []string) {
	for _, id := range slices.Sorted(maps.Keys(w.jobs)) {
		if slices.Contains(states, w.jobs[id].State()) {
			ids = append(ids, id)
		}
	}
	return ids
}

func (w *world) view() plan.View {
	jobs := make([]job.Job, 0, len(w.jobs))
	for _, id := range slices.Sorted(maps.Keys(w.jobs)) {
		jobs = append(jobs, w.jobs[id])
	}
	return plan.NewView(w.workers, jobs, w.workspaces, plan.WithUnreachable(slices.Sorted(maps.Keys(w.unreachable))...))
}

// decide runs the planner and carries its decisions out. Starts, throttles and stops complete in
// completeTransitions.
func (w *world) decide() (rejected int) {
	for _, d := range w.planner.Decide(w.view(), w.now) {
		require.NotEmpty(w.t, d.Explanation())
		require.NotContains(w.t, d.Explanation(), "\n")
		switch d := d.(type) {
		case plan.Place:
			j := w.jobs[d.Job()]
			require.Equal(w.t, job.Queued, j.State())
			w.jobs[d.Job()] = j.Reserve(j.FencingToken().Next(), d.Members())
			w.checkGang(w.jobs[d.Job()])
		case plan.Reclaim:
			j := w.jobs[d.Job()]
			require.True(w.t, j.HoldsAccelerators() && !j.Releasing(), "%s holds no accelerators that can be reclaimed", d.Job())
			if d.Method() == plan.Throttle {
				require.True(w.t, j.Spec().Throttleable() && j.State() == job.Started)
				w.jobs[d.Job()] = j.Throttle(job.Throttling, d.Explanation())
			} else {
				w.jobs[d.Job()] = j.Stop(d.Explanation())
			}
		case plan.Resume:
			require.Equal(w.t, job.Throttled, w.jobs[d.Job()].Speed())
			w.jobs[d.Job()] = w.jobs[d.Job()].Throttle(job.Resumed, d.Explanation())
		case plan.Reject:
			delete(w.jobs, d.Job())
			rejected++
		case plan.Wait:
			require.Equal(w.t, job.Queued, w.jobs[d.Job()].State())
		case plan.Quarantine, plan.Shortfall:
		}
	}
	w.check()
	return rejected
}

// completeTransitions starts reserved jobs, throttles those that are slowing and ends those that are stopping. A
// stopped job is queued again if it can run again, and otherwise ends.
func (w *world) completeTransitions() {
	for _, id := range w.ids(job.Reserved) {
		w.jobs[id] = w.jobs[id].Start()
	}
	for _, id := range w.ids(job.Started) {
		if w.jobs[id].Speed() == job.Throttling {
			w.jobs[id] = w.jobs[id].Throttle(job.Throttled, "throttled")
		}
	}
	for _, id := range w.ids(job.Stopping) {
		if s := w.jobs[id].Spec(); s.Idempotent() || s.Checkpointable() {
			w.jobs[id] = w.jobs[id].Requeue("reclaimed", w.now)
		} else {
			delete(w.jobs, id)
		}
	}
}

// check asserts that no worker assigns more accelerators than it has.
func (w *world) check() {
	free := map[string]int{}
	for _, x := range w.workers {
		free[x.Name()] = x.Accelerators()
	}
	for _, j := range w.jobs {
		if !j.HoldsAccelerators() {
			continue
		}
		for _, m := range j.Members() {
			free[m.Worker()] -= m.Accelerators()
		}
	}
	for name, n := range free {
		require.GreaterOrEqual(w.t, n, 0, "worker %s assigns more accelerators than it has", name)
	}
}

// checkGang asserts that a gang has all its members, on usable workers with the required adjacency.
func (w *world) checkGang(j job.Job) {
	s := j.Spec().Shape()
	require.Len(w.t, j.Members(), s.Members())
	near := map[string]bool{}
	for i, m := range j.Members() {
		require.Equal(w.t, i, m.Index())
		require.Equal(w.t, s.Accelerators(), m.Accelerators())
		require.False(w.t, w.unreachable[m.Worker()])
		x := w.workers[slices.IndexFunc(w.workers, func(x fleet.Worker) bool { return x.Name() == m.Worker() })]
		near[map[workspace.Adjacency]string{
			workspace.SameWorker: x.Name(), workspace.SameRack: string(x.Rack()), workspace.SameZone: string(x.AvailabilityZone()),
		}[s.Adjacency()]] = true
	}
	require.Len(w.t, near, 1, "members of %s do not have the required adjacency", j.Spec().ID())
}

// reclaimGuarantees asserts that workspaces that run no jobs of their own get their guaranteed shapes back
// by the second decision, with only reclaims in between.
func (w *world) reclaimGuarantees(t *rapid.T) {
	up := slices.DeleteFunc(slices.Clone(w.workers), func(x fleet.Worker) bool { return w.unreachable[x.Name()] })
	if plan.CheckGuarantees(up, w.workspaces) != nil {
		return
	}
	var demands []string
	for _, s := range w.workspaces {
		if rapid.Bool().Draw(t, "demands") {
			maps.DeleteFunc(w.jobs, func(_ string, j job.Job) bool { return j.Spec().Workspace() == s.Name() })
			demands = append(demands, w.submit(s.Name(), s.Guarantee()))
		}
	}
	w.decide()
	w.completeTransitions()
	w.decide()
	for _, id := range demands {
		require.True(w.t, w.jobs[id].Placed(), "guaranteed %s of %s is not placed: %v",
			w.jobs[id].Spec().Shape(), w.jobs[id].Spec().Workspace(), w.jobs)
	}
}

// finishAll asserts that every job that fits on the fleet is placed as others end.
func (w *world) finishAll() {
	clear(w.unreachable)
	for rounds := 4*len(w.jobs) + 4; len(w.jobs) > 0; rounds-- {
		require.Positive(w.t, rounds, "starved: %v %v", w.jobs)
		w.now = w.now.Add(time.Minute)
		w.decide()
		w.completeTransitions()
		running := slices.DeleteFunc(w.ids(job.Reserved, job.Started), func(id string) bool { return !w.jobs[id].HoldsAccelerators() })
		if len(running) > 0 {
			delete(w.jobs, running[0])
		}
	}
}
