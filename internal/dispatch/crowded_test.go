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

// stepTime bounds a step: an agent that hears nothing for longer looks for another leader.
const stepTime = 1300 * time.Millisecond

// Guards against steps whose time grows with the square of the runs on a worker, so that small tasks that workers run by
// the thousand keep the leader from renewing leases.
func TestManyRunsOnWorker(t *testing.T) {
	const workers, runs = 6, 9_000
	d, err := batch.NewDeclaration(1, []batch.Queue{
		batch.NewQueue("q", "h", "/q/", "s").WithPolicy(1, attempts).WithObjective(3, time.Second, time.Second),
	}, []batch.Service{batch.NewService("s", false, false)}, nil)
	require.NoError(t, err)
	spec, err := batch.NewSpec("j", "", batch.NewStep(workers*runs, batch.NewResources(10, 16, 0), time.Hour))
	require.NoError(t, err)
	s, _ := batch.NewState(&stubDecoder{declaration: d, byJob: map[string]batch.Spec{"j": spec}}).Apply(batch.NewDeclare(nil))
	s, _ = s.Apply(batch.NewSubmit("j", "q", "", nil, epoch))
	c := dispatch.NewCore(dispatch.DefaultTiming(), 1, epoch)
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
	startedAt := time.Now()
	a := c.Step(epoch, s)
	assert.Less(t, time.Since(startedAt), stepTime)
	assert.Empty(t, a.Ends())
	t.Logf("step of %d runs in %s", workers*runs, time.Since(startedAt))
}
