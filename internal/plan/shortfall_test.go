package plan_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"rosemarywind.example/rosemarywind/internal/job"
	"rosemarywind.example/rosemarywind/internal/plan"
	"rosemarywind.example/rosemarywind/internal/workspace"
)

// TestShortfall guards against a guarantee that is dropped as a whole, or without a Shortfall decision, when only a
// part of it fits on the remaining workers, and against one that is not restored when the lost workers return.
func TestShortfall(t *testing.T) {
	workers := workersOf(6, 1)
	workspaces := []workspace.Workspace{
		workspaceOf(t, "one", 2, 8, workspace.SameRack), workspaceOf(t, "two", 2, 8, workspace.SameRack),
	}
	p := plan.New()
	decide := func(jobs []job.Job, lost ...string) []plan.Decision {
		return p.Decide(plan.NewView(workers, jobs, workspaces, plan.WithUnreachable(lost...)), startTime)
	}
	placedWorkers := func(decisions []plan.Decision, id string) []string {
		var on []string
		for _, m := range requirePlace(t, decisions, id).Members() {
			on = append(on, m.Worker())
		}
		return on
	}
	placedOn := placedWorkers(decide([]job.Job{jobOf(t, "j", "one", workspaces[0].Guarantee())}), "j")
	// Two of the three workers are lost in the rack that has the accelerators of workspace one. workersOf puts w0 to w2
	// into one rack and w3 to w5 into the other.
	lost := []string{"w0", "w1"}
	if placedOn[0] > "w2" {
		lost = []string{"w3", "w4"}
	}
	// borrower returns a started job without a guarantee that takes a whole worker.
	borrower := func(worker string) job.Job {
		return jobOf(t, "b"+worker, "none", shapeOf(t, 1, 8, workspace.SameWorker), job.WithIdempotent(true)).
			Reserve(1, []job.Member{job.NewMember(0, worker, 8)}).Start()
	}
	var borrowers []job.Job
	for _, w := range workers {
		borrowers = append(borrowers, borrower(w.Name()))
	}
	// The subtests share the planner p, which caches where each guarantee is placed. The last one must follow those with
	// lost workers, or it has nothing to restore.
	t.Run("no shortfall while all guarantees fit", func(t *testing.T) {
		assertShortfalls(t, decide(nil))
	})
	t.Run("a part is kept and the shortfall is reported", func(t *testing.T) {
		assertShortfalls(t, decide(nil, lost...), "the guarantee of workspace one cannot be held: 8 of the 16 accelerators of "+
			workspaces[0].Guarantee().String()+" fit on the workers in service")
	})
	t.Run("a job reclaims accelerators within the part that is kept", func(t *testing.T) {
		jobs := append(borrowers, jobOf(t, "part", "one", shapeOf(t, 1, 8, workspace.SameWorker)))
		assert.Equal(t, 1, countReclaimsFor(decide(jobs, lost...), "part"))
	})
	t.Run("the guarantee of the other workspace is unaffected", func(t *testing.T) {
		jobs := append(borrowers, jobOf(t, "other", "two", workspaces[1].Guarantee()))
		assert.Equal(t, 2, countReclaimsFor(decide(jobs, lost...), "other"))
	})
	t.Run("the guarantee is restored when the workers return", func(t *testing.T) {
		decisions := decide(append(borrowers, jobOf(t, "again", "one", workspaces[0].Guarantee())))
		assertShortfalls(t, decisions)
		assert.Equal(t, 2, countReclaimsFor(decisions, "again"))
	})
}

func countReclaimsFor(decisions []plan.Decision, id string) (n int) {
	for _, d := range decisions {
		if r, ok := d.(plan.Reclaim); ok && r.Beneficiary() == id {
			n++
		}
	}
	return n
}

func assertShortfalls(t *testing.T, decisions []plan.Decision, want ...string) {
	t.Helper()
	var got []string
	for _, d := range decisions {
		if s, ok := d.(plan.Shortfall); ok {
			got = append(got, s.Explanation())
		}
	}
	assert.Equal(t, want, got)
}
