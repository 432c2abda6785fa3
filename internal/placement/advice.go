package placement

import (
	"cmp"
	"slices"

	"rosemarywind.example/rosemarywind/internal/batch"
)

// Verdict is what the advisor has said of a worker for a step.
type Verdict string

// The verdicts; a worker that was not asked about has none.
const (
	// Approved is a worker with a ticket that is valid now.
	Approved Verdict = "approved"
	// Expired is an approved worker whose ticket is not valid any more.
	Expired Verdict = "expired"
	// Denied is a worker that may not run the step.
	Denied Verdict = "denied"
)

// Verdicts are the verdicts of workers by step, as the key of an occurrence.
type Verdicts map[batch.TaskID]map[batch.Incarnation]Verdict

// WithVerdicts returns the view with what the advisor has said.
func (v View) WithVerdicts(verdicts Verdicts) View {
	v.verdicts = verdicts
	return v
}

// Inquiry asks the advisor which of some workers may run a step.
type Inquiry struct {
	step    batch.TaskID
	workers []batch.Incarnation
}

// Step returns the key of the step's occurrence.
func (i Inquiry) Step() batch.TaskID { return i.step }

// Workers returns the workers, of which there is at least one, the best first.
func (i Inquiry) Workers() []batch.Incarnation { return i.workers }

const (
	// maxAsked bounds the workers of one inquiry, each of which takes the advisor time.
	maxAsked = 30
	// askedFor is for how many workers an inquiry asks for each task that waits.
	askedFor = 2
)

// permits reports whether the unit may run on a worker as far as the advisor is concerned.
func (p *planner) permits(u *unit, e *place) bool {
	return !u.queue.RequiresAdvice() || p.view.verdicts[u.key][e.life] == Approved
}

// inquire notes the inquiry that a unit needs whose approved workers were not enough, unless a unit before it needs one.
func (p *planner) inquire(u *unit, waiting int) {
	if !u.queue.RequiresAdvice() || waiting == 0 || len(p.plan.inquiry.workers) > 0 {
		return
	}
	known := p.view.verdicts[u.key]
	var candidates []*place
	for _, e := range p.places {
		if v := known[e.life]; p.matches(u, e) && v != Approved && v != Denied {
			candidates = append(candidates, e)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *place) int {
		return cmp.Or(compareBool(a.suspect, b.suspect), -cmp.Compare(u.most(a.free), u.most(b.free)))
	})
	count := min(len(candidates), askedFor*waiting, maxAsked)
	for _, e := range candidates[:count] {
		p.plan.inquiry.step = u.key
		p.plan.inquiry.workers = append(p.plan.inquiry.workers, e.life)
	}
}
