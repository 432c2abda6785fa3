package plan_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/job"
	"rosemarywind.example/rosemarywind/internal/plan"
	"rosemarywind.example/rosemarywind/internal/workspace"
)

// TestReservation guards against a gang that starves behind a steady stream of small jobs whose declared run times
// are wrong.
func TestReservation(t *testing.T) {
	for _, declared := range []time.Duration{6 * time.Second, time.Hour} {
		t.Run(fmt.Sprintf("small jobs run one minute and declare %s", declared), func(t *testing.T) {
			assertGangPlaced(t, plan.New(), declared, 2*time.Minute)
		})
	}
}

// assertGangPlaced asserts that a gang of a whole rack is placed in time. Twelve small jobs that run for a minute
// arrive every 5 seconds and keep the rack full.
func assertGangPlaced(t *testing.T, p *plan.Planner, declared, within time.Duration) {
	t.Helper()
	workers := workersOf(3, 1)
	small := func(i int) job.Job {
		return jobOf(t, fmt.Sprintf("small%05d", i), "x", shapeOf(t, 1, 2, workspace.Anywhere),
			job.WithRunTime(declared), job.WithUrgency(job.Urgent))
	}
	jobs := map[string]job.Job{"gang": jobOf(t, "gang", "x", shapeOf(t, 3, 8, workspace.SameRack))}
	ends := map[string]time.Time{}
	for i := 0; i*5 < int(within/time.Second); i++ {
		now := startTime.Add(time.Duration(i) * 5 * time.Second)
		for n := range 12 {
			j := small(12*i + n)
			jobs[j.Spec().ID()] = j
		}
		var view []job.Job
		for id, j := range jobs {
			if end, ok := ends[id]; ok && !now.Before(end) {
				delete(jobs, id)
				continue
			}
			view = append(view, j)
		}
		for _, d := range p.Decide(plan.NewView(workers, view, nil), now) {
			if d, ok := d.(plan.Place); ok {
				jobs[d.Job()] = jobs[d.Job()].Reserve(1, d.Members())
				ends[d.Job()] = now.Add(time.Minute)
			}
		}
		if jobs["gang"].Placed() {
			return
		}
	}
	assert.Fail(t, "the gang is not placed")
}

// TestOvertaking guards against a gang that waits for its workspace's own cell while younger jobs of the workspace
// keep taking the cell.
func TestOvertaking(t *testing.T) {
	owner := workspaceOf(t, "owner", 3, 8, workspace.SameRack)
	busy := jobOf(t, "busy", "owner", shapeOf(t, 1, 8, workspace.Anywhere)).
		Reserve(1, []job.Member{job.NewMember(0, "w0", 8)}).Start()
	gang := jobOf(t, "gang", "owner", owner.Guarantee())
	pair := func(opts ...job.SpecOption) job.Job {
		return jobOf(t, "pair", "owner", shapeOf(t, 2, 8, workspace.SameRack), opts...)
	}
	decide := func(pair job.Job) []plan.Decision {
		v := plan.NewView(workersOf(3, 1), []job.Job{busy, gang, pair}, []workspace.Workspace{owner})
		return plan.New().Decide(v, startTime.Add(time.Minute))
	}
	t.Run("a younger patient job waits", func(t *testing.T) {
		decisions := decide(pair())
		requireWait(t, decisions, "gang")
		requireWait(t, decisions, "pair")
	})
	t.Run("a younger urgent job does not wait", func(t *testing.T) {
		requirePlace(t, decide(pair(job.WithUrgency(job.Urgent))), "pair")
	})
}

// TestConsolidation guards against a rack that stays fragmented by a small job that a checkpoint could move, and
// against a small job that is preempted for a gang submitted later although it fits nowhere else.
func TestConsolidation(t *testing.T) {
	running := func(id, worker string, n int, opts ...job.SpecOption) job.Job {
		return jobOf(t, id, "x", shapeOf(t, 1, n, workspace.Anywhere), append(opts, job.WithRunTime(time.Hour))...).
			Reserve(1, []job.Member{job.NewMember(0, worker, n)}).Start()
	}
	decide := func(last int, gangAt time.Time) []plan.Decision {
		spec, err := job.NewSpec("gang", "x", shapeOf(t, 3, 8, workspace.SameRack), gangAt, job.WithIdempotent(true))
		require.NoError(t, err)
		p, v := plan.New(), plan.NewView(workersOf(6, 2), []job.Job{
			running("small", "w0", 4, job.WithCheckpointable(true)),
			running("a", "w3", 8), running("b", "w4", 8), running("c", "w5", last), job.New(spec),
		}, nil)
		requireWait(t, p.Decide(v, startTime.Add(time.Minute)), "gang")
		return p.Decide(v, startTime.Add(2*time.Minute))
	}
	t.Run("moved when it fits elsewhere", func(t *testing.T) {
		assertReclaimed(t, decide(4, startTime.Add(time.Second)), "small")
	})
	t.Run("not moved when it fits nowhere else", func(t *testing.T) {
		assertReclaimed(t, decide(8, startTime.Add(time.Second)))
	})
	t.Run("moved when it was submitted after the gang", func(t *testing.T) {
		assertReclaimed(t, decide(8, startTime.Add(-time.Second)), "small")
	})
}

