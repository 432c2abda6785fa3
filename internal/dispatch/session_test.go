package dispatch_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/run"
)

// laterOrder is the id of an order that was given after all others.
var laterOrder = run.NewOrderID(math.MaxUint64, 1)

// settledBy returns runs of which the worker has answered an order.
func settledBy(order run.OrderID, ids ...run.ID) (settled []run.Settled) {
	for _, id := range ids {
		settled = append(settled, run.NewSettled(id, order))
	}
	return settled
}

// starts advances time by 100 ms and returns the runs that the leader orders to start.
func (f *fixture) starts() (ids []run.ID) {
	for _, s := range f.startOrders() {
		ids = append(ids, s.ID())
	}
	return ids
}

// startOrders advances time by 100 ms and returns the orders to start a run.
func (f *fixture) startOrders() (starts []run.Start) {
	f.now = f.now.Add(100 * time.Millisecond)
	for _, o := range f.core.Step(f.now, f.state).Orders() {
		if s, ok := o.Order().(run.Start); ok {
			starts = append(starts, s)
		}
	}
	return starts
}

// reconnect opens another session of the agent, whose list contains no running tasks.
func (f *fixture) reconnect(session uint64, settled ...run.Settled) {
	f.core.Connect("h", session)
	f.core.Report(f.now, run.NewReport("h").WithAnnouncement(run.NewAnnouncement(f.incarnation, "s", "z", f.now.UnixMilli()).
		WithCapacity(batch.NewResources(1000, 1000, 8)).WithClock(f.now.Sub(epoch))).WithList(run.NewList(f.incarnation, 1, f.now.Sub(epoch), nil, nil, settled)))
}

// Guards against a run that waits for seconds because its start order was lost with the agent's session.
func TestStartLostWithSession(t *testing.T) {
	group := batch.NewGroup(batch.NewTaskID("j", 0, 0, 0), batch.NewMember(0, 1, batch.NewIncarnation("h", "w", 1)))
	id := run.NewID(batch.NewTaskID("j", 0, 0, 0), 1)
	begin := func(t *testing.T) *fixture {
		f := newFixture(t, 1)
		f.reconnect(1)
		f.core.RunsCommitted(group)
		assert.Equal(t, []run.ID{id}, f.starts())
		return f
	}
	t.Run("ordered again in the next session", func(t *testing.T) {
		f := begin(t)
		assert.Empty(t, f.starts())
		f.reconnect(2)
		f.starts()
		assert.Equal(t, []run.ID{id}, f.starts())
		assert.Empty(t, f.starts())
	})
	t.Run("not ordered again after an answer", func(t *testing.T) {
		f := begin(t)
		f.reconnect(2, settledBy(laterOrder, id)...)
		assert.Empty(t, f.starts())
		assert.Empty(t, f.starts())
	})
}

// assertGoesOn checks that no run ends in the next steps.
func (f *fixture) assertGoesOn() {
	f.t.Helper()
	for range 5 {
		f.now = f.now.Add(100 * time.Millisecond)
		assert.Empty(f.t, f.core.Step(f.now, f.state).Ends())
	}
}

// Guards against a task that runs twice because an answer to an earlier order to start its run is taken for that to the
// latest one: an agent that was paused for longer than a lease reports the refusal of the first order as late, and the
// worker carries out the second one.
func TestAnswerToEarlierOrder(t *testing.T) {
	id := run.NewID(batch.NewTaskID("j", 0, 0, 0), 1)
	orderTwice := func(t *testing.T) (f *fixture, first, second run.OrderID) {
		f = newFixture(t, 1)
		f.reconnect(1)
		f.core.RunsCommitted(batch.NewGroup(id.Task(), batch.NewMember(0, 1, f.incarnation)))
		orders := f.startOrders()
		f.reconnect(2)
		f.starts()
		orders = append(orders, f.startOrders()...)
		require.Len(t, orders, 2)
		return f, orders[0].OrderID(), orders[1].OrderID()
	}
	t.Run("the run goes on after the answer to the first order", func(t *testing.T) {
		f, first, second := orderTwice(t)
		assert.True(t, first.Before(second))
		f.reconnect(2, settledBy(first, id)...)
		f.assertGoesOn()
	})
	t.Run("the run is lost after the answer to the second order", func(t *testing.T) {
		f, _, second := orderTwice(t)
		f.reconnect(2, settledBy(second, id)...)
		f.assertEnds(id)
	})
	t.Run("the run is lost after the answer to a stop", func(t *testing.T) {
		f, _, _ := orderTwice(t)
		f.apply(batch.NewCancel("j", f.now))
		var stop run.OrderID
		for _, o := range f.core.Step(f.now, f.state).Orders() {
			if s, ok := o.Order().(run.Stop); ok {
				stop = s.OrderID()
			}
		}
		f.reconnect(2, settledBy(stop, id)...)
		f.assertEnds(id)
	})
}

// Guards against a task with nothing running until the lease of a worker has ended although its start was never ordered,
// because the agent's session ended while the placement was committed.
func TestPlacedOnWorkerThatIsLost(t *testing.T) {
	group := batch.NewGroup(batch.NewTaskID("j", 0, 0, 0), batch.NewMember(0, 1, batch.NewIncarnation("h", "w", 1)))
	id := run.NewID(batch.NewTaskID("j", 0, 0, 0), 1)
	t.Run("ended at once if the start was not ordered", func(t *testing.T) {
		f := newFixture(t, 1)
		f.reconnect(1)
		f.core.RunsCommitted(group)
		f.core.Disconnect("h", 1)
		f.assertEnds(id)
	})
	t.Run("kept if the start was ordered", func(t *testing.T) {
		f := newFixture(t, 1)
		f.reconnect(1)
		f.core.RunsCommitted(group)
		assert.Equal(t, []run.ID{id}, f.starts())
		f.core.Disconnect("h", 1)
		assert.Empty(t, f.core.Step(f.now, f.state).Ends())
	})
}
