package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/placement"
)

// Guards against a guaranteed gang that waits instead of preempting. The runs in its way have declared durations that
// are far too short, so that they always seem about to end.
func TestGuaranteeDespiteShortEstimates(t *testing.T) {
	f := newFixture(t)
	f.submit("scan", scans, "b", batch.NewStep(48, gpus(1), 100*time.Millisecond))
	f.decide()
	f.assertPlaced("scan", 48)
	f.advance(5 * time.Second)
	f.submit("urgent", urgent, "a", gang(2, 6, time.Second))
	stops := 0
	for range 4 {
		stops += len(f.decide().Stops())
		f.advance(250 * time.Millisecond)
	}
	assert.GreaterOrEqual(t, stops, 12)
}

// Guards against a tightly coupled gang that is split over racks although one rack can hold it.
func TestTightlyCoupledGang(t *testing.T) {
	t.Run("one rack can hold it", func(t *testing.T) {
		f := newFixture(t)
		f.submit("small", scans, "a", batch.NewStep(2, gpus(4), time.Second))
		f.decide()
		f.submit("gang", patient, "a", gang(2, 8, time.Second))
		f.decide()
		racks := f.racks("gang")
		assert.Len(t, racks, 2)
		assert.Equal(t, racks[0], racks[1])
	})
	t.Run("no rack can hold it", func(t *testing.T) {
		f := newFixture(t)
		f.submit("gang", patient, "a", gang(3, 8, time.Second))
		f.decide()
		f.assertPlaced("gang", 3)
	})
}

// Guards against small tasks that start in capacity that an earlier gang needs, so that no rack ever becomes free for
// it.
func TestReservationAgainstSmallWork(t *testing.T) {
	f := newFixture(t)
	f.submit("first", scans, "a", batch.NewStep(6, gpus(5), 2*time.Second))
	f.decide()
	f.assertPlaced("first", 6)
	f.submit("gang", patient, "a", gang(2, 8, time.Second))
	f.decide()
	f.assertPlaced("gang", 0)
	f.submit("long", scans, "a", batch.NewStep(18, gpus(1), time.Minute))
	f.decide()
	assert.Less(t, len(f.racks("long")), 18, "one rack is reserved for the gang")
	f.advance(2 * time.Second)
	for i := range 6 {
		f.end(batch.NewTaskID("first", 0, 0, i), batch.Done)
	}
	f.decide()
	f.assertPlaced("gang", 2)
}

// Guards against an urgent job outside any guarantee that makes other jobs lose far more work than it has itself.
func TestPreemptionWithoutGuarantee(t *testing.T) {
	for name, c := range map[string]struct {
		checkpoints bool
		ran         time.Duration
		stops       bool
	}{
		"runs with checkpoints":                {checkpoints: true, ran: 30 * time.Second, stops: true},
		"long runs without checkpoints":        {checkpoints: false, ran: 30 * time.Second, stops: false},
		"runs without checkpoints, just begun": {checkpoints: false, ran: time.Second, stops: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.submit("busy", patient, "a", batch.NewStep(6, gpus(8), time.Minute, batch.WithCheckpoints(c.checkpoints)))
			f.decide()
			f.advance(c.ran)
			f.submit("urgent", urgent, "nobody", gang(1, 4, time.Second))
			assert.Equal(t, c.stops, len(f.decide().Stops()) > 0)
		})
	}
}

// Guards against tasks that start outside the rack of their data, on a worker without the required label, beyond the
// limit per worker, or before the steps that they depend on.
func TestConstraints(t *testing.T) {
	t.Run("rack of the data", func(t *testing.T) {
		f := newFixture(t)
		f.submit("near", scans, "a", batch.NewStep(20, gpus(1), time.Second, batch.WithRack("r1")))
		f.decide()
		assert.Len(t, f.racks("near"), 16)
		assert.NotContains(t, f.racks("near"), "r0")
		assert.NotContains(t, f.racks("near"), "r2")
	})
	t.Run("label", func(t *testing.T) {
		f := newFixture(t)
		f.submit("labelled", scans, "a", batch.NewStep(20, gpus(1), time.Second, batch.WithLabel("r2")))
		f.decide()
		assert.Len(t, f.racks("labelled"), 16)
		assert.NotContains(t, f.racks("labelled"), "r0")
	})
	t.Run("limit per worker", func(t *testing.T) {
		f := newFixture(t)
		f.submit("spread", scans, "a", batch.NewStep(20, gpus(1), time.Second, batch.WithMaxPerWorker(2)))
		f.decide()
		f.assertPlaced("spread", 12)
		f.decide()
		f.assertPlaced("spread", 12)
	})
	t.Run("steps in order", func(t *testing.T) {
		f := newFixture(t)
		f.submit("two", scans, "a",
			batch.NewStep(1, gpus(1), time.Second), batch.NewStep(2, gpus(1), time.Second, batch.WithAfter(0)))
		f.decide()
		f.assertPlaced("two", 1)
		f.end(batch.NewTaskID("two", 0, 0, 0), batch.Done)
		f.decide()
		f.assertPlaced("two", 2)
	})
}

