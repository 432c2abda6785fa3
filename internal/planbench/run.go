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

// Times of the model.
const (
	stopTime       = 2 * time.Second
	checkpointTime = 30 * time.Second
	failTime       = 5 * time.Second
	// leaseTime is the default task lease with its margin of 5%.
	leaseTime = 126 * time.Second
	// reclaimBound is when a job within its workspace's idle guarantee must be placed: a checkpoint and a margin.
	reclaimBound = time.Minute
	// startsKept bounds the outcomes of starts that the planner sees.
	startsKept = 400
)

// task is one arrival and what has become of it.
type task struct {
	Arrival
	job        job.Job
	began      time.Duration
	left       time.Duration
	ends       time.Duration
	method     plan.Method
	placedAt   time.Duration
	doneAt     time.Duration
	gone       bool
	guaranteed bool
	ahead      time.Duration
}

// run is one scenario under one policy.
type run struct {
	scenario Scenario
	planner  *plan.Planner
	now      time.Duration
	tasks    map[string]*task
	live     []*task
	down     []string
	aside    map[string]time.Time
	starts   []plan.StartOutcome
	result   *Result
}

// Run plays a scenario under a policy until all jobs are over.
func Run(s Scenario, policy plan.Policy, opts ...plan.Option) *Result {
	r := &run{
		scenario: s, planner: plan.New(append([]plan.Option{plan.WithPolicy(policy)}, opts...)...),
		tasks: map[string]*task{}, aside: map[string]time.Time{}, result: newResult(s, policy),
	}
	arrivals := slices.Clone(s.arrivals)
	slices.SortStableFunc(arrivals, func(a, b Arrival) int { return cmp.Compare(a.at, b.at) })
	for len(arrivals) > 0 || len(r.live) > 0 {
		next := r.next(arrivals)
		r.result.elapse(r, next-r.now)
		r.now = next
		for len(arrivals) > 0 && arrivals[0].at <= r.now {
			r.arrive(arrivals[0])
			arrivals = arrivals[1:]
		}
		r.progress()
		r.decide()
	}
	r.result.finish(r)
	return r.result
}

// next returns the time of the next change, rounded up to the planner's period of a second.
func (r *run) next(arrivals []Arrival) time.Duration {
	next := r.now + time.Minute
	if len(arrivals) > 0 {
		next = min(next, arrivals[0].at)
	}
	for _, t := range r.live {
		if t.job.Placed() {
			next = min(next, t.ends)
		}
	}
	return max(next, r.now+time.Second).Truncate(time.Second)
}

func (r *run) arrive(a Arrival) {
	t := &task{Arrival: a, job: job.New(a.spec), left: a.runs, guaranteed: true}
	for _, o := range r.live {
		if o.spec.Workspace() == a.spec.Workspace() {
			t.guaranteed = false
		}
		t.ahead = max(t.ahead, o.runs)
	}
	t.guaranteed = t.guaranteed && r.covered(a.spec)
	r.tasks[a.spec.ID()] = t
	r.live = append(r.live, t)
}

// covered reports whether the workspace's guarantee contains the shape as it stands.
func (r *run) covered(s job.Spec) bool {
	return slices.ContainsFunc(r.scenario.spaces, func(w workspace.Workspace) bool {
		return w.Name() == s.Workspace() && s.Shape().Accelerators() <= w.Guarantee().Accelerators() &&
			(s.Shape() == w.Guarantee() || s.Shape().Members() == 1)
	})
}

// progress ends what is over at this time.
func (r *run) progress() {
	if s := r.scenario; s.lost != "" && r.down == nil && r.now >= s.lostAt {
		r.lose(s.lost)
	}
	for _, t := range r.live {
		switch {
		case t.cancelAt > 0 && r.now >= t.cancelAt && t.job.State() != job.Stopping:
			t.gone = true
		case !t.job.Placed() || t.ends > r.now:
		case t.job.State() == job.Stopping:
			r.stopped(t)
		case r.fails(t):
			t.job = t.job.Requeue("start failed", time.Time{})
		default:
			t.doneAt, t.gone = r.now, true
			r.result.done(t)
		}
	}
	r.live = slices.DeleteFunc(r.live, func(t *task) bool { return t.gone })
}

