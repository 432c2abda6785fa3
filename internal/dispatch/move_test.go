package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/dispatch"
	"rosemarywind.example/rosemarywind/internal/run"
)

// stopsOf returns the tasks of a job that a step orders to stop.
func stopsOf(a dispatch.Actions, job string) (tasks []int) {
	for _, o := range a.Orders() {
		if s, ok := o.Order().(run.Stop); ok && s.ID().Task().Job() == job {
			tasks = append(tasks, s.ID().Task().Index())
		}
	}
	return tasks
}

// startOn starts an urgent gang, whose tasks take two seconds on a normal worker and have made no progress yet.
func (f *unevenFleet) startOn(id string, workers ...int) {
	f.t.Helper()
	f.submit(id, "urgent", batch.NewStep(len(workers), batch.NewResources(1000, 1000, 4), 2*time.Second, batch.WithGang(true, false)))
	var members []batch.Member
	for n, w := range workers {
		members = append(members, batch.NewMember(n, 1, f.incarnation(w)))
		f.running[w] = append(f.running[w], unevenRun{run.NewID(batch.NewTaskID(id, 0, 0, n), 1), time.Hour})
	}
	f.state, _ = f.state.Apply(batch.NewPlaceRuns(f.now, batch.NewGroup(batch.NewTaskID(id, 0, 0, 0), members...)))
}

// Guards against moves that are not looked for since no task waits, and against orders to stop that are repeated in each
// step.
func TestGangMovesFromSlowWorker(t *testing.T) {
	f := newUnevenFleet(t, 0.3, 1, 0.3, 1, 2, 1, 0.3, 2, 1, 0.3, 1, 2)
	for n := range 3 {
		f.spread(fmt.Sprintf("j%d", n), sameLength)
	}
	f.advance(0)
	f.advance(700 * time.Millisecond)
	f.startOn("gang", 1, 2)
	a := f.advance(500 * time.Millisecond)
	assert.Equal(t, []int{0, 1}, stopsOf(a, "gang"))
	assert.Empty(t, stopsOf(a, "j0"))
	assert.Empty(t, stopsOf(f.advance(100*time.Millisecond), "gang"))
}
