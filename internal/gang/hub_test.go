package gang_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"rosemarywind.example/rosemarywind/internal/gang"
	"rosemarywind.example/rosemarywind/internal/lease"
	"rosemarywind.example/rosemarywind/internal/task"
)

// TestHub guards against a member that runs on after another one was lost, and against stopping a gang that is whole.
func TestHub(t *testing.T) {
	t.Run("members that ping each second are whole", func(t *testing.T) {
		h := gang.NewHub()
		for i := range 60 {
			assertVerdict(t, h, 0, task.Running, at(i), task.Whole)
			assertVerdict(t, h, 1, task.Running, at(i), task.Whole)
		}
	})
	t.Run("a member that sends no ping for 3 s breaks the gang", func(t *testing.T) {
		h := gang.NewHub()
		for i := range 20 {
			assertVerdict(t, h, 0, task.Running, at(i), task.Whole)
			assertVerdict(t, h, 1, task.Running, at(i), task.Whole)
		}
		assertVerdict(t, h, 0, task.Running, at(21), task.Whole)
		assertVerdict(t, h, 0, task.Running, at(22), task.Broken)
	})
	t.Run("a member that never starts breaks the gang after the grace period", func(t *testing.T) {
		h := gang.NewHub()
		assertVerdict(t, h, 1, task.Running, at(0), task.Whole)
		assertVerdict(t, h, 1, task.Running, at(9), task.Whole)
		assertVerdict(t, h, 1, task.Running, at(10), task.Broken)
	})
	t.Run("a failed member breaks the gang at once", func(t *testing.T) {
		h := gang.NewHub()
		assertVerdict(t, h, 0, task.Running, at(0), task.Whole)
		assertVerdict(t, h, 1, task.Failed, at(1), task.Broken)
		assertVerdict(t, h, 0, task.Running, at(1), task.Broken)
	})
	t.Run("a member that succeeded may stop sending pings", func(t *testing.T) {
		h := gang.NewHub()
		assertVerdict(t, h, 0, task.Succeeded, at(0), task.Whole)
		assertVerdict(t, h, 1, task.Running, at(60), task.Whole)
		assertVerdict(t, h, 1, task.Succeeded, at(61), task.AllSucceeded)
	})
	t.Run("another fencing token is another gang", func(t *testing.T) {
		h := gang.NewHub()
		assertVerdict(t, h, 0, task.Failed, at(0), task.Broken)
		r := task.NewReport(task.NewID("j", 0), 8, task.Running)
		assert.Equal(t, task.Whole, h.RecordPing(task.NewPing(r, 2), at(1)))
	})
}

// TestWatchdog guards against a member that runs on without its hub or after its gang was broken.
func TestWatchdog(t *testing.T) {
	t.Run("a hub that does not answer for 3 s stops the member", func(t *testing.T) {
		w := gang.NewWatchdog(at(0)).WithVerdict(task.Whole, at(5))
		assert.False(t, w.MustStop(at(7)))
		assert.True(t, w.MustStop(at(8)))
	})
	t.Run("a member of a broken gang must stop even if a later verdict is whole", func(t *testing.T) {
		w := gang.NewWatchdog(at(0)).WithVerdict(task.Broken, at(1)).WithVerdict(task.Whole, at(2))
		assert.True(t, w.MustStop(at(2)))
	})
}

func at(seconds int) time.Time { return startTime.Add(time.Duration(seconds) * time.Second) }

func assertVerdict(t *testing.T, h *gang.Hub, index int, s task.State, now time.Time, want task.Verdict) {
	t.Helper()
	r := task.NewReport(task.NewID("j", index), lease.FencingToken(7), s)
	assert.Equal(t, want, h.RecordPing(task.NewPing(r, 2), now))
}
