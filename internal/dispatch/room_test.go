package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/run"
)

// orderRoom is the room in the queue of an agent in these tests.
const orderRoom = 1024

// orders advances time by 100 ms, runs a step for an agent whose queue is empty, and returns the orders by kind.
func (f *fixture) orders() (counts map[string]int) {
	f.now = f.now.Add(100 * time.Millisecond)
	f.core.SetOrderRoom("h", orderRoom)
	counts = map[string]int{}
	for _, o := range f.core.Step(f.now, f.state).Orders() {
		counts[fmt.Sprintf("%T", o.Order())]++
	}
	return counts
}

// connectLarge opens a session of the agent of a worker with room for all tasks, which lists no runs.
func (f *fixture) connectLarge(session uint64) {
	f.now = f.now.Add(100 * time.Millisecond)
	f.core.Connect("h", session)
	f.core.Report(f.now, run.NewReport("h").WithAnnouncement(run.NewAnnouncement(f.incarnation, "s", "z", f.now.UnixMilli()).
		WithCapacity(batch.NewResources(10_000, 10_000, 8)).WithClock(f.now.Sub(epoch))).
		WithList(run.NewList(f.incarnation, 1, f.now.Sub(epoch), nil, nil, nil)))
}

func sum(counts map[string]int) (total int) {
	for _, n := range counts {
		total += n
	}
	return total
}

// Guards against a step with more orders for an agent than its queue takes: the session is closed, and the next one gets
// as many orders again, so that neither starts, stops nor renewals of the lease get through.
func TestOrdersWithinRoom(t *testing.T) {
	const tasks = 3_000
	start := func(t *testing.T) *fixture {
		f := newFixture(t, tasks)
		f.connectLarge(1)
		var members []batch.Member
		for n := range tasks {
			members = append(members, batch.NewMember(n, 1, f.incarnation))
		}
		f.core.RunsCommitted(batch.NewGroup(batch.NewTaskID("j", 0, 0, 0), members...))
		return f
	}
	// assertAll runs steps until all orders of a kind are given, and checks that no step gives more than the queue takes.
	assertAll := func(t *testing.T, f *fixture, kind string) {
		given, renewed := 0, 0
		for range 16 {
			counts := f.orders()
			assert.LessOrEqual(t, sum(counts), orderRoom)
			given += counts[kind]
			renewed += counts[fmt.Sprintf("%T", run.RenewLease{})]
		}
		assert.Equal(t, tasks, given)
		assert.Positive(t, renewed)
	}
	t.Run("starts", func(t *testing.T) {
		f := start(t)
		assertAll(t, f, fmt.Sprintf("%T", run.Start{}))
		assert.Empty(t, f.core.Step(f.now, f.state).Ends())
	})
	t.Run("starts in another session", func(t *testing.T) {
		f := start(t)
		for range 8 {
			f.orders()
		}
		f.connectLarge(2)
		assertAll(t, f, fmt.Sprintf("%T", run.Start{}))
	})
	t.Run("stops", func(t *testing.T) {
		f := start(t)
		for range 8 {
			f.orders()
		}
		f.apply(batch.NewCancel("j", f.now))
		stopped, repeated := 0, 0
		for range 4 {
			counts := f.orders()
			assert.LessOrEqual(t, sum(counts), orderRoom)
			stopped += counts[fmt.Sprintf("%T", run.Stop{})]
		}
		assert.Equal(t, tasks, stopped)
		for range 4 {
			counts := f.orders()
			assert.LessOrEqual(t, sum(counts), orderRoom)
			repeated += counts[fmt.Sprintf("%T", run.Stop{})]
		}
		assert.Positive(t, repeated, "stops are repeated until the runs have ended")
	})
	t.Run("no room", func(t *testing.T) {
		f := start(t)
		f.now = f.now.Add(100 * time.Millisecond)
		f.core.SetOrderRoom("h", 0)
		for _, o := range f.core.Step(f.now, f.state).Orders() {
			assert.IsType(t, run.RenewLease{}, o.Order())
		}
	})
}
