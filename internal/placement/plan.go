package placement

import (
	"cmp"
	"slices"
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/run"
)

const (
	// maxReservations limits the units with a reservation, since each reservation reduces what the other units may use.
	maxReservations = 4
	// maxReservedTasks limits the tasks of a unit with a reservation. Each one looks at all workers.
	maxReservedTasks = 512
)

// planner is the working state of one decision.
type planner struct {
	view              View
	guaranteed        map[string]bool // jobs that a guarantee covers, by id
	workers           []*workerState
	quarantined       []*workerState // not among workers
	racks             map[string][]*workerState
	reservedUnits     int
	headroom          int                  // accelerators that less urgent units leave free in one rack
	totalAccelerators int                  // of all workers
	longRunning       int                  // accelerators of long-running tasks outside any guarantee
	slotCounts        map[slotsKey]float64 // results of slots
	idleServices      map[string]bool      // results of idle, by service
	plan              Plan
	stopped           map[run.ID]bool // by this decision
	explained         int             // waits explained so far
	suspects          bool            // whether a worker has crashed under an active job
	unitsPerJob       int             // the most units of one job
	objectives        map[*batch.Job]time.Duration
	remaining         map[*batch.Job][]time.Duration // results of remainingTimes
	unavailable       map[batch.TaskID]int           // results of countUnavailable, by the key of the step
	ascending         []int                          // 0, 1, 2 and so on, as far as units have needed them
}

// Decide returns the starts, preemptions and advisor inquiry that a view calls for. It does not modify the view.
func Decide(v View) Plan {
	p := &planner{
		view: v, racks: map[string][]*workerState{}, stopped: map[run.ID]bool{}, slotCounts: map[slotsKey]float64{},
		idleServices: map[string]bool{}, objectives: map[*batch.Job]time.Duration{},
		remaining: map[*batch.Job][]time.Duration{}, unavailable: map[batch.TaskID]int{},
	}
	var byIncarnation map[batch.Incarnation]*workerState
	p.workers, byIncarnation = v.workerStates()
	p.quarantined = slices.DeleteFunc(slices.Clone(p.workers), func(w *workerState) bool { return !w.quarantined })
	p.workers = slices.DeleteFunc(p.workers, func(w *workerState) bool { return w.quarantined })
	for _, w := range p.workers {
		p.racks[w.rack] = append(p.racks[w.rack], w)
		p.totalAccelerators += w.capacity.Accelerators()
	}
	p.setHeadroom()
	p.setUnitsPerJob()
	p.guaranteed = v.guaranteedJobs()
	var units []*unit
	for id, j := range v.state.Jobs().All() {
		p.suspects = p.suspects || j.Active() && j.HasCrashes()
		v.addRuns(j, byIncarnation, p.guaranteed[id])
		units = append(units, p.units(j, p.guaranteed[id])...)
	}
	for _, w := range p.workers {
		for _, r := range w.runs {
			p.countRun(r)
		}
	}
	sortUnits(units)
	for _, u := range units {
		placed := len(p.plan.groups)
		u.waitPolicy, u.speedNeed = p.waitPolicyOf(u), u.chooseSpeedNeed()
		p.place(u)
		waiting := u.waitingAfter(p.plan.groups[placed:])
		if waiting > 0 && u.waiting-waiting == len(u.indexes) {
			u.reason = Deferred
		}
		p.recordInquiry(u, waiting)
		p.recordWait(u, waiting)
	}
	p.chooseDepartures()
	p.moveRuns()
	return p.plan
}

// guaranteedJobs returns the ids of the live jobs of priority 0 that their workspaces' guarantees cover. Jobs use up
// the guarantee in the order of acceptance; one that does not fit into the rest is passed over.
func (v View) guaranteedJobs() map[string]bool {
	byOwner := map[string][]*batch.Job{}
	for _, j := range v.state.Jobs().All() {
		if j.Active() && v.state.CurrentQueue(j).Priority() == 0 {
			byOwner[j.Workspace()] = append(byOwner[j.Workspace()], j)
		}
	}
	covered := map[string]bool{}
	for name, jobs := range byOwner {
		w, _ := v.state.Declaration().Workspace(name)
		left := w.Guaranteed()
		slices.SortFunc(jobs, func(a, b *batch.Job) int {
			return cmp.Or(a.Accepted().Compare(b.Accepted()), cmp.Compare(a.Spec().ID(), b.Spec().ID()))
		})
		for _, j := range jobs {
			if n := maxAccelerators(j.Spec()); n <= left {
				left -= n
				covered[j.Spec().ID()] = true
			}
		}
	}
	return covered
}

// maxAccelerators returns the accelerators of the step of a job that needs the most with all its tasks running.
func maxAccelerators(s batch.Spec) int {
	most := 0
	for _, st := range s.Steps() {
		most = max(most, st.Count()*st.Resources().Accelerators())
	}
	return most
}

func (p *planner) place(u *unit) {
	if u.step.Gang() {
		p.placeGang(u)
		return
	}
	p.placeTasks(u)
}

