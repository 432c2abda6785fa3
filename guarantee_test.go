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
	testLease = 6 * time.Second
	// urgentStart is the bound for urgent work whose accelerators are on workers that answer.
	urgentStart = 6500 * time.Millisecond
	// leaseStart is the bound when a borrower's worker does not answer: the task lease, 5%, and the
	// commits and orders around it.
	leaseStart = testLease*105/100 + 3*time.Second
	startUp    = 20 * time.Second
)

// TestGuarantee guards P1: a guaranteed shape must be reclaimed from a borrower of the whole fleet.
func TestGuarantee(t *testing.T) {
	t.Run("an owner reclaims, and a borrower that may run again waits for its turn", func(t *testing.T) {
		s := requireSystem(t, "owner", "borrower")
		id := s.requireBorrower("idempotent", "checkpointable")
		own := s.submit("owner", 2, "idempotent")
		s.assertStartsWithin(own, urgentStart)
		j := s.await(id, startUp, func(j job.Job) bool { return !j.Placed() })
		assert.Equal(t, 6, s.checkpoints(), "each member of the borrower is checkpointed")
		assert.Equal(t, job.Queued, j.State(), j.Reason())
		assert.Equal(t, 1, j.Attempts())
	})
	t.Run("a borrower that must not run twice is reported as one that may have run", func(t *testing.T) {
		s := requireSystem(t, "owner", "borrower")
		id := s.requireBorrower("checkpointable")
		own := s.submit("owner", 2, "idempotent")
		s.assertStartsWithin(own, urgentStart)
		j := s.await(id, startUp, func(j job.Job) bool { return j.State() == job.Done })
		assert.Equal(t, job.MayHaveRun, j.Result(), j.Reason())
	})
	t.Run("a borrower that a stop would lose is throttled and goes on afterwards", func(t *testing.T) {
		s := requireSystem(t, "owner", "borrower")
		id := s.requireBorrower("throttleable")
		own := s.submit("owner", 2, "idempotent")
		s.assertStartsWithin(own, urgentStart)
		s.assertSpeed(id, job.Throttled, 2)
		requireSent(t, s.System, http.MethodDelete, "/v1/jobs/"+own, "")
		s.assertSpeed(id, job.Resumed, 6)
	})
	t.Run("two owners reclaim at once", func(t *testing.T) {
		s := requireSystem(t, "owner", "second", "borrower")
		s.requireBorrower("idempotent")
		first, second := s.submit("owner", 2, "idempotent"), s.submit("second", 2, "idempotent")
		s.assertStartsWithin(first, urgentStart)
		s.assertStartsWithin(second, urgentStart)
	})
	t.Run("a borrower on a worker that does not answer is over with its lease", func(t *testing.T) {
		s := requireSystem(t, "owner", "borrower")
		s.requireBorrower("idempotent")
		s.standins[3].SetBehaviour(standin.NewBehaviour(standin.Freeze, 0))
		own := s.submit("owner", 2, "idempotent")
		s.assertStartsWithin(own, leaseStart)
	})
}

// running is a system under test with one control host and six workers of eight accelerators, two to a rack.
type running struct {
	*System
	t *testing.T
}

func requireSystem(t *testing.T, workspaces ...string) running {
	t.Helper()
	made, err := New(time.Now(), WithFolder(t.TempDir()), WithHosts(1, 0, 6), WithPlaces(2, 3), WithTaskLease(testLease))
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- made.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NoError(t, <-done)
	})
	s := running{System: made, t: t}
	s.until(startUp, "all workers announce themselves", func(b *control.Board) (bool, <-chan struct{}) {
		r, changed := b.Roster().Watch()
		return len(r.Snapshot().Ready()) == 6, changed
	})
	requireDeclared(t, made, workspaces...)
	return s
}

// requireBorrower returns a running job of the last workspace that holds every accelerator.
func (s running) requireBorrower(traits ...string) (id string) {
	s.t.Helper()
	id = s.submit("borrower", 6, traits...)
	s.await(id, startUp, func(j job.Job) bool { return j.State() == job.Started })
	return id
}

func (s running) submit(workspace string, members int, traits ...string) (id string) {
	s.t.Helper()
	return requireSubmitted(s.t, s.System, workspace, members, traits...)
}

// assertSpeed waits until the borrower has the speed while the given number of workers hold accelerators for tasks,
// and checks that its first run goes on.
func (s running) assertSpeed(id string, want job.Speed, workers int) {
	s.t.Helper()
	j := s.await(id, startUp, func(j job.Job) bool { return j.Speed() == want })
	assert.Equal(s.t, job.Started, j.State(), j.Reason())
	assert.Equal(s.t, 1, j.Attempts())
	assert.Eventually(s.t, func() bool { return s.held() == 8*workers }, startUp, 10*time.Millisecond)
}

func (s running) held() (n int) {
	for _, w := range s.standins {
		n += w.HeldAccelerators()
	}
	return n
}

func (s running) checkpoints() (n int) {
	for _, w := range s.standins {
		n += w.Checkpoints()
	}
	return n
}

// assertStartsWithin measures from now until all members of the job run.
func (s running) assertStartsWithin(id string, bound time.Duration) {
	s.t.Helper()
	began := time.Now()
	j := s.await(id, bound, func(j job.Job) bool { return j.State() == job.Started })
	for _, m := range j.Members() {
		s.until(bound, "member runs on "+m.Worker(), func(b *control.Board) (bool, <-chan struct{}) {
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
	took := time.Since(began)
	s.t.Logf("%s runs after %s, bound %s", id, took.Round(time.Millisecond), bound)
	assert.LessOrEqual(s.t, took, bound)
}

// await returns the job once it satisfies the condition.
func (s running) await(id string, bound time.Duration, ok func(job.Job) bool) (j job.Job) {
	s.t.Helper()
	s.until(bound, "job "+id, func(b *control.Board) (bool, <-chan struct{}) {
		state, changed := b.State().Watch()
		found := false
		if j, found = state.Jobs().Get(id); !found {
			return false, changed
		}
		return ok(j), changed
	})
	return j
}

// until waits for a condition on the board of the control host.
func (s running) until(bound time.Duration, what string, look func(*control.Board) (bool, <-chan struct{})) {
	s.t.Helper()
	limit := time.NewTimer(bound)
	defer limit.Stop()
	for {
		ok, changed := look(s.controls[0].Board())
		if ok {
			return
		}
		select {
		case <-changed:
		case <-limit.C:
			for id, j := range s.controls[0].Board().State().Load().Jobs().All() {
				s.t.Logf("%s is %s: %s", id, j.State(), j.Reason())
			}
			require.Fail(s.t, "not in time: "+what)
		}
	}
}
