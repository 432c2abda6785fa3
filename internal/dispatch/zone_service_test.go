package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/dispatch"
	"rosemarywind.example/rosemarywind/internal/placement"
	"rosemarywind.example/rosemarywind/internal/run"
)

// Guards against a service that loses more tasks at once by an evacuation than it tolerates, or tasks that have no place
// to move to.
func TestServicesAndEvacuatedZones(t *testing.T) {
	small, whole := batch.NewResources(100, 100, 1), batch.NewResources(8000, 8000, 0)
	serving := func(t *testing.T, needs batch.Resources, tolerated int, agents ...string) *zoneFixture {
		step := batch.NewStep(len(agents), needs, 0, batch.WithLongRunning(true, tolerated))
		f := newZoneFixture(t, "q", step)
		f.place(agents...)
		f.begin(zoneAgents...)
		f.step()
		f.evacuate("a")
		return f
	}
	t.Run("as many at once as it tolerates", func(t *testing.T) {
		f := serving(t, small, 2, "a1", "a1", "a2", "b1")
		stops := 0
		for range 20 {
			for _, o := range f.step().Orders() {
				if s, ok := o.Order().(run.Stop); ok && s.ID().Run() == zoneRun {
					stops++
				}
			}
			if stops > 0 {
				break
			}
		}
		assert.Equal(t, 2, stops)
	})
	t.Run("a task that ends meanwhile counts", func(t *testing.T) {
		f := serving(t, small, 2, "a1", "b1", "a2")
		end := batch.NewEnd(batch.NewTaskID("j", 0, 0, 1), zoneRun, batch.Failed, "")
		f.running["b1"], f.ended["b1"] = nil, []run.Finished{run.NewFinished(1, end)}
		assert.Equal(t, []string{"a1"}, f.stopped(2), "the first step records the end and makes no other decision")
	})
	t.Run("a task whose agent is out of contact counts", func(t *testing.T) {
		f := newZoneFixture(t, "q", batch.NewStep(2, small, 0, batch.WithLongRunning(true, 1)))
		f.place("a1", "b1")
		f.begin(zoneAgents...)
		f.step()
		f.core.Disconnect("b1", f.term)
		f.evacuate("a")
		assert.Empty(t, f.stopped(10))
		f.core.Connect("b1", f.term)
		assert.Equal(t, []string{"a1"}, f.stopped(10))
	})
	t.Run("only where there is room", func(t *testing.T) {
		f := serving(t, whole, 2, "a1", "a2", "b1")
		assert.Len(t, f.stopped(1), 1, "one worker is free")
	})
	t.Run("no room", func(t *testing.T) {
		f := serving(t, whole, 2, zoneAgents...)
		assert.Empty(t, f.stopped(50))
	})
	t.Run("both zones", func(t *testing.T) {
		f := serving(t, small, 2, "a1", "b1")
		f.evacuate("b")
		assert.Empty(t, f.stopped(50))
	})
	t.Run("one that has not begun is stopped at once", func(t *testing.T) {
		step := batch.NewStep(2, batch.NewResources(100, 100, zoneCapacity), 0, batch.WithLongRunning(true, 1))
		f := newZoneFixture(t, "q", step)
		f.place("a1", "a2")
		f.ordered(1)
		f.evacuate("a")
		assert.Equal(t, []string{"a1", "a2"}, f.stopped(1))
	})
	t.Run("as many on a worker as its step may run there", func(t *testing.T) {
		step := batch.NewStep(3, batch.NewResources(100, 100, 0), 0, batch.WithLongRunning(true, 1), batch.WithMaxPerWorker(1))
		f := newZoneFixture(t, "q", step)
		f.place("a1", "b1", "b2")
		f.begin(zoneAgents...)
		f.step()
		f.evacuate("a")
		assert.Empty(t, f.stopped(20))
	})
	t.Run("guarantees forbid the start", func(t *testing.T) {
		f := newZoneFixture(t, "q", batch.NewStep(1, batch.NewResources(100, 100, 4), 0, batch.WithLongRunning(true, 1)))
		f.place("a1")
		f.begin("a1")
		f.submit("busy", "q", zoneStep(1))
		g := batch.NewGroup(batch.NewTaskID("busy", 0, 0, 0), batch.NewMember(0, 1, zoneWorker("b1")))
		f.apply(batch.NewPlaceRuns(f.now, g))
		f.core.RunsCommitted(g)
		f.running["b1"] = append(f.running["b1"], run.NewRunning(run.NewID(batch.NewTaskID("busy", 0, 0, 0), 1), "", 0, 0))
		f.step()
		f.evacuate("a")
		assert.Empty(t, f.stopped(50))
		assert.Equal(t, []string{"a1"}, f.placed())
	})
	t.Run("only with advice", func(t *testing.T) {
		f := newZoneFixture(t, "advised", batch.NewStep(1, batch.NewResources(100, 100, 1), 0, batch.WithLongRunning(true, 1)))
		f.place("a1")
		f.begin("a1")
		f.step()
		f.evacuate("a")
		f.core.AdviceFailed(f.now) // The inquiry made before the task was placed.
		var i placement.Inquiry
		for range 10 {
			if asked, ok := f.step().Inquiry(); ok {
				i = asked
			}
		}
		require.NotEmpty(t, i.Workers())
		assert.Empty(t, f.stopped(10))
		f.core.AdviceReceived(f.now, i, []dispatch.Approval{dispatch.NewApproval(i.Workers()[0].ID(), "ticket")}, time.Minute)
		assert.Equal(t, []string{"a1"}, f.stopped(1))
		f.answerStop("a1")
		assert.Equal(t, "b", f.ordered(5))
	})
	t.Run("room of a task that is leaving", func(t *testing.T) {
		f := serving(t, whole, 1, "a1", "b1")
		f.submit("k", "q", batch.NewStep(1, whole, 0, batch.WithLongRunning(true, 1)))
		f.apply(batch.NewPlaceRuns(f.now, batch.NewGroup(batch.NewTaskID("k", 0, 0, 0), batch.NewMember(0, 1, zoneWorker("a2")))))
		f.running["a2"] = append(f.running["a2"], run.NewRunning(run.NewID(batch.NewTaskID("k", 0, 0, 0), 1), "", 100, 0))
		stops := map[run.ID]bool{}
		for range 20 {
			for _, o := range f.step().Orders() {
				if s, ok := o.Order().(run.Stop); ok {
					stops[s.ID()] = true
				}
			}
		}
		assert.Len(t, stops, 1, "one worker is free")
	})
}