func (r *run) lose(rack string) {
	for _, w := range r.scenario.workers {
		if w.Rack() == fleet.Rack(rack) {
			r.down = append(r.down, w.Name())
		}
	}
	for _, t := range r.live {
		if t.job.Placed() && slices.ContainsFunc(t.job.Members(), func(m job.Member) bool { return slices.Contains(r.down, m.Worker()) }) {
			t.job, t.method, t.ends = t.job.Stop("member lost"), plan.Stop, r.now+leaseTime
		}
	}
}

// fails records how the members started, and reports whether one did not.
func (r *run) fails(t *task) bool {
	return slices.ContainsFunc(t.job.Members(), func(m job.Member) bool { return m.Worker() == r.scenario.broken })
}

// stopped ends a reclaimed job: a checkpoint keeps its work, a stop loses it.
func (r *run) stopped(t *task) {
	ran := t.ends - t.began
	if t.method == plan.Checkpoint {
		t.left = max(time.Second, t.left-ran)
	} else {
		r.result.lost += ran.Seconds() * float64(t.spec.Shape().Total())
	}
	if t.method == plan.Stop && !t.spec.Idempotent() && !t.spec.Checkpointable() {
		r.result.ended++
		t.gone = true
		return
	}
	t.job = t.job.Requeue("reclaimed", time.Time{})
}

func (r *run) decide() {
	jobs := make([]job.Job, 0, len(r.live))
	opts := []plan.ViewOption{plan.WithUnreachable(r.down...), plan.WithStartOutcomes(r.starts...)}
	for _, t := range r.live {
		jobs = append(jobs, t.job)
		if t.job.Placed() {
			opts = append(opts, plan.WithProgress(plan.NewProgress(t.spec.ID(), Epoch.Add(t.began)).WithCheckpoint(time.Time{}, checkpointTime)))
		}
	}
	for _, w := range slices.Sorted(maps.Keys(r.aside)) {
		opts = append(opts, plan.WithQuarantined(w, r.aside[w]))
	}
	for _, d := range r.planner.Decide(plan.NewView(r.scenario.workers, jobs, r.scenario.spaces, opts...), Epoch.Add(r.now)) {
		switch d := d.(type) {
		case plan.Place:
			r.place(r.tasks[d.Job()], d.Members())
		case plan.Reclaim:
			t := r.tasks[d.Job()]
			t.job, t.method, t.ends = t.job.Stop(d.Explanation()), d.Method(), r.now+stopTime
			if d.Method() == plan.Checkpoint {
				t.ends = r.now + checkpointTime
			}
		case plan.Reject:
			r.tasks[d.Job()].gone = true
			r.result.rejected++
		case plan.Quarantine:
			r.aside[d.Worker()] = d.Until()
		case plan.Wait, plan.Shortfall, plan.Resume: // no job of the scenarios is throttleable
		}
	}
	r.live = slices.DeleteFunc(r.live, func(t *task) bool { return t.gone })
}

func (r *run) place(t *task, members []job.Member) {
	t.job = t.job.Reserve(t.job.Fence().Next(), members).Start()
	t.began, t.ends = r.now, r.now+t.left
	if t.placedAt == 0 {
		t.placedAt = r.now
	}
	if r.fails(t) {
		t.ends = r.now + failTime
	}
	if r.scenario.broken == "" {
		return
	}
	for _, m := range members {
		r.starts = append(r.starts, plan.NewStartOutcome(m.Worker(), t.spec.ID(), Epoch.Add(r.now), m.Worker() != r.scenario.broken))
	}
	r.starts = r.starts[max(0, len(r.starts)-startsKept):]
}
