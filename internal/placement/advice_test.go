package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/placement"
)

// advise decides with verdicts on the workers for step 0 of job j.
func (w *world) advise(verdicts map[int]placement.Verdict) placement.Plan {
	known := map[batch.Incarnation]placement.Verdict{}
	for n, v := range verdicts {
		known[life(n)] = v
	}
	v := placement.NewView(w.now, w.state, w.workers, w.told, far)
	return placement.Decide(v.WithVerdicts(placement.Verdicts{batch.NewTaskID("j", 0, 0, 0): known}))
}

// assertAsked checks how many workers a plan asks about, and that none of them is among those that are known.
func assertAsked(t *testing.T, p placement.Plan, want int, known ...int) {
	t.Helper()
	i, _ := p.Inquiry()
	assert.Len(t, i.Workers(), want)
	for _, n := range known {
		assert.NotContains(t, i.Workers(), life(n))
	}
}

func begun(p placement.Plan) (lives []batch.Incarnation) {
	for _, g := range p.Groups() {
		for _, m := range g.Members() {
			lives = append(lives, m.Worker())
		}
	}
	return lives
}

// Guards against starts without the advisor's approval, and against an advisor that is asked about more workers than a
// step can use, or again about what it has said.
func TestAdvice(t *testing.T) {
	w := newWorld(t)
	w.submit("j", advised, "a", batch.NewStep(2, gpus(8), time.Second))
	t.Run("asked first, about few", func(t *testing.T) {
		p := w.advise(nil)
		assert.Empty(t, begun(p))
		assertAsked(t, p, 4)
	})
	t.Run("begins where it is approved, and asks for the rest", func(t *testing.T) {
		p := w.advise(map[int]placement.Verdict{0: placement.Denied, 1: placement.Approved})
		assert.Equal(t, []batch.Incarnation{life(1)}, begun(p))
		assertAsked(t, p, 2, 0, 1)
	})
	t.Run("asks again for a ticket that has expired", func(t *testing.T) {
		verdicts := map[int]placement.Verdict{5: placement.Expired}
		for n := range 5 {
			verdicts[n] = placement.Denied
		}
		p := w.advise(verdicts)
		assert.Empty(t, begun(p))
		assertAsked(t, p, 1, 0, 1, 2, 3, 4)
	})
	t.Run("asks nothing once all begin", func(t *testing.T) {
		p := w.advise(map[int]placement.Verdict{1: placement.Approved, 2: placement.Approved})
		assert.Len(t, begun(p), 2)
		assertAsked(t, p, 0)
	})
	t.Run("no advice for other queues", func(t *testing.T) {
		other := newWorld(t)
		other.submit("j", patient, "a", batch.NewStep(2, gpus(8), time.Second))
		p := other.advise(nil)
		assert.Len(t, begun(p), 2)
		assertAsked(t, p, 0)
	})
}
