package placement

import (
	"cmp"
	"slices"
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/run"
)

// Worker is a worker that can take runs.
type Worker struct {
	announcement run.Announcement
	suspect      bool
}

// NewWorker returns a worker as it announced itself; a suspect one failed what it ran lately and comes last.
func NewWorker(a run.Announcement, suspect bool) Worker {
	return Worker{announcement: a, suspect: suspect}
}

// View is all that a decision depends on.
type View struct {
	now      time.Time
	state    batch.State
	workers  []Worker
	stopping map[run.ID]bool
	far      float64
	forecast Forecast
	verdicts Verdicts
}

// NewView returns the view at a time: the replicated state, the workers that can take runs, and the runs that were
// told to stop. Far is how many times as long a task takes away from its data or its gang's rack.
func NewView(now time.Time, s batch.State, workers []Worker, stopping map[run.ID]bool, far float64) View {
	return View{now: now, state: s, workers: workers, stopping: stopping, far: far}
}

// Plan is what is to be done.
type Plan struct {
	groups  []batch.Group
	stops   []run.ID
	inquiry Inquiry
	waits   []Wait
}

// Inquiry returns what to ask the advisor; ok is false if nothing waits for its advice.
func (p Plan) Inquiry() (i Inquiry, ok bool) { return p.inquiry, len(p.inquiry.workers) > 0 }

// Groups returns the runs to begin.
func (p Plan) Groups() []batch.Group { return p.groups }

// Stops returns the runs to stop so that more urgent ones can begin.
func (p Plan) Stops() []run.ID { return p.stops }

// place is a worker with what it has left during a decision.
type place struct {
	life     batch.Incarnation
	service  string
	rack     string
	labels   []string
	capacity batch.Resources
	free     batch.Resources
	suspect  bool
	holdings []*holding
	booked   []booking
}

// holding is a run that a worker has.
type holding struct {
	id       run.ID
	job      *batch.Job
	step     batch.Step
	place    *place
	ends     time.Time
	since    time.Time
	stopping bool
	sure     bool
	shown    bool // its end is known from its progress
}

// booking is a claim on a worker from a time on; nothing else may begin beside a strict one, however short it claims to
// be.
type booking struct {
	from   time.Time
	needs  batch.Resources
	strict bool
}

// stopAllowance is how long a run that was told to stop is expected to keep its resources.
const stopAllowance = 500 * time.Millisecond

// places returns the workers with what is placed on them; the others' holdings are left out.
func (v View) places() (list []*place, byLife map[batch.Incarnation]*place) {
	byLife = map[batch.Incarnation]*place{}
	for _, w := range v.workers {
		a := w.announcement
		p := &place{
			life: a.Incarnation(), service: a.Service(), rack: a.Rack(), labels: a.Labels(),
			capacity: a.Capacity(), free: a.Capacity(), suspect: w.suspect,
		}
		list = append(list, p)
		byLife[p.life] = p
	}
	slices.SortFunc(list, func(a, b *place) int { return cmp.Compare(a.life.ID(), b.life.ID()) })
	return list, byLife
}

// hold notes the placed runs of a job at their workers.
func (v View) hold(j *batch.Job, byLife map[batch.Incarnation]*place, sure bool) {
	steps := j.Spec().Steps()
	for k := range j.Spec().Occurrences() {
		for i, s := range steps {
			for n, t := range j.Tasks(k, i) {
				if t.Phase() != batch.Placed {
					continue
				}
				p, known := byLife[t.Worker()]
				if !known {
					continue
				}
				id := run.NewID(batch.NewTaskID(j.Spec().ID(), k, i, n), t.Run())
				h := &holding{id: id, job: j, step: s, place: p, since: t.PhaseSince(), stopping: v.stopping[id] || !j.Active(), sure: sure}
				h.ends, h.shown = v.expectedEnd(h)
				p.holdings = append(p.holdings, h)
				p.free = p.free.Minus(s.Reserved())
			}
		}
	}
}

func (v View) expectedEnd(h *holding) (at time.Time, shown bool) {
	if h.stopping {
		return v.now.Add(stopAllowance), false
	}
	if h.step.LongRunning() {
		return v.now.Add(lasting), true
	}
	if at, shown = v.forecast.ends[h.id]; shown {
		return at, true
	}
	estimate := v.length(h.job, h.id.Task().Step())
	if h.step.Rack() != "" && h.step.Rack() != h.place.rack {
		estimate = time.Duration(float64(estimate) * v.far)
	}
	ends := h.since.Add(estimate)
	if overdue := v.now.Sub(ends); overdue > -estimate/overdueShare {
		return v.now.Add(max(overdue, estimate/overdueShare)), false
	}
	return ends, false
}

// overdueShare is the part of its estimate that a run at the end of its estimate is expected to take still; one that is
// further beyond it is expected to take as long again as it is.
const overdueShare = 8
