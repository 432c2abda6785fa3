package runner

import (
	"time"

	"rosemarywind.example/rosemarywind/internal/run"
)

// settledRetention is how long lists report a run as settled after its order was answered.
const settledRetention = 30 * time.Second

// answers records which orders about runs the current incarnation of the worker has answered.
type answers struct{ settled map[run.ID]answer }

// answer is the answer to an order about a run.
type answer struct {
	order run.OrderID
	at    time.Time
}

func newAnswers() answers { return answers{settled: map[run.ID]answer{}} }

// record records the first answer to an order about a run. Later answers to repeated orders are ignored, so that a list
// requested in between shows the run as settled.
func (a *answers) record(id run.ID, order run.OrderID, at time.Time) {
	if _, known := a.settled[id]; !known {
		a.settled[id] = answer{order: order, at: at}
	}
}

// takeBefore returns the runs of which an order was answered before a list was requested, and drops those that have been
// reported for settledRetention.
func (a *answers) takeBefore(requestedAt, now time.Time) (settled []run.Settled) {
	for id, s := range a.settled {
		if now.Sub(s.at) > settledRetention {
			delete(a.settled, id)
			continue
		}
		if s.at.Before(requestedAt) {
			settled = append(settled, run.NewSettled(id, s.order))
		}
	}
	return settled
}

// hasUnlisted reports whether an order was answered after the latest list was requested, which showed the given number of
// settled runs.
func (a *answers) hasUnlisted(listed int) bool { return len(a.settled) > listed }

// reset drops all answers, which were those of an earlier incarnation.
func (a *answers) reset() { clear(a.settled) }
