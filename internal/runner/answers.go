package runner

import (
	"time"

	"rosemarywind.example/rosemarywind/internal/run"
)

// settledRetention is how long lists report a run as settled after its order was answered.
const settledRetention = 30 * time.Second

// answers records which orders about runs the current incarnation of the worker has answered. A run may be ordered to
// start more than once; then only the answer to the latest order counts, or that to a later order to stop it.
type answers struct {
	started  map[run.ID]run.OrderID // the latest order to start each run
	settled  map[run.ID]answer
	unlisted map[run.ID]bool // the settled runs that no list has shown
}

// answer is the first answer that settles a run.
type answer struct {
	order run.OrderID
	at    time.Time
	begun bool // the worker has begun the run
}

func newAnswers() answers {
	return answers{started: map[run.ID]run.OrderID{}, settled: map[run.ID]answer{}, unlisted: map[run.ID]bool{}}
}

// expect records an order to start a run, and reports whether the worker is to be called for it: not if a later order is
// known, and not if the worker has begun the run, which answers the repeated order too. Any other answer to an earlier order
// no longer settles the run.
func (a *answers) expect(now time.Time, id run.ID, order run.OrderID) bool {
	if order.Before(a.started[id]) {
		return false
	}
	a.started[id] = order
	begun := a.settled[id].begun
	delete(a.settled, id)
	delete(a.unlisted, id)
	if begun {
		a.recordBegun(id, order, now)
	}
	return !begun
}

// recordBegun records that the worker has begun a run on an order.
func (a *answers) recordBegun(id run.ID, order run.OrderID, at time.Time) {
	a.record(id, answer{order: order, at: at, begun: true})
}

// recordEnded records that the worker refuses to begin a run on an order, or has stopped it.
func (a *answers) recordEnded(id run.ID, order run.OrderID, at time.Time) {
	a.record(id, answer{order: order, at: at})
}

// record records the answer to an order about a run. Once the run is settled, later answers are ignored, so that repeated
// stops do not keep it out of the lists that are requested in between.
func (a *answers) record(id run.ID, latest answer) {
	if _, known := a.settled[id]; known || latest.order.Before(a.started[id]) {
		return
	}
	a.settled[id] = latest
	a.unlisted[id] = true
}

// listBefore returns the runs that were settled before a list was requested, and drops those that have been reported for
// settledRetention.
func (a *answers) listBefore(requestedAt, now time.Time) (settled []run.Settled) {
	for id, s := range a.settled {
		if now.Sub(s.at) > settledRetention {
			delete(a.settled, id)
			delete(a.started, id)
			delete(a.unlisted, id)
			continue
		}
		if s.at.Before(requestedAt) {
			settled = append(settled, run.NewSettled(id, s.order))
			delete(a.unlisted, id)
		}
	}
	return settled
}

// hasUnlisted reports whether a run was settled after the latest list was requested.
func (a *answers) hasUnlisted() bool { return len(a.unlisted) > 0 }

// reset drops all answers, which were those of an earlier incarnation.
func (a *answers) reset() {
	clear(a.started)
	clear(a.settled)
	clear(a.unlisted)
}
