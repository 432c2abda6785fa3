package placement

import (
	"cmp"
	"slices"

	"rosemarywind.example/rosemarywind/internal/batch"
)

// Verdict is the advisor's answer on whether a worker may run a step.
type Verdict string

// The verdicts on a worker. A worker that no inquiry has named has no verdict.
const (
	// Approved means that the worker may run the step and its ticket is valid now.
	Approved Verdict = "approved"
	// Expired means that the worker may run the step but its ticket has expired.
	Expired Verdict = "expired"
	// Denied means that the worker may not run the step.
	Denied Verdict = "denied"
)

// Verdicts holds the verdicts on workers by the key of the step's occurrence and the worker's incarnation.
type Verdicts map[batch.TaskID]map[batch.Incarnation]Verdict

// WithVerdicts returns a copy of the view with the advisor's verdicts. A view without them counts no worker as
// approved.
func (v View) WithVerdicts(verdicts Verdicts) View {
	v.verdicts = verdicts
	return v
}

// Inquiry is a question to the advisor: which of the listed workers may run a step.
type Inquiry struct {
	step    batch.TaskID
	workers []batch.Incarnation
}

// Step returns the key of the step's occurrence; its task index is 0.
func (i Inquiry) Step() batch.TaskID { return i.step }

// Workers returns the workers in order of preference, at least one.
func (i Inquiry) Workers() []batch.Incarnation { return i.workers }

const (
	// maxInquiryWorkers limits the workers of one inquiry, since the advisor's answer takes longer with each of them.
	maxInquiryWorkers = 30
	// workersPerTask is the number of workers that an inquiry lists for each waiting task.
	workersPerTask = 2
)

// approved reports whether the unit needs no advice or the advisor has approved the worker for it.
func (p *planner) approved(u *unit, w *workerState) bool {
	return !u.queue.RequiresAdvice() || p.view.verdicts[u.key][w.incarnation] == Approved
}

// recordInquiry adds an inquiry to the plan if tasks of an advised unit still wait. A plan has one inquiry at most:
// that of the first such unit.
func (p *planner) recordInquiry(u *unit, waiting int) {
	if !u.queue.RequiresAdvice() || waiting == 0 || len(p.plan.inquiry.workers) > 0 {
		return
	}
	known := p.view.verdicts[u.key]
	var candidates []*workerState
	for _, w := range p.workers {
		if v := known[w.incarnation]; p.matches(u, w) && v != Approved && v != Denied {
			candidates = append(candidates, w)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *workerState) int {
		return cmp.Or(compareBool(a.suspect, b.suspect), -cmp.Compare(u.maxTasks(a.free), u.maxTasks(b.free)))
	})
	count := min(len(candidates), workersPerTask*waiting, maxInquiryWorkers)
	for _, w := range candidates[:count] {
		p.plan.inquiry.step = u.key
		p.plan.inquiry.workers = append(p.plan.inquiry.workers, w.incarnation)
	}
}
