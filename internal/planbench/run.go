package planbench

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"rosemarywind.example/rosemarywind/internal/fleet"
	"rosemarywind.example/rosemarywind/internal/job"
	"rosemarywind.example/rosemarywind/internal/plan"
	"rosemarywind.example/rosemarywind/internal/workspace"
)

// Durations and limits of the model.
const (
	stopDuration        = 2 * time.Second
	checkpointDuration  = 30 * time.Second
	failedStartDuration = 5 * time.Second
	// leaseDuration is the default task lease with its margin of 5%.
	leaseDuration = 126 * time.Second
	// maxReclaimWait is the time within which a job within its workspace's idle guarantee must be placed: the
	// duration of a checkpoint and a margin.
	maxReclaimWait = time.Minute
	// maxStartOutcomes bounds the start outcomes that the planner sees.
	maxStartOutcomes = 400
)

// task is an arrival and the state of its job. longestAhead is the longest run time of the jobs present on arrival,
// remaining the run time that the job still needs, and endsAt when the current run or transition ends.
type task struct {
	Arrival
	job          job.Job
	startedAt    time.Duration
	remaining    time.Duration
	endsAt       time.Duration
	method       plan.Method
	placedAt     time.Duration
	doneAt       time.Duration
	over         bool
	guaranteed   bool
	longestAhead time.Duration
}

// run is the execution of one scenario under one policy.
type run struct {
	scenario      Scenario
	planner       *plan.Planner
	now           time.Duration
	tasks         map[string]*task
	active        []*task
	lostWorkers   []string
	quarantined   map[string]time.Time
	startOutcomes []plan.StartOutcome
	result        *Result
}

// Run simulates a scenario under a policy until all jobs have ended.
func Run(s Scenario, policy plan.Policy, opts ...plan.Option) *Result {
	r := &run{
		scenario: s, planner: plan.New(append([]plan.Option{plan.WithPolicy(policy)}, opts...)...),
		tasks: map[string]*task{}, quarantined: map[string]time.Time{}, result: newResult(s, policy),
	}
	arrivals := slices.Clone(s.arrivals)
	slices.SortStableFunc(arrivals, func(a, b Arrival) int { return cmp.Compare(a.at, b.at) })
	for len(arrivals) > 0 || len(r.active) > 0 {
		next := r.next(arrivals)
		r.result.addInterval(r, next-r.now)
		r.now = next
		for len(arrivals) > 0 && arrivals[0].at <= r.now {
			r.arrive(arrivals[0])
			arrivals = arrivals[1:]
		}
		r.advance()
		r.decide()
	}
	r.result.summarize(r)
	return r.result
}

// next returns the time of the next change in whole seconds, at least the planner's interval of one second and at
// most a minute from now.
func (r *run) next(arrivals []Arrival) time.Duration {
	next := r.now + time.Minute
	if len(arrivals) > 0 {
		next = min(next, arrivals[0].at)
	}
	for _, t := range r.active {
		if t.job.Placed() {
			next = min(next, t.endsAt)
		}
	}
	return max(next, r.now+time.Second).Truncate(time.Second)
}

// arrive queues the job of an arrival.
func (r *run) arrive(a Arrival) {
	t := &task{Arrival: a, job: job.New(a.spec), remaining: a.runTime, guaranteed: true}
	for _, o := range r.active {
		if o.spec.Workspace() == a.spec.Workspace() {
			t.guaranteed = false
		}
		t.longestAhead = max(t.longestAhead, o.runTime)
	}
	t.guaranteed = t.guaranteed && r.covered(a.spec)
	r.tasks[a.spec.ID()] = t
	r.active = append(r.active, t)
}

// covered reports whether the guarantee of the job's workspace directly covers its shape.
func (r *run) covered(s job.Spec) bool {
	return slices.ContainsFunc(r.scenario.workspaces, func(w workspace.Workspace) bool {
		return w.Name() == s.Workspace() && s.Shape().Accelerators() <= w.Guarantee().Accelerators() &&
			(s.Shape() == w.Guarantee() || s.Shape().Members() == 1)
	})
}

// advance completes the runs, stops and cancellations that are due.
func (r *run) advance() {
	if s := r.scenario; s.lostRack != "" && r.lostWorkers == nil && r.now >= s.lostAt {
		r.loseRack(s.lostRack)
	}
	for _, t := range r.active {
		switch {
		case t.cancelAt > 0 && r.now >= t.cancelAt && t.job.State() != job.Stopping:
			t.over = true
		case !t.job.Placed() || t.endsAt > r.now:
		case t.job.State() == job.Stopping:
			r.endReclaimed(t)
		case r.startFails(t):
			t.job = t.job.Requeue("start failed", time.Time{})
		default:
			t.doneAt, t.over = r.now, true
			r.result.addCompleted(t)
		}
	}
	r.active = slices.DeleteFunc(r.active, func(t *task) bool { return t.over })
}

