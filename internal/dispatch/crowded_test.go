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

// newCrowdedFleet returns a leader with the given number of workers, each of which lists the given number of runs.
func newCrowdedFleet(t *testing.T, workers, runs int) (c *dispatch.Core, s batch.State) {
	t.Helper()
	d, err := batch.NewDeclaration(1, []batch.Queue{
		batch.NewQueue("q", "h", "/q/", "s").WithPolicy(1, attempts).WithObjective(3, time.Second, time.Second),
	}, []batch.Service{batch.NewService("s", false, false)}, nil)
	require.NoError(t, err)
	spec, err := batch.NewSpec("j", "", batch.NewStep(workers*runs, batch.NewResources(10, 16, 0), time.Hour))
	require.NoError(t, err)
	s, _ = batch.NewState(&stubDecoder{declaration: d, byJob: map[string]batch.Spec{"j": spec}}).Apply(batch.NewDeclare(nil))
	s, _ = s.Apply(batch.NewSubmit("j", "q", "", nil, epoch))
	c = dispatch.NewCore(dispatch.DefaultTiming(), 1, epoch)
	for n := range workers {
		agent := fmt.Sprintf("h%d", n)
		incarnation := batch.NewIncarnation(agent, "w"+agent, 1)
		var members []batch.Member
		var running []run.Running
		var settled []run.ID
		for i := n * runs; i < (n+1)*runs; i++ {
			id := run.NewID(batch.NewTaskID("j", 0, 0, i), 1)
			members = append(members, batch.NewMember(i, 1, incarnation))
			running, settled = append(running, run.NewRunning(id, "", 10, 10)), append(settled, id)
		}
		s, _ = s.Apply(batch.NewPlaceRuns(epoch, batch.NewGroup(batch.NewTaskID("j", 0, 0, 0), members...)))
		c.Connect(agent, uint64(n+1))
		c.Report(epoch, run.NewReport(agent).WithAnnouncement(run.NewAnnouncement(incarnation, "s", "z", 1).
			WithCapacity(batch.NewResources(128_000, 256_000, 8)).WithClock(time.Second)).
			WithList(run.NewList(incarnation, 1, 2*time.Second, running, nil, settled)))
	}
	return c, s
}

// stepTime returns the shortest time of a few steps of a crowded fleet.
func stepTime(t *testing.T, workers, runs int) (shortest time.Duration) {
	t.Helper()
	c, s := newCrowdedFleet(t, workers, runs)
	shortest = time.Hour
	for range 4 {
		startedAt := time.Now()
		a := c.Step(epoch, s)
		shortest = min(shortest, time.Since(startedAt))
		assert.Empty(t, a.Ends())
	}
	t.Logf("step of %d runs in %s", workers*runs, shortest)
	return shortest
}

// Guards against steps whose time grows with the square of the runs on a worker, so that small tasks that workers run by
// the thousand keep the leader from renewing leases.
func TestManyRunsOnWorker(t *testing.T) {
	// Ten times the runs take ten times as long if the time grows with their number, and a hundred times with its square.
	const workers, runs, factor, maxRatio = 6, 900, 10, 30
	few, many := stepTime(t, workers, runs), stepTime(t, workers, factor*runs)
	assert.Less(t, many, maxRatio*few)
}
