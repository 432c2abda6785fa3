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

// Guards against a gang that starves behind an endless stream of small jobs whose declared run times are wrong.
func TestReservation(t *testing.T) {
	for _, declared := range []time.Duration{6 * time.Second, time.Hour} {
		t.Run(fmt.Sprintf("small jobs run one minute and declare %s", declared), func(t *testing.T) {
			assertGangPlaced(t, plan.New(), declared, 2*time.Minute)
		})
	}
}

// assertGangPlaced keeps a rack full of small jobs, one of which ends every 5 seconds after a minute each.
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
		now := start.Add(time.Duration(i) * 5 * time.Second)
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

// Guards against a gang that waits for its workspace's own cell while younger jobs of the workspace take it in turn.
func TestOvertaking(t *testing.T) {
	owner := spaceOf(t, "owner", 3, 8, workspace.SameRack)
	busy := jobOf(t, "busy", "owner", shapeOf(t, 1, 8, workspace.Anywhere)).
		Reserve(1, []job.Member{job.NewMember(0, "w0", 8)}).Start()
	gang := jobOf(t, "gang", "owner", owner.Guarantee())
	pair := func(opts ...job.SpecOption) job.Job {
		return jobOf(t, "pair", "owner", shapeOf(t, 2, 8, workspace.SameRack), opts...)
	}
	decide := func(pair job.Job) []plan.Decision {
		v := plan.NewView(workersOf(3, 1), []job.Job{busy, gang, pair}, []workspace.Workspace{owner})
		return plan.New().Decide(v, start.Add(time.Minute))
	}
	t.Run("a younger patient job waits", func(t *testing.T) {
		decisions := decide(pair())
		requireWait(t, decisions, "gang")
		requireWait(t, decisions, "pair")
	})
	t.Run("an urgent one does not", func(t *testing.T) {
		requirePlace(t, decide(pair(job.WithUrgency(job.Urgent))), "pair")
	})
}

// Guards against reclaim of a job that loses more than another one would.
func TestReclaimChoice(t *testing.T) {
	workers := workersOf(3, 1)
	owner := spaceOf(t, "owner", 1, 8, workspace.SameWorker)
	borrower := func(id, worker string, opts ...job.SpecOption) job.Job {
		return jobOf(t, id, "other", shapeOf(t, 1, 8, workspace.SameWorker), opts...).
			Reserve(1, []job.Member{job.NewMember(0, worker, 8)}).Start()
	}
	reclaim := func(p *plan.Planner, jobs []job.Job, opts ...plan.ViewOption) plan.Reclaim {
		jobs = append(jobs, jobOf(t, "demand", "owner", owner.Guarantee()))
		now := start.Add(time.Hour)
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
		assert.Equal(t, "demand", r.For())
	})
	t.Run("a stop costs less right after a checkpoint", func(t *testing.T) {
		var progress []plan.ViewOption
		for _, id := range []string{"a", "b", "c"} {
			progress = append(progress, plan.WithProgress(
				plan.NewProgress(id, start).WithCheckpoint(start.Add(time.Hour-time.Second), time.Minute)))
		}
		r := reclaim(plan.New(), full(job.WithCheckpointable(true)), progress...)
		assert.Equal(t, plan.Stop, r.Method())
	})
	t.Run("throttling where the workers can", func(t *testing.T) {
		var progress []plan.ViewOption
		for _, id := range []string{"a", "b", "c"} {
			progress = append(progress, plan.WithProgress(plan.NewProgress(id, start).WithThrottle(true)))
		}
		assert.Equal(t, plan.Throttle, reclaim(plan.New(), full(), progress...).Method())
	})
}
