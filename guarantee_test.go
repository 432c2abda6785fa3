package rosemarywind

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/control"
	"rosemarywind.example/rosemarywind/internal/job"
	"rosemarywind.example/rosemarywind/internal/standin"
)

const (
	testTaskLease = 6 * time.Second
	// urgentStartLimit bounds the start of urgent jobs whose accelerators are on workers that answer.
	urgentStartLimit = 6500 * time.Millisecond
	// leaseStartLimit bounds the start if a borrower's worker does not answer. It is the task lease, 5% for clock
	// drift, and the time for commits and orders before and after it.
	leaseStartLimit = testTaskLease*105/100 + 3*time.Second
	setupLimit      = 20 * time.Second
)

// TestGuarantee guards promise P1: a workspace gets its guaranteed shape in time although another workspace has
// borrowed all accelerators.
func TestGuarantee(t *testing.T) {
	t.Run("an owner reclaims from an idempotent borrower, which is queued again", func(t *testing.T) {
		s := requireSystem(t, "owner", "borrower")
		id := s.requireBorrower("idempotent", "checkpointable")
		own := s.submit("owner", 2, "idempotent")
		s.assertStartsWithin(own, urgentStartLimit)
		j := s.await(id, setupLimit, func(j job.Job) bool { return !j.Placed() })
		assert.Equal(t, 6, s.checkpoints(), "checkpoints of the borrower's six members")
		assert.Equal(t, job.Queued, j.State(), j.Reason())
		assert.Equal(t, 1, j.Attempts())
	})
	t.Run("a borrower that is not idempotent ends as may-have-run", func(t *testing.T) {
		s := requireSystem(t, "owner", "borrower")
		id := s.requireBorrower("checkpointable")
		own := s.submit("owner", 2, "idempotent")
		s.assertStartsWithin(own, urgentStartLimit)
		j := s.await(id, setupLimit, func(j job.Job) bool { return j.State() == job.Done })
		assert.Equal(t, job.MayHaveRun, j.Result(), j.Reason())
	})
	t.Run("a throttleable borrower that is neither idempotent nor checkpointable is throttled and then resumed", func(t *testing.T) {
		s := requireSystem(t, "owner", "borrower")
		id := s.requireBorrower("throttleable")
		own := s.submit("owner", 2, "idempotent")
		s.assertStartsWithin(own, urgentStartLimit)
		s.assertSpeed(id, job.Throttled, 2)
		requireSent(t, s.System, http.MethodDelete, "/v1/jobs/"+own, "")
		s.assertSpeed(id, job.Resumed, 6)
	})
	t.Run("two owners reclaim at the same time", func(t *testing.T) {
		s := requireSystem(t, "owner", "second", "borrower")
		s.requireBorrower("idempotent")
		first, second := s.submit("owner", 2, "idempotent"), s.submit("second", 2, "idempotent")
		s.assertStartsWithin(first, urgentStartLimit)
		s.assertStartsWithin(second, urgentStartLimit)
	})
	t.Run("a borrower on a worker that does not answer ends when its task lease expires", func(t *testing.T) {
		s := requireSystem(t, "owner", "borrower")
		s.requireBorrower("idempotent")
		s.standins[3].SetBehaviour(standin.NewBehaviour(standin.Freeze, 0))
		own := s.submit("owner", 2, "idempotent")
		s.assertStartsWithin(own, leaseStartLimit)
	})
}

// testSystem is a running system with one control host and six workers of eight accelerators each, two in each rack.
type testSystem struct {
	*System
	t *testing.T
}

func requireSystem(t *testing.T, workspaces ...string) testSystem {
	t.Helper()
	system, err := New(time.Now(), WithFolder(t.TempDir()), WithHosts(1, 0, 6), WithTopology(2, 3), WithTaskLease(testTaskLease))
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- system.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NoError(t, <-done)
	})
	s := testSystem{System: system, t: t}
	s.until(setupLimit, "the announcements of all workers", func(b *control.Board) (bool, <-chan struct{}) {
		r, changed := b.Roster().Watch()
		return len(r.Snapshot().Ready()) == 6, changed
	})
	requireDeclared(t, system, workspaces...)
	return s
}

// requireBorrower starts a job of the workspace borrower that holds all accelerators, and returns its id.
func (s testSystem) requireBorrower(traits ...string) (id string) {
	s.t.Helper()
	id = s.submit("borrower", 6, traits...)
	s.await(id, setupLimit, func(j job.Job) bool { return j.State() == job.Started })
	return id
}

func (s testSystem) submit(workspace string, members int, traits ...string) (id string) {
	s.t.Helper()
	return requireSubmitted(s.t, s.System, workspace, members, traits...)
}

// assertSpeed waits until the borrower has the given speed and the given number of workers hold all their accelerators
// for tasks. It checks that the borrower is still in its first run.
func (s testSystem) assertSpeed(id string, want job.Speed, workers int) {
	s.t.Helper()
	j := s.await(id, setupLimit, func(j job.Job) bool { return j.Speed() == want })
	assert.Equal(s.t, job.Started, j.State(), j.Reason())
	assert.Equal(s.t, 1, j.Attempts())
	assert.Eventually(s.t, func() bool { return s.heldAccelerators() == 8*workers }, setupLimit, 10*time.Millisecond)
}

// heldAccelerators returns how many accelerators the workers hold for tasks.
func (s testSystem) heldAccelerators() (n int) {
	for _, w := range s.standins {
		n += w.HeldAccelerators()
	}
	return n
}

func (s testSystem) checkpoints() (n int) {
	for _, w := range s.standins {
		n += w.Checkpoints()
	}
	return n
}

// assertStartsWithin checks that all members of the job run within the limit from now.
func (s testSystem) assertStartsWithin(id string, limit time.Duration) {
	s.t.Helper()
	start := time.Now()
	j := s.await(id, limit, func(j job.Job) bool { return j.State() == job.Started })
	for _, m := range j.Members() {
		s.until(limit, "a running member on "+m.Worker(), func(b *control.Board) (bool, <-chan struct{}) {
			reports, changed := b.Reports().Watch()
			list, _ := reports.Get(m.Worker())
			for _, r := range list {
				if r.ID().Job() == id && r.State() == "running" {
					return true, changed
				}
			}
			return false, changed
		})
	}
	took := time.Since(start)
	s.t.Logf("%s started after %s, limit %s", id, took.Round(time.Millisecond), limit)
	assert.LessOrEqual(s.t, took, limit)
}

// await waits until the job satisfies the condition, and returns it.
func (s testSystem) await(id string, limit time.Duration, ok func(job.Job) bool) (j job.Job) {
	s.t.Helper()
	s.until(limit, "job "+id, func(b *control.Board) (bool, <-chan struct{}) {
		state, changed := b.State().Watch()
		found := false
		if j, found = state.Jobs().Get(id); !found {
			return false, changed
		}
		return ok(j), changed
	})
	return j
}

// until waits until a condition on the board of the control host is true, and fails the test after the limit.
func (s testSystem) until(limit time.Duration, what string, check func(*control.Board) (bool, <-chan struct{})) {
	s.t.Helper()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		ok, changed := check(s.controls[0].Board())
		if ok {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			for id, j := range s.controls[0].Board().State().Load().Jobs().All() {
				s.t.Logf("%s is %s: %s", id, j.State(), j.Reason())
			}
			require.Fail(s.t, "timed out waiting for "+what)
		}
	}
}
