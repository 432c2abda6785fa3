package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/run"
)

// maxReservations bounds the units that wait for workers to empty; each of them narrows what the others may use.
const maxReservations = 4

// planner is one decision in progress.
type planner struct {
	view         View
	places       []*place
	racks        map[string][]*place
	reservations int
	headroom     int // accelerators
	accelerators int // of all workers
	lasting      int // accelerators of tasks that last and are not within a guarantee
	rooms        map[roomKey]float64
	idles        map[string]bool // by service
	plan         Plan
	stopped      map[run.ID]bool
}

// Decide returns what is to be done now.
func Decide(v View) Plan {
	p := &planner{
		view: v, racks: map[string][]*place{}, stopped: map[run.ID]bool{}, rooms: map[roomKey]float64{},
		idles: map[string]bool{},
	}
	var byLife map[batch.Incarnation]*place
	p.places, byLife = v.places()
	for _, e := range p.places {
		p.racks[e.rack] = append(p.racks[e.rack], e)
		p.accelerators += e.capacity.Accelerators()
	}
	p.setHeadroom()
	sure := v.sure()
	var units []*unit
	for id, j := range v.state.Jobs().All() {
		v.hold(j, byLife, sure[id])
		units = append(units, p.units(j, sure[id])...)
	}
	for _, e := range p.places {
		for _, h := range e.holdings {
			p.note(h)
		}
	}
	order(units)
	for _, u := range units {
		begun := len(p.plan.groups)
		u.waits = p.patienceOf(u)
		p.try(u)
		waiting := u.waitingAfter(p.plan.groups[begun:])
		p.inquire(u, waiting)
		p.wait(u, waiting)
	}
	return p.plan
}

// sure returns the live jobs of priority 0 whose workspaces' guarantees cover them, in the order of acceptance.
func (v View) sure() map[string]bool {
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
			if n := accelerators(j.Spec()); n <= left {
				left -= n
				covered[j.Spec().ID()] = true
			}
		}
	}
	return covered
}

// accelerators returns the most that any step of a job takes at once.
func accelerators(s batch.Spec) int {
	most := 0
	for _, e := range s.Steps() {
		most = max(most, e.Count()*e.Resources().Accelerators())
	}
	return most
}

func (p *planner) try(u *unit) {
	if u.step.Gang() {
		p.tryGang(u)
		return
	}
	p.tryTasks(u)
}

// tryTasks places the tasks of a step that need not begin together.
func (p *planner) tryTasks(u *unit) {
	g := newGathering(u)
	var left []int
	heldBack := false
	eligible := p.eligible(u)
	for _, n := range u.indexes {
		e := p.choose(u, g, eligible)
		if e != nil && (!p.leavesRoom(u, e) || !p.keepsGuarantees(u, 1)) {
			heldBack, u.reason = true, RoomKept
			break
		}
		if e == nil {
			left = append(left, n)
			continue
		}
		g.add(n, e)
		p.take(u, e)
	}
	if len(g.members) > 0 {
		p.plan.groups = append(p.plan.groups, g.group())
	}
	if len(left) > 0 && !heldBack {
		p.await(u, left)
	}
}

// await has room made for tasks that did not fit, or books it, one task after the other.
func (p *planner) await(u *unit, indexes []int) {
	if p.reservations >= maxReservations && !u.sure {
		return
	}
	p.reservations++
	rest := *u
	rest.indexes = indexes
	set := p.eligible(&rest)
	if u.queue.Priority() == 0 {
		if p.preempt(&rest, [][]*place{set}, worthStopping*rest.work()) != nil {
			u.reason = RoomComes
		}
	}
	for _, n := range indexes {
		rest.indexes = []int{n}
		if !p.book(&rest, singles(set)) {
			return
		}
	}
}

// singles returns a set for each worker.
func singles(places []*place) (sets [][]*place) {
	for _, e := range places {
		sets = append(sets, []*place{e})
	}
	return sets
}

// tryGang places all tasks of a gang or none.
func (p *planner) tryGang(u *unit) {
	sets := p.sets(u)
	var best *gathering
	for _, set := range sets {
		g := p.gather(u, set)
		if g != nil && (best == nil || g.waste < best.waste) {
			best = g
		}
	}
	if best == nil && u.waits == none {
		best = p.gather(u, p.eligible(u))
	}
	if best != nil {
		if !p.leavesRoom(u, best.places...) || !p.keepsGuarantees(u, len(u.indexes)) {
			u.reason = RoomKept
			return
		}
		for _, e := range best.places {
			p.take(u, e)
		}
		p.plan.groups = append(p.plan.groups, best.group())
		return
	}
	if u.queue.Priority() == 0 {
		if set := p.preempt(u, sets, worthStopping*u.work()); set != nil {
			sets, u.reason = [][]*place{set}, RoomComes
		}
	}
	if p.reservations < maxReservations {
		p.reservations++
		p.book(u, sets)
	}
}

