package plan_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/fleet"
	"rosemarywind.example/rosemarywind/internal/job"
	"rosemarywind.example/rosemarywind/internal/plan"
	"rosemarywind.example/rosemarywind/internal/workspace"
)

// Guards against a job that waits for ever because no fleet of this kind can run it.
func TestReject(t *testing.T) {
	decide := func(s workspace.Shape, opts ...plan.ViewOption) []plan.Decision {
		v := plan.NewView(workersOf(11, 3), []job.Job{jobOf(t, "a", "x", s)}, nil, opts...)
		return plan.New().Decide(v, start)
	}
	t.Run("too large for a worker", func(t *testing.T) {
		assertRejected(t, decide(shapeOf(t, 1, 9, workspace.Anywhere)), "a", "the largest has 8")
	})
	t.Run("too large for a rack", func(t *testing.T) {
		assertRejected(t, decide(shapeOf(t, 4, 8, workspace.SameRack)), "a", "the largest rack has room for 3")
	})
	t.Run("too large for the fleet", func(t *testing.T) {
		assertRejected(t, decide(shapeOf(t, 12, 8, workspace.Anywhere)), "a", "has room for 11")
	})
	t.Run("not while workers are missing", func(t *testing.T) {
		requireWait(t, decide(shapeOf(t, 12, 8, workspace.Anywhere), plan.WithPartialFleet()), "a")
	})
	t.Run("not because a worker is away", func(t *testing.T) {
		requireWait(t, decide(shapeOf(t, 11, 8, workspace.Anywhere), plan.WithUnreachable("w3")), "a")
	})
}

// Guards against guarantees that fit as a sum and not as adjacent shapes.
func TestCheckGuarantees(t *testing.T) {
	workers := workersOf(11, 3)
	check := func(spaces ...workspace.Workspace) error { return plan.CheckGuarantees(workers, spaces) }
	t.Run("three whole racks and the rest", func(t *testing.T) {
		require.NoError(t, check(
			spaceOf(t, "a", 3, 8, workspace.SameRack), spaceOf(t, "b", 3, 8, workspace.SameRack),
			spaceOf(t, "c", 3, 8, workspace.SameRack), spaceOf(t, "d", 2, 8, workspace.SameRack)))
	})
	t.Run("a sum that fits without adjacency", func(t *testing.T) {
		assertRefused(t, check(
			spaceOf(t, "a", 2, 8, workspace.SameRack), spaceOf(t, "b", 2, 8, workspace.SameRack),
			spaceOf(t, "c", 2, 8, workspace.SameRack), spaceOf(t, "d", 2, 8, workspace.SameRack),
			spaceOf(t, "e", 2, 8, workspace.SameRack)), "do not fit at once")
	})
	t.Run("a shape that no rack has", func(t *testing.T) {
		assertRefused(t, check(spaceOf(t, "a", 4, 8, workspace.SameRack)), "a (4x8/rack)")
	})
	t.Run("what larger shapes leave over", func(t *testing.T) {
		assertRefused(t, plan.CheckGuarantees(workersOf(2, 1), []workspace.Workspace{
			spaceOf(t, "a", 2, 5, workspace.SameRack), spaceOf(t, "b", 1, 4, workspace.Anywhere),
		}), "do not fit at once")
		require.NoError(t, plan.CheckGuarantees(workersOf(2, 1), []workspace.Workspace{
			spaceOf(t, "a", 2, 5, workspace.SameRack), spaceOf(t, "b", 2, 3, workspace.Anywhere),
		}))
	})
}

// Guards against scattered small jobs that break the last whole worker or rack.
func TestPacking(t *testing.T) {
	t.Run("small jobs share a worker", func(t *testing.T) {
		var jobs []job.Job
		for i := range 8 {
			jobs = append(jobs, jobOf(t, fmt.Sprint(i), "x", shapeOf(t, 1, 1, workspace.Anywhere)))
		}
		used := map[string]bool{}
		for _, d := range plan.New().Decide(plan.NewView(workersOf(11, 3), jobs, nil), start) {
			p, ok := d.(plan.Place)
			require.True(t, ok)
			used[p.Members()[0].Worker()] = true
		}
		assert.Len(t, used, 1)
	})
	t.Run("a small gang takes the incomplete rack", func(t *testing.T) {
		j := jobOf(t, "a", "x", shapeOf(t, 2, 8, workspace.SameRack))
		p := requirePlace(t, plan.New().Decide(plan.NewView(workersOf(11, 3), []job.Job{j}, nil), start), "a")
		assert.ElementsMatch(t, []string{"w9", "w10"}, []string{p.Members()[0].Worker(), p.Members()[1].Worker()})
	})
}

