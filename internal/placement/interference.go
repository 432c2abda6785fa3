package placement

import (
	"rosemarywind.example/rosemarywind/internal/speed"
)

// WithSlowdowns returns a copy of the view with the pairs of images that slow each other down. A view without them places
// tasks regardless of their neighbours.
func (v View) WithSlowdowns(s speed.Slowdowns) View {
	v.slowdowns = s
	return v
}

// KeptApart returns the number of placements that chose another worker to keep images apart that slow each other down.
func (p Plan) KeptApart() int { return p.keptApart }

// disturbed reports whether a worker runs an image that the unit's image slows down, or the other way round.
func (p *planner) disturbed(u *unit, w *workerState) bool {
	for _, r := range w.runs {
		if !r.stopping && p.view.slowdowns.Between(w.service, u.step.Image(), r.step.Image()) {
			return true
		}
	}
	return false
}

// keepApart returns a worker for a task in place of the preferred one if that is disturbed: one of the same rack, that suits
// the unit as well, that is not. The rack stays the same, so that neither headroom nor the distance to data changes.
func (p *planner) keepApart(u *unit, as *assignment, set []*workerState, preferred *workerState) *workerState {
	if preferred == nil || u.suspicion.any() || !p.concerned(u) || !p.disturbed(u, preferred) {
		return preferred
	}
	var undisturbed []*workerState
	for _, w := range set {
		if w.rack == preferred.rack && w.quarantined == preferred.quarantined && u.avoids(w) == u.avoids(preferred) &&
			p.compareSpeed(u, w, preferred) == 0 && !p.disturbed(u, w) {
			undisturbed = append(undisturbed, w)
		}
	}
	if w := p.bestWorker(u, as, undisturbed); w != nil {
		p.plan.keptApart++
		return w
	}
	return preferred
}

// keepGangApart returns a placement of a gang in place of the preferred one if that is disturbed: one in the same rack, on
// workers no slower, of which none is. A gang is as slow as its slowest member, so that a part of it is not kept apart.
func (p *planner) keepGangApart(u *unit, preferred *assignment) *assignment {
	if preferred == nil || !p.concerned(u) {
		return preferred
	}
	disturbed := false
	for _, w := range preferred.workers {
		if w.rack != preferred.workers[0].rack {
			return preferred
		}
		disturbed = disturbed || p.disturbed(u, w)
	}
	if !disturbed {
		return preferred
	}
	var undisturbed []*workerState
	for _, w := range p.eligible(u) {
		if w.rack == preferred.workers[0].rack && !w.quarantined && !u.avoids(w) &&
			(!p.usesSpeeds(u) || u.speedNeed.rank(w.level) <= preferred.rank) && !p.disturbed(u, w) {
			undisturbed = append(undisturbed, w)
		}
	}
	as := p.assignGang(u, undisturbed)
	if as == nil {
		return preferred
	}
	p.plan.keptApart++
	return as
}

// concerned reports whether the unit's image is one of a pair.
func (p *planner) concerned(u *unit) bool {
	return u.step.Image() != "" && p.view.slowdowns.Concern(u.queue.Service(), u.step.Image())
}
