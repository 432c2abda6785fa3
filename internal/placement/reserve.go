package placement

import (
	"slices"
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
)

// book books the workers that can take a unit first, so that later units do not keep them busy beyond that time; it
// reports whether any can.
func (p *planner) book(u *unit, sets [][]*place) bool {
	var best []*place
	var from time.Time
	for _, set := range sets {
		at, ok := p.earliest(u, set, declared)
		if ok && (best == nil || at.Before(from)) {
			best, from = set, at
		}
	}
	if best == nil {
		return false
	}
	left := len(u.indexes)
	for _, e := range best {
		n := min(u.most(p.availableAt(e, from, declared)), left)
		left -= n
		if n > 0 {
			needs := u.step.Reserved()
			for range n - 1 {
				needs = needs.Plus(u.step.Reserved())
			}
			e.booked = append(e.booked, booking{from: from, needs: needs, strict: u.queue.Priority() == 0})
		}
	}
	return true
}

// trust says which expected ends of runs count.
type trust string

const (
	// declared counts all, also those that rest on declared durations.
	declared trust = "declared"
	// shown counts those that runs have shown by their progress.
	shown trust = "shown"
)

func (t trust) counts(h *holding) bool { return t == declared || h.shown || h.stopping }

// earliest returns when a set of workers is expected to have room for all tasks of the unit.
func (p *planner) earliest(u *unit, set []*place, t trust) (at time.Time, ok bool) {
	times := []time.Time{p.view.now}
	for _, e := range set {
		for _, h := range e.holdings {
			if t.counts(h) {
				times = append(times, h.ends)
			}
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	for _, at = range times {
		room := 0
		for _, e := range set {
			room += u.most(p.availableAt(e, at, t))
		}
		if room >= len(u.indexes) {
			return at, true
		}
	}
	return at, false
}

// availableAt returns what a worker is expected to have left at a time, beside what others have booked until then.
func (p *planner) availableAt(e *place, at time.Time, t trust) batch.Resources {
	free := e.free.Plus(freed(e, at, t))
	for _, b := range e.booked {
		free = free.Minus(b.needs)
	}
	return free
}
