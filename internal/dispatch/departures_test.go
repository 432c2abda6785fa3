package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/dispatch"
	"rosemarywind.example/rosemarywind/internal/run"
)

// newServingFleet returns a leader with as many hosts in zone a, each of which serves one task, as free ones in zone b. The
// tasks are of one step, or each of a job of its own.
func newServingFleet(t *testing.T, hosts int, jobs bool) (c *dispatch.Core, s batch.State) {
	t.Helper()
	d, err := batch.NewDeclaration(1, []batch.Queue{
		batch.NewQueue("q", "h", "/q/", "s").WithPolicy(1, attempts).WithObjective(3, time.Second, time.Second),
	}, []batch.Service{batch.NewService("s", false, false)}, []batch.Workspace{batch.NewWorkspace("w", 0, "k")})
	require.NoError(t, err)
	decoder := &stubDecoder{declaration: d, byJob: map[string]batch.Spec{}}
	s, _ = batch.NewState(decoder).Apply(batch.NewDeclare(nil))
	submit := func(id string, tasks int) {
		step := batch.NewStep(tasks, batch.NewResources(100, 100, 1), 0, batch.WithLongRunning(true, tasks))
		spec, err := batch.NewSpec(id, "", step)
		require.NoError(t, err)
		decoder.byJob[id] = spec
		s, _ = s.Apply(batch.NewSubmit(id, "q", "w", nil, epoch))
	}
	if !jobs {
		submit("j", hosts)
	}
	c = dispatch.NewCore(dispatch.DefaultTiming(), 1, epoch)
	connect := func(agent, zone string, running ...run.Running) {
		c.Connect(agent, 1)
		c.Report(epoch, run.NewReport(agent).WithAnnouncement(run.NewAnnouncement(zoneWorker(agent), "s", zone, 1).
			WithRack(agent, []string{"k"}).WithCapacity(batch.NewResources(8000, 8000, 1)).WithClock(time.Second)).
			WithList(run.NewList(zoneWorker(agent), 1, 2*time.Second, running, nil, nil)))
	}
	for n := range hosts {
		id := batch.NewTaskID("j", 0, 0, n)
		if jobs {
			id = batch.NewTaskID(fmt.Sprintf("j%d", n), 0, 0, 0)
			submit(id.Job(), 1)
		}
		agent := fmt.Sprintf("a%d", n)
		g := batch.NewGroup(id.StepKey(), batch.NewMember(id.Index(), 1, zoneWorker(agent)))
		s, _ = s.Apply(batch.NewPlaceRuns(epoch, g))
		connect(agent, "a", run.NewRunning(run.NewID(id, 1), "", 100, 0))
		connect(fmt.Sprintf("b%d", n), "b")
	}
	s, _ = s.Apply(batch.NewEvacuateZone(batch.NewEvacuation("a", "", epoch)))
	return c, s
}

// Guards against a step that looks at all workers for each task that leaves an evacuated zone, and against one that orders all
// of them to stop.
func TestManyServicesLeaveZone(t *testing.T) {
	// Ten times the hosts take ten times as long if the time grows with their number, and a hundred times with its square.
	const hosts, factor, maxRatio, maxStops = 200, 10, 50, 64
	for _, jobs := range []bool{false, true} {
		t.Run(fmt.Sprintf("a job each %t", jobs), func(t *testing.T) {
			measure := func(hosts int) time.Duration {
				shortest := time.Hour
				for range 4 {
					c, s := newServingFleet(t, hosts, jobs)
					startedAt := time.Now()
					a := c.Step(epoch, s)
					shortest = min(shortest, time.Since(startedAt))
					stops := 0
					for _, o := range a.Orders() {
						if _, ok := o.Order().(run.Stop); ok {
							stops++
						}
					}
					require.Equal(t, maxStops, stops)
				}
				t.Logf("step with %d hosts in %s", hosts, shortest)
				return shortest
			}
			few, many := measure(hosts), measure(factor*hosts)
			assert.Less(t, many, maxRatio*few)
		})
	}
}

// Guards against tasks without a place elsewhere that keep the place of another task from being looked for.
func TestServiceLeavesZoneBehindOthers(t *testing.T) {
	const others = 200
	f := newZoneFixture(t, "q", batch.NewStep(3, batch.NewResources(100, 100, 0), 0, batch.WithLongRunning(true, 1)))
	f.place("a2", "b1", "b2")
	f.begin("a2", "b1", "b2")
	for n := range others {
		id := batch.NewTaskID(fmt.Sprintf("i%d", n), 0, 0, 0)
		f.submit(id.Job(), "q", batch.NewStep(1, batch.NewResources(8000, 8000, 0), 0, batch.WithLongRunning(true, 1)))
		f.apply(batch.NewPlaceRuns(f.now, batch.NewGroup(id, batch.NewMember(0, 1, zoneWorker("a1")))))
		f.running["a1"] = append(f.running["a1"], run.NewRunning(run.NewID(id, 1), "", 100, 0))
	}
	f.step()
	f.evacuate("a")
	assert.Equal(t, []string{"a2"}, f.stopped(5))
}
