package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/run"
)

// longWaits returns the reasons of the decisions of a step that explain long waits.
func longWaits(a Actions) (reasons []string) {
	for _, d := range a.Decisions() {
		if d.Kind() == LongWait {
			reasons = append(reasons, d.Reason())
		}
	}
	return reasons
}

// assertWorkers checks the number of workers with each of the given uses.
func assertWorkers(t *testing.T, a Actions, want map[WorkerUse]int) {
	t.Helper()
	w, counted := a.Waiting()
	require.True(t, counted)
	assert.Equal(t, 1, w.Tasks())
	assert.Equal(t, want, w.Workers())
}

// Guards against a waiting task of which neither logs nor metrics tell why no worker runs it.
func TestLongWaits(t *testing.T) {
	// Each of the hosts is kept from new runs for a reason of its own.
	newUnused := func(t *testing.T) *crashFixture {
		f := newCrashFixture(t, "cut", "failing", "silent", "stopping")
		f.now = f.now.Add(silenceTimeout)
		for _, agent := range []string{"cut", "failing", "stopping"} {
			f.report(agent)
		}
		// A worker in quarantine that has room may get the task after a wait.
		f.core.Report(f.now, run.NewReport("failing").WithAnnouncement(run.NewAnnouncement(f.workers["failing"], "s", "z",
			f.now.UnixMilli()+1).WithClock(silenceTimeout)))
		f.core.Disconnect("cut", f.term)
		for range 3 {
			f.core.host("failing").health.recordFailure(f.now)
		}
		f.core.Report(f.now, run.NewReport("stopping").WithTerminating())
		return f
	}
	t.Run("counts of workers by reason", func(t *testing.T) {
		f := newUnused(t)
		a := f.core.Step(f.now, f.state)
		assertWorkers(t, a, map[WorkerUse]int{Disconnected: 1, Quarantined: 1, Silent: 1, Leaving: 1})
		reasons := longWaits(a)
		require.Len(t, reasons, 1)
		assert.Contains(t, reasons[0], "1 agent not connected, 1 draining or leaving, 1 in quarantine, 1 silent")
	})
	t.Run("no room", func(t *testing.T) {
		f := newCrashFixture(t, "small")
		f.now = f.now.Add(longWait)
		a := run.NewAnnouncement(f.workers["small"], "s", "z", f.now.UnixMilli()).WithCapacity(batch.Resources{}).WithClock(longWait)
		f.core.Report(f.now, run.NewReport("small").WithAnnouncement(a))
		reasons := longWaits(f.core.Step(f.now, f.state))
		require.Len(t, reasons, 1)
		assert.Contains(t, reasons[0], "workers: 1 too small")
	})
	t.Run("repeated at intervals only", func(t *testing.T) {
		f := newUnused(t)
		lines := 0
		for end := f.now.Add(2 * longWaitInterval); f.now.Before(end); f.now = f.now.Add(tickTime) {
			lines += len(longWaits(f.core.Step(f.now, f.state)))
		}
		assert.Equal(t, 2, lines)
	})
	t.Run("no worker known", func(t *testing.T) {
		f := newCrashFixture(t)
		f.now = f.now.Add(longWait)
		reasons := longWaits(f.core.Step(f.now, f.state))
		require.Len(t, reasons, 1)
		assert.Contains(t, reasons[0], "workers: none known")
	})
	t.Run("not by a leader that agents may still connect to", func(t *testing.T) {
		f := newUnused(t)
		f.elect()
		assert.Empty(t, longWaits(f.core.Step(f.now, f.state)))
	})
	t.Run("not for a short wait", func(t *testing.T) {
		f := newCrashFixture(t)
		f.now = f.now.Add(longWait - time.Millisecond)
		assert.Empty(t, longWaits(f.core.Step(f.now, f.state)))
	})
	t.Run("zero once nothing waits", func(t *testing.T) {
		f := newUnused(t)
		f.apply(batch.NewCancel("j", f.now))
		w, counted := f.core.Step(f.now, f.state).Waiting()
		assert.True(t, counted)
		assert.Zero(t, w.Tasks())
	})
}
