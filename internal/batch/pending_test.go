package batch_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"rosemarywind.example/rosemarywind/internal/batch"
)

// Guards against a count of pending jobs that differs from the jobs: callers plan by it, and it is kept along with the
// jobs so that a read does not look at all of them.
func TestPendingJobs(t *testing.T) {
	s := newState(t, step(1))
	for n := range 3 {
		s, _ = s.Apply(batch.NewSubmit("more"+strconv.Itoa(n), "q", "", nil, epoch))
	}
	assertPending(t, s, 4)
	t.Run("a repeated submission", func(t *testing.T) {
		again, _ := s.Apply(batch.NewSubmit("j", "q", "", nil, epoch))
		assertPending(t, again, 4)
	})
	t.Run("a placed run, and its end without success", func(t *testing.T) {
		placed, ok := placeRuns(s, 0, 1, 0)
		assert.True(t, ok)
		assertPending(t, placed, 3)
		assertPending(t, endRun(placed, 0, 0, 1, batch.Lost, ""), 3)
	})
	t.Run("a cancelled job, also once it is forgotten", func(t *testing.T) {
		cancelled, _ := s.Apply(batch.NewCancel("j", epoch))
		assertPending(t, cancelled, 3)
		cancelled, _ = cancelled.Apply(batch.NewCancel("j", epoch))
		assertPending(t, cancelled, 3)
		forgotten, _ := cancelled.Apply(batch.NewPruneJobs(epoch.Add(time.Second)))
		assertPending(t, forgotten, 3)
	})
	t.Run("another queue", func(t *testing.T) {
		assert.Zero(t, s.Pending("other"))
	})
}

// assertPending checks the count of the queue against the jobs themselves.
func assertPending(t *testing.T, s batch.State, want int) {
	t.Helper()
	counted := 0
	for _, j := range s.Jobs().All() {
		if j.Queue().Name() == "q" && j.Active() && !j.Started() {
			counted++
		}
	}
	assert.Equal(t, want, s.Pending("q"))
	assert.Equal(t, counted, s.Pending("q"))
}