// loseRack makes the workers of a rack unreachable; their jobs end when the leases expire.
func (r *run) loseRack(rack string) {
	for _, w := range r.scenario.workers {
		if w.Rack() == fleet.Rack(rack) {
			r.lostWorkers = append(r.lostWorkers, w.Name())
		}
	}
	for _, t := range r.active {
		if t.job.Placed() && slices.ContainsFunc(t.job.Members(), func(m job.Member) bool {
			return slices.Contains(r.lostWorkers, m.Worker())
		}) {
			t.job, t.method, t.endsAt = t.job.Stop("member lost"), plan.Stop, r.now+leaseDuration
		}
	}
}

// startFails reports whether a member of the job is on the failing worker.
func (r *run) startFails(t *task) bool {
	return slices.ContainsFunc(t.job.Members(), func(m job.Member) bool { return m.Worker() == r.scenario.failingWorker })
}

// endReclaimed ends the run of a reclaimed job. A checkpoint keeps its work, a stop loses it.
func (r *run) endReclaimed(t *task) {
	ran := t.endsAt - t.startedAt
	if t.method == plan.Checkpoint {
		t.remaining = max(time.Second, t.remaining-ran)
	} else {
		r.result.lostWork += ran.Seconds() * float64(t.spec.Shape().Total())
	}
	if t.method == plan.Stop && !t.spec.Idempotent() && !t.spec.Checkpointable() {
		r.result.ended++
		t.over = true
		return
	}
	t.job = t.job.Requeue("reclaimed", time.Time{})
}

// decide runs the planner and applies its decisions.
func (r *run) decide() {
	jobs := make([]job.Job, 0, len(r.active))
	opts := []plan.ViewOption{plan.WithUnreachable(r.lostWorkers...), plan.WithStartOutcomes(r.startOutcomes...)}
	for _, t := range r.active {
		jobs = append(jobs, t.job)
		if t.job.Placed() {
			opts = append(opts, plan.WithProgress(
				plan.NewProgress(t.spec.ID(), Epoch.Add(t.startedAt)).WithCheckpoint(time.Time{}, checkpointDuration)))
		}
	}
	for _, w := range slices.Sorted(maps.Keys(r.quarantined)) {
		opts = append(opts, plan.WithQuarantined(w, r.quarantined[w]))
	}
	for _, d := range r.planner.Decide(
		plan.NewView(r.scenario.workers, jobs, r.scenario.workspaces, opts...), Epoch.Add(r.now),
	) {
		switch d := d.(type) {
		case plan.Place:
			r.place(r.tasks[d.Job()], d.Members())
		case plan.Reclaim:
			t := r.tasks[d.Job()]
			t.job, t.method, t.endsAt = t.job.Stop(d.Explanation()), d.Method(), r.now+stopDuration
			if d.Method() == plan.Checkpoint {
				t.endsAt = r.now + checkpointDuration
			}
		case plan.Reject:
			r.tasks[d.Job()].over = true
			r.result.rejected++
		case plan.Quarantine:
			r.quarantined[d.Worker()] = d.Until()
		case plan.Wait, plan.Shortfall, plan.Resume: // jobs of the scenarios are not throttleable
		}
	}
	r.active = slices.DeleteFunc(r.active, func(t *task) bool { return t.over })
}

// place starts the job on its members and records the start outcomes if the scenario has a failing worker.
func (r *run) place(t *task, members []job.Member) {
	t.job = t.job.Reserve(t.job.FencingToken().Next(), members).Start()
	t.startedAt, t.endsAt = r.now, r.now+t.remaining
	if t.placedAt == 0 {
		t.placedAt = r.now
	}
	if r.startFails(t) {
		t.endsAt = r.now + failedStartDuration
	}
	if r.scenario.failingWorker == "" {
		return
	}
	for _, m := range members {
		r.startOutcomes = append(r.startOutcomes,
			plan.NewStartOutcome(m.Worker(), t.spec.ID(), Epoch.Add(r.now), m.Worker() != r.scenario.failingWorker))
	}
	r.startOutcomes = r.startOutcomes[max(0, len(r.startOutcomes)-maxStartOutcomes):]
}