// sets returns the sets of workers among which a gang may be placed: the racks for one that is slow across racks,
// unless no rack is large enough.
func (p *planner) sets(u *unit) (sets [][]*place) {
	eligible := p.eligible(u)
	if !u.step.TightlyCoupled() {
		return [][]*place{eligible}
	}
	racks := map[string][]*place{}
	for _, e := range eligible {
		racks[e.rack] = append(racks[e.rack], e)
	}
	for _, name := range slices.Sorted(maps.Keys(racks)) {
		if p.couldHold(u, racks[name]) {
			sets = append(sets, racks[name])
		}
	}
	if len(sets) == 0 {
		return [][]*place{eligible}
	}
	return sets
}

// eligible returns the workers that may run the unit's tasks, those near its data if they are enough for it.
func (p *planner) eligible(u *unit) (list []*place) {
	var near []*place
	for _, e := range p.places {
		if !p.matches(u, e) || !p.permits(u, e) {
			continue
		}
		list = append(list, e)
		if u.step.Rack() == e.rack {
			near = append(near, e)
		}
	}
	least := u.least()
	if u.step.Rack() != "" && p.couldHold(least, near) && (u.waits != none || p.hasRoom(least, near)) {
		return near
	}
	return list
}

// hasRoom reports whether a set of workers has room for the unit now.
func (p *planner) hasRoom(u *unit, set []*place) bool {
	room := 0
	for _, e := range set {
		room += u.most(e.free)
	}
	return room >= len(u.indexes)
}

// matches reports whether a worker is of the unit's service and has the label that it needs.
func (p *planner) matches(u *unit, e *place) bool {
	return e.service == u.queue.Service() && (u.step.Label() == "" || slices.Contains(e.labels, u.step.Label()))
}

// couldHold reports whether the workers could run all tasks of the unit if they ran nothing else.
func (p *planner) couldHold(u *unit, set []*place) bool {
	room := 0
	for _, e := range set {
		room += u.most(e.capacity)
		if room >= len(u.indexes) {
			return true
		}
	}
	return false
}

// most returns how many tasks of the unit fit into resources.
func (u *unit) most(free batch.Resources) int {
	needs, count := u.step.Reserved(), 0
	for count < len(u.indexes) && needs.Fits(free) {
		free = free.Minus(needs)
		count++
	}
	if m := u.step.MaxPerWorker(); m > 0 {
		count = min(count, m)
	}
	return count
}

// choose returns the best worker for one more task of a step, or nil.
func (p *planner) choose(u *unit, g *gathering, set []*place) (best *place) {
	for _, e := range set {
		if !p.fits(u, g, e, e.free) {
			continue
		}
		if best == nil || p.better(u, e, best) {
			best = e
		}
	}
	return best
}

func (p *planner) better(u *unit, a, b *place) bool {
	if a.suspect != b.suspect {
		return b.suspect
	}
	if x, y := p.rackFree(a.rack), p.rackFree(b.rack); x != y {
		return x < y
	}
	if u.step.Reserved().Accelerators() > 0 && a.free.Accelerators() != b.free.Accelerators() {
		return a.free.Accelerators() < b.free.Accelerators()
	}
	return a.free.Millicores() < b.free.Millicores()
}

// fits reports whether one more task fits into what a worker has left, beside what others have booked there.
func (p *planner) fits(u *unit, g *gathering, e *place, free batch.Resources) bool {
	needs := u.step.Reserved()
	if !needs.Fits(free) {
		return false
	}
	if m := u.step.MaxPerWorker(); m > 0 && g.counts[e]+p.already(u, e) >= m {
		return false
	}
	if u.waits != full {
		return true
	}
	ends := p.view.now.Add(u.length)
	for _, b := range e.booked {
		if (b.strict || ends.After(b.from)) && !needs.Plus(b.needs).Fits(free.Plus(freed(e, b.from, declared))) {
			return false
		}
	}
	return true
}

// already counts the tasks of the unit's step that were placed on a worker before this decision.
func (p *planner) already(u *unit, e *place) (count int) {
	for _, h := range e.holdings {
		if h.id.Run() > 0 && h.id.Task().StepKey() == u.key {
			count++
		}
	}
	return count
}

// freed returns what a worker gets back until a time, by the ends that count.
func freed(e *place, until time.Time, t trust) (sum batch.Resources) {
	for _, h := range e.holdings {
		if t.counts(h) && !h.ends.After(until) {
			sum = sum.Plus(h.step.Reserved())
		}
	}
	return sum
}

func (p *planner) take(u *unit, e *place) {
	e.free = e.free.Minus(u.step.Reserved())
	h := &holding{
		id: run.NewID(u.key, 0), job: u.job, step: u.step, place: e, since: p.view.now,
		ends: p.view.now.Add(u.length), sure: true,
	}
	e.holdings = append(e.holdings, h)
	if !u.sure {
		p.noteLasting(u.step)
	}
}

// note counts what is placed already.
func (p *planner) note(h *holding) {
	if !h.sure {
		p.noteLasting(h.step)
	}
}

func (p *planner) noteLasting(s batch.Step) {
	if s.LongRunning() {
		p.lasting += s.Reserved().Accelerators()
	}
}
