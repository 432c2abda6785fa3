package runner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/run"
)

// The orders about the run of the task, in this sequence.
var (
	firstStart  = run.NewOrderID(1, 1)
	secondStart = run.NewOrderID(1, 2)
	laterStop   = run.NewOrderID(1, 3)
)

// orderStart passes an order to start the task to the loop.
func orderStart(t *testing.T, l *loop, order run.OrderID) {
	t.Helper()
	o := run.NewStart(task, first, "", "", time.Second).WithOrderID(order)
	l.handle(t.Context(), epoch, orderInput{envelope: run.NewEnvelope(1, o)})
}

// assertSettledBy checks which order a list shows as answered that is requested after all answers; the zero order stands
// for none.
func assertSettledBy(t *testing.T, l *loop, want run.OrderID) {
	t.Helper()
	l.handle(t.Context(), epoch, listedInput{
		incarnation: first, requestedAt: epoch.Add(time.Second), list: run.NewList(first, 1, time.Second, nil, nil, nil),
	})
	var settled []run.Settled
	for len(l.reports) > 0 {
		if list, ok := (<-l.reports).List(); ok {
			settled = list.Settled()
		}
	}
	if want == (run.OrderID{}) {
		assert.Empty(t, settled)
		return
	}
	assert.Equal(t, []run.Settled{run.NewSettled(task, want)}, settled)
}

// Guards against a task that runs twice because the answer to an earlier order to start its run is reported for the latest
// one, and against an answer to the latest one that is never reported.
func TestAnswersToRepeatedStart(t *testing.T) {
	answer := func(order run.OrderID, refusal string) startedInput {
		return startedInput{id: task, order: order, incarnation: first, refusal: refusal, at: epoch}
	}
	t.Run("the answer to the earlier order no longer counts", func(t *testing.T) {
		l := newTestLoop(first)
		orderStart(t, l, firstStart)
		l.handle(t.Context(), epoch, answer(firstStart, tooLate))
		orderStart(t, l, secondStart)
		assertSettledBy(t, l, run.OrderID{})
	})
	t.Run("the answer to the earlier order comes after the later order", func(t *testing.T) {
		l := newTestLoop(first)
		orderStart(t, l, firstStart)
		orderStart(t, l, secondStart)
		l.handle(t.Context(), epoch, answer(firstStart, tooLate))
		assert.Contains(t, l.starts, task, "the later order is carried out")
		assertSettledBy(t, l, run.OrderID{})
	})
	t.Run("the answer to the later order counts", func(t *testing.T) {
		l := newTestLoop(first)
		orderStart(t, l, firstStart)
		l.handle(t.Context(), epoch, answer(firstStart, tooLate))
		assertSettledBy(t, l, firstStart)
		orderStart(t, l, secondStart)
		l.handle(t.Context(), epoch, answer(secondStart, tooLate))
		require.True(t, l.busy(), "an idle worker is asked for a list")
		assertSettledBy(t, l, secondStart)
		assert.False(t, l.busy())
	})
	t.Run("the earlier order is read after the later one", func(t *testing.T) {
		l := newTestLoop(first)
		orderStart(t, l, secondStart)
		orderStart(t, l, firstStart)
		assert.Equal(t, secondStart, l.starts[task].order)
	})
	t.Run("the answer to a later stop counts", func(t *testing.T) {
		l := newTestLoop(first)
		orderStart(t, l, firstStart)
		orderStart(t, l, secondStart)
		l.handle(t.Context(), epoch, stoppedInput{id: task, order: laterStop, incarnation: first, at: epoch})
		assertSettledBy(t, l, laterStop)
	})
	t.Run("a run that has begun is not started again", func(t *testing.T) {
		l := newTestLoop(first)
		orderStart(t, l, firstStart)
		l.handle(t.Context(), epoch, answer(firstStart, ""))
		orderStart(t, l, secondStart)
		assert.Empty(t, l.starts)
		assertSettledBy(t, l, secondStart)
	})
}

// Guards against a task that runs twice because a start that names an earlier incarnation of the worker, and that the agent
// refuses by itself, is taken for a stop that the latest incarnation has answered: a late call could still begin the run
// there.
func TestStartForEarlierIncarnation(t *testing.T) {
	l := newTestLoop(second)
	orderStart(t, l, firstStart)
	l.handle(t.Context(), epoch, listedInput{
		incarnation: second, requestedAt: epoch.Add(time.Second), list: run.NewList(second, 1, time.Second, nil, nil, nil),
	})
	var refused, settled int
	for len(l.reports) > 0 {
		r := <-l.reports
		refused += len(r.Refused())
		list, _ := r.List()
		settled += len(list.Settled())
	}
	assert.Equal(t, 1, refused)
	assert.Zero(t, settled)
}
