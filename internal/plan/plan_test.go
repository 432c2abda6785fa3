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

// TestReject guards against a job that stays queued although its shape does not fit on the idle fleet, and against a
// rejection while workers are missing or unreachable.
func TestReject(t *testing.T) {
	decide := func(s workspace.Shape, opts ...plan.ViewOption) []plan.Decision {
		v := plan.NewView(workersOf(11, 3), []job.Job{jobOf(t, "a", "x", s)}, nil, opts...)
		return plan.New().Decide(v, startTime)
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
	t.Run("not because a worker is unreachable", func(t *testing.T) {
		requireWait(t, decide(shapeOf(t, 11, 8, workspace.Anywhere), plan.WithUnreachable("w3")), "a")
	})
}

// TestCheckGuarantees guards against accepting guarantees that fit by their total but not with their adjacency.
func TestCheckGuarantees(t *testing.T) {
	workers := workersOf(11, 3)
	check := func(workspaces ...workspace.Workspace) error { return plan.CheckGuarantees(workers, workspaces) }
	t.Run("three full racks and an incomplete one", func(t *testing.T) {
		require.NoError(t, check(
			workspaceOf(t, "a", 3, 8, workspace.SameRack), workspaceOf(t, "b", 3, 8, workspace.SameRack),
			workspaceOf(t, "c", 3, 8, workspace.SameRack), workspaceOf(t, "d", 2, 8, workspace.SameRack)))
	})
	t.Run("total that fits only without adjacency", func(t *testing.T) {
		assertErrorContains(t, check(
			workspaceOf(t, "a", 2, 8, workspace.SameRack), workspaceOf(t, "b", 2, 8, workspace.SameRack),
			workspaceOf(t, "c", 2, 8, workspace.SameRack), workspaceOf(t, "d", 2, 8, workspace.SameRack),
			workspaceOf(t, "e", 2, 8, workspace.SameRack)), "do not fit at once")
	})
	t.Run("shape larger than every rack", func(t *testing.T) {
		assertErrorContains(t, check(workspaceOf(t, "a", 4, 8, workspace.SameRack)), "a (4x8/rack)")
	})
	t.Run("capacity that larger shapes leave free", func(t *testing.T) {
		assertErrorContains(t, plan.CheckGuarantees(workersOf(2, 1), []workspace.Workspace{
			workspaceOf(t, "a", 2, 5, workspace.SameRack), workspaceOf(t, "b", 1, 4, workspace.Anywhere),
		}), "do not fit at once")
		require.NoError(t, plan.CheckGuarantees(workersOf(2, 1), []workspace.Workspace{
			workspaceOf(t, "a", 2, 5, workspace.SameRack), workspaceOf(t, "b", 2, 3, workspace.Anywhere),
		}))
	})
}

// TestPacking guards against small jobs that fragment the last idle worker or rack.
func TestPacking(t *testing.T) {
	t.Run("small jobs share a worker", func(t *testing.T) {
		var jobs []job.Job
		for i := range 8 {
			jobs = append(jobs, jobOf(t, fmt.Sprint(i), "x", shapeOf(t, 1, 1, workspace.Anywhere)))
		}
		used := map[string]bool{}
		for _, d := range plan.New().Decide(plan.NewView(workersOf(11, 3), jobs, nil), startTime) {
			p, ok := d.(plan.Place)
			require.True(t, ok)
			used[p.Members()[0].Worker()] = true
		}
		assert.Len(t, used, 1)
	})
	t.Run("a small gang takes the incomplete rack", func(t *testing.T) {
		j := jobOf(t, "a", "x", shapeOf(t, 2, 8, workspace.SameRack))
		p := requirePlace(t, plan.New().Decide(plan.NewView(workersOf(11, 3), []job.Job{j}, nil), startTime), "a")
		assert.ElementsMatch(t, []string{"w9", "w10"}, []string{p.Members()[0].Worker(), p.Members()[1].Worker()})
	})
}

// TestQuarantine guards against new work on a worker that fails to start every job, and against a faulty job that
// quarantines all workers.
func TestQuarantine(t *testing.T) {
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
	t.Run("three different jobs fail on a worker", func(t *testing.T) {
		assertQuarantined(t, decide(startTime, failures("w1", startTime, "a", "b", "c")...), "w1", startTime.Add(time.Minute))
	})
	t.Run("the pause doubles", func(t *testing.T) {
		later := startTime.Add(2 * time.Minute)
		starts := append(failures("w1", startTime, "a", "b", "c"), failures("w1", later, "d")...)
		assertQuarantined(t, decide(later, starts...), "w1", later.Add(2*time.Minute))
	})
	t.Run("one job fails three times", func(t *testing.T) {
		assert.Empty(t, decide(startTime, failures("w1", startTime, "a", "a", "a")...))
	})
	t.Run("three jobs fail on every worker", func(t *testing.T) {
		var starts []plan.StartOutcome
		for _, w := range workers {
			starts = append(starts, failures(w.Name(), startTime, "a", "b", "c")...)
		}
		assert.Empty(t, decide(startTime, starts...))
	})
	t.Run("a quarantined worker receives no work", func(t *testing.T) {
		j := jobOf(t, "x", "x", shapeOf(t, 3, 8, workspace.SameRack))
		v := plan.NewView(workers, []job.Job{j}, nil, plan.WithQuarantined("w1", startTime.Add(time.Second)))
		requireWait(t, plan.New().Decide(v, startTime), "x")
		requirePlace(t, plan.New().Decide(v, startTime.Add(time.Second)), "x")
	})
}

func assertQuarantined(t *testing.T, decisions []plan.Decision, worker string, until time.Time) {
	t.Helper()
	require.Len(t, decisions, 1)
	s, ok := decisions[0].(plan.Quarantine)
	require.True(t, ok, "%v", decisions)
	assert.Equal(t, worker, s.Worker())
	assert.Equal(t, until, s.Until())
	assert.NotEmpty(t, s.Explanation())
}

// TestGang guards against a gang that is placed in part or across racks.
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
		requireWait(t, plan.New().Decide(plan.NewView(workers, []job.Job{busy, gang}, nil), startTime), "gang")
	})
}

