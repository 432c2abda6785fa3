package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/dispatch"
	"rosemarywind.example/rosemarywind/internal/run"
)

const (
	benchTasks   = 6 // per worker
	benchRack    = 8
	benchWaiting = 20 // jobs for which there is no free capacity
)

// newFleet returns a leader with the given numbers of fully used workers and waiting jobs.
func newFleet(tb testing.TB, workers, waiting int) (c *dispatch.Core, s batch.State, now time.Time) {
	tb.Helper()
	d, err := batch.NewDeclaration(1, []batch.Queue{
		batch.NewQueue("q", "h", "/q/", "s").WithPolicy(1, attempts).WithObjective(3, time.Second, time.Second),
	}, []batch.Service{batch.NewService("s", false, false)}, nil)
	require.NoError(tb, err)
	decoder := &stubDecoder{declaration: d, byJob: map[string]batch.Spec{}}
	s, _ = batch.NewState(decoder).Apply(batch.NewDeclare(nil))
	submit := func(id string, step batch.Step) {
		decoder.byJob[id], err = batch.NewSpec(id, "", step)
		require.NoError(tb, err)
		s, _ = s.Apply(batch.NewSubmit(id, "q", "", nil, epoch))
	}
	c, now = dispatch.NewCore(dispatch.DefaultTiming(), 1, epoch), epoch
	for n := range workers {
		agent, id := fmt.Sprintf("h%d", n), fmt.Sprintf("full-%d", n)
		incarnation := batch.NewIncarnation(agent, "w"+agent, 1)
		submit(id, batch.NewStep(benchTasks, batch.NewResources(1000, 1000, 1), time.Hour))
		var members []batch.Member
		var running []run.Running
		for i := range benchTasks {
			members = append(members, batch.NewMember(i, 1, incarnation))
			running = append(running, run.NewRunning(run.NewID(batch.NewTaskID(id, 0, 0, i), 1), "", 10, 1000))
		}
		s, _ = s.Apply(batch.NewPlaceRuns(now, batch.NewGroup(batch.NewTaskID(id, 0, 0, 0), members...)))
		c.Connect(agent, uint64(n+1))
		rack := fmt.Sprintf("r%d", n/benchRack)
		c.Report(now, run.NewReport(agent).WithAnnouncement(run.NewAnnouncement(incarnation, "s", "z", 1).WithRack(rack, []string{"a", rack}).
			WithCapacity(batch.NewResources(6000, 6000, 6)).WithClock(time.Second)).
			WithList(run.NewList(incarnation, 1, 2*time.Second, running, nil, nil)))
	}
	for n := range waiting {
		submit(fmt.Sprintf("waiting-%d", n), batch.NewStep(4, batch.NewResources(1000, 1000, 1), time.Hour, batch.WithGang(true, n%2 == 0)))
	}
	return c, s, now
}

// tellSpeeds reports speeds of all workers to the leader, as agents do after an election: a third is slow, a third fast.
func tellSpeeds(c *dispatch.Core, workers int, now time.Time) {
	for n := range workers {
		agent := fmt.Sprintf("h%d", n)
		logarithm := 0.5 * float64(n%3-1)
		c.Report(now, run.NewReport(agent).WithSpeed(
			run.NewSpeed(batch.NewIncarnation(agent, "w"+agent, 1), logarithm, logarithm*logarithm, 8, time.Second)))
	}
}

// BenchmarkStepWithSpeeds measures one step like BenchmarkStep, with workers of different speed.
func BenchmarkStepWithSpeeds(b *testing.B) {
	for _, waiting := range []int{0, benchWaiting} {
		b.Run(fmt.Sprintf("%d waiting/7200 workers", waiting), func(b *testing.B) {
			c, s, now := newFleet(b, 7200, waiting)
			tellSpeeds(c, 7200, now)
			for b.Loop() {
				c.Step(now, s)
			}
		})
	}
}

// BenchmarkStep measures one step with all workers fully used, without and with waiting jobs.
func BenchmarkStep(b *testing.B) {
	for _, waiting := range []int{0, benchWaiting} {
		for _, workers := range []int{30, 300, 1200, 7200} {
			b.Run(fmt.Sprintf("%d waiting/%d workers", waiting, workers), func(b *testing.B) {
				c, s, now := newFleet(b, workers, waiting)
				for b.Loop() {
					c.Step(now, s)
				}
			})
		}
	}
}
