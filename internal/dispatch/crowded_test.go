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

// newCrowdedFleet returns a leader with the given number of workers, each of which lists the given number of runs of one
// step with the given options. The workers are in availability zone z.
func newCrowdedFleet(t *testing.T, workers, runs int, opts ...batch.StepOption) (c *dispatch.Core, s batch.State) {
	t.Helper()
	d, err := batch.NewDeclaration(1, []batch.Queue{
		batch.NewQueue("q", "h", "/q/", "s").WithPolicy(1, attempts).WithObjective(3, time.Second, time.Second),
	}, []batch.Service{batch.NewService("s", false, false)}, nil)
	require.NoError(t, err)
	spec, err := batch.NewSpec("j", "", batch.NewStep(workers*runs, batch.NewResources(10, 16, 0), time.Hour, opts...))
	require.NoError(t, err)
	s, _ = batch.NewState(&stubDecoder{declaration: d, byJob: map[string]batch.Spec{"j": spec}}).Apply(batch.NewDeclare(nil))
	s, _ = s.Apply(batch.NewSubmit("j", "q", "", nil, epoch))
	c = dispatch.NewCore(dispatch.DefaultTiming(), 1, epoch)
	for n := range workers {
		agent := fmt.Sprintf("h%d", n)
		incarnation := batch.NewIncarnation(agent, "w"+agent, 1)
		var members []batch.Member
		var running []run.Running
		var settled []run.Settled
		for i := n * runs; i < (n+1)*runs; i++ {
			id := run.NewID(batch.NewTaskID("j", 0, 0, i), 1)
			members = append(members, batch.NewMember(i, 1, incarnation))
			running, settled = append(running, run.NewRunning(id, "", 10, 10)), append(settled, run.NewSettled(id, laterOrder))
		}
		s, _ = s.Apply(batch.NewPlaceRuns(epoch, batch.NewGroup(batch.NewTaskID("j", 0, 0, 0), members...)))
		c.Connect(agent, uint64(n+1))
		c.Report(epoch, run.NewReport(agent).WithAnnouncement(run.NewAnnouncement(incarnation, "s", "z", 1).
			WithCapacity(batch.NewResources(128_000, 256_000, 8)).WithClock(time.Second)).
			WithList(run.NewList(incarnation, 1, 2*time.Second, running, nil, settled)))
	}
	return c, s
}

// stepTime returns the shortest time of a few steps of a fleet with many runs.
func stepTime(t *testing.T, c *dispatch.Core, s batch.State) (shortest time.Duration) {
	t.Helper()
	shortest = time.Hour
	for range 4 {
		startedAt := time.Now()
		a := c.Step(epoch, s)
		shortest = min(shortest, time.Since(startedAt))
		assert.Empty(t, a.Ends())
	}
	t.Logf("step in %s", shortest)
	return shortest
}

// Guards against steps whose time grows with the square of the runs on a worker, so that small tasks that workers run by
// the thousand keep the leader from renewing leases.
func TestManyRunsOnWorker(t *testing.T) {
	// Ten times the runs take ten times as long if the time grows with their number, and a hundred times with its square.
	const workers, runs, factor, maxRatio = 6, 900, 10, 30
	for name, opts := range map[string][]batch.StepOption{
		"tasks": nil, "gang": {batch.WithGang(true, false)}, "service": {batch.WithLongRunning(true, 1)},
	} {
		for _, evacuated := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, zone evacuated %t", name, evacuated), func(t *testing.T) {
				measure := func(runs int) time.Duration {
					c, s := newCrowdedFleet(t, workers, runs, opts...)
					if evacuated {
						s, _ = s.Apply(batch.NewEvacuateZone(batch.NewEvacuation("z", "", epoch)))
					}
					return stepTime(t, c, s)
				}
				few, many := measure(runs), measure(factor*runs)
				assert.Less(t, many, maxRatio*few)
			})
		}
	}
}
