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

// Guards against guaranteed work that waits for runs whose declared times were far too short, so that they always
// seem about to end.
func TestGuaranteeDespiteShortEstimates(t *testing.T) {
	w := newWorld(t)
	w.submit("scan", scans, "b", batch.NewStep(48, gpus(1), 100*time.Millisecond))
	w.decide()
	w.assertPlaced("scan", 48)
	w.pass(5 * time.Second)
	w.submit("urgent", urgent, "a", gang(2, 6, time.Second))
	stops := 0
	for range 4 {
		stops += len(w.decide().Stops())
		w.pass(250 * time.Millisecond)
	}
	assert.GreaterOrEqual(t, stops, 12)
}

// Guards against a gang that is split over racks although one rack can hold it.
func TestTightGang(t *testing.T) {
	t.Run("in one rack", func(t *testing.T) {
		w := newWorld(t)
		w.submit("small", scans, "a", batch.NewStep(2, gpus(4), time.Second))
		w.decide()
		w.submit("gang", patient, "a", gang(2, 8, time.Second))
		w.decide()
		racks := w.racks("gang")
		assert.Len(t, racks, 2)
		assert.Equal(t, racks[0], racks[1])
	})
	t.Run("over racks when none can hold it", func(t *testing.T) {
		w := newWorld(t)
		w.submit("gang", patient, "a", gang(3, 8, time.Second))
		w.decide()
		w.assertPlaced("gang", 3)
	})
}

// Guards against small work that keeps every rack too full for a gang that came before it.
func TestReservationAgainstSmallWork(t *testing.T) {
	w := newWorld(t)
	w.submit("first", scans, "a", batch.NewStep(6, gpus(5), 2*time.Second))
	w.decide()
	w.assertPlaced("first", 6)
	w.submit("gang", patient, "a", gang(2, 8, time.Second))
	w.decide()
	w.assertPlaced("gang", 0)
	w.submit("long", scans, "a", batch.NewStep(18, gpus(1), time.Minute))
	w.decide()
	assert.Less(t, len(w.racks("long")), 18, "one rack is kept for the gang")
	w.pass(2 * time.Second)
	for i := range 6 {
		w.end(batch.NewTaskID("first", 0, 0, i), batch.Done)
	}
	w.decide()
	w.assertPlaced("gang", 2)
}

// Guards against urgent work beyond any guarantee that throws away far more work of others than it has itself.
func TestPreemptionWithoutGuarantee(t *testing.T) {
	for name, c := range map[string]struct {
		checkpoints bool
		ran         time.Duration
		stops       bool
	}{
		"of runs that resume":          {checkpoints: true, ran: 30 * time.Second, stops: true},
		"of runs that have worked":     {checkpoints: false, ran: 30 * time.Second, stops: false},
		"of runs that have just begun": {checkpoints: false, ran: time.Second, stops: true},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			w.submit("victims", patient, "a", batch.NewStep(6, gpus(8), time.Minute, batch.WithCheckpoints(c.checkpoints)))
			w.decide()
			w.pass(c.ran)
			w.submit("urgent", urgent, "nobody", gang(1, 4, time.Second))
			assert.Equal(t, c.stops, len(w.decide().Stops()) > 0)
		})
	}
}

// Guards against tasks that run away from their data, without their label, or too many to a worker.
func TestConstraints(t *testing.T) {
	t.Run("rack of the data", func(t *testing.T) {
		w := newWorld(t)
		w.submit("near", scans, "a", batch.NewStep(20, gpus(1), time.Second, batch.WithRack("r1")))
		w.decide()
		assert.Len(t, w.racks("near"), 16)
		assert.NotContains(t, w.racks("near"), "r0")
		assert.NotContains(t, w.racks("near"), "r2")
	})
	t.Run("label", func(t *testing.T) {
		w := newWorld(t)
		w.submit("labelled", scans, "a", batch.NewStep(20, gpus(1), time.Second, batch.WithLabel("r2")))
		w.decide()
		assert.Len(t, w.racks("labelled"), 16)
		assert.NotContains(t, w.racks("labelled"), "r0")
	})
	t.Run("most on a worker", func(t *testing.T) {
		w := newWorld(t)
		w.submit("spread", scans, "a", batch.NewStep(20, gpus(1), time.Second, batch.WithMaxPerWorker(2)))
		w.decide()
		w.assertPlaced("spread", 12)
		w.decide()
		w.assertPlaced("spread", 12)
	})
	t.Run("steps in order", func(t *testing.T) {
		w := newWorld(t)
		w.submit("two", scans, "a", batch.NewStep(1, gpus(1), time.Second), batch.NewStep(2, gpus(1), time.Second, batch.WithAfter(0)))
		w.decide()
		w.assertPlaced("two", 1)
		w.end(batch.NewTaskID("two", 0, 0, 0), batch.Done)
		w.decide()
		w.assertPlaced("two", 2)
	})
}