// Guards against new work on a worker that fails everything, and against one bad job that marks all workers.
func TestSetAside(t *testing.T) {
	workers := workersOf(3, 1)
	failures := func(worker string, at time.Time, ids ...string) (starts []plan.StartOutcome) {
		for _, id := range ids {
			starts = append(starts, plan.NewStartOutcome(worker, id, at, false))
		}
		return starts
	}
	decide := func(now time.Time, starts ...plan.StartOutcome) []plan.Decision {
		return plan.New().Decide(plan.NewView(workers, nil, nil, plan.WithStartOutcomes(starts...)), now)
	}
	t.Run("three different jobs", func(t *testing.T) {
		assertSetAside(t, decide(start, failures("w1", start, "a", "b", "c")...), "w1", start.Add(time.Minute))
	})
	t.Run("pauses grow", func(t *testing.T) {
		later := start.Add(2 * time.Minute)
		starts := append(failures("w1", start, "a", "b", "c"), failures("w1", later, "d")...)
		assertSetAside(t, decide(later, starts...), "w1", later.Add(2*time.Minute))
	})
	t.Run("one job three times", func(t *testing.T) {
		assert.Empty(t, decide(start, failures("w1", start, "a", "a", "a")...))
	})
	t.Run("three bad jobs on every worker", func(t *testing.T) {
		var starts []plan.StartOutcome
		for _, w := range workers {
			starts = append(starts, failures(w.Name(), start, "a", "b", "c")...)
		}
		assert.Empty(t, decide(start, starts...))
	})
	t.Run("a worker with a pause receives nothing", func(t *testing.T) {
		j := jobOf(t, "x", "x", shapeOf(t, 3, 8, workspace.SameRack))
		v := plan.NewView(workers, []job.Job{j}, nil, plan.WithQuarantined("w1", start.Add(time.Second)))
		requireWait(t, plan.New().Decide(v, start), "x")
		requirePlace(t, plan.New().Decide(v, start.Add(time.Second)), "x")
	})
}

func assertSetAside(t *testing.T, decisions []plan.Decision, worker string, until time.Time) {
	t.Helper()
	require.Len(t, decisions, 1)
	s, ok := decisions[0].(plan.Quarantine)
	require.True(t, ok, "%v", decisions)
	assert.Equal(t, worker, s.Worker())
	assert.Equal(t, until, s.Until())
	assert.NotEmpty(t, s.Explanation())
}

// Guards against a gang that is placed in part or across racks.
func TestGang(t *testing.T) {
	t.Run("waits when a rack is short of one member", func(t *testing.T) {
		var workers []fleet.Worker
		for i, w := range workersOf(6, 2) {
			if i != 1 {
				workers = append(workers, w)
			}
		}
		busy := jobOf(t, "busy", "x", shapeOf(t, 1, 1, workspace.Anywhere)).
			Reserve(1, []job.Member{job.NewMember(0, "w4", 1)})
		gang := jobOf(t, "gang", "x", shapeOf(t, 3, 8, workspace.SameRack))
		requireWait(t, plan.New().Decide(plan.NewView(workers, []job.Job{busy, gang}, nil), start), "gang")
	})
}

// Guards against a job that meets the same faulty worker again at once, when no other job marks the worker.
func TestFailedJob(t *testing.T) {
	j := jobOf(t, "a", "x", shapeOf(t, 1, 8, workspace.Anywhere))
	v := plan.NewView(workersOf(2, 1), []job.Job{j}, nil, plan.WithStartOutcomes(plan.NewStartOutcome("w0", "a", start, false)))
	t.Run("keeps off the worker", func(t *testing.T) {
		assert.Equal(t, "w1", requirePlace(t, plan.New().Decide(v, start), "a").Members()[0].Worker())
	})
	t.Run("waits when there is no other", func(t *testing.T) {
		v := plan.NewView(workersOf(1, 1), []job.Job{j}, nil, plan.WithStartOutcomes(plan.NewStartOutcome("w0", "a", start, false)))
		requireWait(t, plan.New().Decide(v, start), "a")
		requirePlace(t, plan.New().Decide(v, start.Add(2*time.Minute)), "a")
	})
}

// Guards against accelerators that are given away while a worker still reports them in use.
func TestLateUsage(t *testing.T) {
	j := jobOf(t, "a", "x", shapeOf(t, 1, 4, workspace.Anywhere))
	view := func(at time.Time) plan.View {
		return plan.NewView(workersOf(1, 1), []job.Job{j}, nil, plan.WithUsage(plan.NewUsage("w0", at, 5)))
	}
	t.Run("a fresh report holds accelerators back", func(t *testing.T) {
		requireWait(t, plan.New().Decide(view(start.Add(-time.Second)), start), "a")
	})
	t.Run("an old report does not", func(t *testing.T) {
		requirePlace(t, plan.New().Decide(view(start.Add(-time.Minute)), start), "a")
	})
}

// Guards against a weight on fragmentation that has no effect or keeps a job waiting for ever.
func TestWeights(t *testing.T) {
	p := plan.New(plan.WithWeights(1, 5))
	v := plan.NewView(workersOf(3, 1), []job.Job{jobOf(t, "a", "x", shapeOf(t, 1, 1, workspace.Anywhere))}, nil)
	t.Run("a small job spares an idle worker", func(t *testing.T) { requireWait(t, p.Decide(v, start.Add(4*time.Minute)), "a") })
	t.Run("but not for ever", func(t *testing.T) { requirePlace(t, p.Decide(v, start.Add(5*time.Minute)), "a") })
}