// Guards against tasks that start on workers whose runs are being preempted for a guaranteed gang. That happened when
// the gang's reservation moved to another rack that seemed to become free sooner.
func TestPreemptedWorkersAreKept(t *testing.T) {
	f := newFixture(t)
	f.submit("scan", scans, "b", batch.NewStep(48, gpus(1), 100*time.Millisecond))
	f.submit("more", scans, "b", batch.NewStep(48, gpus(1), 100*time.Millisecond))
	f.decide()
	f.advance(time.Second)
	f.submit("urgent", urgent, "a", gang(2, 8, time.Second))
	stops := f.decide().Stops()
	require.Len(t, stops, 16)
	for _, id := range stops {
		f.advance(20 * time.Millisecond)
		f.end(id.Task(), batch.Stopped)
		f.decide()
	}
	f.assertPlaced("urgent", 2)
}

// Guards against a job that waits on a mostly idle service because every rack is reserved for gangs that need a whole
// one, or kept free for urgent jobs, or because its preferred rack is full.
func TestReservationsOnIdleService(t *testing.T) {
	occupied := func(t *testing.T) *fixture {
		f := newFixture(t)
		// A task of an hour with four accelerators in each rack, so that no rack is free for a gang.
		for rack := range 3 {
			f.submit(fmt.Sprintf("busy-%d", rack), scans, "a",
				batch.NewStep(1, gpus(4), time.Hour, batch.WithLabel(fmt.Sprintf("r%d", rack))))
		}
		f.decide()
		return f
	}
	t.Run("racks reserved for gangs", func(t *testing.T) {
		f := occupied(t)
		for n := range 3 {
			f.submit(fmt.Sprintf("gang-%d", n), patient, "a", gang(2, 8, time.Second))
		}
		f.submit("waits", scans, "b", batch.NewStep(1, gpus(8), 2*time.Hour))
		f.decide()
		f.advance(1500 * time.Millisecond)
		f.decide()
		f.assertPlaced("waits", 1)
	})
	t.Run("racks reserved for urgent gangs", func(t *testing.T) {
		f := occupied(t)
		for n := range 3 {
			f.submit(fmt.Sprintf("gang-%d", n), urgent, "c", gang(2, 8, time.Second))
		}
		f.submit("waits", scans, "b", batch.NewStep(1, gpus(8), 2*time.Hour))
		f.advance(1500 * time.Millisecond)
		f.state, _ = f.state.Apply(batch.NewCancel("gang-0", f.now))
		f.decide()
		f.assertPlaced("waits", 1)
	})
	t.Run("rack of the data is full", func(t *testing.T) {
		f := newFixture(t)
		f.submit("busy", scans, "a", batch.NewStep(2, gpus(8), time.Hour, batch.WithLabel("r0")))
		f.decide()
		f.submit("waits", scans, "b", batch.NewStep(1, gpus(8), time.Minute, batch.WithRack("r0")))
		f.advance(500 * time.Millisecond)
		f.decide()
		f.assertPlaced("waits", 0)
		f.advance(2 * time.Second)
		f.decide()
		f.assertPlaced("waits", 1)
	})
	t.Run("no rack holds the whole gang", func(t *testing.T) {
		f := occupied(t)
		f.submit("waits", patient, "b", gang(2, 8, time.Minute))
		f.advance(500 * time.Millisecond)
		f.decide()
		f.assertPlaced("waits", 0)
		f.advance(2 * time.Second)
		f.decide()
		f.assertPlaced("waits", 2)
	})
	t.Run("reservations hold on a busy service", func(t *testing.T) {
		f := newFixture(t)
		f.submit("first", scans, "a", batch.NewStep(6, gpus(5), 2*time.Second))
		f.decide()
		f.submit("gang", patient, "a", gang(2, 8, time.Second))
		f.submit("long", scans, "a", batch.NewStep(18, gpus(1), time.Minute))
		f.advance(1500 * time.Millisecond)
		f.decide()
		assert.Less(t, len(f.racks("long")), 18)
	})
}

// Guards against waiting steps that a plan lists without a reason or with a wrong one.
func TestReasons(t *testing.T) {
	assertReason := func(t *testing.T, f *fixture, want placement.Reason) {
		t.Helper()
		waits := f.decide().Waits()
		require.Len(t, waits, 1)
		assert.Equal(t, want, waits[0].Reason())
		assert.Positive(t, waits[0].Tasks())
	}
	full := func(t *testing.T) *fixture {
		f := newFixture(t)
		f.submit("full", scans, "b", batch.NewStep(6, gpus(8), time.Minute))
		assert.Empty(t, f.decide().Waits())
		return f
	}
	t.Run("service is full", func(t *testing.T) {
		f := full(t)
		f.submit("j", patient, "a", batch.NewStep(1, gpus(1), time.Second))
		assertReason(t, f, placement.NoCapacity)
	})
	t.Run("runs are preempted", func(t *testing.T) {
		f := full(t)
		f.submit("j", urgent, "a", batch.NewStep(1, gpus(8), time.Second))
		assertReason(t, f, placement.CapacityPending)
	})
	t.Run("no worker is large enough", func(t *testing.T) {
		f := newFixture(t)
		f.submit("j", patient, "a", batch.NewStep(1, gpus(9), time.Second))
		assertReason(t, f, placement.NoMatchingWorker)
	})
	t.Run("no verdict yet", func(t *testing.T) {
		f := newFixture(t)
		f.submit("j", advised, "a", batch.NewStep(1, gpus(1), time.Second))
		assertReason(t, f, placement.NotApproved)
	})
}
