package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"rosemarywind.example/rosemarywind/internal/batch"
)

// Guards against a burst of urgent gangs on a full service that keeps stopping runs: capacity that was freed for one gang
// went to patient tasks, which were stopped again for the next gang within milliseconds.
func TestFreedCapacityIsKept(t *testing.T) {
	for name, gangs := range map[string][]batch.Step{
		"one gang on half of each worker": {gang(4, 4, time.Second, batch.WithGang(true, false))},
		"two gangs on one worker":         {gang(2, 2, time.Second), gang(2, 2, time.Second)},
		"gangs of several widths":         {gang(1, 8, time.Second), gang(2, 2, time.Second), gang(2, 2, time.Second)},
		"more gangs than reservations": {
			gang(1, 2, time.Second), gang(1, 2, time.Second), gang(1, 2, time.Second), gang(1, 2, time.Second),
			gang(1, 2, time.Second), gang(1, 2, time.Second), gang(1, 2, time.Second), gang(1, 2, time.Second),
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.submit("scan", scans, "b", batch.NewStep(48, gpus(1), 100*time.Millisecond))
			f.submit("more", scans, "b", batch.NewStep(48, gpus(1), 100*time.Millisecond))
			f.decide()
			f.advance(time.Second)
			needed := 0
			for n, s := range gangs {
				f.submit(fmt.Sprintf("urgent-%d", n), urgent, "a", s)
				needed += s.Count() * s.Resources().Accelerators()
			}
			stops := f.decide().Stops()
			assert.Len(t, stops, needed, "one run is stopped for each accelerator")
			for n := 0; n < min(len(stops), 2*needed); n++ {
				f.advance(10 * time.Millisecond)
				f.end(stops[n].Task(), batch.Stopped)
				stops = append(stops, f.decide().Stops()...)
			}
			assert.Len(t, stops, needed, "no run is stopped that started on freed capacity")
			for n, s := range gangs {
				f.assertPlaced(fmt.Sprintf("urgent-%d", n), s.Count())
			}
		})
	}
}

// Guards against a reservation of an urgent gang on one worker for more tasks than may run there, while the other worker
// is given away.
func TestReservationWithinLimitPerWorker(t *testing.T) {
	f := newFixture(t)
	var on []int
	for w := 1; w < 6; w++ {
		on = append(on, w, w, w, w)
	}
	f.startOn("run", urgent, batch.NewStep(20, gpus(2), 20*time.Second), on...)
	f.submit("gang", urgent, "nobody", batch.NewStep(2, gpus(4), time.Second, batch.WithGang(true, false), batch.WithMaxPerWorker(1)))
	f.decide()
	f.assertPlaced("gang", 0)
	f.submit("task", patient, "nobody", batch.NewStep(4, gpus(2), time.Hour))
	f.end(batch.NewTaskID("run", 0, 0, 0), batch.Done)
	f.decide()
	f.end(batch.NewTaskID("run", 0, 0, 1), batch.Done)
	f.decide()
	f.assertPlaced("gang", 2)
}

// Guards against tasks of a job at work that wait beside a reservation while less than half of the service is in use: the
// runs beside them report no progress, and the reserved capacity would still be there at its time.
func TestSmallTasksBesideReservation(t *testing.T) {
	f := newFixture(t)
	f.startOn("run", urgent, batch.NewStep(6, gpus(3), 20*time.Second), 0, 1, 2, 3, 4, 5)
	f.startOn("small", patient, batch.NewStep(6, gpus(1), 10*time.Second), 0)
	f.submit("gang", urgent, "nobody", batch.NewStep(6, gpus(6), 20*time.Second, batch.WithGang(true, false)))
	for range 8 {
		f.decide()
		f.advance(500 * time.Millisecond)
	}
	f.assertPlaced("gang", 0)
	f.assertPlaced("small", 6)
}
