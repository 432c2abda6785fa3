package plan_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"rosemarywind.example/rosemarywind/internal/job"
	"rosemarywind.example/rosemarywind/internal/plan"
	"rosemarywind.example/rosemarywind/internal/workspace"
)

// TestLostWorkers guards against a guarantee that is given up as a whole, or silently, when a part of it does not fit
// on the workers that are left, and against one that is not whole again once they are back.
func TestLostWorkers(t *testing.T) {
	workers := workersOf(6, 1)
	spaces := []workspace.Workspace{
		spaceOf(t, "one", 2, 8, workspace.SameRack), spaceOf(t, "two", 2, 8, workspace.SameRack),
	}
	p := plan.New()
	decide := func(jobs []job.Job, lost ...string) []plan.Decision {
		return p.Decide(plan.NewView(workers, jobs, spaces, plan.WithUnreachable(lost...)), start)
	}
	place := func(d []plan.Decision, id string) []string {
		var on []string
		for _, m := range requirePlace(t, d, id).Members() {
			on = append(on, m.Worker())
		}
		return on
	}
	whole := place(decide([]job.Job{jobOf(t, "j", "one", spaces[0].Guarantee())}), "j")
	lost := []string{"w0", "w1"}
	if whole[0] > "w2" {
		lost = []string{"w3", "w4"}
	}
	borrower := func(worker string) job.Job {
		return jobOf(t, "b"+worker, "none", shapeOf(t, 1, 8, workspace.SameWorker), job.WithIdempotent(true)).
			Reserve(1, []job.Member{job.NewMember(0, worker, 8)}).Start()
	}
	var full []job.Job
	for _, w := range workers {
		full = append(full, borrower(w.Name()))
	}
	t.Run("nothing is said while all guarantees fit", func(t *testing.T) {
		assertShort(t, decide(nil))
	})
	t.Run("a part is kept and the rest is told", func(t *testing.T) {
		assertShort(t, decide(nil, lost...), "the guarantee of workspace one cannot be held: 8 of the 16 accelerators of "+
			spaces[0].Guarantee().String()+" fit on the workers in service")
	})
	t.Run("the part can be reclaimed", func(t *testing.T) {
		part := append(full, jobOf(t, "part", "one", shapeOf(t, 1, 8, workspace.SameWorker)))
		assert.Equal(t, 1, reclaimsFor(decide(part, lost...), "part"))
	})
	t.Run("the guarantee of the other workspace stays whole", func(t *testing.T) {
		other := append(full, jobOf(t, "other", "two", spaces[1].Guarantee()))
		assert.Equal(t, 2, reclaimsFor(decide(other, lost...), "other"))
	})
	t.Run("the guarantee is whole again when the workers are back", func(t *testing.T) {
		d := decide(append(full, jobOf(t, "again", "one", spaces[0].Guarantee())))
		assertShort(t, d)
		assert.Equal(t, 2, reclaimsFor(d, "again"))
	})
}

func reclaimsFor(decisions []plan.Decision, id string) (n int) {
	for _, d := range decisions {
		if r, ok := d.(plan.Reclaim); ok && r.Beneficiary() == id {
			n++
		}
	}
	return n
}

func assertShort(t *testing.T, decisions []plan.Decision, want ...string) {
	t.Helper()
	var got []string
	for _, d := range decisions {
		if s, ok := d.(plan.Shortfall); ok {
			got = append(got, s.Explanation())
		}
	}
	assert.Equal(t, want, got)
}
