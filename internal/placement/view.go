package placement

import (
	"cmp"
	"slices"
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/run"
	"rosemarywind.example/rosemarywind/internal/speed"
)

// Worker is a worker that accepts runs.
type Worker struct {
	announcement run.Announcement
	suspect      bool
	quarantined  bool
}

// NewWorker returns a worker as described by its announcement. A suspect worker, which failed a run lately or is slow,
// is used only if no other fits.
func NewWorker(a run.Announcement, suspect bool) Worker {
	return Worker{announcement: a, suspect: suspect}
}

// WithQuarantine returns the worker in quarantine or not. A worker in quarantine, which failed several runs in a row, runs
// only what has waited for some time on a mostly idle service and fits nowhere else.
func (w Worker) WithQuarantine(quarantined bool) Worker {
	w.quarantined = quarantined
	return w
}

// View holds everything that a decision depends on.
type View struct {
	now          time.Time
	state        batch.State
	workers      []Worker
	stopping     map[run.ID]bool
	departures   []run.ID // see WithDepartures
	remoteFactor float64
	forecast     Forecast
	verdicts     Verdicts
	speeds       speed.Estimates
	slowdowns    speed.Slowdowns
	explained    int           // how many waits the plan explains, see WithExplanations
	explainAfter time.Duration // how long a step has waited before its wait is explained
}

// NewView returns the view at a time: the replicated state, the workers that accept runs, and the runs that were
// ordered to stop. remoteFactor is how many times as long a task takes outside the rack of its data or of its gang.
func NewView(now time.Time, s batch.State, workers []Worker, stopping map[run.ID]bool, remoteFactor float64) View {
	return View{now: now, state: s, workers: workers, stopping: stopping, remoteFactor: remoteFactor}
}

// WithExplanations returns the view with a limit on the waits that the plan explains by Wait.Obstacles: the first ones in
// the order of placement, of steps that have waited at least the given time. It does not change the decision.
func (v View) WithExplanations(limit int, after time.Duration) View {
	v.explained, v.explainAfter = limit, after
	return v
}

// Plan is the result of a decision: groups to start, runs to stop or to move, steps that wait and an inquiry to the advisor.
type Plan struct {
	groups     []batch.Group
	stops      []run.ID
	moves      []run.ID
	departures []run.ID
	inquiry    Inquiry
	waits      []Wait
	keptApart  int
}

// Inquiry returns the question to ask the advisor; ok is false if no step waits for advice.
func (p Plan) Inquiry() (i Inquiry, ok bool) { return p.inquiry, len(p.inquiry.workers) > 0 }

// Groups returns the runs to start, in groups that are committed whole or not at all.
func (p Plan) Groups() []batch.Group { return p.groups }

// Stops returns the runs to preempt, each once.
func (p Plan) Stops() []run.ID { return p.stops }

// workerState is a worker with its runs, reservations and free resources during a decision.
type workerState struct {
	incarnation  batch.Incarnation
	service      string
	rack         string
	labels       []string
	capacity     batch.Resources
	free         batch.Resources
	suspect      bool
	quarantined  bool
	speed        float64 // 1 for a normal worker
	level        int     // of the speed
	slow         bool    // whether it is surely slower than a normal one
	runs         []*placedRun
	reservations []reservation           // by the times from which they hold
	reserved     batch.Resources         // sum of the reservations
	released     map[endSource]*releases // results of releases
}

// placedRun is a run that is placed on a worker, or that this decision places there, with run number 0.
type placedRun struct {
	id         run.ID
	job        *batch.Job
	step       batch.Step
	worker     *workerState
	ends       time.Time // expected
	started    time.Time
	stopping   bool  // ordered to stop, preempted, or of an ended job
	guaranteed bool  // within its workspace's guarantee, or placed by this decision
	observed   bool  // whether its end is derived from its progress
	suspect    bool  // a worker has crashed under its task before
	unit       *unit // that this decision placed it for; nil for an earlier run
}

// reservation is an amount of a worker's resources that a unit needs from a time on. Where noBackfill is set, tasks
// that are expected to end before that time may not use it either, however short their declared durations.
type reservation struct {
	from       time.Time
	needs      batch.Resources
	noBackfill bool
}

// stopAllowance is how long a stopping run is expected to keep its resources.
const stopAllowance = 500 * time.Millisecond

// workerStates returns the state of each worker, without runs, as a list sorted by worker id and by incarnation.
func (v View) workerStates() (list []*workerState, byIncarnation map[batch.Incarnation]*workerState) {
	byIncarnation = map[batch.Incarnation]*workerState{}
	for _, w := range v.workers {
		a := w.announcement
		estimate := v.speeds.Of(a.Incarnation())
		ws := &workerState{
			incarnation: a.Incarnation(), service: a.Service(), rack: a.Rack(), labels: a.Labels(),
			capacity: a.Capacity(), free: a.Capacity(), suspect: w.suspect || w.quarantined,
			quarantined: w.quarantined, speed: estimate.Relative(), level: estimate.Level(), slow: estimate.Class() == speed.Slow,
		}
		list = append(list, ws)
		byIncarnation[ws.incarnation] = ws
	}
	slices.SortFunc(list, func(a, b *workerState) int { return cmp.Compare(a.incarnation.ID(), b.incarnation.ID()) })
	return list, byIncarnation
}

// addRuns adds the placed runs of a job to the states of their workers. It skips runs on workers outside the view.
func (v View) addRuns(j *batch.Job, byIncarnation map[batch.Incarnation]*workerState, guaranteed bool) {
	steps := j.Spec().Steps()
	for k := range j.Open() {
		for i, s := range steps {
			for n, t := range j.Tasks(k, i).In(batch.Placed) {
				ws, known := byIncarnation[t.Worker()]
				if !known {
					continue
				}
				id := run.NewID(batch.NewTaskID(j.Spec().ID(), k, i, n), t.Run())
				r := &placedRun{
					id: id, job: j, step: s, worker: ws, started: t.PhaseSince(),
					stopping: v.stopping[id] || !j.Active(), guaranteed: guaranteed,
					suspect: j.HasCrashes() && j.Crashes(id.Task()).Crashes() > 0,
				}
				r.ends, r.observed = v.expectedEnd(r)
				ws.runs = append(ws.runs, r)
				ws.runsChanged()
				ws.free = ws.free.Minus(s.Reserved())
			}
		}
	}
}

// expectedEnd returns when a run is expected to end, and whether that is derived from its progress.
func (v View) expectedEnd(r *placedRun) (at time.Time, observed bool) {
	if r.stopping {
		return v.now.Add(stopAllowance), false
	}
	if r.step.LongRunning() {
		return v.now.Add(longRunningDuration), true
	}
	if at, observed = v.forecast.ends[r.id]; observed {
		return at, true
	}
	estimate := r.worker.taskTime(v.taskDuration(r.job, r.id.Task().Step()))
	if r.step.Rack() != "" && r.step.Rack() != r.worker.rack {
		estimate = time.Duration(float64(estimate) * v.remoteFactor)
	}
	ends := r.started.Add(estimate)
	if overdue := v.now.Sub(ends); overdue > -estimate/overdueDivisor {
		return v.now.Add(max(overdue, estimate/overdueDivisor)), false
	}
	return ends, false
}

// overdueDivisor sets the least time that a run near or past its estimated end is expected to take yet: the estimate
// divided by it. A run that is overdue by more is expected to take as long again as it is overdue.
const overdueDivisor = 8
