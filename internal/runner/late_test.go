package runner

import (
	"errors"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/clock"
	"rosemarywind.example/rosemarywind/internal/run"
)

const testLease = 5 * time.Second

// newStoppableLoop returns a loop whose worker's clock reads a minute at epoch. The worker answers stops, but no starts.
func newStoppableLoop() (*loop, *busyWorker) {
	w := &busyWorker{starts: []error{errors.New("no answer")}, stops: []error{nil}}
	l := newLoop(New("h", w, nil, nil, hclog.NewNullLogger()))
	announce(l, 0, announced(first).WithClock(time.Minute))
	return l, w
}

// orderStartAt passes an order to start the task to the loop, under a lease that ends testLease after epoch.
func orderStartAt(t *testing.T, l *loop, at time.Duration, order run.OrderID) {
	t.Helper()
	o := run.NewStart(task, first, "", "", time.Minute+testLease).WithOrderID(order)
	l.handle(t.Context(), epoch.Add(at), orderInput{envelope: run.NewEnvelope(1, o)})
}

// assertRefusedAtOnce checks that an order was refused for a reason without a call to the worker.
func assertRefusedAtOnce(t *testing.T, l *loop, w *busyWorker, reason string) {
	t.Helper()
	assert.Empty(t, l.starts)
	assert.Empty(t, w.calls)
	require.Len(t, l.reports, 1)
	assert.Equal(t, []run.Refusal{run.NewRefusal(task, firstStart, reason)}, (<-l.reports).Refused())
}

// assertStoppedFirst checks that the worker is called to stop the run before an order is refused for a reason.
func assertStoppedFirst(t *testing.T, l *loop, w *busyWorker, reason string) {
	t.Helper()
	assert.Empty(t, l.reports)
	assert.Empty(t, l.answers.settled, "the call for the earlier order may begin the run")
	in := awaitStarted(t, l)
	assert.Equal(t, secondStart, in.order)
	assert.Equal(t, reason, in.refusal)
	w.mu.Lock()
	defer w.mu.Unlock()
	assert.Equal(t, "stop", w.calls[len(w.calls)-1])
}

// awaitStarted waits for the input that answers a start order; the inputs for unanswered calls come before.
func awaitStarted(t *testing.T, l *loop) startedInput {
	t.Helper()
	timeout := time.After(5 * time.Second)
	for {
		select {
		case in := <-l.inputs:
			if started, ok := in.(startedInput); ok {
				return started
			}
		case <-timeout:
			require.Fail(t, "the loop received no answer")
		}
	}
}

// Guards against a run that begins after the leader has given it up: an agent that was paused reads the start order when
// its lease has ended, and the worker, which has restarted under the same ID, cannot tell that from its own clock.
func TestLateStart(t *testing.T) {
	t.Run("read in time", func(t *testing.T) {
		l, _ := newStoppableLoop()
		orderStartAt(t, l, testLease-time.Second, firstStart)
		assert.Contains(t, l.starts, task)
	})
	t.Run("read after the end of the lease", func(t *testing.T) {
		l, w := newStoppableLoop()
		orderStartAt(t, l, testLease+time.Second, firstStart)
		assertRefusedAtOnce(t, l, w, tooLate)
	})
	t.Run("read after the end of the lease, and an earlier order is not answered", func(t *testing.T) {
		l, w := newStoppableLoop()
		orderStartAt(t, l, 0, firstStart)
		orderStartAt(t, l, testLease+time.Second, secondStart)
		assertStoppedFirst(t, l, w, tooLate)
	})
	t.Run("not answered before the end of the lease", func(t *testing.T) {
		w := &busyWorker{starts: []error{errors.New("no answer")}}
		l := newLoop(New("h", w, nil, nil, hclog.NewNullLogger()))
		l.announced.Publish(workerState{announcement: announced(first), known: true})
		l.resetIncarnation(first)
		l.clock.observe(time.Minute, clock.Now())
		o := run.NewStart(task, first, "", "", time.Minute+3*callRetryDelay)
		l.handle(t.Context(), clock.Now(), orderInput{envelope: run.NewEnvelope(1, o)})
		calls := 0
		for len(l.starts) > 0 {
			in := <-l.inputs
			if _, unanswered := in.(unansweredInput); unanswered {
				calls++
			}
			require.LessOrEqual(t, calls, 10)
			l.handle(t.Context(), clock.Now(), in)
		}
		assert.NotZero(t, calls)
		assert.Empty(t, l.answers.settled, "the run may have begun")
		time.Sleep(3 * callRetryDelay)
		w.mu.Lock()
		defer w.mu.Unlock()
		assert.Len(t, w.calls, calls)
	})
	t.Run("read after a later reading of the clock", func(t *testing.T) {
		c := workerClock{}
		c.observe(time.Minute, epoch)
		c.observe(time.Minute+testLease, epoch.Add(testLease/2))
		assert.True(t, c.ended(epoch.Add(testLease), time.Minute+testLease))
		assert.False(t, c.ended(epoch.Add(testLease), time.Minute+2*testLease))
	})
	t.Run("the clock is not known", func(t *testing.T) {
		assert.False(t, (&workerClock{}).ended(epoch, testLease))
	})
}

// Guards against a run that begins after its start was refused because the worker drains, by the call for an earlier order.
func TestRepeatedStartOnDrainingWorker(t *testing.T) {
	l, w := newStoppableLoop()
	orderStartAt(t, l, 0, firstStart)
	announce(l, time.Second, announced(first).WithDraining(time.Minute))
	orderStartAt(t, l, time.Second, secondStart)
	assertStoppedFirst(t, l, w, draining)
}