// Guards against work that begins on workers which are being emptied for guaranteed work, because another rack seems to
// become free sooner.
func TestEmptiedWorkersAreKept(t *testing.T) {
	w := newWorld(t)
	w.submit("scan", scans, "b", batch.NewStep(48, gpus(1), 100*time.Millisecond))
	w.submit("more", scans, "b", batch.NewStep(48, gpus(1), 100*time.Millisecond))
	w.decide()
	w.pass(time.Second)
	w.submit("urgent", urgent, "a", gang(2, 8, time.Second))
	stops := w.decide().Stops()
	require.Len(t, stops, 16)
	for _, id := range stops {
		w.pass(20 * time.Millisecond)
		w.end(id.Task(), batch.Stopped)
		w.decide()
	}
	w.assertPlaced("urgent", 2)
}

// Guards against a fleet that stands mostly idle while a job waits, because every rack is booked for gangs that need a
// whole one, or kept free for urgent work.
func TestBookingsOfAnIdleFleet(t *testing.T) {
	occupied := func(t *testing.T) *world {
		w := newWorld(t)
		// One task of four accelerators in each rack, for long.
		for rack := range 3 {
			w.submit(fmt.Sprintf("busy-%d", rack), scans, "a",
				batch.NewStep(1, gpus(4), time.Hour, batch.WithLabel(fmt.Sprintf("r%d", rack))))
		}
		w.decide()
		return w
	}
	t.Run("booked for gangs", func(t *testing.T) {
		w := occupied(t)
		for n := range 3 {
			w.submit(fmt.Sprintf("gang-%d", n), patient, "a", gang(2, 8, time.Second))
		}
		w.submit("waits", scans, "b", batch.NewStep(1, gpus(8), 2*time.Hour))
		w.decide()
		w.pass(1500 * time.Millisecond)
		w.decide()
		w.assertPlaced("waits", 1)
	})
	t.Run("booked for urgent gangs", func(t *testing.T) {
		w := occupied(t)
		for n := range 3 {
			w.submit(fmt.Sprintf("gang-%d", n), urgent, "c", gang(2, 8, time.Second))
		}
		w.submit("waits", scans, "b", batch.NewStep(1, gpus(8), 2*time.Hour))
		w.pass(1500 * time.Millisecond)
		w.state, _ = w.state.Apply(batch.NewCancel("gang-0", w.now))
		w.decide()
		w.assertPlaced("waits", 1)
	})
	t.Run("the rack of the data is full", func(t *testing.T) {
		w := newWorld(t)
		w.submit("busy", scans, "a", batch.NewStep(2, gpus(8), time.Hour, batch.WithLabel("r0")))
		w.decide()
		w.submit("waits", scans, "b", batch.NewStep(1, gpus(8), time.Minute, batch.WithRack("r0")))
		w.pass(500 * time.Millisecond)
		w.decide()
		w.assertPlaced("waits", 0)
		w.pass(2 * time.Second)
		w.decide()
		w.assertPlaced("waits", 1)
	})
	t.Run("no rack has room for all of a gang", func(t *testing.T) {
		w := occupied(t)
		w.submit("waits", patient, "b", gang(2, 8, time.Minute))
		w.pass(500 * time.Millisecond)
		w.decide()
		w.assertPlaced("waits", 0)
		w.pass(2 * time.Second)
		w.decide()
		w.assertPlaced("waits", 2)
	})
	t.Run("busy fleets keep their bookings", func(t *testing.T) {
		w := newWorld(t)
		w.submit("first", scans, "a", batch.NewStep(6, gpus(5), 2*time.Second))
		w.decide()
		w.submit("gang", patient, "a", gang(2, 8, time.Second))
		w.submit("long", scans, "a", batch.NewStep(18, gpus(1), time.Minute))
		w.pass(1500 * time.Millisecond)
		w.decide()
		assert.Less(t, len(w.racks("long")), 18)
	})
}

// Guards against jobs that wait without a word on why.
func TestReasons(t *testing.T) {
	assertReason := func(t *testing.T, w *world, want placement.Reason) {
		t.Helper()
		waits := w.decide().Waits()
		require.Len(t, waits, 1)
		assert.Equal(t, want, waits[0].Reason())
		assert.Positive(t, waits[0].Tasks())
	}
	full := func(t *testing.T) *world {
		w := newWorld(t)
		w.submit("full", scans, "b", batch.NewStep(6, gpus(8), time.Minute))
		assert.Empty(t, w.decide().Waits())
		return w
	}
	t.Run("full", func(t *testing.T) {
		w := full(t)
		w.submit("j", patient, "a", batch.NewStep(1, gpus(1), time.Second))
		assertReason(t, w, placement.NoRoom)
	})
	t.Run("others are stopped", func(t *testing.T) {
		w := full(t)
		w.submit("j", urgent, "a", batch.NewStep(1, gpus(8), time.Second))
		assertReason(t, w, placement.RoomComes)
	})
	t.Run("nobody has so much", func(t *testing.T) {
		w := newWorld(t)
		w.submit("j", patient, "a", batch.NewStep(1, gpus(9), time.Second))
		assertReason(t, w, placement.NoSuchWorker)
	})
	t.Run("no advice yet", func(t *testing.T) {
		w := newWorld(t)
		w.submit("j", advised, "a", batch.NewStep(1, gpus(1), time.Second))
		assertReason(t, w, placement.NotApproved)
	})
}
