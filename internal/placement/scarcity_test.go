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