// placeTasks places the tasks of a step one by one, as many as fit.
func (p *planner) placeTasks(u *unit) {
	as := newAssignment(u)
	var left []int
	heldBack := false
	eligible := p.eligible(u)
	var w *workerState
	for i, n := range u.indexes {
		// A task makes its worker fuller, so that it stays the preferred one of the next task, unless the unit is under
		// suspicion.
		if w == nil || u.suspicion.any() || !p.fits(u, as, w, w.free) {
			w = p.keepApart(u, as, eligible, p.bestWorker(u, as, eligible))
		}
		if w != nil && !p.mayStart(u, w) {
			heldBack, u.reason = true, CapacityReserved
			break
		}
		if w == nil {
			left = u.indexes[i:]
			break
		}
		if w.quarantined && len(as.members) > 0 {
			// One task shows whether it can run there; more would only use up attempts.
			heldBack = true
			break
		}
		as.add(n, w)
		p.assign(u, w)
	}
	if len(as.members) > 0 {
		p.plan.groups = append(p.plan.groups, as.group())
	}
	if len(left) > 0 && !heldBack {
		p.preemptOrReserve(u, left)
	}
}

// mayStart reports whether tasks of a unit may start on the given workers, one for each task, beside the headroom for urgent
// work and the guarantees of all workspaces.
func (p *planner) mayStart(u *unit, workers ...*workerState) bool {
	return p.leavesHeadroom(u, workers...) && p.guaranteesPermit(u, len(workers))
}

// preemptOrReserve preempts runs for urgent tasks that did not fit, and reserves capacity for each of the given tasks
// in turn.
func (p *planner) preemptOrReserve(u *unit, indexes []int) {
	if p.reservedUnits >= maxReservations && !u.guaranteed {
		return
	}
	p.reservedUnits++
	rest := *u
	rest.indexes, rest.waiting = indexes, len(indexes)
	set := p.eligible(&rest)
	if u.queue.Priority() == 0 {
		if p.preempt(&rest, [][]*workerState{set}, maxLostWorkRatio*rest.work()) != nil {
			u.reason = CapacityPending
		}
	}
	rest.waiting = 1
	for n := range min(len(indexes), maxReservedTasks) {
		rest.indexes = indexes[n : n+1]
		if !p.reserve(&rest, singletonSets(set)) {
			return
		}
	}
}

// placeGang places all tasks of a gang, or preempts runs or reserves capacity for them.
func (p *planner) placeGang(u *unit) {
	sets := p.candidateSets(u)
	var best *assignment
	for _, set := range sets {
		as := p.assignBySpeed(u, set)
		if as != nil && (best == nil || compareAssignments(as, best) < 0) {
			best = as
		}
	}
	if best == nil && u.waitPolicy == waitForNothing {
		best = p.assignBySpeed(u, p.eligible(u))
	}
	best = p.keepGangApart(u, best)
	if best != nil {
		if !p.mayStart(u, best.workers...) {
			u.reason = CapacityReserved
			return
		}
		p.take(best)
		p.plan.groups = append(p.plan.groups, best.group())
		return
	}
	freed := false
	if u.queue.Priority() == 0 {
		if set := p.preempt(u, sets, maxLostWorkRatio*u.work()); set != nil {
			sets, u.reason, freed = [][]*workerState{set}, CapacityPending, awaitsStops(set)
		}
	}
	// What is freed for a unit is always reserved, since it would be taken by others and freed once more.
	if p.reservedUnits < maxReservations || freed {
		p.reservedUnits++
		p.reserve(u, sets)
	}
}

// setUnitsPerJob divides maxUnits among the jobs that wait for workers.
func (p *planner) setUnitsPerJob() {
	jobs := 0
	for _, j := range p.view.state.Jobs().All() {
		if j.HasWaiting() {
			jobs++
		}
	}
	p.unitsPerJob = min(max(maxUnits/max(jobs, 1), minJobUnits), maxJobUnits)
}

// assign takes a task's resources from a worker. The new run counts as guaranteed, so that this decision cannot preempt
// it.
func (p *planner) assign(u *unit, w *workerState) {
	w.free = w.free.Minus(u.step.Reserved())
	r := &placedRun{
		id: run.NewID(u.key, 0), job: u.job, step: u.step, worker: w, started: p.view.now,
		ends: p.view.now.Add(w.taskTime(u.duration)), guaranteed: true, suspect: u.suspicion.any(), unit: u,
	}
	w.runs = append(w.runs, r)
	w.runsChanged()
	if !u.guaranteed {
		p.countLongRunning(u.step)
	}
}

// countRun adds a run that was placed before this decision to the long-running accelerators, unless it is guaranteed.
func (p *planner) countRun(r *placedRun) {
	if !r.guaranteed {
		p.countLongRunning(r.step)
	}
}

func (p *planner) countLongRunning(s batch.Step) {
	if s.LongRunning() {
		p.longRunning += s.Reserved().Accelerators()
	}
}