func assertReclaimed(t *testing.T, decisions []plan.Decision, ids ...string) {
	t.Helper()
	var reclaimed []string
	for _, d := range decisions {
		if r, ok := d.(plan.Reclaim); ok {
			reclaimed = append(reclaimed, r.Job())
			assert.Equal(t, plan.Checkpoint, r.Method())
		}
	}
	assert.Equal(t, ids, reclaimed)
}

// TestMoveHold guards against a hold that stays on a domain although another one can be emptied at once.
func TestMoveHold(t *testing.T) {
	running := func(id, worker string, n int, opts ...job.SpecOption) job.Job {
		return jobOf(t, id, "x", shapeOf(t, 1, n, workspace.Anywhere), append(opts, job.WithRunTime(2*time.Hour))...).
			Reserve(1, []job.Member{job.NewMember(0, worker, n)}).Start()
	}
	gang := jobOf(t, "gang", "x", shapeOf(t, 3, 8, workspace.SameRack))
	p, workers := plan.New(), workersOf(6, 2)
	a, b := running("a", "w0", 8), running("b", "w3", 8)
	requireWait(t, p.Decide(plan.NewView(workers, []job.Job{a, b, gang}, nil), startTime.Add(time.Minute)), "gang")
	small := running("small", "w3", 4, job.WithCheckpointable(true))
	v := plan.NewView(workers, []job.Job{a, small, gang}, nil)
	requireWait(t, p.Decide(v, startTime.Add(2*time.Minute)), "gang")
	assertReclaimed(t, p.Decide(v, startTime.Add(3*time.Minute)), "small")
}

// TestUrgentBacklog guards against a deep urgent backlog that waits behind jobs that can be checkpointed, and
// against checkpoints for short bursts.
func TestUrgentBacklog(t *testing.T) {
	owner := workspaceOf(t, "owner", 1, 8, workspace.SameWorker)
	decide := func(waiting int) []plan.Decision {
		jobs := []job.Job{
			jobOf(t, "own", "owner", owner.Guarantee(), job.WithUrgency(job.Urgent)).
				Reserve(1, []job.Member{job.NewMember(0, "w0", 8)}).Start(),
			jobOf(t, "patient", "x", owner.Guarantee(), job.WithCheckpointable(true)).
				Reserve(1, []job.Member{job.NewMember(0, "w1", 8)}).Start(),
		}
		for i := range waiting {
			jobs = append(jobs, jobOf(t, fmt.Sprintf("u%02d", i), "owner", shapeOf(t, 1, 1, workspace.Anywhere), job.WithUrgency(job.Urgent)))
		}
		v := plan.NewView(workersOf(2, 1), jobs, []workspace.Workspace{owner})
		return plan.New().Decide(v, startTime.Add(time.Minute))
	}
	t.Run("four times the guarantee", func(t *testing.T) { assertReclaimed(t, decide(32)) })
	t.Run("more than four times the guarantee", func(t *testing.T) { assertReclaimed(t, decide(33), "patient") })
}

// TestReclaimChoice guards against the reclaim of a job that loses more work than another would.
func TestReclaimChoice(t *testing.T) {
	workers := workersOf(3, 1)
	owner := workspaceOf(t, "owner", 1, 8, workspace.SameWorker)
	borrower := func(id, worker string, opts ...job.SpecOption) job.Job {
		return jobOf(t, id, "other", shapeOf(t, 1, 8, workspace.SameWorker), opts...).
			Reserve(1, []job.Member{job.NewMember(0, worker, 8)}).Start()
	}
	reclaim := func(p *plan.Planner, jobs []job.Job, opts ...plan.ViewOption) plan.Reclaim {
		jobs = append(jobs, jobOf(t, "demand", "owner", owner.Guarantee()))
		now := startTime.Add(time.Hour)
		for _, d := range p.Decide(plan.NewView(workers, jobs, []workspace.Workspace{owner}, opts...), now) {
			if r, ok := d.(plan.Reclaim); ok {
				return r
			}
		}
		require.Fail(t, "nothing is reclaimed")
		return plan.Reclaim{}
	}
	full := func(opts ...job.SpecOption) []job.Job {
		return []job.Job{borrower("a", "w0", opts...), borrower("b", "w1", opts...), borrower("c", "w2", opts...)}
	}
	t.Run("a checkpoint costs less than an hour of work", func(t *testing.T) {
		r := reclaim(plan.New(), full(job.WithCheckpointable(true), job.WithIdempotent(true)))
		assert.Equal(t, plan.Checkpoint, r.Method())
		assert.Equal(t, "demand", r.Beneficiary())
	})
	t.Run("a stop costs less right after a checkpoint", func(t *testing.T) {
		var progress []plan.ViewOption
		for _, id := range []string{"a", "b", "c"} {
			progress = append(progress, plan.WithProgress(
				plan.NewProgress(id, startTime).WithCheckpoint(startTime.Add(time.Hour-time.Second), time.Minute)))
		}
		r := reclaim(plan.New(), full(job.WithCheckpointable(true)), progress...)
		assert.Equal(t, plan.Stop, r.Method())
	})
	t.Run("throttling costs less than a stop", func(t *testing.T) {
		assert.Equal(t, plan.Throttle, reclaim(plan.New(), full(job.WithThrottleable(true))).Method())
	})
}