// TestFailedJob guards against a job that is placed on the same faulty worker again at once, when no other job fails
// there and the worker is not quarantined.
func TestFailedJob(t *testing.T) {
	j := jobOf(t, "a", "x", shapeOf(t, 1, 8, workspace.Anywhere))
	v := plan.NewView(workersOf(2, 1), []job.Job{j}, nil,
		plan.WithStartOutcomes(plan.NewStartOutcome("w0", "a", startTime, false)))
	t.Run("avoids the worker", func(t *testing.T) {
		assert.Equal(t, "w1", requirePlace(t, plan.New().Decide(v, startTime), "a").Members()[0].Worker())
	})
	t.Run("waits when there is no other worker", func(t *testing.T) {
		v := plan.NewView(workersOf(1, 1), []job.Job{j}, nil,
			plan.WithStartOutcomes(plan.NewStartOutcome("w0", "a", startTime, false)))
		requireWait(t, plan.New().Decide(v, startTime), "a")
		requirePlace(t, plan.New().Decide(v, startTime.Add(2*time.Minute)), "a")
	})
}

// TestLateUsage guards against accelerators that are assigned while their worker still reports them in use.
func TestLateUsage(t *testing.T) {
	j := jobOf(t, "a", "x", shapeOf(t, 1, 4, workspace.Anywhere))
	view := func(at time.Time) plan.View {
		return plan.NewView(workersOf(1, 1), []job.Job{j}, nil, plan.WithUsage(plan.NewUsage("w0", at, 5)))
	}
	t.Run("a recent report reduces the free accelerators", func(t *testing.T) {
		requireWait(t, plan.New().Decide(view(startTime.Add(-time.Second)), startTime), "a")
	})
	t.Run("an old report is ignored", func(t *testing.T) {
		requirePlace(t, plan.New().Decide(view(startTime.Add(-time.Minute)), startTime), "a")
	})
}

// TestWeights guards against a fragmentation weight that has no effect or delays a job without limit.
func TestWeights(t *testing.T) {
	p := plan.New(plan.WithWeights(1, 5))
	v := plan.NewView(workersOf(3, 1), []job.Job{jobOf(t, "a", "x", shapeOf(t, 1, 1, workspace.Anywhere))}, nil)
	t.Run("a small job does not fragment an idle worker at once", func(t *testing.T) {
		requireWait(t, p.Decide(v, startTime.Add(4*time.Minute)), "a")
	})
	t.Run("the delay ends", func(t *testing.T) { requirePlace(t, p.Decide(v, startTime.Add(5*time.Minute)), "a") })
}
